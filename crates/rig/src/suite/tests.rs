use super::*;

#[test]
fn every_bundled_scenario_parses_and_an_unknown_name_is_an_error_that_lists_them() {
    for (name, _) in BUNDLED {
        let s = bundled(name).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(&s.name, name);
    }
    assert!(MAIN.iter().all(|m| bundled(m).is_ok()));
    let why = bundled("peace").expect_err("none").to_string();
    assert!(why.contains("crash-third"), "{why}");
}
