use super::*;

fn judge() -> Judge {
    Judge::new(Duration::from_millis(500), Duration::from_secs(1), Duration::from_secs(6))
}

fn asked(ago_ms: u64, effect: Effect) -> Asked {
    let at = Instant::now() - Duration::from_millis(ago_ms);
    Asked { front: 1, effect, object: 7, at, patience: Duration::from_millis(3000) }
}

fn rules(judge: &Judge) -> Vec<Rule> {
    judge.verdict().0.into_keys().collect()
}

fn ago(ms: u64) -> Instant {
    Instant::now() - Duration::from_millis(ms)
}

#[test]
fn what_is_in_order_is_no_breach() {
    let j = judge();
    j.asked(1, asked(0, Effect::Once));
    j.purged(1, 7, ago(3000), Some(ago(2600)));
    assert!(j.arrives(4, 0, 1, "limit=2900,via=o,fresh=2500", true).is_some());
    j.runs(4, 1);
    j.leaves(4, 0, 1);
    j.answered(1);
    j.sweep();
    assert_eq!(rules(&j), []);
}

/// Each rule is seen to be broken by what breaks it, and by nothing less.
#[test]
fn each_broken_rule_is_seen() {
    let told = |fields: &str, prepare: &dyn Fn(&Judge)| {
        let j = judge();
        j.asked(1, asked(1000, Effect::Once));
        prepare(&j);
        j.arrives(4, 0, 1, fields, true);
        rules(&j)
    };
    assert_eq!(told("limit=2500", &|_| {}), [Rule::Limit]);
    assert_eq!(told("limit=900", &|j| j.drains(1, 4, Some(ago(800)))), [Rule::Drain]);
    assert_eq!(told("limit=900", &|j| j.drains(1, 4, Some(ago(300)))), []);
    assert_eq!(told("limit=900", &|j| j.drains(2, 4, Some(ago(800)))), [], "another front");
    for fields in ["via=o", "via=o,fresh=2900"] {
        assert_eq!(told(fields, &|j| j.purged(1, 7, ago(2000), Some(ago(1600)))), [Rule::Purge]);
    }
    assert_eq!(told("via=o", &|j| j.purged(1, 7, ago(2000), Some(ago(500)))), [], "within its grace");
}

#[tokio::test]
async fn two_attempts_out_and_a_second_run_are_seen() {
    let j = judge();
    j.asked(1, asked(0, Effect::Once));
    j.arrives(4, 0, 1, "", true);
    j.runs(4, 1);
    j.arrives(5, 1, 1, "", true);
    j.compare(5, 1, 1).await;
    assert_eq!(rules(&j), [Rule::TwoOut]);
    j.runs(5, 1);
    assert_eq!(rules(&j), [Rule::TwoOut, Rule::RanAgain]);
    let j = judge();
    j.asked(1, asked(0, Effect::Idempotent));
    j.arrives(4, 0, 1, "", true);
    j.arrives(5, 1, 1, "", true);
    j.leaves(4, 0, 1);
    j.compare(5, 1, 1).await;
    assert_eq!(rules(&j), [], "given up in the same moment");
}

#[test]
fn late_and_missing_answers_and_attempts_for_nobody_are_seen() {
    let j = judge();
    j.asked(1, asked(4000, Effect::Idempotent));
    j.answered(1);
    assert_eq!(rules(&j), [Rule::Lost]);
    let j = judge();
    j.asked(1, asked(4500, Effect::Idempotent));
    j.sweep();
    assert_eq!(rules(&j), [Rule::Lost]);
    let j = judge();
    j.asked(1, asked(0, Effect::Idempotent));
    j.left(1);
    std::thread::sleep(Duration::from_millis(200));
    j.arrives(4, 0, 1, "", true);
    assert_eq!(rules(&j), [Rule::Nobody]);
}
