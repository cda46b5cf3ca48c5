use super::*;

fn report_by(witness: u32, observation: Observation) -> WitnessReport {
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
    let repeated =
        vec![WitnessReport { trust: 1.0, strength: 1.0, ..report_by(1, Observation::Failing) }; 50];
    assert_eq!(aggregate_score(&repeated, 4, None), 0.0, "fifty reports of one witness are no quorum");
    let varied =
        [Observation::Failing, Observation::Unresponsive, Observation::Slow].map(|o| report_by(1, o));
    assert_eq!(
        aggregate_score(&varied, 4, None),
        0.0,
        "reports of one witness with different observations are no quorum"
    );
    let two = [report_by(1, Observation::Failing), report_by(2, Observation::Unresponsive)];
    assert!(aggregate_score(&two, 4, None) > 0.5);
}

#[test]
fn report_weight_depends_on_age_trust_and_accused_fraction() {
    let two = [report_by(1, Observation::Failing), report_by(2, Observation::Failing)];
    let score_after = |change: &dyn Fn(&mut WitnessReport)| {
        let mut changed = two;
        changed.iter_mut().for_each(change);
        aggregate_score(&changed, 4, None)
    };
    let full = aggregate_score(&two, 4, None);
    assert_eq!(full, MAX_SCORE);
    assert!(
        score_after(&|r| r.age_ms = 3.0 * REPORT_HALF_LIFE_MS) < full / 2.0,
        "reports decay with their age"
    );
    assert!(score_after(&|r| r.trust = 0.1) < full / 2.0, "reports of a witness with low trust weigh less");
    assert_eq!(
        score_after(&|r| r.accused_fraction = 1.0),
        0.0,
        "a witness that accuses every cache node has no effect"
    );
    assert_eq!(aggregate_score(&two, 200, None), 0.0, "two witnesses are no quorum in a fleet of 200 fronts");
    let contradicted =
        [two[0], two[1], report_by(3, Observation::Healthy), report_by(4, Observation::Healthy)];
    assert_eq!(aggregate_score(&contradicted, 4, None), 0.0);
    assert_eq!(aggregate_score(&contradicted[2..], 4, None), -MAX_SCORE);
    assert_eq!(
        aggregate_score(&two, 4, Some(0.0)),
        0.0,
        "a successful answer just received by this front cancels the score"
    );
    assert!(aggregate_score(&two, 4, Some(OWN_SUCCESS_HALF_LIFE_MS)) < 0.6 * full);
    assert!([2, 4, 20, 200].map(required_witnesses) == [2, 2, 2, 4]);
}
