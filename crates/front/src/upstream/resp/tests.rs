use super::*;

#[test]
fn a_load_report_value_is_read_only_if_it_is_finite_and_not_negative() {
    let value_of =
        |fields| Answer { id: "1", outcome: "served", fields, body: b"" }.load_report_value("inflight");
    assert_eq!(value_of("tell=warm,meter=x0:0.5;inflight:7.25"), Some(7.25));
    for fields in ["-", "meter=x0:1", "meter=inflight:", "meter=inflight:-1", "meter=inflight:NaN"] {
        assert_eq!(value_of(fields), None, "no value is read from {fields}");
    }
}
