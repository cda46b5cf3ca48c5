use super::*;

#[test]
fn what_is_told_is_read_to_a_few_parts_in_a_hundred() {
    let width = Width { carries: 7.3, full: true };
    let proven = Width { carries: 0.0, full: false };
    let m = Seen { tag: [1, 2, 3], width, proven, pace: 1.4, quick: 0.9, bad: 0.02 };
    let w = Welcome { known_ms: 12_000.0, fills: f64::INFINITY, machines: vec![m; 40] };
    let data = w.encode(4, 256);
    assert!(data.len() <= 256);
    let (zone, read) = Welcome::read(&data).expect("it");
    assert_eq!((zone, read.machines.len(), read.fills), (4, 27, f64::INFINITY));
    let r = read.machines[26];
    assert_eq!((r.tag, r.width.full, r.proven), ([1, 2, 3], true, proven));
    for (is, was) in
        [(r.width.carries, 7.3), (r.pace, 1.4), (r.quick, 0.9), (r.bad, 0.02), (read.known_ms, 12e3)]
    {
        assert!((is / was - 1.0).abs() < 0.03, "{is} {was}");
    }
}

#[test]
fn cut_or_odd_bytes_are_none_and_earlier_programs_take_it_for_none() {
    let w = Welcome { known_ms: 1.0, fills: 3.0, machines: Vec::new() };
    let data = w.encode(4, 256);
    assert!(Welcome::read(&data).is_some());
    assert_eq!(Welcome::read(&data[..4]), None);
    assert_eq!(Welcome::read(&[&data[..], &[1]].concat()), None);
    assert_eq!(crate::message::read(&data, 16384), None, "their version is 2");
}
