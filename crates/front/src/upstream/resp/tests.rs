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

/// The parts of an answer are bounded together: eight parts that are each as long as the largest object would
/// occupy eight times its memory.
#[test]
fn an_array_that_is_longer_than_any_answer_is_rejected_when_that_is_known() {
    let largest = encode_array(&[b"1", b"served", b"-", &vec![b'x'; MAX_PART_BYTES]]);
    assert!(matches!(parse_answer(&largest), Ok(Some((len, _))) if len == largest.len()));
    let part = vec![b'x'; MAX_PART_BYTES];
    let two = encode_array(&[&part, &part]);
    let known = 4 + 9 + MAX_PART_BYTES + 2 + 9;
    assert_eq!(parse_array(&two[..known - 1]), Ok(None));
    assert_eq!(parse_array(&two[..known]), Err(RespError::TooLong));
}
