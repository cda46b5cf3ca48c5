//! Unit tests of encoding and decoding checkpoints.

use super::*;
use fernslip::Entry;
use serde_json::json;

const POSITION: WatchPosition = WatchPosition { generation: 1, offset: 41 };

fn names() -> Names {
    let list = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    Names {
        zones: list(&["north", "edge-1"]),
        kinds: list(&["standard", "parent"]),
        classes: list(&["docs"]),
        reports: Vec::new(),
    }
}

fn identity() -> CheckpointIdentity {
    CheckpointIdentity::new("00c0ffee", 7, Some(&json!({"offset": 1})))
}

fn listed_node(id: &str, phase: Phase) -> ListedNode {
    let cache = CacheId::from(id);
    let entry = Entry {
        cache,
        weight: 4.0,
        zone: Some(1),
        kind: Some(0),
        cell: 2,
        started_ms: 1_764_576_000_123.0,
        phase,
    };
    ListedNode { entry, addr: Some(([127, 0, 0, 1], 4100).into()) }
}

fn encoded() -> Vec<u8> {
    let nodes = [
        listed_node("in", Phase::In),
        ListedNode { addr: None, ..listed_node("draining \"2\"", Phase::Draining) },
        listed_node("out", Phase::Out),
    ];
    let nodes = EncodedNodes::new(&nodes, &names()).expect("nodes can be written as JSON");
    let purge = |object, group| CheckpointPurge { position: POSITION, object, group, age_ms: 250.5 };
    let purges = [purge(Some(ObjectId(0x7f3a_9c21_e0b4_d655)), 0), purge(None, 17)];
    let ages = BTreeMap::from([(CacheId::from("in"), 1500.0)]);
    let first_lines =
        encode(&identity(), POSITION, &nodes, &ages, &purges).expect("a checkpoint can be written as JSON");
    [first_lines.as_bytes(), nodes.as_bytes()].concat()
}

/// A checkpoint whose second and third line are changed, with their length and checksum.
fn with_lines(change: impl Fn(&mut [Value; 2])) -> Vec<u8> {
    let text = String::from_utf8(encoded()).expect("a checkpoint is text");
    let lines: Vec<&str> = text.lines().collect();
    let mut values = [1, 2].map(|line| serde_json::from_str(lines[line]).expect("the line is JSON"));
    change(&mut values);
    let content = format!("{}\n{}", values[0], values[1]);
    let checksum = crc32c::crc32c(content.as_bytes());
    format!("{FORMAT_NAME} {FORMAT_VERSION} {} {checksum:08x}\n{content}", content.len()).into_bytes()
}

fn refusal(bytes: &[u8]) -> String {
    decode(bytes, &identity(), &names()).expect_err("the checkpoint is refused").to_string()
}

#[test]
fn a_checkpoint_is_read_as_it_was_written() {
    let checkpoint = decode(&encoded(), &identity(), &names()).expect("the checkpoint is valid");
    assert_eq!(checkpoint.position, POSITION);
    let nodes = checkpoint.nodes.iter().map(|node| {
        let Entry { cache, weight, zone, kind, cell, started_ms, phase } = node.entry.clone();
        (cache.0.to_string(), weight, zone, kind, cell, started_ms, phase, node.addr)
    });
    let addr = Some(([127, 0, 0, 1], 4100).into());
    let row = |id: &str, phase, addr| (id.into(), 4.0, Some(1), Some(0), 2, 1_764_576_000_123.0, phase, addr);
    let written = [
        row("in", Phase::In, addr),
        row("draining \"2\"", Phase::Draining, None),
        row("out", Phase::Out, addr),
    ];
    assert_eq!(nodes.collect::<Vec<_>>(), written);
    assert_eq!(checkpoint.start_ages_ms, BTreeMap::from([(CacheId::from("in"), 1500.0)]));
    let purges: Vec<_> =
        checkpoint.purges.iter().map(|p| (p.position, p.object, p.group, p.age_ms)).collect();
    let object = Some(ObjectId(0x7f3a_9c21_e0b4_d655));
    assert_eq!(purges, [(POSITION, object, 0, 250.5), (POSITION, None, 17, 250.5)]);
}

/// A process that was killed while it wrote, or a faulty disk, leaves a part of a checkpoint or other bytes.
#[test]
fn a_checkpoint_that_is_cut_or_changed_at_any_byte_is_refused() {
    let bytes = encoded();
    for length in 0..bytes.len() {
        refusal(&bytes[..length]);
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x15;
        refusal(&changed);
    }
    refusal(&[&bytes[..], b"\n"].concat());
}

#[test]
fn a_refused_checkpoint_names_the_reason() {
    let text = String::from_utf8(encoded()).expect("a checkpoint is text");
    assert_eq!(refusal(b"fernslip excluded 1\n"), "line 1 is not `fernslip watch VERSION LENGTH CHECKSUM`");
    let later = text.replacen("watch 1 ", "watch 2 ", 1);
    assert_eq!(refusal(later.as_bytes()), "line 1: format version 2; this release reads version 1");
    let bad_purge = json!([{"generation": 0, "offset": 1, "url": "x", "tag": 0, "age_ms": 1}]);
    let rows: [(usize, &str, Value, &str); 5] = [
        (0, "deployment", "1".into(), "it belongs to another front or deployment"),
        (0, "numbering", "1".into(), "it belongs to another start of the front, with a numbering of its own"),
        (0, "purges", bad_purge, "line 2: purges[0]: url is missing or not 16 hex digits"),
        (0, "offset", json!(-1), "line 2: invalid value: integer `-1`, expected u64"),
        (1, "servers", json!([{"id": "a"}]), "line 3: state is missing or not a string"),
    ];
    for (line, key, value, reason) in rows {
        let refused = refusal(&with_lines(|lines| lines[line][key] = value.clone()));
        assert!(refused.starts_with(reason), "{key}: {refused}");
    }
}

/// The next release may add keys to each object; this one has to read its checkpoints.
#[test]
fn keys_of_a_later_release_are_ignored() {
    let bytes = with_lines(|[state, list]| {
        state["later"] = json!({"a": [1]});
        state["purges"][0]["later"] = json!(null);
        list["later"] = json!("x");
        list["servers"][0]["later"] = json!(1);
    });
    let checkpoint = decode(&bytes, &identity(), &names()).expect("the checkpoint is valid");
    assert_eq!((checkpoint.nodes.len(), checkpoint.purges.len()), (3, 2));
}

/// The seed is new with each start of the front, and the first event lists the nodes of that start.
#[test]
fn another_seed_or_first_event_is_another_event_stream() {
    let (first, other) = (json!({"offset": 1}), json!({"offset": 1, "x": 2}));
    let same = CheckpointIdentity::new("d", 7, Some(&first));
    assert_eq!(same, CheckpointIdentity::new("d", 7, Some(&first)));
    for different in [
        CheckpointIdentity::new("d", 8, Some(&first)),
        CheckpointIdentity::new("d", 7, Some(&other)),
        CheckpointIdentity::new("d", 7, None),
    ] {
        assert_ne!(same, different);
    }
}
