use super::*;

#[test]
fn concurrent_runs_reserve_disjoint_addresses() {
    let (a, b) = (
        LoopbackAddresses::reserve(300).expect("two free blocks"),
        LoopbackAddresses::reserve(1).expect("a free block"),
    );
    let all = |addresses: &LoopbackAddresses, n| {
        (0..n)
            .flat_map(|i| {
                [
                    addresses.gossip_listen(i),
                    addresses.gossip_advertised(i),
                    addresses.client_listen(i),
                    addresses.cache_node(i, 3),
                ]
            })
            .collect::<Vec<_>>()
    };
    let (of_a, of_b) = (all(&a, 300), all(&b, 1));
    assert!(of_b.iter().all(|x| !of_a.contains(x)));
    let mut sorted = of_a.clone();
    sorted.sort();
    sorted.dedup();
    assert_eq!(sorted.len(), of_a.len(), "every address of a run is different");
}
