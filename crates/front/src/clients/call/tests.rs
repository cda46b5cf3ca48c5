use super::*;

fn classes() -> Vec<Class> {
    let text = include_str!("../../../../../examples/config.json");
    let config: serde_json::Value = serde_json::from_str(text).expect("the example");
    fernslip::json::settings(&config["settings"]).expect("its settings").0.classes
}

fn call(class: &str, change: &[(&str, Option<&str>)], body: usize) -> Result<Request, CallError> {
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
    read(&classes(), class, fields, vec![0; body]).map(|r| r.0)
}

#[test]
fn a_well_formed_call_is_read() {
    let r = call("statement-docs", &[], 0).expect("good");
    assert_eq!((r.id.0, r.object.0), (0x9b1f_03aa_5c7e_2d41, 0x7f3a_9c21_e0b4_d655));
    assert_eq!((r.part, r.group, r.size_kb, r.budget_ms), (3, 17, 412.5, 1480.0));
    assert!(call("contribution-change", &[], 48_000).is_ok());
}

/// Guards the module's sums and the lines to cache nodes: each of these reached both once.
#[test]
fn an_invalid_call_is_reported_by_its_field() {
    assert_eq!(call("no-such-class", &[], 0).unwrap_err(), CallError::Class);
    assert_eq!(call("statement-docs", &[], 1).unwrap_err(), CallError::Body);
    assert_eq!(call("contribution-change", &[], 48_001).unwrap_err(), CallError::Body);
    for name in ["trace", "patience", "entity", "slice", "set", "size"] {
        assert_eq!(call("statement-docs", &[(name, None)], 0).unwrap_err(), CallError::Missing(name));
        for value in ["", "x", "-1", "+3", "1e3", "nan", "inf", "0x10", "99999999999999999999999", "1 "] {
            let got = call("statement-docs", &[(name, Some(value))], 0);
            assert_eq!(got.unwrap_err(), CallError::Field(name), "{name}={value}");
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
        let got = call("statement-docs", &[(name, Some(value))], 0);
        assert_eq!(got.unwrap_err(), CallError::Field(name), "{name}={value}");
    }
}

#[test]
fn a_duplicate_field_is_an_error() {
    let twice = ["4", "5"].map(|v| ("slice".to_string(), v.to_string())).to_vec();
    assert_eq!(read(&classes(), "statement-docs", twice, Vec::new()).unwrap_err(), CallError::Duplicate);
}
