use super::*;

#[test]
fn a_load_report_is_read_where_it_can_be_used() {
    let of = |fields| Answer { id: "1", outcome: "served", fields, body: b"" }.load_report("inflight");
    assert_eq!(of("tell=warm,meter=x0:0.5;inflight:7.25"), Some(7.25));
    for fields in ["-", "meter=x0:1", "meter=inflight:", "meter=inflight:-1", "meter=inflight:NaN"] {
        assert_eq!(of(fields), None, "{fields}");
    }
}
