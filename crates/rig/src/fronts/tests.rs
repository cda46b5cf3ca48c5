use super::*;

#[test]
fn only_log_lines_that_report_a_front_gone_name_a_failed_front() {
    let line = r#"{"level":"INFO","message":"view","peer":"f3","was":"ready","is":"gone","by":"f1"}"#;
    assert_eq!(reported_failure(line).as_deref(), Some("f3"));
    for other in [
        line.replace("\"is\":\"gone\"", "\"is\":\"left\""),
        line.replace("\"view\"", "\"gone\""),
        "gone".into(),
    ] {
        assert_eq!(reported_failure(&other), None, "{other}");
    }
}
