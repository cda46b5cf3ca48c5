use super::*;

#[test]
fn failures_of_this_machine_are_not_attributed_to_the_other_side() {
    let classify = |n| Failure::classify(&io::Error::from_raw_os_error(n));
    let (connection_refused, connection_reset, timed_out, host_unreachable) = (111, 104, 110, 113);
    for n in [connection_refused, connection_reset, timed_out, host_unreachable] {
        assert_eq!(classify(n), Failure::Remote, "{n}");
    }
    for n in [ENFILE, ENOMEM, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, ECONNABORTED, EINTR] {
        assert!(classify(n).is_transient(), "{n}");
    }
    assert_eq!(classify(EMFILE), Failure::Descriptors);
    assert_eq!(Failure::classify(&io::Error::other("error without a number")), Failure::Remote);
}

#[test]
fn a_call_is_retried_until_it_succeeds_or_its_time_is_over() {
    let mut left = 3;
    let retried = retry_with_backoff(
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
    assert_eq!(retried, Ok("done"));
    let refused: Result<(), i32> = retry_with_backoff(Duration::from_secs(30), |_| false, |_| Err(7));
    assert_eq!(refused, Err(7));
    let never: Result<(), i32> = retry_with_backoff(Duration::from_millis(20), |_| true, |_| Err(8));
    assert_eq!(never, Err(8));
}
