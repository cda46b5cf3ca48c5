use super::*;

#[test]
fn records_decay_and_disagreements_count_more() {
    let (mut table, peer) = (TrustTable::default(), FrontId(1));
    assert_eq!(table.trust(peer, 0.0), 0.5);
    for _ in 0..10 {
        table.record(peer, true, 0.0);
    }
    assert!(table.trust(peer, 0.0) > 0.9);
    for _ in 0..10 {
        table.record(peer, false, 0.0);
    }
    assert!(table.trust(peer, 0.0) < 0.4, "as often wrong as right is worse than a stranger");
    assert!((table.trust(peer, 20.0 * HALF_LIFE_MS) - 0.5).abs() < 0.01);
}
