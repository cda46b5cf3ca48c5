use super::*;

#[test]
fn each_router_has_an_index_of_its_own_and_one_comes_next() {
    let numbers = [3u32, 7, 20, 21];
    let of = |own: u32| {
        let mut m = Peers::default();
        numbers.iter().filter(|n| **n != own).for_each(|n| m.record_message(*n, true));
        m
    };
    let indices: Vec<u32> = numbers.iter().map(|n| of(*n).index(*n, 4)).collect();
    assert_eq!(indices, [0, 1, 2, 3]);
    let next = |other: u32| {
        numbers.iter().filter(|n| **n != other && of(**n).comes_after(**n, other)).collect::<Vec<_>>()
    };
    assert_eq!([next(3), next(7), next(20), next(21)], [[&7], [&20], [&21], [&3]]);
}

#[test]
fn adopted_knowledge_counts_from_then_on() {
    let mut m = Peers::default();
    m.record_event(1_000.0);
    assert!(m.adopt(1_010.0, 9_000.0) && !m.adopt(1_020.0, 5_000.0));
    assert_eq!(m.known_ms(2_010.0), 10_000.0);
}
