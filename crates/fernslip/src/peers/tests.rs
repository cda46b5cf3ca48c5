use super::*;

#[test]
fn each_router_has_its_own_index_and_one_successor() {
    let numbers = [3u32, 7, 20, 21];
    let peers_of = |own: u32| {
        let mut peers = Peers::default();
        numbers
            .iter()
            .filter(|number| **number != own)
            .for_each(|number| peers.record_message(*number, true));
        peers
    };
    let indices: Vec<u32> =
        numbers.iter().map(|number| peers_of(*number).index_in_location(*number, 4)).collect();
    assert_eq!(indices, [0, 1, 2, 3]);
    let successors = |other: u32| {
        numbers
            .iter()
            .filter(|number| **number != other && peers_of(**number).is_successor_of(**number, other))
            .collect::<Vec<_>>()
    };
    assert_eq!([successors(3), successors(7), successors(20), successors(21)], [[&7], [&20], [&21], [&3]]);
}

#[test]
fn an_adopted_learning_time_keeps_growing() {
    let mut peers = Peers::default();
    peers.record_event(1_000.0);
    assert!(peers.adopt_learning_time(1_010.0, 9_000.0) && !peers.adopt_learning_time(1_020.0, 5_000.0));
    assert_eq!(peers.known_ms(2_010.0), 10_000.0);
}
