//! Scenarios that come with the rig, and rows of figures over seeds.

use crate::play::{part, play, Options, Played};
use crate::scenario::{Goal, Scenario, ScenarioError};
use serde_json::{json, Value};

macro_rules! scenarios {
    ($($name:literal),* $(,)?) => {
        /// The documents of `crates/rig/scenarios`, by name.
        pub const ALL: &[(&str, &str)] = &[$(($name, include_str!(concat!("../scenarios/", $name, ".kdl")))),*];
    };
}

scenarios!(
    "steady",
    "join-one",
    "join-third",
    "crash-one",
    "crash-third",
    "halves-3s",
    "halves-120s",
    "alone",
    "thirds",
    "rolling-cut",
    "one-way",
    "deaf",
    "lossy-front",
    "loss-10",
    "loss-30",
    "slow-location",
    "stop-1s",
    "stop-60s",
    "flapping",
    "replace",
    "garbage",
    "moved",
    "dark-thirds",
    "dark-all",
    "pair-forward",
    "pair-back",
    "pair-dark",
);

/// The main ones, for the largest fleets and for few processes in CI.
pub const MAIN: [&str; 5] = ["steady", "crash-third", "join-third", "halves-3s", "stop-1s"];

/// A scenario that comes with the rig.
///
/// # Errors
/// There is none of that name, or its document has a mistake.
pub fn scenario(name: &str) -> Result<Scenario, ScenarioError> {
    let found = ALL.iter().find(|(n, _)| *n == name);
    let (name, text) = found.copied().ok_or_else(|| ScenarioError {
        file: name.into(),
        line: 1,
        column: 1,
        what: format!("no such scenario; there are: {}", ALL.map_names()),
    })?;
    Scenario::parse(&format!("{name}.kdl"), text)
}

trait Names {
    fn map_names(&self) -> String;
}

impl Names for [(&str, &str)] {
    fn map_names(&self) -> String {
        self.iter().map(|(n, _)| *n).collect::<Vec<_>>().join(", ")
    }
}

/// One row: a scenario over its seeds.
pub fn row(runs: &[Played]) -> Value {
    let of = |goal: Goal| -> Vec<f64> {
        let all = runs.iter().flat_map(|r| &r.awaited);
        all.filter(|(g, _)| *g == goal).map(|(_, ms)| ms.round()).collect()
    };
    let all = |f: &dyn Fn(&Played) -> &[f64]| runs.iter().flat_map(|r| f(r).to_vec()).collect::<Vec<f64>>();
    let both = |v: Vec<f64>| match v.is_empty() {
        true => Value::Null,
        false => json!({ "p50": part(&v, 0.5), "max": part(&v, 1.0) }),
    };
    let sum = |f: &dyn Fn(&Played) -> usize| runs.iter().map(f).sum::<usize>();
    let errors = |r: &Played| {
        let one = |k: &str| r.load[k].as_u64().unwrap_or(0) as usize;
        one("errors") + one("unanswered") + one("odd")
    };
    let starts: Vec<f64> = runs.iter().map(|r| r.start_ms.round()).collect();
    json!({
        "scenario": runs.first().map_or("", |r| &r.name),
        "fronts": runs.first().map_or(0, |r| r.fronts),
        "seeds": runs.iter().map(|r| r.seed).collect::<Vec<_>>(),
        "start_ms": both(starts),
        "settle_ms": both(of(Goal::Settled)),
        "even_ms": both(of(Goal::Even)),
        "known_ms": both(of(Goal::Known)),
        "false_gone": sum(&|r| r.false_gone.len()),
        "stale_members": sum(&|r| r.stale_members),
        "bytes_per_s": both(all(&|r| &r.bytes_per_s)),
        "cpu": both(all(&|r| &r.cpu)),
        "memory_mb": both(all(&|r| &r.memory_mb)),
        "rules_broken": sum(&|r| r.rules_broken),
        "served": sum(&|r| r.load["served"].as_u64().unwrap_or(0) as usize),
        "errors": sum(&errors),
        "lost": sum(&|r| r.load["lost"].as_u64().unwrap_or(0) as usize),
        "p99_ms": both(runs.iter().filter_map(|r| r.load["p99_ms"].as_f64()).collect()),
        "breaches": sum(&|r| r.breaches.len()),
    })
}

/// Plays those scenarios with those seeds, a row each; `told` hears of each run and each row.
///
/// # Errors
/// A name is none, or addresses, files or processes can't be had.
pub async fn suite(
    names: &[String],
    seeds: &[u64],
    options: &Options,
    mut told: impl FnMut(&Played),
) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for name in names {
        let scenario = scenario(name).map_err(|e| e.to_string())?;
        let mut runs = Vec::new();
        for seed in seeds {
            let options = Options { seed: *seed, ..options.clone() };
            let played = play(&scenario, &options).await.map_err(|e| format!("{name}: {e}"))?;
            told(&played);
            runs.push(played);
        }
        rows.push(row(&runs));
    }
    Ok(rows)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_that_come_with_the_rig_can_be_read() {
        for (name, _) in ALL {
            let s = scenario(name).unwrap_or_else(|e| panic!("{e}"));
            assert_eq!(&s.name, name);
        }
        assert!(MAIN.iter().all(|m| scenario(m).is_ok()));
        let why = scenario("peace").expect_err("none").to_string();
        assert!(why.contains("crash-third"), "{why}");
    }
}
