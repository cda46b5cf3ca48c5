//! Fronts with the real decision module and real gossip in a network in memory: a box dies, liars accuse a healthy one.
//!
//!     cargo run --release -p fernslip-gossip --example liar -- [fronts=20] [loss=0.1] [liars=1] [rate=1] [seeds=5]
//!     cargo run --release -p fernslip-gossip --example liar -- table
//!     cargo run --release -p fernslip-gossip --example liar -- cpu
//!
//! `rate` is requests a second at each front, over twenty boxes. Prints one JSON object. A front avoids the dead box
//! from when its own answers took it out of use, or when hearsay has left it a quarter of its homes or less. A healthy
//! box counts as shunned at a front that takes it out of use.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Net, World};
use fernslip::*;
use fernslip_gossip::{weigh, BoxKey, Kind};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

const BOXES: usize = 20;
const STEP_MS: f64 = 50.0;
/// Fronts settle this long before the box dies.
const SETTLE_MS: f64 = 20_000.0;
/// Hearsay from which on a front counts as avoiding a box.
const AVOIDS: f64 = 0.75;
/// Attempts at the dead box are counted as wasted for so long.
const WASTED_MS: f64 = 60_000.0;
/// Of a healthy box's answers, so many are errors.
const NOISE: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Case {
    fronts: usize,
    loss: f64,
    liars: usize,
    rate: f64,
    seeds: u64,
}

struct Outcome {
    /// By front and seed, milliseconds from the death.
    detect: Histogram<u64>,
    /// By seed, until 90 % of the fronts avoid it.
    ninety: Vec<u64>,
    shunned: usize,
    lowered: f64,
    wasted: f64,
    bytes_per_s: usize,
}

fn settings() -> Settings {
    Settings {
        zones: vec!["hub".into(), "branch".into()],
        zone: 1,
        zone_routers: vec![0, 1],
        link_in_kb_per_s: vec![0.0, 0.0],
        kinds: 2,
        parent_kind: None,
        origin_kind: Some(1),
        slot: 0,
        routers: 1,
        classes: vec![Class {
            name: "docs".into(),
            objective_ms: 600.0,
            objective_stretch: 2.0,
            deadline_ms: 5000.0,
            priority_weight: 1.0,
            late_weight: 0.1,
            effect: Effect::Idempotent,
            scope: DedupScope::All,
            repeat_window_ms: 0.0,
            write: false,
            fresh_ms: 0.0,
            grace_ms: 0.0,
        }],
        straight: false,
        joins: true,
        neighbours: Neighbours::Location,
        notes: NoteLevel::Hit,
        stream_kb_per_s: 4000.0,
        max_attempts: 4,
        max_in_flight: 1000,
        parallel: false,
        cancel: true,
        peers: false,
        max_retry_after_ms: 500.0,
        lists_on_request: false,
        tick_ms: 1.0,
        drain_grace_ms: 500.0,
        slow_start_from: 0.2,
        slow_start_ms: 15_000.0,
        slow_start_multiple: 2.0,
        slow_start_window_ms: 1500.0,
        parent_slow_start_from: 0.0,
        parent_slow_start_ms: 0.0,
        parent_slow_start_multiple: 0.0,
        purge_slack_ms: 1000.0,
        purge_done_ms: 6000.0,
    }
}

struct Deciding {
    router: Router,
    avoids: Option<f64>,
    heard: Vec<f64>,
}

fn name(b: usize) -> String {
    format!("box-{b}")
}

