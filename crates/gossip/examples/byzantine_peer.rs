//! Fronts with the real decision module and real gossip in a simulated network: a cache node dies, and byzantine peers
//! accuse a healthy one.
//!
//!     cargo run --release -p fernslip-gossip --example byzantine_peer -- [fronts=20] [loss=0.1] [liars=1] [rate=1] [seeds=5]
//!     cargo run --release -p fernslip-gossip --example byzantine_peer -- table
//!     cargo run --release -p fernslip-gossip --example byzantine_peer -- cpu
//!
//! `liars` is the number of byzantine peers, `rate` requests a second at each front, over twenty cache nodes. Prints one
//! JSON object. A front avoids the dead node from when its own answers ejected it, or when hearsay has left it a quarter
//! of its homes or less. A healthy node counts as shunned at a front that ejects it.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Network, Simulation};
use fernslip::*;
use fernslip_gossip::{aggregate, CacheNodeKey, Observation};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

const NODES: usize = 20;
const STEP_MS: f64 = 50.0;
/// Fronts settle this long before the node dies.
const SETTLE_MS: f64 = 20_000.0;
/// Hearsay from which on a front counts as avoiding a node.
const AVOIDING_SCORE: f64 = 0.75;
/// Attempts at the dead node are counted as wasted for so long.
const WASTED_MS: f64 = 60_000.0;
/// The fraction of a healthy node's answers that are errors.
const ERROR_RATE: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Case {
    fronts: usize,
    loss: f64,
    byzantine: usize,
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

struct DecidingFront {
    router: Router,
    /// When it began to avoid the dead node, in milliseconds from the death.
    avoids_ms: Option<f64>,
    hearsay: Vec<f64>,
}

impl DecidingFront {
    fn new(seed: u64) -> DecidingFront {
        let mut router = Router::new(settings(), seed).expect("sound settings");
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
        let mut entries: Vec<Entry> = (0..NODES).map(|node| entry(name(node), 1, 0)).collect();
        entries.push(entry("origin".into(), 0, 1));
        router.handle(1.0, Event::Endpoints { kind: ListKind::Full, entries }, &mut Vec::new());
        DecidingFront { router, avoids_ms: None, hearsay: vec![0.0; NODES] }
    }
}

fn name(node: usize) -> String {
    format!("box-{node}")
}

/// One simulation: node 0 dies, and byzantine fronts accuse node 1.
struct Trial {
    case: Case,
    gossips: bool,
    sim: Simulation,
    keys: Vec<CacheNodeKey>,
    rng: ChaCha8Rng,
    fronts: Vec<DecidingFront>,
    requests: u64,
    wasted: u64,
}

impl Trial {
    fn new(case: Case, gossips: bool, seed: u64) -> Trial {
        let mut sim = Simulation::new(case.fronts, Network::with_loss(case.loss), seed);
        let keys: Vec<CacheNodeKey> = common::cache_nodes(NODES);
        sim.feed_all(fernslip_gossip::Event::CacheNodes(keys.clone()));
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        let fronts = (0..case.fronts).map(|n| DecidingFront::new(seed ^ n as u64)).collect();
        Trial { case, gossips, sim, keys, rng, fronts, requests: 0, wasted: 0 }
    }

    fn is_byzantine(&self, n: usize) -> bool {
        n >= self.case.fronts - self.case.byzantine
    }

    fn is_dead(&self) -> bool {
        self.sim.now >= SETTLE_MS
    }

    /// Front `n` accuses, if it is byzantine, and serves the requests of one step.
    fn step(&mut self, n: usize, out: &mut Outcome) {
        if self.is_byzantine(n) && self.gossips && self.rng.random_bool(0.2) {
            self.sim.observe(n, self.keys[1], Observation::Failing, 1.0);
        }
        let due = self.case.rate * STEP_MS / 1000.0;
        let requests = due as usize + usize::from(self.rng.random_bool(due.fract()));
        for _ in 0..requests {
            self.serve_request(n, out);
        }
    }

    fn serve_request(&mut self, n: usize, out: &mut Outcome) {
        self.requests += 1;
        let request = Request {
            id: RequestId(self.requests),
            object: ObjectId(self.rng.random()),
            part: 0,
            class: 0,
            size_kb: 20.0,
            budget_ms: 5000.0,
            group: 0,
        };
        let (mut actions, mut attempt) = (Vec::new(), 0);
        let now = self.sim.now + 1.0;
        self.fronts[n].router.handle(now, Event::Request(request), &mut actions);
        while let Some(Action::Forward { id, cache, .. }) =
            actions.iter().find(|a| matches!(a, Action::Forward { .. })).cloned()
        {
            actions.clear();
            let outcome = self.attempt(id, attempt, cache);
            attempt += 1;
            self.fronts[n].router.handle(now, Event::Outcome(outcome), &mut actions);
            actions.iter().for_each(|action| self.note_action(n, action, out));
        }
    }

    /// The outcome of an attempt: the dead node refuses, and healthy ones answer with an error now and then.
    fn attempt(&mut self, id: RequestId, attempt: u32, cache: CacheId) -> fernslip::Outcome {
        let fails = self.is_dead() && &*cache.0 == "box-0";
        self.wasted += u64::from(fails && self.sim.now < SETTLE_MS + WASTED_MS);
        let ending = match fails {
            true => Ending::ConnectionRefused,
            false if self.rng.random_bool(ERROR_RATE) => Ending::Errored,
            false => Ending::Completed,
        };
        let over = ending == Ending::Completed;
        fernslip::Outcome {
            id,
            attempt,
            cache,
            ending,
            elapsed_ms: 10.0,
            over,
            detail: if over { 2 } else { 0 },
            fill_wait_ms: 0.0,
            reported_in_flight: None,
        }
    }

    /// Notes an ejection, and passes evidence to the gossip.
    fn note_action(&mut self, n: usize, action: &Action, out: &mut Outcome) {
        match action {
            Action::Log(line) if line.contains("trials only") => {
                if line.starts_with("box-0 ") {
                    self.fronts[n].avoids_ms.get_or_insert(self.sim.now - SETTLE_MS);
                } else {
                    out.shunned += 1;
                }
            }
            Action::Evidence { cache, sign, strength } if self.gossips && !self.is_byzantine(n) => {
                let observation = match sign {
                    Sign::Well => Observation::Healthy,
                    Sign::Silent => Observation::Unresponsive,
                    Sign::Crawling => Observation::Slow,
                    Sign::Failing => Observation::Failing,
                };
                self.sim.observe(n, CacheNodeKey::new(&cache.0, 0), observation, *strength);
            }
            _ => {}
        }
    }

    /// Passes changed scores from the gossip to the decision modules.
    fn apply_hearsay(&mut self, dead: bool, out: &mut Outcome) {
        for (n, front) in self.fronts.iter_mut().enumerate() {
            for (node, key) in self.keys.iter().enumerate() {
                let amount = self.sim.hearsay(n, *key);
                if amount == front.hearsay[node] {
                    continue;
                }
                front.hearsay[node] = amount;
                if node == 0 && dead && amount >= AVOIDING_SCORE {
                    front.avoids_ms.get_or_insert(self.sim.now - SETTLE_MS);
                }
                if node != 0 {
                    out.lowered = out.lowered.max(amount);
                }
                let cache = CacheId::from(name(node).as_str());
                let event = Event::PeerSuspicion { cache, amount };
                front.router.handle(self.sim.now + 1.0, event, &mut Vec::new());
            }
        }
    }

    fn add_to(&self, horizon: f64, out: &mut Outcome) {
        let honest = self.case.fronts - self.case.byzantine;
        let mut times: Vec<u64> = self.fronts[..honest]
            .iter()
            .map(|front| front.avoids_ms.unwrap_or(horizon).max(1.0) as u64)
            .collect();
        times.iter().for_each(|t| out.detect.record(*t).expect("in range"));
        times.sort_unstable();
        out.ninety.push(times[(honest * 9).div_ceil(10) - 1]);
        out.wasted += self.wasted as f64 / self.case.fronts as f64 / self.case.seeds as f64;
        let max = self.sim.fronts.iter().map(|f| f.max_bytes_per_s).max().unwrap_or(0);
        out.bytes_per_s = out.bytes_per_s.max(max);
    }
}

fn simulate(case: Case, gossips: bool, seed: u64, out: &mut Outcome) {
    let horizon = if case.rate >= 50.0 { 20_000.0 } else { 240_000.0 };
    let mut trial = Trial::new(case, gossips, seed);
    while trial.sim.now < SETTLE_MS + horizon {
        let died_before_step = trial.is_dead();
        (0..case.fronts).for_each(|n| trial.step(n, out));
        trial.sim.run_for(STEP_MS);
        trial.apply_hearsay(died_before_step, out);
        let counted = trial.sim.now > SETTLE_MS + WASTED_MS.min(horizon);
        if counted && trial.fronts.iter().all(|f| f.avoids_ms.is_some()) && case.byzantine == 0 {
            break;
        }
    }
    trial.add_to(horizon, out);
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
    (0..case.seeds).for_each(|s| simulate(case, gossips, 100 + s, &mut out));
    out.ninety.sort_unstable();
    out
}

fn at(h: &Histogram<u64>) -> serde_json::Value {
    serde_json::json!({"p50": h.value_at_quantile(0.5), "p99": h.value_at_quantile(0.99)})
}

fn main() {
    let mut case = Case { fronts: 20, loss: 0.1, byzantine: 1, rate: 1.0, seeds: 5 };
    for arg in std::env::args().skip(1) {
        let value = |v: &str| v.parse::<f64>().unwrap_or_else(|_| panic!("{arg}: no number"));
        match arg.split_once('=') {
            None if arg == "table" => return table(),
            None if arg == "cpu" => return cpu(),
            Some(("fronts", v)) => case.fronts = value(v) as usize,
            Some(("loss", v)) => case.loss = value(v),
            Some(("liars", v)) => case.byzantine = value(v) as usize,
            Some(("rate", v)) => case.rate = value(v),
            Some(("seeds", v)) => case.seeds = value(v) as u64,
            _ => panic!("{arg}: fronts= loss= liars= rate= seeds=, table or cpu"),
        }
    }
    let (with, without) = (run(case, true), run(Case { byzantine: 0, ..case }, false));
    println!(
        "{}",
        serde_json::json!({
            "fronts": case.fronts, "loss": case.loss, "liars": case.byzantine, "rate": case.rate,
            "healthy_shunned": with.shunned, "healthy_lowered_max": with.lowered, "cap": aggregate::MAX_SCORE,
            "bytes_per_s_max": with.bytes_per_s, "budget": 4096 + 4096,
            "detect_ms": {"with": at(&with.detect), "without": at(&without.detect)},
            "ninety_ms": {"with": with.ninety[with.ninety.len() / 2], "without": without.ninety[without.ninety.len() / 2]},
            "wasted_a_front": {"with": with.wasted, "without": without.wasted},
        })
    );
}

/// What a datagram costs its receiver, by what it carries: the tag, the replay window, and aggregating its reports.
fn cpu() {
    for reports in [0, 1, 11] {
        let mut sim = Simulation::new(3, Network { loss: 0.0, duplicated: 0.0, delay_ms: (1.0, 1.0) }, 1);
        sim.feed_all(fernslip_gossip::Event::CacheNodes(common::cache_nodes(100)));
        sim.run_for(10_000.0);
        sim.record = Some(Vec::new());
        for round in 0..4_000u32 {
            // Told anew in each round, as if it had become surer.
            let strength = 0.2 + 0.6 * f64::from(round % 2);
            common::cache_nodes(100)
                .iter()
                .take(reports)
                .for_each(|b| sim.observe(1, *b, Observation::Failing, strength));
            sim.run_for(250.0);
        }
        let sent = sim.record.take().expect("recorded");
        let mine: Vec<_> = sent
            .into_iter()
            .filter(|(from, to, _)| *from == common::addr(1) && *to == common::addr(0))
            .collect();
        let at = sim.clock(0);
        let config = fernslip_gossip::Config {
            name: "n0".into(),
            addr: common::addr(0),
            skew_ms: 1e9,
            ..Default::default()
        };
        let mut g = fernslip_gossip::Gossip::new(config, sim.keys.clone(), 1, at);
        let mut actions = Vec::new();
        g.handle(at, fernslip_gossip::Event::CacheNodes(common::cache_nodes(100)), &mut actions);
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
        let accepted = g.counters().accepted;
        println!(
            "{reports} reports: {} datagrams of {} bytes, {accepted} accepted, {us:.1} us each",
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
            let case = Case { fronts, loss, byzantine: 0, rate, seeds };
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
