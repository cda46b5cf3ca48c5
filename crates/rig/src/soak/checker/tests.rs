use super::*;

fn checker() -> RuleChecker {
    RuleChecker::new(Graces {
        drain: Duration::from_millis(500),
        purge: Duration::from_secs(1),
        purge_done: Duration::from_secs(6),
    })
}

fn request(ago_ms: u64, effect: Effect) -> ClientRequest {
    let sent_at = Instant::now() - Duration::from_millis(ago_ms);
    ClientRequest { front: 1, effect, object: 7, sent_at, patience: Duration::from_millis(3000) }
}

fn rules(checker: &RuleChecker) -> Vec<Rule> {
    checker.verdict().breaches.into_keys().collect()
}

fn ago(ms: u64) -> Instant {
    Instant::now() - Duration::from_millis(ms)
}

/// An attempt of request 1 at a node, each on a connection of its own.
fn attempt(node: usize) -> Attempt {
    Attempt { node, connection: node as u64 - 4, trace: 1 }
}

#[test]
fn a_request_that_keeps_every_rule_is_no_breach() {
    let c = checker();
    c.request_sent(1, request(0, Effect::Once));
    c.object_purged(1, 7, ago(3000), Some(ago(2600)));
    assert!(c.attempt_arrived(attempt(4), "limit=2900,via=o,fresh=2500", true).is_some());
    c.request_executed(4, 1);
    c.attempt_ended(attempt(4));
    c.request_answered(1);
    c.sweep();
    assert_eq!(rules(&c), []);
}

/// Each rule is broken by what breaks it, and by nothing less.
#[test]
fn each_rule_about_an_arriving_attempt_is_checked() {
    let found = |fields: &str, prepare: &dyn Fn(&RuleChecker)| {
        let c = checker();
        c.request_sent(1, request(1000, Effect::Once));
        prepare(&c);
        c.attempt_arrived(attempt(4), fields, true);
        rules(&c)
    };
    assert_eq!(found("limit=2500", &|_| {}), [Rule::Limit]);
    assert_eq!(found("limit=900", &|c| c.drain_known(1, 4, ago(800))), [Rule::Drain]);
    assert_eq!(found("limit=900", &|c| c.drain_known(1, 4, ago(300))), []);
    assert_eq!(found("limit=900", &|c| c.drain_known(2, 4, ago(800))), [], "another front");
    for fields in ["via=o", "via=o,fresh=2900"] {
        assert_eq!(found(fields, &|c| c.object_purged(1, 7, ago(2000), Some(ago(1600)))), [Rule::Purge]);
    }
    assert_eq!(found("via=o", &|c| c.object_purged(1, 7, ago(2000), Some(ago(500)))), [], "within its grace");
}

#[tokio::test]
async fn two_attempts_at_once_and_a_second_execution_are_breaches() {
    let c = checker();
    c.request_sent(1, request(0, Effect::Once));
    c.attempt_arrived(attempt(4), "", true);
    c.request_executed(4, 1);
    c.attempt_arrived(attempt(5), "", true);
    c.check_concurrent_attempts(attempt(5)).await;
    assert_eq!(rules(&c), [Rule::TwoOut]);
    c.request_executed(5, 1);
    assert_eq!(rules(&c), [Rule::TwoOut, Rule::RanAgain]);
    let c = checker();
    c.request_sent(1, request(0, Effect::Idempotent));
    c.attempt_arrived(attempt(4), "", true);
    c.attempt_arrived(attempt(5), "", true);
    c.attempt_ended(attempt(4));
    c.check_concurrent_attempts(attempt(5)).await;
    assert_eq!(rules(&c), [], "cancelled in the same moment");
}

#[test]
fn late_and_missing_answers_and_attempts_for_no_client_are_breaches() {
    let c = checker();
    c.request_sent(1, request(4000, Effect::Idempotent));
    c.request_answered(1);
    assert_eq!(rules(&c), [Rule::Lost]);
    let c = checker();
    c.request_sent(1, request(4500, Effect::Idempotent));
    c.sweep();
    assert_eq!(rules(&c), [Rule::Lost]);
    let c = checker();
    c.request_sent(1, request(0, Effect::Idempotent));
    c.request_abandoned(1);
    std::thread::sleep(Duration::from_millis(200));
    c.attempt_arrived(attempt(4), "", true);
    assert_eq!(rules(&c), [Rule::Nobody]);
}