fn play(case: Case, gossips: bool, seed: u64, out: &mut Outcome) {
    let horizon = if case.rate >= 50.0 { 20_000.0 } else { 240_000.0 };
    let mut w = World::new(case.fronts, Net::losing(case.loss), seed);
    let keys: Vec<BoxKey> = common::boxes(BOXES);
    w.everyone(fernslip_gossip::Event::Boxes(keys.clone()));
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut fronts: Vec<Deciding> = (0..case.fronts)
        .map(|n| {
            let mut router = Router::new(settings(), seed ^ n as u64).expect("sound settings");
            router.enable_evidence();
            let entry = |cache: String, zone, kind| Entry {
                cache: cache.as_str().into(),
                weight: 50.0,
                zone: Some(zone),
                kind: Some(kind),
                cell: 0,
                started_ms: 0.0,
                phase: Phase::In,
            };
            let mut entries: Vec<Entry> = (0..BOXES).map(|b| entry(name(b), 1, 0)).collect();
            entries.push(entry("origin".into(), 0, 1));
            router.handle(1.0, Event::Endpoints { kind: ListKind::Full, entries }, &mut Vec::new());
            Deciding { router, avoids: None, heard: vec![0.0; BOXES] }
        })
        .collect();
    let (mut next, mut wasted) = (0u64, 0u64);
    while w.now < SETTLE_MS + horizon {
        let dead = w.now >= SETTLE_MS;
        for n in 0..case.fronts {
            let liar = n >= case.fronts - case.liars;
            if liar && gossips && rng.random_bool(0.2) {
                w.say(n, keys[1], Kind::Failing, 1.0);
            }
            let due = case.rate * STEP_MS / 1000.0;
            let mut requests = due as usize + usize::from(rng.random_bool(due.fract()));
            while requests > 0 {
                requests -= 1;
                next += 1;
                let ask = Request {
                    id: RequestId(next),
                    object: ObjectId(rng.random()),
                    part: 0,
                    class: 0,
                    size_kb: 20.0,
                    budget_ms: 5000.0,
                    group: 0,
                };
                let (mut actions, mut attempt) = (Vec::new(), 0);
                let now = w.now + 1.0;
                fronts[n].router.handle(now, Event::Request(ask), &mut actions);
                while let Some(Action::Forward { id, cache, .. }) =
                    actions.iter().find(|a| matches!(a, Action::Forward { .. })).cloned()
                {
                    actions.clear();
                    let fails = dead && &*cache.0 == "box-0";
                    wasted += u64::from(fails && w.now < SETTLE_MS + WASTED_MS);
                    let ending = match fails {
                        true => Ending::ConnectionRefused,
                        false if rng.random_bool(NOISE) => Ending::Errored,
                        false => Ending::Completed,
                    };
                    let over = ending == Ending::Completed;
                    let outcome = fernslip::Outcome {
                        id,
                        attempt,
                        cache,
                        ending,
                        elapsed_ms: 10.0,
                        over,
                        detail: if over { 2 } else { 0 },
                        fill_wait_ms: 0.0,
                        reported_in_flight: None,
                    };
                    attempt += 1;
                    fronts[n].router.handle(now, Event::Outcome(outcome), &mut actions);
                    for a in &actions {
                        match a {
                            Action::Log(line) if line.contains("trials only") => {
                                if line.starts_with("box-0 ") {
                                    fronts[n].avoids.get_or_insert(w.now - SETTLE_MS);
                                } else {
                                    out.shunned += 1;
                                }
                            }
                            Action::Evidence { cache, sign, strength } if gossips && !liar => {
                                let kind = match sign {
                                    Sign::Well => Kind::Well,
                                    Sign::Silent => Kind::Silent,
                                    Sign::Crawling => Kind::Crawling,
                                    Sign::Failing => Kind::Failing,
                                };
                                w.say(n, BoxKey::of(&cache.0, 0), kind, *strength);
                            }
                            _ => {}
                        }
                    }
                }
            }
        }
        w.pass(STEP_MS);
        for (n, f) in fronts.iter_mut().enumerate() {
            for (b, key) in keys.iter().enumerate() {
                let amount = w.heard(n, *key);
                if amount == f.heard[b] {
                    continue;
                }
                f.heard[b] = amount;
                if b == 0 && dead && amount >= AVOIDS {
                    f.avoids.get_or_insert(w.now - SETTLE_MS);
                }
                if b != 0 {
                    out.lowered = out.lowered.max(amount);
                }
                let cache = CacheId::from(name(b).as_str());
                f.router.handle(w.now + 1.0, Event::PeerSuspicion { cache, amount }, &mut Vec::new());
            }
        }
        let counted = w.now > SETTLE_MS + WASTED_MS.min(horizon);
        if counted && fronts.iter().all(|f| f.avoids.is_some()) && case.liars == 0 {
            break;
        }
    }
    let honest = case.fronts - case.liars;
    let mut times: Vec<u64> =
        fronts[..honest].iter().map(|f| f.avoids.unwrap_or(horizon).max(1.0) as u64).collect();
    times.iter().for_each(|t| out.detect.record(*t).expect("in range"));
    times.sort_unstable();
    out.ninety.push(times[(honest * 9).div_ceil(10) - 1]);
    out.wasted += wasted as f64 / case.fronts as f64 / case.seeds as f64;
    let most = w.fronts.iter().map(|f| f.most_bytes_per_s).max().unwrap_or(0);
    out.bytes_per_s = out.bytes_per_s.max(most);
}

fn run(case: Case, gossips: bool) -> Outcome {
    let mut out = Outcome {
        detect: Histogram::new_with_bounds(1, 1_000_000, 3).expect("bounds"),
        ninety: Vec::new(),
        shunned: 0,
        lowered: 0.0,
        wasted: 0.0,
        bytes_per_s: 0,
    };
    (0..case.seeds).for_each(|s| play(case, gossips, 100 + s, &mut out));
    out.ninety.sort_unstable();
    out
}

