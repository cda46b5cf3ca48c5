use super::*;

#[test]
fn reasons_are_counted_under_their_kind() {
    let tally = Tally::default();
    tally.add(Kind::ClientClosed, "idle");
    tally.add(Kind::ClientClosed, "idle");
    tally.add(Kind::Retried, "severed");
    assert_eq!(tally.lines(), "relay.client_closed.idle=2\nrelay.retried.severed=1\n");
    assert_eq!(figure("no time or attempts left"), "no_time_or_attempts_left");
}
