//! Unit tests of the parsing of discovery watch events.

use super::*;
use serde_json::json;

fn configured_names() -> Names {
    Names {
        zones: vec!["edge-1".into()],
        kinds: vec!["standard".into()],
        classes: Vec::new(),
        reports: Vec::new(),
    }
}

#[test]
fn a_listed_node_has_its_zone_kind_phase_and_address_resolved() {
    let node = |id: &str, state: &str, addr: &str, zone: &str| json!({ "id": id, "state": state, "addr": addr, "zone": zone, "kind": "standard", "weight": 2, "started_ms": 5 });
    let servers = [
        node("a", "Ready", "10.0.0.1:80", "edge-1"),
        node("b", "Terminating", "nowhere", "edge-2"),
        node("c", "Gone", "10.0.0.3:80", "edge-1"),
    ];
    let event = json!({ "offset": 4, "topology": { "full": true, "servers": servers } });
    let Ok(WatchEvent::EndpointList { full: true, nodes }) = parse_event(&event, &configured_names()) else {
        panic!("a full topology event is parsed as a complete endpoint list")
    };
    let resolved: Vec<_> =
        nodes.iter().map(|n| (n.entry.phase, n.entry.zone, n.addr.map(|a| a.port()))).collect();
    assert_eq!(
        resolved,
        [(Phase::In, Some(0), Some(80)), (Phase::Draining, None, None), (Phase::Out, Some(0), Some(80))]
    );
    assert_eq!((nodes[0].entry.weight, nodes[0].entry.started_ms, nodes[0].entry.kind), (2.0, 5.0, Some(0)));
}

#[test]
fn a_purge_names_an_object_or_a_group_and_other_event_kinds_are_unknown() {
    let purge = |ban: Value| parse_event(&json!({ "offset": 1, "ban": ban }), &configured_names());
    let of_object = purge(json!({ "url": "ff", "tag": 3, "ts": 9 }));
    assert!(
        matches!(of_object, Ok(WatchEvent::Purge { object: Some(ObjectId(255)), group: 3, unix_ms }) if unix_ms == 9.0)
    );
    let of_group = purge(json!({ "tag": 3, "ts": 9 }));
    assert!(matches!(of_group, Ok(WatchEvent::Purge { object: None, group: 3, .. })));
    assert!(purge(json!({ "ts": 9 })).is_err(), "a purge without an object and a group is rejected");
    assert!(matches!(
        parse_event(&json!({ "offset": 1, "later": {} }), &configured_names()),
        Ok(WatchEvent::Unknown)
    ));
}

#[test]
fn a_node_in_an_unknown_state_is_rejected() {
    let servers = [json!({ "id": "a", "state": "Resting" })];
    assert!(parse_event(&json!({ "topology": { "servers": servers } }), &configured_names()).is_err());
}
