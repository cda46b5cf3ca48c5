//! Figures of the record in memory, as JSON: `cargo run --release -p fernslip-record --example measure -- FRONTS SEEDS`.
//! Times are the simulated network's (1 to 12 ms a datagram), not this machine's.

#[path = "../tests/common/mod.rs"]
mod common;

use common::Fleet;

/// Median and most, rounded.
fn both(mut v: Vec<f64>) -> String {
    v.sort_by(f64::total_cmp);
    match v.last() {
        Some(most) => format!("{{\"p50\": {:.0}, \"max\": {most:.0}}}", v[v.len() / 2]),
        None => "null".into(),
    }
}

fn main() {
    let arg = |n: usize, or: usize| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(or);
    let (fronts, seeds) = (arg(1, 100), arg(2, 3));
    let (mut founded, mut edits, mut undos, mut healed, mut leaders) =
        (vec![], vec![], vec![], vec![], vec![]);
    let (mut steady, mut most_text) = (vec![], vec![]);
    for seed in 1..=seeds as u64 {
        let mut f = Fleet::new(fronts, 5, seed);
        founded.push(
            f.until(20_000.0, "founded", |f| f.leader().is_some() && f.up().all(|r| r.agreed().birth != 0)),
        );
        f.run(3_000.0);
        let before = f.sent_bytes;
        f.run(10_000.0);
        steady.push((f.sent_bytes - before) as f64 / 10.0 / fronts as f64);
        let mut version = 0;
        for n in 0..10 {
            f.edit(f.fronts.len() - 1 - n, &format!("e{n}"), version, &format!("rules {n}"));
            version += 1;
            edits.push(f.until(10_000.0, "an edit", |f| f.all_at(version)));
            if n > 0 {
                f.undo(n, &format!("u{n}"), version, version - 1, &[]);
                version += 1;
                undos.push(f.until(10_000.0, "an undo", |f| f.all_at(version)));
            }
        }
        f.edit(1, "large", version, &"route pool=\"main\"\n".repeat(10_000));
        version += 1;
        most_text.push(f.until(20_000.0, "a large edit", |f| f.all_at(version)));
        // A third is cut off with two voters; the rest edits; it heals.
        f.side = (0..fronts).filter(|n| n % 3 == 0).map(|n| (n, 1)).collect();
        f.run(5_000.0);
        f.edit(2, "cut", version, "while cut");
        version += 1;
        f.until(10_000.0, "agreed by the rest", |f| f.answered(2, "cut").is_some());
        f.side.clear();
        healed.push(f.until(20_000.0, "healed", |f| f.all_at(version)));
        // The leader dies under an edit.
        let leader = f.leader().expect("one leads");
        f.kill(leader);
        let at = if leader == 2 { 3 } else { 2 };
        f.edit(at, "next", version, "under the next leader");
        version += 1;
        leaders.push(f.until(20_000.0, "the next leader", |f| f.all_at(version)));
    }
    println!(
        "{{\"fronts\": {fronts}, \"voters\": 5, \"seeds\": {seeds}, \"founded_ms\": {}, \"edit_ms\": {}, \"undo_ms\": {}, \
         \"edit_180kB_ms\": {}, \"healed_ms\": {}, \"leader_lost_ms\": {}, \"steady_bytes_per_s\": {}}}",
        both(founded),
        both(edits),
        both(undos),
        both(most_text),
        both(healed),
        both(leaders),
        both(steady)
    );
}
