use super::*;

#[test]
fn counts_stand_under_their_class_and_current_follows_what_is_open() {
    let f = Metrics::new(vec!["docs".into(), "pay".into()]);
    f.taken();
    f.taken();
    f.ended(Some(1), Some(Outcome::Answered));
    f.count(Some(0), Outcome::Deferred);
    f.sent(1);
    f.count(None, Outcome::Errored);
    let lines = f.lines(7, 2);
    for want in [
        "relay.transactions.pay.answered=1",
        "relay.transactions.docs.deferred=1",
        "relay.transactions.docs.errored=0",
        "relay.transactions.pay.sends=1",
        "relay.current=1",
        "relay.cluster_size=7",
        "relay.cluster_unhealthy=2",
    ] {
        assert!(lines.lines().any(|l| l == want), "{want} in {lines}");
    }
}
