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

/// What the machines are after an event, by id.
fn phases(line: Result<Line, Reason>) -> Vec<(String, Phase)> {
    match line {
        Ok(Line::Event(_, Event::List { servers, .. })) => {
            servers.into_iter().map(|(e, _)| (e.cache.0.to_string(), e.phase)).collect()
        }
        other => panic!("no list: {other:?}"),
    }
}

#[test]
fn events_come_once_and_in_order_and_a_gap_is_told() {
    let (names, mut h) = (names(), History::new(1));
    assert!(matches!(h.line(b"1", &names), Ok(Line::Nothing)));
    let drain = list(2, false, &[("a", "Terminating", 0.0)]);
    assert_eq!(phases(h.line(drain.as_bytes(), &names)), [("a".into(), Phase::Draining)]);
    assert!(matches!(h.line(drain.as_bytes(), &names), Ok(Line::Nothing)), "known already");
    assert!(matches!(h.line(b" \t", &names), Ok(Line::Nothing)));
    assert!(matches!(h.line(b"4", &names), Err(Reason::Gap)));
    assert!(matches!(h.line(b"{\"offset\":3,\"ban\":{}}", &names), Ok(Line::Unread(3, _))));
    for bad in [&b"no JSON"[..], b"{}", b"-1", b"[3]"] {
        assert!(matches!(h.line(bad, &names), Err(Reason::Malformed)), "{bad:?}");
    }
    assert_eq!(h.offset(), 3);
}

/// A bus that has lost its numbers goes on below what this front has had: every event was passed over as known.
#[test]
fn a_bus_that_begins_anew_is_asked_for_everything() {
    let (names, mut h) = (names(), History::new(0));
    for l in [
        list(1, true, &[("a", "Ready", 0.0), ("b", "Ready", 0.0), ("c", "Ready", 0.0)]),
        list(2, false, &[("a", "Terminating", 0.0)]),
        list(3, false, &[("b", "Gone", 0.0)]),
    ] {
        assert!(matches!(h.line(l.as_bytes(), &names), Ok(Line::Event(..))));
    }
    assert!(matches!(h.line(b"2", &names), Ok(Line::Nothing)), "written just before the event");
    assert!(matches!(h.line(b"3", &names), Ok(Line::Nothing)));
    assert!(matches!(h.line(b"2", &names), Ok(Line::Nothing)));
    assert!(matches!(h.line(b"2", &names), Err(Reason::Renumbered)));
    assert_eq!(h.offset(), 0, "all of it is asked for");
    // The drain of `a` is among what was lost; `b` came back as another process, and `d` is new.
    let l = list(1, true, &[("a", "Ready", 0.0), ("b", "Ready", 900.0), ("d", "Ready", 0.0)]);
    assert!(matches!(h.line(l.as_bytes(), &names), Ok(Line::Nothing)), "not before the whole is there");
    let l = list(2, false, &[("d", "Gone", 0.0)]);
    assert!(matches!(h.line(l.as_bytes(), &names), Ok(Line::Nothing)));
    let got = phases(h.line(b"2", &names));
    assert_eq!(got, [("a".to_string(), Phase::Draining), ("b".to_string(), Phase::In)]);
    // From then on it goes on as ever; the word that `a` is ready comes after all that was known.
    let l = list(3, false, &[("a", "Ready", 0.0)]);
    assert_eq!(phases(h.line(l.as_bytes(), &names)), [("a".into(), Phase::In)]);
}

#[test]
fn a_bus_that_begins_anew_without_a_list_takes_nothing_away() {
    let (names, mut h) = (names(), History::new(7));
    assert!(matches!(h.line(b"0", &names), Ok(Line::Nothing)));
    assert!(matches!(h.line(b"0", &names), Err(Reason::Renumbered)));
    assert!(matches!(h.line(b"0", &names), Ok(Line::Nothing)));
    let l = list(1, false, &[("a", "Terminating", 0.0)]);
    assert_eq!(phases(h.line(l.as_bytes(), &names)), [("a".into(), Phase::Draining)]);
}

/// An event between two others never came: it is asked for, and a bus that has none goes on. A whole list stands for all.
#[test]
fn an_event_that_is_missing_between_two_is_asked_for_once() {
    let (names, mut h) = (names(), History::new(1));
    let late = list(4, false, &[("a", "Terminating", 0.0)]);
    assert!(matches!(h.line(late.as_bytes(), &names), Err(Reason::Gap)));
    assert_eq!(h.offset(), 1, "what is missing is asked for");
    let missing = list(2, false, &[("b", "Terminating", 0.0)]);
    assert_eq!(phases(h.line(missing.as_bytes(), &names)), [("b".into(), Phase::Draining)]);
    assert!(matches!(h.line(late.as_bytes(), &names), Err(Reason::Gap)), "another gap");
    assert_eq!(phases(h.line(late.as_bytes(), &names)), [("a".into(), Phase::Draining)], "there is none");
    let whole = list(9, true, &[("c", "Ready", 0.0)]);
    assert_eq!(phases(h.line(whole.as_bytes(), &names)), [("c".into(), Phase::In)]);
    assert_eq!(h.offset(), 9);
}
