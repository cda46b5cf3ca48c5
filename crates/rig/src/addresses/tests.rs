use super::*;

#[test]
fn concurrent_runs_reserve_disjoint_addresses() {
    let (a, b) = (
        LoopbackAddresses::reserve(300).expect("two free blocks of addresses"),
        LoopbackAddresses::reserve(1).expect("a free block of addresses"),
    );
    let all = |addresses: &LoopbackAddresses, n| {
        (0..n)
            .flat_map(|i| {
                [
                    addresses.gossip_listen_address(i),
                    addresses.advertised_gossip_address(i),
                    addresses.client_listen_address(i),
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
