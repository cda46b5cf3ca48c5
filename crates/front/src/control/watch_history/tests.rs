//! Unit tests of the discovery watch's history.

use super::*;
use serde_json::Value;

fn configured_names() -> Names {
    let text = include_str!("../../../../../examples/config.json");
    let config: Value = serde_json::from_str(text).expect("examples/config.json is valid JSON");
    fernslip::json::parse_settings(&config["settings"])
        .expect("the settings in examples/config.json are valid")
        .1
}

fn endpoint_list_line(offset: u64, full: bool, servers: &[(&str, &str, f64)]) -> String {
    let server = |(id, state, started): &(&str, &str, f64)| {
        format!(
            r#"{{"id":"{id}","addr":"127.0.0.1:1","zone":"edge-1","kind":"standard","cell":0,"state":"{state}","weight":1,"started_ms":{started}}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(server).collect();
    format!(
        r#"{{"offset":{offset},"topology":{{"version":{offset},"full":{full},"servers":[{}]}}}}"#,
        servers.join(",")
    )
}

/// Returns the id and phase of each node in the endpoint list that `line` holds; panics if it holds none.
fn listed_phases(line: Result<ReceivedLine, Reason>) -> Vec<(String, Phase)> {
    match line {
        Ok(ReceivedLine::Event(_, WatchEvent::EndpointList { nodes, .. })) => {
            nodes.into_iter().map(|n| (n.entry.cache.0.to_string(), n.entry.phase)).collect()
        }
        other => panic!("the line yields an endpoint list, got {other:?}"),
    }
}

#[test]
fn events_apply_once_and_in_order_and_a_gap_is_reported() {
    let (names, mut history) = (configured_names(), WatchHistory::new(1));
    assert!(matches!(history.receive(b"1", &names), Ok(ReceivedLine::NothingNew)));
    let drain = endpoint_list_line(2, false, &[("a", "Terminating", 0.0)]);
    assert_eq!(listed_phases(history.receive(drain.as_bytes(), &names)), [("a".into(), Phase::Draining)]);
    assert!(
        matches!(history.receive(drain.as_bytes(), &names), Ok(ReceivedLine::NothingNew)),
        "an event that was already received adds nothing"
    );
    assert!(matches!(history.receive(b" \t", &names), Ok(ReceivedLine::NothingNew)));
    assert!(matches!(history.receive(b"4", &names), Err(Reason::MissingEvents)));
    assert!(matches!(
        history.receive(b"{\"offset\":3,\"ban\":{}}", &names),
        Ok(ReceivedLine::Unreadable(3, _))
    ));
    for bad in [&b"no JSON"[..], b"{}", b"-1", b"[3]"] {
        assert!(
            matches!(history.receive(bad, &names), Err(Reason::Malformed)),
            "the line {bad:?} is rejected as malformed"
        );
    }
    assert_eq!(history.offset(), 3);
}

/// A bus that restarts its numbering sends offsets below this front's. Without a replay the front would skip
/// every event as already received.
#[test]
fn a_renumbered_bus_is_asked_to_replay_everything() {
    let (names, mut history) = (configured_names(), WatchHistory::new(0));
    for line in [
        endpoint_list_line(1, true, &[("a", "Ready", 0.0), ("b", "Ready", 0.0), ("c", "Ready", 0.0)]),
        endpoint_list_line(2, false, &[("a", "Terminating", 0.0)]),
        endpoint_list_line(3, false, &[("b", "Gone", 0.0)]),
    ] {
        assert!(matches!(history.receive(line.as_bytes(), &names), Ok(ReceivedLine::Event(..))));
    }
    assert!(
        matches!(history.receive(b"2", &names), Ok(ReceivedLine::NothingNew)),
        "a single last offset that is too low is ignored: the bus may have read it before the last event"
    );
    assert!(matches!(history.receive(b"3", &names), Ok(ReceivedLine::NothingNew)));
    assert!(matches!(history.receive(b"2", &names), Ok(ReceivedLine::NothingNew)));
    assert!(matches!(history.receive(b"2", &names), Err(Reason::Renumbered)));
    assert_eq!(history.offset(), 0, "all events are requested again after a renumbering");
    // The event that `a` drains is lost; `b` has restarted as another process, and `d` is new.
    let line =
        endpoint_list_line(1, true, &[("a", "Ready", 0.0), ("b", "Ready", 900.0), ("d", "Ready", 0.0)]);
    assert!(
        matches!(history.receive(line.as_bytes(), &names), Ok(ReceivedLine::NothingNew)),
        "no endpoint list is applied before the replay is complete"
    );
    let line = endpoint_list_line(2, false, &[("d", "Gone", 0.0)]);
    assert!(matches!(history.receive(line.as_bytes(), &names), Ok(ReceivedLine::NothingNew)));
    let got = listed_phases(history.receive(b"2", &names));
    assert_eq!(got, [("a".to_string(), Phase::Draining), ("b".to_string(), Phase::In)]);
    // After the replay, events apply as usual; the event that `a` is ready is newer than its drain.
    let line = endpoint_list_line(3, false, &[("a", "Ready", 0.0)]);
    assert_eq!(listed_phases(history.receive(line.as_bytes(), &names)), [("a".into(), Phase::In)]);
}

#[test]
fn a_renumbered_bus_without_a_complete_list_removes_no_node() {
    let (names, mut history) = (configured_names(), WatchHistory::new(7));
    assert!(matches!(history.receive(b"0", &names), Ok(ReceivedLine::NothingNew)));
    assert!(matches!(history.receive(b"0", &names), Err(Reason::Renumbered)));
    assert!(matches!(history.receive(b"0", &names), Ok(ReceivedLine::NothingNew)));
    let line = endpoint_list_line(1, false, &[("a", "Terminating", 0.0)]);
    assert_eq!(listed_phases(history.receive(line.as_bytes(), &names)), [("a".into(), Phase::Draining)]);
}

/// If an event is missing between two others, it is requested once; a bus that does not have it is not asked
/// again. A complete list makes the missing events unnecessary.
#[test]
fn a_missing_event_is_requested_once() {
    let (names, mut history) = (configured_names(), WatchHistory::new(1));
    let late = endpoint_list_line(4, false, &[("a", "Terminating", 0.0)]);
    assert!(matches!(history.receive(late.as_bytes(), &names), Err(Reason::MissingEvents)));
    assert_eq!(history.offset(), 1, "the offset stays before the gap, so the missing events are requested");
    let missing = endpoint_list_line(2, false, &[("b", "Terminating", 0.0)]);
    assert_eq!(listed_phases(history.receive(missing.as_bytes(), &names)), [("b".into(), Phase::Draining)]);
    assert!(
        matches!(history.receive(late.as_bytes(), &names), Err(Reason::MissingEvents)),
        "the second gap is requested too"
    );
    assert_eq!(
        listed_phases(history.receive(late.as_bytes(), &names)),
        [("a".into(), Phase::Draining)],
        "the event is accepted once the bus repeats it without the missing one"
    );
    let complete = endpoint_list_line(9, true, &[("c", "Ready", 0.0)]);
    assert_eq!(listed_phases(history.receive(complete.as_bytes(), &names)), [("c".into(), Phase::In)]);
    assert_eq!(history.offset(), 9);
}
