use super::*;

fn example_classes() -> Vec<Class> {
    let text = include_str!("../../../../../examples/config.json");
    let config: serde_json::Value =
        serde_json::from_str(text).expect("the example configuration is valid JSON");
    fernslip::json::parse_settings(&config["settings"]).expect("the example settings are valid").0.classes
}

/// Parses a call whose fields are valid except for `change`: field names with a new value, or `None` to omit
/// the field.
fn parse_with_changed_fields(
    class: &str,
    change: &[(&str, Option<&str>)],
    body_len: usize,
) -> Result<Request, CallError> {
    let good = [
        ("trace", "9b1f03aa5c7e2d41"),
        ("patience", "1500"),
        ("entity", "7f3a9c21e0b4d655"),
        ("slice", "3"),
        ("set", "17"),
        ("size", "412.5"),
    ];
    let mut fields: Vec<(String, String)> = Vec::new();
    for (name, value) in good {
        let changed = change.iter().find(|c| c.0 == name).map_or(Some(value), |c| c.1);
        fields.extend(changed.map(|v| (name.to_string(), v.to_string())));
    }
    parse_call(&example_classes(), class, fields, vec![0; body_len]).map(|r| r.0)
}

#[test]
fn a_well_formed_call_is_parsed() {
    let request =
        parse_with_changed_fields("statement-docs", &[], 0).expect("a well-formed call is accepted");
    assert_eq!((request.id.0, request.object.0), (0x9b1f_03aa_5c7e_2d41, 0x7f3a_9c21_e0b4_d655));
    assert_eq!((request.part, request.group, request.size_kb, request.budget_ms), (3, 17, 412.5, 1480.0));
    assert!(parse_with_changed_fields("contribution-change", &[], 48_000).is_ok());
}

/// Regression test: each of the invalid values in this test used to reach the decision crate's arithmetic and
/// the requests sent to cache nodes.
#[test]
fn an_invalid_call_is_reported_with_the_name_of_its_field() {
    assert_eq!(parse_with_changed_fields("no-such-class", &[], 0).unwrap_err(), CallError::UnknownClass);
    assert_eq!(parse_with_changed_fields("statement-docs", &[], 1).unwrap_err(), CallError::InvalidBody);
    assert_eq!(
        parse_with_changed_fields("contribution-change", &[], 48_001).unwrap_err(),
        CallError::InvalidBody
    );
    for name in ["trace", "patience", "entity", "slice", "set", "size"] {
        assert_eq!(
            parse_with_changed_fields("statement-docs", &[(name, None)], 0).unwrap_err(),
            CallError::MissingField(name)
        );
        for value in ["", "x", "-1", "+3", "1e3", "nan", "inf", "0x10", "99999999999999999999999", "1 "] {
            let got = parse_with_changed_fields("statement-docs", &[(name, Some(value))], 0);
            assert_eq!(got.unwrap_err(), CallError::InvalidField(name), "{name}={value}");
        }
    }
    for (name, value) in [
        ("trace", "9B1F03AA5C7E2D41"),
        ("entity", "7f3a9c21e0b4d65"),
        ("set", "256"),
        ("slice", "4294967296"),
        ("size", ".5"),
        ("size", "5."),
    ] {
        let got = parse_with_changed_fields("statement-docs", &[(name, Some(value))], 0);
        assert_eq!(got.unwrap_err(), CallError::InvalidField(name), "{name}={value}");
    }
}

#[test]
fn a_duplicate_field_is_an_error() {
    let twice = ["4", "5"].map(|v| ("slice".to_string(), v.to_string())).to_vec();
    assert_eq!(
        parse_call(&example_classes(), "statement-docs", twice, Vec::new()).unwrap_err(),
        CallError::DuplicateField
    );
}

/// An open call holds its fields as they were received: leading zeros must not make one of them as long as a
/// message may be, 32 times on each connection.
#[test]
fn an_integer_has_no_more_digits_than_the_largest_one() {
    let padded = |digits: usize| format!("{}3", "0".repeat(digits - 1));
    let parse = |name: &str, digits: usize| {
        parse_with_changed_fields("statement-docs", &[(name, Some(&padded(digits)))], 0)
    };
    for name in ["slice", "set"] {
        assert!(parse(name, MAX_INTEGER_DIGITS).is_ok(), "{name}");
        for digits in [MAX_INTEGER_DIGITS + 1, 50_000] {
            assert_eq!(parse(name, digits).unwrap_err(), CallError::InvalidField(name), "{digits} digits");
        }
    }
}
