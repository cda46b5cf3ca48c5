use super::*;

#[test]
fn reasons_are_counted_by_kind_and_spelled_as_metric_names() {
    let reason_counts = ReasonCounts::default();
    reason_counts.add(EventKind::ClientClosed, "idle");
    reason_counts.add(EventKind::ClientClosed, "idle");
    reason_counts.add(EventKind::Retried, "severed");
    assert_eq!(reason_counts.metric_lines(), "relay.client_closed.idle=2\nrelay.retried.severed=1\n");
    assert_eq!(metric_name("no time or attempts left"), "no_time_or_attempts_left");
}
