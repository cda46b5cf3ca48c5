use super::*;

#[test]
fn token_counts_of_all_routers_add_up_to_the_budget() {
    let slow_start = SlowStart { initial_fraction: 0.1, duration_ms: 10_000.0, multiple: 2.0, rate: 5.0 };
    for routers in [1, 3, 7, 100] {
        for age in (0..12_000).step_by(130).map(f64::from) {
            let all: u32 =
                (0..routers).map(|slot| slow_start.tokens_in_window(age, 1500.0, 300.0, slot, routers)).sum();
            let since = if age < 1500.0 { 0.0 } else { slow_start.budget_until(age - 1500.0) };
            let expected = (slow_start.budget_until(age) - since) / 300.0;
            assert!(
                (f64::from(all) - expected).abs() <= 1.0 + 1e-9,
                "{routers} routers at age {age} ms have {all} tokens instead of about {expected}"
            );
        }
    }
}

#[test]
fn the_budget_grows_in_proportion_to_the_capacity() {
    let slow_start = SlowStart { initial_fraction: 0.25, duration_ms: 8_000.0, multiple: 2.0, rate: 2.0 };
    for age in (0..9_000).step_by(500).map(f64::from) {
        let slope = slow_start.budget_until(age + 0.5) - slow_start.budget_until(age - 0.5).max(0.0);
        let half = if age == 0.0 { 0.5 } else { 1.0 };
        assert!(
            (slope - 2.0 * half * slow_start.capacity_fraction(age)).abs() < 1e-3,
            "the budget grows by {slope} per ms at age {age} ms, unlike the capacity"
        );
    }
}
