use super::*;

#[test]
fn bundled_scenarios_parse_and_the_error_for_an_unknown_name_lists_them() {
    for (name, _) in BUNDLED_SCENARIOS {
        let s = bundled_scenario(name).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(&s.name, name);
    }
    assert!(MAIN_SCENARIOS.iter().all(|m| bundled_scenario(m).is_ok()));
    let why = bundled_scenario("peace").expect_err("an unknown scenario name is an error").to_string();
    assert!(why.contains("crash-third"), "{why}");
}
