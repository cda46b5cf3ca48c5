use super::*;

#[test]
fn only_the_other_sides_failures_are_held_against_it() {
    let of = |n| Failure::of(&io::Error::from_raw_os_error(n));
    let (connection_refused, connection_reset, timed_out, host_unreachable) = (111, 104, 110, 113);
    for n in [connection_refused, connection_reset, timed_out, host_unreachable] {
        assert_eq!(of(n), Failure::Remote, "{n}");
    }
    for n in [ENFILE, ENOMEM, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, ECONNABORTED, EINTR] {
        assert!(of(n).is_transient(), "{n}");
    }
    assert_eq!(of(EMFILE), Failure::Descriptors);
    assert_eq!(Failure::of(&io::Error::other("no number")), Failure::Remote);
}

#[test]
fn a_call_is_retried_for_a_while_and_its_last_error_returned() {
    let mut left = 3;
    let tried = retry_with_backoff(
        Duration::from_secs(30),
        |_: &i32| true,
        |_| {
            left -= 1;
            if left > 0 {
                Err(left)
            } else {
                Ok("done")
            }
        },
    );
    assert_eq!(tried, Ok("done"));
    let refused: Result<(), i32> = retry_with_backoff(Duration::from_secs(30), |_| false, |_| Err(7));
    assert_eq!(refused, Err(7));
    let never: Result<(), i32> = retry_with_backoff(Duration::from_millis(20), |_| true, |_| Err(8));
    assert_eq!(never, Err(8));
}
