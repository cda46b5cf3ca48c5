use super::*;

#[test]
fn a_seed_always_gives_the_same_plan_with_overlapping_faults() {
    let fleet = FleetSize { fronts: 24, nodes: 15, sources: 3 };
    let plan_of = |seed| generate_fault_plan(seed, Duration::from_secs(20), fleet);
    let text = |seed| format!("{:?}", plan_of(seed));
    assert_eq!(text(1), text(1));
    assert_ne!(text(1), text(2));
    let plan = plan_of(3);
    let at_once = |at: Duration| plan.iter().filter(|p| p.after <= at && at < p.after + p.duration).count();
    let most = (0..200).map(|n| at_once(Duration::from_millis(100 * n))).max();
    assert!(most.is_some_and(|n| n >= 3), "expected at least 3 overlapping faults, found {most:?}");
}
