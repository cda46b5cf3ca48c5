use super::*;

#[test]
fn simultaneous_attempts_and_repeated_writes_are_violations() {
    let nodes =
        CacheNodes::new(Arc::new(LoopbackAddresses::reserve(1).expect("a free block of addresses")), 2);
    nodes.request_started(0, "f1");
    nodes.request_ended(0, "f1", true);
    nodes.request_started(1, "f2");
    nodes.request_ended(1, "f2", false);
    nodes.request_started(0, "f2");
    assert_eq!(
        nodes.violations().count,
        0,
        "an attempt after the end of another is a retry, not a violation"
    );
    nodes.request_started(1, "f2");
    assert_eq!(nodes.violations().count, 1);
    nodes.request_started(1, "f1");
    nodes.request_ended(1, "f1", true);
    assert_eq!(nodes.violations().texts[1], "the write of object f1 was executed again, at cache node 1");
}
