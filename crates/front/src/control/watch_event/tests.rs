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

/// An event that a line holds is parsed whatever else the line says, and a part of it that is too long is
/// refused alone: a line that could not be split would be requested again forever.
#[test]
fn a_line_is_split_into_its_offset_and_its_event() {
    let event = |line: &str| match split_line(line.as_bytes()) {
        Some(Line::Event(offset, event)) => Some((offset, event.parse(&configured_names()))),
        _ => None,
    };
    assert!(matches!(split_line(b" 7 "), Some(Line::LastOffset(7))));
    for line in ["-1", "7.5", "[7]", "{}", "{\"offset\":\"7\"}", "{\"offset\":7", "\u{fffd}"] {
        assert!(split_line(line.as_bytes()).is_none(), "{line}");
    }
    let unknown = event(r#"{"topology":null,"later":[[{"a":[]}]],"ban":3,"offset":7}"#);
    assert!(matches!(unknown, Some((7, Ok(WatchEvent::Unknown)))));
    let not_a_list = event(r#"{"offset":8,"topology":{"full":true,"servers":{}}}"#);
    assert!(matches!(not_a_list, Some((8, Err(_)))));
    let padding = "x".repeat(MAX_PARSED_BYTES);
    let long_purge = event(&format!(r#"{{"offset":9,"ban":{{"url":"{padding}","tag":1,"ts":2}}}}"#));
    assert!(matches!(long_purge, Some((9, Err(_)))));
}

/// The list of the largest fleet, with its parents and the origin, is accepted; a list far beyond that is not.
#[test]
fn the_list_of_the_largest_fleet_is_parsed() {
    let line = |nodes: usize| {
        let node = |n: usize| {
            format!(
                r#"{{"id":"node-{n}","addr":"10.3.{}.{}:65000","zone":"edge-1","kind":"standard","cell":0,"state":"Ready","weight":1.5,"started_ms":1764000000000}}"#,
                n / 256,
                n % 256
            )
        };
        let nodes: Vec<String> = (0..nodes).map(node).collect();
        format!(r#"{{"offset":7,"topology":{{"version":7,"full":true,"servers":[{}]}}}}"#, nodes.join(","))
    };
    let parse = |line: &str| match split_line(line.as_bytes()) {
        Some(Line::Event(7, event)) => event.parse(&configured_names()),
        other => panic!("the line holds an event, got {other:?}"),
    };
    let largest = line(3_300);
    let smallest_limit = crate::budget::Budget::from_limits(1024, 32).bus_input;
    assert!(largest.len() * 5 / 4 < smallest_limit, "{} of {smallest_limit} bytes", largest.len());
    assert!(
        matches!(parse(&largest), Ok(WatchEvent::EndpointList { full: true, nodes }) if nodes.len() == 3_300)
    );
    assert!(parse(&line(MAX_LISTED_NODES + 1)).is_err());
}
