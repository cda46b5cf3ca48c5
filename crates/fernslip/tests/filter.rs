//! The filter as a data structure.

use fernslip::filter::*;

#[test]
fn adds_once_and_removes_only_what_shows() {
    let mut f = Filter::new(1024, 4);
    let (a, b) = (hash(&[1, 2]), hash(&[3, 4]));
    assert!(!f.contains(a));
    assert_eq!(f.add(a).len(), f.positions(a).len());
    assert!(f.add(a).is_empty(), "a second add changes nothing");
    assert!(f.remove(b).is_empty(), "what does not show is not removed");
    assert!(f.contains(a));
    f.remove(a);
    assert!(!f.contains(a), "one removal undoes one addition");
}

#[test]
fn full_counters_stay_until_their_generation_goes() {
    let mut f = Filter::new(64, 4);
    let a = hash(&[9]);
    (0..40).for_each(|_| f.bump(a));
    assert_eq!(f.count(a), 15);
    (0..40).for_each(|_| drop(f.remove(a)));
    assert_eq!(f.count(a), 15, "a full counter has lost count");
    f.rotate();
    assert!(f.contains(a), "the older generation still shows it");
    f.rotate();
    assert!(!f.contains(a));
}

#[test]
fn a_hit_readds_into_the_current_generation() {
    let mut f = Filter::new(1024, 4);
    let a = hash(&[5]);
    f.add(a);
    f.rotate();
    assert!(!f.add(a).is_empty());
    f.rotate();
    assert!(f.contains(a));
}

#[test]
fn code_round_trips_in_pieces_within_the_limit() {
    let mut changes: Vec<Change> =
        (0..900u32).map(|n| Change { at: n.wrapping_mul(2_654_435_761) % 16384, up: n % 3 != 0 }).collect();
    let pieces = encode(&changes, 246);
    assert!(pieces.len() > 1 && pieces.iter().all(|p| p.len() <= 246));
    let mut back: Vec<Change> = pieces.iter().flat_map(|p| decode(p, 16384)).collect();
    changes.sort();
    back.sort();
    assert_eq!(changes, back);
}

#[test]
fn corrupt_code_never_leaves_the_filter() {
    let mut x = 1u64;
    for len in 0..300usize {
        let data: Vec<u8> = (0..len)
            .map(|_| {
                x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (x >> 33) as u8
            })
            .collect();
        assert!(decode(&data, 512).iter().all(|c| c.at < 512));
    }
    assert!(decode(&[0xff; 40], 512).is_empty(), "a run without end is dropped");
    let mut f = Filter::new(16, 4);
    f.apply(&[Change { at: 4000, up: true }]);
}
