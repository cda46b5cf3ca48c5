use super::*;

#[test]
fn a_duration_is_a_number_with_an_optional_unit_of_at_most_a_day() {
    assert_eq!(parse_time_ms("60", 1000), Some(60_000));
    assert_eq!(parse_time_ms("250ms", 1000), Some(250));
    assert_eq!(parse_time_ms("2s", 1), Some(2000));
    assert_eq!(parse_time_ms("5MIN", 1), Some(300_000));
    for bad in ["", "-1", "1.5", "9x", "99999999999999999999", "25h"] {
        assert_eq!(parse_time_ms(bad, 1000), None, "{bad:?} is not a valid duration");
    }
}