fn at(h: &Histogram<u64>) -> serde_json::Value {
    serde_json::json!({"p50": h.value_at_quantile(0.5), "p99": h.value_at_quantile(0.99)})
}

fn main() {
    let mut case = Case { fronts: 20, loss: 0.1, liars: 1, rate: 1.0, seeds: 5 };
    for arg in std::env::args().skip(1) {
        let value = |v: &str| v.parse::<f64>().unwrap_or_else(|_| panic!("{arg}: no number"));
        match arg.split_once('=') {
            None if arg == "table" => return table(),
            None if arg == "cpu" => return cpu(),
            Some(("fronts", v)) => case.fronts = value(v) as usize,
            Some(("loss", v)) => case.loss = value(v),
            Some(("liars", v)) => case.liars = value(v) as usize,
            Some(("rate", v)) => case.rate = value(v),
            Some(("seeds", v)) => case.seeds = value(v) as u64,
            _ => panic!("{arg}: fronts= loss= liars= rate= seeds=, table or cpu"),
        }
    }
    let (with, without) = (run(case, true), run(Case { liars: 0, ..case }, false));
    println!(
        "{}",
        serde_json::json!({
            "fronts": case.fronts, "loss": case.loss, "liars": case.liars, "rate": case.rate,
            "healthy_shunned": with.shunned, "healthy_lowered_max": with.lowered, "cap": weigh::CAP,
            "bytes_per_s_max": with.bytes_per_s, "budget": 4096 + 4096,
            "detect_ms": {"with": at(&with.detect), "without": at(&without.detect)},
            "ninety_ms": {"with": with.ninety[with.ninety.len() / 2], "without": without.ninety[without.ninety.len() / 2]},
            "wasted_a_front": {"with": with.wasted, "without": without.wasted},
        })
    );
}

/// What a datagram costs its receiver, by what it holds: the tag, the window, and the weighing of its words.
fn cpu() {
    for words in [0, 1, 11] {
        let mut w = World::new(3, Net { loss: 0.0, doubled: 0.0, delay_ms: (1.0, 1.0) }, 1);
        w.everyone(fernslip_gossip::Event::Boxes(common::boxes(100)));
        w.pass(10_000.0);
        w.record = Some(Vec::new());
        for round in 0..4_000u32 {
            // Told anew in each round, as if it had become surer.
            let strength = 0.2 + 0.6 * f64::from(round % 2);
            common::boxes(100).iter().take(words).for_each(|b| w.say(1, *b, Kind::Failing, strength));
            w.pass(250.0);
        }
        let sent = w.record.take().expect("recorded");
        let mine: Vec<_> = sent
            .into_iter()
            .filter(|(from, to, _)| *from == common::addr(1) && *to == common::addr(0))
            .collect();
        let at = w.clock(0);
        let config = fernslip_gossip::Config {
            name: "n0".into(),
            addr: common::addr(0),
            skew_ms: 1e9,
            ..Default::default()
        };
        let mut g = fernslip_gossip::Gossip::new(config, w.keys.clone(), 1, at);
        let mut actions = Vec::new();
        g.handle(at, fernslip_gossip::Event::Boxes(common::boxes(100)), &mut actions);
        let bytes: usize = mine.iter().map(|m| m.2.len()).sum();
        let started = Instant::now();
        for (from, _, bytes) in &mine {
            g.handle(
                at,
                fernslip_gossip::Event::Datagram { from: *from, bytes: bytes.clone() },
                &mut actions,
            );
            actions.clear();
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / mine.len().max(1) as f64;
        let taken = g.counts().taken;
        println!(
            "{words} words said: {} datagrams of {} bytes, {taken} taken, {us:.1} us each",
            mine.len(),
            bytes / mine.len().max(1)
        );
    }
}

fn table() {
    println!("| fronts | loss | requests/s a front | 90 % avoid it, with | without | ratio | wasted a front, with | without | most bytes/s | shunned |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (fronts, rate, seeds) in [(4, 1.0, 20), (20, 1.0, 9), (200, 1.0, 3), (4, 200.0, 9), (20, 200.0, 3)] {
        for loss in [0.0, 0.1, 0.3] {
            let case = Case { fronts, loss, liars: 0, rate, seeds };
            let (with, without) = (run(case, true), run(case, false));
            let mid = |o: &Outcome| o.ninety[o.ninety.len() / 2] as f64 / 1000.0;
            println!(
                "| {fronts} | {loss} | {rate} | {:.1} s | {:.1} s | {:.1} | {:.1} | {:.1} | {} | {} |",
                mid(&with),
                mid(&without),
                mid(&without) / mid(&with),
                with.wasted,
                without.wasted,
                with.bytes_per_s,
                with.shunned
            );
        }
    }
}
