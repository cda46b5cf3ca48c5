use super::*;

#[test]
fn a_bootstrap_round_trips_with_errors_below_three_percent() {
    let bandwidth = Bandwidth { capacity: 7.3, saturated: true };
    let proven = Bandwidth { capacity: 0.0, saturated: false };
    let state =
        NodeState { tag: [1, 2, 3], bandwidth, proven, slowdown: 1.4, low_slowdown: 0.9, failure_rate: 0.02 };
    let bootstrap = Bootstrap { known_ms: 12_000.0, fill_limit: f64::INFINITY, nodes: vec![state; 40] };
    let data = bootstrap.encode(4, 256);
    assert!(data.len() <= 256);
    let (zone, decoded) = Bootstrap::decode(&data).expect("the encoded bootstrap can be decoded");
    assert_eq!((zone, decoded.nodes.len(), decoded.fill_limit), (4, 27, f64::INFINITY));
    let r = decoded.nodes[26];
    assert_eq!((r.tag, r.bandwidth.saturated, r.proven), ([1, 2, 3], true, proven));
    for (is, was) in [
        (r.bandwidth.capacity, 7.3),
        (r.slowdown, 1.4),
        (r.low_slowdown, 0.9),
        (r.failure_rate, 0.02),
        (decoded.known_ms, 12e3),
    ] {
        assert!((is / was - 1.0).abs() < 0.03, "value {was} is decoded as {is}, expected an error below 3%");
    }
}

#[test]
fn malformed_bootstraps_are_rejected_and_version_2_routers_ignore_bootstraps() {
    let bootstrap = Bootstrap { known_ms: 1.0, fill_limit: 3.0, nodes: Vec::new() };
    let data = bootstrap.encode(4, 256);
    assert!(Bootstrap::decode(&data).is_some());
    assert_eq!(Bootstrap::decode(&data[..4]), None);
    assert_eq!(Bootstrap::decode(&[&data[..], &[1]].concat()), None);
    assert_eq!(
        crate::message::decode_message(&data, 16384),
        None,
        "routers that know only message version 2 ignore a bootstrap"
    );
}
