use super::*;

fn report(witness: u32, observation: Observation) -> WitnessReport {
    WitnessReport {
        witness: FrontId(witness),
        observation,
        strength: 0.8,
        age_ms: 0.0,
        trust: 0.5,
        accused_fraction: 0.0,
    }
}

#[test]
fn no_single_witness_changes_the_score() {
    let one = vec![WitnessReport { trust: 1.0, strength: 1.0, ..report(1, Observation::Failing) }; 50];
    assert_eq!(aggregate(&one, 4, None), 0.0, "however often it says so");
    let all = [Observation::Failing, Observation::Unresponsive, Observation::Slow].map(|o| report(1, o));
    assert_eq!(aggregate(&all, 4, None), 0.0, "in however many ways");
    let two = [report(1, Observation::Failing), report(2, Observation::Unresponsive)];
    assert!(aggregate(&two, 4, None) > 0.5);
}

#[test]
fn reports_are_weighted_by_age_trust_and_what_else_the_witness_accuses() {
    let two = [report(1, Observation::Failing), report(2, Observation::Failing)];
    let with = |change: &dyn Fn(&mut WitnessReport)| {
        let mut changed = two;
        changed.iter_mut().for_each(change);
        aggregate(&changed, 4, None)
    };
    let full = aggregate(&two, 4, None);
    assert_eq!(full, MAX_SCORE);
    assert!(with(&|r| r.age_ms = 3.0 * HALF_LIFE_MS) < full / 2.0, "it decays");
    assert!(with(&|r| r.trust = 0.1) < full / 2.0, "a bad record");
    assert_eq!(with(&|r| r.accused_fraction = 1.0), 0.0, "who accuses all says nothing");
    assert_eq!(aggregate(&two, 200, None), 0.0, "a large fleet asks for more witnesses");
    let contradicted = [two[0], two[1], report(3, Observation::Healthy), report(4, Observation::Healthy)];
    assert_eq!(aggregate(&contradicted, 4, None), 0.0);
    assert_eq!(aggregate(&contradicted[2..], 4, None), -MAX_SCORE);
    assert_eq!(aggregate(&two, 4, Some(0.0)), 0.0, "our own good answer just now");
    assert!(aggregate(&two, 4, Some(OWN_HALF_LIFE_MS)) < 0.6 * full);
    assert!([2, 4, 20, 200].map(quorum) == [2, 2, 2, 4]);
}
