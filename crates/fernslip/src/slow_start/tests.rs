use super::*;

#[test]
fn tokens_of_all_routers_are_all_tokens() {
    let w = SlowStart { initial_fraction: 0.1, duration_ms: 10_000.0, multiple: 2.0, rate: 5.0 };
    for routers in [1, 3, 7, 100] {
        for age in (0..12_000).step_by(130).map(f64::from) {
            let all: u32 = (0..routers).map(|k| w.tokens(age, 1500.0, 300.0, k, routers)).sum();
            let since = if age < 1500.0 { 0.0 } else { w.budget_until(age - 1500.0) };
            let expected = (w.budget_until(age) - since) / 300.0;
            assert!(
                (f64::from(all) - expected).abs() <= 1.0 + 1e-9,
                "{routers} at {age}: {all}, due {expected}"
            );
        }
    }
}

#[test]
fn the_budget_follows_the_capacity() {
    let w = SlowStart { initial_fraction: 0.25, duration_ms: 8_000.0, multiple: 2.0, rate: 2.0 };
    for age in (0..9_000).step_by(500).map(f64::from) {
        let slope = w.budget_until(age + 0.5) - w.budget_until(age - 0.5).max(0.0);
        let half = if age == 0.0 { 0.5 } else { 1.0 };
        assert!((slope - 2.0 * half * w.capacity_fraction(age)).abs() < 1e-3, "at {age}: {slope}");
    }
}
