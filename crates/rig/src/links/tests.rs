use super::*;

#[test]
fn faults_affect_only_the_links_that_they_name() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut faults =
        LinkFaults { one_way: [(1, 2)].into(), inbound_blocked: [3].into(), ..LinkFaults::default() };
    let mut copies = |f: &LinkFaults, from, to| f.choose_delivery_delays(from, to, &mut rng).len();
    assert_eq!(
        [copies(&faults, 1, 2), copies(&faults, 2, 1), copies(&faults, 0, 3), copies(&faults, 3, 0)],
        [0, 1, 0, 1]
    );
    faults = LinkFaults { sides: [(4, 1)].into(), ..LinkFaults::default() };
    assert_eq!([copies(&faults, 4, 0), copies(&faults, 0, 4), copies(&faults, 0, 1)], [0, 0, 1]);
    faults = LinkFaults { loss_by_front: [(5, 1.0)].into(), duplicated: 1.0, ..LinkFaults::default() };
    assert_eq!([copies(&faults, 5, 0), copies(&faults, 0, 5), copies(&faults, 0, 1)], [0, 0, 2]);
    faults = LinkFaults { loss: 0.3, ..LinkFaults::default() };
    let delivered: usize = (0..10_000).map(|_| copies(&faults, 0, 1)).sum();
    assert!((6_800..7_200).contains(&delivered), "{delivered}");
}
