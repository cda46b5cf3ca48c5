use super::*;

#[test]
fn a_violation_is_counted_only_for_its_own_rule() {
    let invariants = Invariants::default();
    assert!(invariants.check(Invariant::OneAttempt, true, || "unused"));
    assert!(!invariants.check(Invariant::OneAttempt, false, || "request 1"));
    assert!(!invariants.check(Invariant::EndSettled, false, || "2 calls"));
    assert_eq!(
        (invariants.violations(Invariant::OneAttempt), invariants.violations(Invariant::RepeatAllowed)),
        (1, 0)
    );
    let lines = invariants.metric_lines();
    assert_eq!(lines.lines().count(), ALL_INVARIANTS.len());
    assert!(lines.contains("relay.violations.one_attempt=1\n"), "the metrics count the violation: {lines}");
}

#[test]
fn every_rule_has_its_own_counter() {
    for (n, rule) in ALL_INVARIANTS.into_iter().enumerate() {
        assert_eq!(rule as usize, n, "the rule {} has its own counter", rule.name());
    }
}

#[test]
fn a_front_may_not_serve_before_all_startup_steps_are_done() {
    let invariants = Invariants::default();
    assert!(!Startup { signals_caught: true, ..Startup::default() }.may_serve(&invariants));
    assert!(Startup { signals_caught: true, exclusions_restored: true }.may_serve(&invariants));
    assert_eq!(invariants.violations(Invariant::StartPrepared), 1);
}
