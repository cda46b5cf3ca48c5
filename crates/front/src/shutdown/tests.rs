use super::*;

/// Regression test: a front that accepted calls for 1 s after SIGTERM used to exit up to 1.5 s after the
/// longest deadline, while the platform kills it 0.7 s after that deadline.
#[test]
fn the_front_exits_before_the_platform_kills_it() {
    for longest_deadline_ms in [200.0, 1_500.0, 3_000.0, 5_000.0, 60_000.0] {
        for origin in [Origin::Bound, Origin::Inherited] {
            let plan = ShutdownPlan::new(longest_deadline_ms, origin);
            let kill = Duration::from_secs_f64(f64::max(longest_deadline_ms, 3_000.0) / 1000.0)
                + Duration::from_millis(700);
            assert!(
                plan.accepting_for < plan.answered_by
                    && plan.answered_by < plan.exit_by
                    && plan.exit_by < kill,
                "unexpected time limits: {plan:?}"
            );
            // New connections arrive for 0.4 s and calls on them for 0.2 s more; calls after 0.7 s must not
            // be lost.
            if origin == Origin::Bound {
                assert!(
                    plan.accepting_for >= Duration::from_millis(600)
                        && plan.accepting_for <= Duration::from_millis(700),
                    "unexpected time limits: {plan:?}"
                );
            }
            // A graceful close reads for another 0.4 s.
            assert!(
                plan.exit_by - plan.answered_by > Duration::from_millis(400),
                "unexpected time limits: {plan:?}"
            );
        }
    }
}
