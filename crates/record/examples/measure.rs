//! Measures the record in a simulated fleet and prints the figures as JSON:
//! `cargo run --release -p fernslip-record --example measure -- FRONTS SEEDS`.
//! Times are those of the simulated network (1 to 12 ms for each datagram), not of this machine.

#[path = "../tests/common/mod.rs"]
mod common;

use common::Fleet;

/// Median and maximum of the values as JSON, rounded; `null` if there are none.
fn format_median_and_max(mut values: Vec<f64>) -> String {
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
        bootstraps.push(f.run_until(20_000.0, "the record was bootstrapped and had a leader", |f| {
            f.leader_index().is_some() && f.running_records().all(|r| r.state().record_id != 0)
        }));
        f.run_for(3_000.0);
        let before = f.sent_bytes;
        f.run_for(10_000.0);
        steady.push((f.sent_bytes - before) as f64 / 10.0 / fronts as f64);
        let mut version = 0;
        for n in 0..10 {
            f.propose_edit(f.fronts.len() - 1 - n, &format!("e{n}"), version, &format!("rules {n}"));
            version += 1;
            edits.push(f.run_until(10_000.0, "all fronts had the edit", |f| f.all_have_version(version)));
            if n > 0 {
                f.propose_undo(n, &format!("u{n}"), version, version - 1, &[]);
                version += 1;
                undos.push(f.run_until(10_000.0, "all fronts had the undo", |f| f.all_have_version(version)));
            }
        }
        f.propose_edit(1, "large", version, &"route pool=\"main\"\n".repeat(10_000));
        version += 1;
        large_edits
            .push(f.run_until(20_000.0, "all fronts had the large edit", |f| f.all_have_version(version)));
        // A third of the fronts, with two voters, is partitioned off while the others commit an edit; then
        // the partition heals.
        f.partition = (0..fronts).filter(|n| n % 3 == 0).map(|n| (n, 1)).collect();
        f.run_for(5_000.0);
        f.propose_edit(2, "cut", version, "edit during the partition");
        version += 1;
        f.run_until(10_000.0, "the majority had committed the edit", |f| f.answer_at(2, "cut").is_some());
        f.partition.clear();
        healed.push(f.run_until(20_000.0, "all fronts had the edit after the partition healed", |f| {
            f.all_have_version(version)
        }));
        // The leader crashes, and an edit is proposed at another front.
        let leader = f.leader_index().expect("the fleet has a leader");
        f.stop_front(leader);
        let at = if leader == 2 { 3 } else { 2 };
        f.propose_edit(at, "next", version, "edit under the next leader");
        version += 1;
        leaders.push(f.run_until(20_000.0, "all fronts had the edit under the next leader", |f| {
            f.all_have_version(version)
        }));
    }
    println!(
        "{{\"fronts\": {fronts}, \"voters\": 5, \"seeds\": {seeds}, \"founded_ms\": {}, \"edit_ms\": {}, \"undo_ms\": {}, \
         \"edit_180kB_ms\": {}, \"healed_ms\": {}, \"leader_lost_ms\": {}, \"steady_bytes_per_s\": {}}}",
        format_median_and_max(bootstraps),
        format_median_and_max(edits),
        format_median_and_max(undos),
        format_median_and_max(large_edits),
        format_median_and_max(healed),
        format_median_and_max(leaders),
        format_median_and_max(steady)
    );
}
