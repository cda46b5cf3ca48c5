//! Figures of the record in memory, as JSON: `cargo run --release -p fernslip-record --example measure -- FRONTS SEEDS`.
//! Times are the simulated network's (1 to 12 ms a datagram), not this machine's.

#[path = "../tests/common/mod.rs"]
mod common;

use common::Fleet;

/// Median and maximum as JSON, rounded; `null` without values.
fn summary(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.last() {
        Some(max) => format!("{{\"p50\": {:.0}, \"max\": {max:.0}}}", values[values.len() / 2]),
        None => "null".into(),
    }
}

fn main() {
    let arg = |n: usize, or: usize| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(or);
    let (fronts, seeds) = (arg(1, 100), arg(2, 3));
    let (mut bootstraps, mut edits, mut undos, mut healed, mut leaders) =
        (vec![], vec![], vec![], vec![], vec![]);
    let (mut steady, mut large_edits) = (vec![], vec![]);
    for seed in 1..=seeds as u64 {
        let mut f = Fleet::new(fronts, 5, seed);
        bootstraps.push(f.run_until(20_000.0, "bootstrapped", |f| {
            f.leader().is_some() && f.running().all(|r| r.state().record_id != 0)
        }));
        f.run(3_000.0);
        let before = f.sent_bytes;
        f.run(10_000.0);
        steady.push((f.sent_bytes - before) as f64 / 10.0 / fronts as f64);
        let mut version = 0;
        for n in 0..10 {
            f.edit(f.fronts.len() - 1 - n, &format!("e{n}"), version, &format!("rules {n}"));
            version += 1;
            edits.push(f.run_until(10_000.0, "an edit", |f| f.all_at(version)));
            if n > 0 {
                f.undo(n, &format!("u{n}"), version, version - 1, &[]);
                version += 1;
                undos.push(f.run_until(10_000.0, "an undo", |f| f.all_at(version)));
            }
        }
        f.edit(1, "large", version, &"route pool=\"main\"\n".repeat(10_000));
        version += 1;
        large_edits.push(f.run_until(20_000.0, "a large edit", |f| f.all_at(version)));
        // A third is partitioned off with two voters; the others edit; the partition heals.
        f.partition = (0..fronts).filter(|n| n % 3 == 0).map(|n| (n, 1)).collect();
        f.run(5_000.0);
        f.edit(2, "cut", version, "while cut");
        version += 1;
        f.run_until(10_000.0, "committed by the majority", |f| f.answer(2, "cut").is_some());
        f.partition.clear();
        healed.push(f.run_until(20_000.0, "healed", |f| f.all_at(version)));
        // The leader crashes under an edit.
        let leader = f.leader().expect("one leads");
        f.kill(leader);
        let at = if leader == 2 { 3 } else { 2 };
        f.edit(at, "next", version, "under the next leader");
        version += 1;
        leaders.push(f.run_until(20_000.0, "the next leader", |f| f.all_at(version)));
    }
    println!(
        "{{\"fronts\": {fronts}, \"voters\": 5, \"seeds\": {seeds}, \"founded_ms\": {}, \"edit_ms\": {}, \"undo_ms\": {}, \
         \"edit_180kB_ms\": {}, \"healed_ms\": {}, \"leader_lost_ms\": {}, \"steady_bytes_per_s\": {}}}",
        summary(bootstraps),
        summary(edits),
        summary(undos),
        summary(large_edits),
        summary(healed),
        summary(leaders),
        summary(steady)
    );
}
