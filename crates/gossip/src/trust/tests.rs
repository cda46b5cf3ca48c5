use super::*;

#[test]
fn trust_decays_and_disagreements_outweigh_agreements() {
    let (mut table, peer) = (TrustTable::default(), FrontId(1));
    assert_eq!(table.trust(peer, 0.0), 0.5);
    for _ in 0..10 {
        table.record_comparison(peer, true, 0.0);
    }
    assert!(table.trust(peer, 0.0) > 0.9);
    for _ in 0..10 {
        table.record_comparison(peer, false, 0.0);
    }
    assert!(
        table.trust(peer, 0.0) < 0.4,
        "a peer that is wrong as often as right has less trust than an unknown one"
    );
    assert!((table.trust(peer, 20.0 * TRUST_HALF_LIFE_MS) - 0.5).abs() < 0.01);
}
