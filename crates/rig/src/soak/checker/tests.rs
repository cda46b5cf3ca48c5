use super::*;

fn new_checker() -> RuleChecker {
    RuleChecker::new(GracePeriods {
        drain: Duration::from_millis(500),
        purge: Duration::from_secs(1),
        purge_done: Duration::from_secs(6),
    })
}

fn request_sent_ago(ago_ms: u64, effect: ExecutionSemantics) -> ClientRequest {
    let sent_at = Instant::now() - Duration::from_millis(ago_ms);
    ClientRequest { front: 1, effect, object: 7, sent_at, patience: Duration::from_millis(3000) }
}

fn broken_rules(checker: &RuleChecker) -> Vec<Rule> {
    checker.verdict().breaches.into_keys().collect()
}

fn instant_ago(ms: u64) -> Instant {
    Instant::now() - Duration::from_millis(ms)
}

/// Returns an attempt of the request with trace id 1 at a node; each node has its own connection.
fn attempt_at_node(node: usize) -> Attempt {
    Attempt { node, connection: node as u64 - 4, trace: 1 }
}

#[test]
fn a_request_that_follows_every_rule_causes_no_breach() {
    let checker = new_checker();
    checker.on_request_sent(1, request_sent_ago(0, ExecutionSemantics::Once));
    checker.on_object_purged(1, 7, instant_ago(3000), Some(instant_ago(2600)));
    assert!(checker.on_attempt_arrived(attempt_at_node(4), "limit=2900,via=o,fresh=2500", true).is_some());
    checker.on_request_executed(4, 1);
    checker.on_attempt_ended(attempt_at_node(4));
    checker.on_request_answered(1);
    checker.check_unanswered_requests();
    assert_eq!(broken_rules(&checker), []);
}

/// Each rule must report a breach, and must report none for an attempt within the limits of the rule.
#[test]
fn each_rule_for_arriving_attempts_is_checked() {
    let found = |fields: &str, prepare: &dyn Fn(&RuleChecker)| {
        let checker = new_checker();
        checker.on_request_sent(1, request_sent_ago(1000, ExecutionSemantics::Once));
        prepare(&checker);
        checker.on_attempt_arrived(attempt_at_node(4), fields, true);
        broken_rules(&checker)
    };
    assert_eq!(found("limit=2500", &|_| {}), [Rule::Limit]);
    assert_eq!(found("limit=900", &|checker| checker.on_drain_known(1, 4, instant_ago(800))), [Rule::Drain]);
    assert_eq!(found("limit=900", &|checker| checker.on_drain_known(1, 4, instant_ago(300))), []);
    assert_eq!(
        found("limit=900", &|checker| checker.on_drain_known(2, 4, instant_ago(800))),
        [],
        "a drain that only front 2 knows of does not bind front 1"
    );
    for fields in ["via=o", "via=o,fresh=2900"] {
        assert_eq!(
            found(fields, &|checker| checker.on_object_purged(
                1,
                7,
                instant_ago(2000),
                Some(instant_ago(1600))
            )),
            [Rule::Purge]
        );
    }
    assert_eq!(
        found("via=o", &|checker| checker.on_object_purged(1, 7, instant_ago(2000), Some(instant_ago(500)))),
        [],
        "the grace period of the purge has not passed"
    );
}

#[tokio::test]
async fn concurrent_attempts_and_a_repeated_execution_are_breaches() {
    let checker = new_checker();
    checker.on_request_sent(1, request_sent_ago(0, ExecutionSemantics::Once));
    checker.on_attempt_arrived(attempt_at_node(4), "", true);
    checker.on_request_executed(4, 1);
    checker.on_attempt_arrived(attempt_at_node(5), "", true);
    checker.check_concurrent_attempts(attempt_at_node(5)).await;
    assert_eq!(broken_rules(&checker), [Rule::TwoOut]);
    checker.on_request_executed(5, 1);
    assert_eq!(broken_rules(&checker), [Rule::TwoOut, Rule::RanAgain]);
    let checker = new_checker();
    checker.on_request_sent(1, request_sent_ago(0, ExecutionSemantics::Idempotent));
    checker.on_attempt_arrived(attempt_at_node(4), "", true);
    checker.on_attempt_arrived(attempt_at_node(5), "", true);
    checker.on_attempt_ended(attempt_at_node(4));
    checker.check_concurrent_attempts(attempt_at_node(5)).await;
    assert_eq!(broken_rules(&checker), [], "the first attempt ended before the second was checked");
}

#[test]
fn late_answers_missing_answers_and_attempts_for_absent_clients_are_breaches() {
    let checker = new_checker();
    checker.on_request_sent(1, request_sent_ago(4000, ExecutionSemantics::Idempotent));
    checker.on_request_answered(1);
    assert_eq!(broken_rules(&checker), [Rule::Lost]);
    let checker = new_checker();
    checker.on_request_sent(1, request_sent_ago(4500, ExecutionSemantics::Idempotent));
    checker.check_unanswered_requests();
    assert_eq!(broken_rules(&checker), [Rule::Lost]);
    let checker = new_checker();
    checker.on_request_sent(1, request_sent_ago(0, ExecutionSemantics::Idempotent));
    checker.on_request_abandoned(1);
    std::thread::sleep(Duration::from_millis(200));
    checker.on_attempt_arrived(attempt_at_node(4), "", true);
    assert_eq!(broken_rules(&checker), [Rule::Nobody]);
}
