use super::*;

#[test]
fn log_lines_that_report_a_front_gone_are_recognised() {
    let line = r#"{"level":"INFO","message":"view","peer":"f3","was":"ready","is":"gone","by":"f1"}"#;
    assert_eq!(gone_subject(line).as_deref(), Some("f3"));
    for other in [
        line.replace("\"is\":\"gone\"", "\"is\":\"left\""),
        line.replace("\"view\"", "\"gone\""),
        "gone".into(),
    ] {
        assert_eq!(gone_subject(&other), None, "{other}");
    }
}
