//! Limits on the size of the decision module, set by its users.

#[test]
fn the_decision_module_keeps_to_its_size_limits() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/policy.rs"))
        .expect("src/policy.rs is readable");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 940, "src/policy.rs has {lines} non-blank lines, at most 940 allowed");
    for (n, l) in text.lines().enumerate() {
        assert!(l.chars().count() <= 110, "line {} of src/policy.rs is longer than 110 characters", n + 1);
    }
    let head: String = text.lines().take(3).collect();
    assert!(
        head.contains("src/api.rs"),
        "the first three lines of src/policy.rs name the interface file src/api.rs"
    );
}
