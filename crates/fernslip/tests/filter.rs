//! The counting Bloom filter as a data structure, and the encoding of its changes.

use fernslip::filter::*;

#[test]
fn a_key_is_added_once_and_only_a_contained_key_is_removed() {
    let mut f = Filter::new(1024, 4);
    let (a, b) = (hash_key(&[1, 2]), hash_key(&[3, 4]));
    assert!(!f.contains(a));
    assert_eq!(f.add(a).len(), f.positions(a).len());
    assert!(f.add(a).is_empty(), "a second addition changes no counter");
    assert!(f.remove(b).is_empty(), "removing a key that is not contained changes no counter");
    assert!(f.contains(a));
    f.remove(a);
    assert!(!f.contains(a), "a removal undoes the addition");
}

#[test]
fn saturated_counters_stay_until_their_generation_is_dropped() {
    let mut f = Filter::new(64, 4);
    let a = hash_key(&[9]);
    (0..40).for_each(|_| f.increment(a));
    assert_eq!(f.estimate_count(a), 15);
    (0..40).for_each(|_| drop(f.remove(a)));
    assert_eq!(f.estimate_count(a), 15, "a saturated counter is not decremented");
    f.rotate();
    assert!(f.contains(a), "the previous generation still contains the key");
    f.rotate();
    assert!(!f.contains(a));
}

#[test]
fn a_key_of_the_previous_generation_is_added_to_the_current_one_again() {
    let mut f = Filter::new(1024, 4);
    let a = hash_key(&[5]);
    f.add(a);
    f.rotate();
    assert!(!f.add(a).is_empty());
    f.rotate();
    assert!(f.contains(a));
}

#[test]
fn encoded_changes_round_trip_in_pieces_within_the_size_limit() {
    let mut changes: Vec<CounterChange> = (0..900u32)
        .map(|n| CounterChange { at: n.wrapping_mul(2_654_435_761) % 16384, up: n % 3 != 0 })
        .collect();
    let pieces = encode_changes(&changes, 246);
    assert!(pieces.len() > 1 && pieces.iter().all(|p| p.len() <= 246));
    let mut back: Vec<CounterChange> = pieces.iter().flat_map(|p| decode_changes(p, 16384)).collect();
    changes.sort();
    back.sort();
    assert_eq!(changes, back);
}

#[test]
fn corrupt_data_decodes_to_no_position_outside_the_filter() {
    let mut x = 1u64;
    for len in 0..300usize {
        let data: Vec<u8> = (0..len)
            .map(|_| {
                x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (x >> 33) as u8
            })
            .collect();
        assert!(decode_changes(&data, 512).iter().all(|c| c.at < 512));
    }
    assert!(
        decode_changes(&[0xff; 40], 512).is_empty(),
        "a run length without a last byte decodes to no changes"
    );
    let mut f = Filter::new(16, 4);
    f.apply(&[CounterChange { at: 4000, up: true }]);
}
