//! The users' limits on the decision module.

#[test]
fn the_module_keeps_its_size() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/policy.rs")).unwrap();
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 940, "{lines} non-blank lines");
    for (n, l) in text.lines().enumerate() {
        assert!(l.chars().count() <= 110, "line {} is too long", n + 1);
    }
    let head: String = text.lines().take(3).collect();
    assert!(head.contains("src/api.rs"), "the interface file is named at the top");
}
