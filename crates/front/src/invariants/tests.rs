use super::*;

#[test]
fn a_violation_is_counted_under_its_name_alone() {
    let all = Invariants::default();
    assert!(all.check(Invariant::OneAttempt, true, || "unused"));
    assert!(!all.check(Invariant::OneAttempt, false, || "request 1"));
    assert!(!all.check(Invariant::EndSettled, false, || "2 calls"));
    assert_eq!((all.violations(Invariant::OneAttempt), all.violations(Invariant::RepeatAllowed)), (1, 0));
    let lines = all.lines();
    assert_eq!(lines.lines().count(), ALL.len());
    assert!(lines.contains("relay.violations.one_attempt=1\n"), "{lines}");
}

#[test]
fn every_rule_has_a_counter_of_its_own() {
    for (n, rule) in ALL.into_iter().enumerate() {
        assert_eq!(rule as usize, n, "{}", rule.name());
    }
}

#[test]
fn a_front_that_is_not_prepared_may_not_serve() {
    let all = Invariants::default();
    assert!(!Startup { signals_caught: true, ..Startup::default() }.may_serve(&all));
    assert!(Startup { signals_caught: true, exclusions_restored: true }.may_serve(&all));
    assert_eq!(all.violations(Invariant::StartPrepared), 1);
}
