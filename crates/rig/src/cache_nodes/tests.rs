use super::*;

#[test]
fn two_attempts_at_once_and_a_second_execution_of_a_write_are_violations() {
    let nodes = CacheNodes::new(Arc::new(LoopbackAddresses::reserve(1).expect("free")), 2);
    nodes.request_started(0, "f1");
    nodes.request_ended(0, "f1", true);
    nodes.request_started(1, "f2");
    nodes.request_ended(1, "f2", false);
    nodes.request_started(0, "f2");
    assert_eq!(nodes.violations().count, 0, "one after the other is a retry");
    nodes.request_started(1, "f2");
    assert_eq!(nodes.violations().count, 1);
    nodes.request_started(1, "f1");
    nodes.request_ended(1, "f1", true);
    assert_eq!(nodes.violations().texts[1], "the write f1 ran again, at box 1");
}
