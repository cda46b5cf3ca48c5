use super::*;

/// Guards what is taken late against the kill: the front took work for 1 s, and ended up to 1.5 s after the longest
/// deadline, while the kill comes 0.7 s after it.
#[test]
fn the_front_has_ended_before_the_platform_kills_it() {
    for longest_ms in [200.0, 1_500.0, 3_000.0, 5_000.0, 60_000.0] {
        for origin in [Origin::Bound, Origin::Passed] {
            let e = ShutdownPlan::of(longest_ms, origin);
            let kill =
                Duration::from_secs_f64(f64::max(longest_ms, 3_000.0) / 1000.0) + Duration::from_millis(700);
            assert!(
                e.accepting_for < e.answered_by && e.answered_by < e.exit_by && e.exit_by < kill,
                "{e:?}"
            );
            // Connections come for 0.4 s, calls on them for 0.2 s more; what comes after 0.7 s must not be lost.
            if origin == Origin::Bound {
                assert!(
                    e.accepting_for >= Duration::from_millis(600)
                        && e.accepting_for <= Duration::from_millis(700),
                    "{e:?}"
                );
            }
            // A graceful close reads on for 0.4 s.
            assert!(e.exit_by - e.answered_by > Duration::from_millis(400), "{e:?}");
        }
    }
}
