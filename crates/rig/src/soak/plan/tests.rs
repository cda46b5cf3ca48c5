use super::*;

#[test]
fn a_seed_draws_the_same_faults_each_time_and_several_overlap() {
    let fleet = Fleet { fronts: 24, nodes: 15, sources: 3 };
    let of = |seed| draw_plan(seed, Duration::from_secs(20), fleet);
    let text = |seed| format!("{:?}", of(seed));
    assert_eq!(text(1), text(1));
    assert_ne!(text(1), text(2));
    let all = of(3);
    let at_once = |at: Duration| all.iter().filter(|p| p.after <= at && at < p.after + p.duration).count();
    let most = (0..200).map(|n| at_once(Duration::from_millis(100 * n))).max();
    assert!(most.is_some_and(|n| n >= 3), "{most:?} at once");
}
