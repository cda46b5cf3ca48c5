//! Unit tests of the discovery watch's history.

use super::*;

fn names() -> Names {
    let text = include_str!("../../../../../examples/config.json");
    let config: Value = serde_json::from_str(text).expect("the example");
    fernslip::json::settings(&config["settings"]).expect("its settings").1
}

fn list(offset: u64, full: bool, servers: &[(&str, &str, f64)]) -> String {
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

/// The phase of each node after an event, by id.
fn phases(line: Result<Line, Reason>) -> Vec<(String, Phase)> {
    match line {
        Ok(Line::Event(_, WatchEvent::EndpointList { nodes, .. })) => {
            nodes.into_iter().map(|n| (n.entry.cache.0.to_string(), n.entry.phase)).collect()
        }
        other => panic!("no list: {other:?}"),
    }
}

#[test]
fn events_apply_once_and_in_order_and_a_gap_is_reported() {
    let (names, mut history) = (names(), History::new(1));
    assert!(matches!(history.receive(b"1", &names), Ok(Line::NothingNew)));
    let drain = list(2, false, &[("a", "Terminating", 0.0)]);
    assert_eq!(phases(history.receive(drain.as_bytes(), &names)), [("a".into(), Phase::Draining)]);
    assert!(matches!(history.receive(drain.as_bytes(), &names), Ok(Line::NothingNew)), "known already");
    assert!(matches!(history.receive(b" \t", &names), Ok(Line::NothingNew)));
    assert!(matches!(history.receive(b"4", &names), Err(Reason::Gap)));
    assert!(matches!(history.receive(b"{\"offset\":3,\"ban\":{}}", &names), Ok(Line::Unreadable(3, _))));
    for bad in [&b"no JSON"[..], b"{}", b"-1", b"[3]"] {
        assert!(matches!(history.receive(bad, &names), Err(Reason::Malformed)), "{bad:?}");
    }
    assert_eq!(history.offset(), 3);
}

/// A bus that lost its numbering goes on below this front's offset: every event was skipped as known.
#[test]
fn a_renumbered_bus_is_asked_to_replay_everything() {
    let (names, mut history) = (names(), History::new(0));
    for l in [
        list(1, true, &[("a", "Ready", 0.0), ("b", "Ready", 0.0), ("c", "Ready", 0.0)]),
        list(2, false, &[("a", "Terminating", 0.0)]),
        list(3, false, &[("b", "Gone", 0.0)]),
    ] {
        assert!(matches!(history.receive(l.as_bytes(), &names), Ok(Line::Event(..))));
    }
    assert!(matches!(history.receive(b"2", &names), Ok(Line::NothingNew)), "written just before the event");
    assert!(matches!(history.receive(b"3", &names), Ok(Line::NothingNew)));
    assert!(matches!(history.receive(b"2", &names), Ok(Line::NothingNew)));
    assert!(matches!(history.receive(b"2", &names), Err(Reason::Renumbered)));
    assert_eq!(history.offset(), 0, "everything is requested");
    // The drain of `a` is among what was lost; `b` came back as another process, and `d` is new.
    let l = list(1, true, &[("a", "Ready", 0.0), ("b", "Ready", 900.0), ("d", "Ready", 0.0)]);
    assert!(
        matches!(history.receive(l.as_bytes(), &names), Ok(Line::NothingNew)),
        "not before the replay is complete"
    );
    let l = list(2, false, &[("d", "Gone", 0.0)]);
    assert!(matches!(history.receive(l.as_bytes(), &names), Ok(Line::NothingNew)));
    let got = phases(history.receive(b"2", &names));
    assert_eq!(got, [("a".to_string(), Phase::Draining), ("b".to_string(), Phase::In)]);
    // From then on events apply as usual; the event that `a` is ready is later than all that was known.
    let l = list(3, false, &[("a", "Ready", 0.0)]);
    assert_eq!(phases(history.receive(l.as_bytes(), &names)), [("a".into(), Phase::In)]);
}

#[test]
fn a_renumbered_bus_without_a_complete_list_removes_no_node() {
    let (names, mut history) = (names(), History::new(7));
    assert!(matches!(history.receive(b"0", &names), Ok(Line::NothingNew)));
    assert!(matches!(history.receive(b"0", &names), Err(Reason::Renumbered)));
    assert!(matches!(history.receive(b"0", &names), Ok(Line::NothingNew)));
    let l = list(1, false, &[("a", "Terminating", 0.0)]);
    assert_eq!(phases(history.receive(l.as_bytes(), &names)), [("a".into(), Phase::Draining)]);
}

/// An event between two others never came: it is requested, and a bus without it goes on. A complete list replaces all.
#[test]
fn a_missing_event_is_requested_once() {
    let (names, mut history) = (names(), History::new(1));
    let late = list(4, false, &[("a", "Terminating", 0.0)]);
    assert!(matches!(history.receive(late.as_bytes(), &names), Err(Reason::Gap)));
    assert_eq!(history.offset(), 1, "what is missing is requested");
    let missing = list(2, false, &[("b", "Terminating", 0.0)]);
    assert_eq!(phases(history.receive(missing.as_bytes(), &names)), [("b".into(), Phase::Draining)]);
    assert!(matches!(history.receive(late.as_bytes(), &names), Err(Reason::Gap)), "another gap");
    assert_eq!(
        phases(history.receive(late.as_bytes(), &names)),
        [("a".into(), Phase::Draining)],
        "there is none"
    );
    let complete = list(9, true, &[("c", "Ready", 0.0)]);
    assert_eq!(phases(history.receive(complete.as_bytes(), &names)), [("c".into(), Phase::In)]);
    assert_eq!(history.offset(), 9);
}
