use super::*;

#[test]
fn outcomes_are_counted_by_class_and_current_counts_open_requests() {
    let metrics = Metrics::new(vec!["docs".into(), "pay".into()]);
    metrics.request_accepted();
    metrics.request_accepted();
    metrics.request_ended(Some(1), Some(Outcome::Answered));
    metrics.count_outcome(Some(0), Outcome::Deferred);
    metrics.attempt_sent(1);
    metrics.count_outcome(None, Outcome::Errored);
    let lines = metrics.metric_lines(7, 2);
    for want in [
        "relay.transactions.pay.answered=1",
        "relay.transactions.docs.deferred=1",
        "relay.transactions.docs.errored=0",
        "relay.transactions.pay.sends=1",
        "relay.current=1",
        "relay.cluster_size=7",
        "relay.cluster_unhealthy=2",
    ] {
        assert!(lines.lines().any(|l| l == want), "the line `{want}` is missing in {lines}");
    }
}
