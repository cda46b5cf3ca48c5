//! Simulates fronts with the real decision module and real gossip on a simulated network: one cache node
//! fails, and byzantine peers accuse a healthy one.
//!
//!     cargo run --release -p fernslip-gossip --example byzantine_peer -- [NAME=VALUE]...
//!     cargo run --release -p fernslip-gossip --example byzantine_peer -- table
//!     cargo run --release -p fernslip-gossip --example byzantine_peer -- cpu
//!
//! The parameters and their defaults are `fronts=20 loss=0.1 liars=1 rate=1 seeds=5`. `liars` is the number
//! of byzantine peers and `rate` the number of requests per second at each front, over twenty cache nodes.
//! The first form prints one JSON object. A front counts as avoiding the failed node from the time when its
//! own answers ejected the node, or when the gossip score left the node a quarter of its objects or less. A
//! healthy node counts as shunned at each front that ejects it.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Network, Simulation};
use fernslip::*;
use fernslip_gossip::{aggregate, CacheNodeKey, Observation};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

const NODE_COUNT: usize = 20;
const STEP_MS: f64 = 50.0;
/// Simulated time before the cache node fails, in milliseconds, in which membership and load settle.
const SETTLE_MS: f64 = 20_000.0;
/// The gossip score of a cache node, at or above which a front counts as avoiding the node.
const AVOIDING_SCORE: f64 = 0.75;
/// Period after the failure, in milliseconds, in which attempts sent to the failed node are counted as
/// wasted.
const WASTED_PERIOD_MS: f64 = 60_000.0;
/// The fraction of a healthy cache node's answers that are errors.
const ERROR_RATE: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Scenario {
    fronts: usize,
    loss: f64,
    byzantine: usize,
    rate: f64,
    seeds: u64,
}

struct Measurements {
    /// Milliseconds from the failure until a front avoids the node; one value per honest front and seed.
    detection_ms: Histogram<u64>,
    /// Milliseconds from the failure until 90 % of the honest fronts avoid the node; one value per seed.
    ninety_percent_ms: Vec<u64>,
    shunned: usize,
    lowered: f64,
    wasted: f64,
    bytes_per_s: usize,
}

fn router_settings() -> Settings {
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
        direct_to_source: false,
        join_fills: true,
        neighbours: Neighbours::Location,
        detail_level: DetailLevel::Hit,
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
    /// When the front began to avoid the failed node, in milliseconds from the failure; `None` if it has not
    /// yet.
    avoids_ms: Option<f64>,
    peer_scores: Vec<f64>,
}

impl DecidingFront {
    fn new(seed: u64) -> DecidingFront {
        let mut router = Router::new(router_settings(), seed).expect("the settings are valid");
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
        let mut entries: Vec<Entry> = (0..NODE_COUNT).map(|node| entry(node_name(node), 1, 0)).collect();
        entries.push(entry("origin".into(), 0, 1));
        router.handle(1.0, Event::Endpoints { kind: ListKind::Full, entries }, &mut Vec::new());
        DecidingFront { router, avoids_ms: None, peer_scores: vec![0.0; NODE_COUNT] }
    }
}

fn node_name(node: usize) -> String {
    format!("box-{node}")
}

/// One simulation run: cache node 0 fails, and byzantine fronts accuse cache node 1.
struct SimulationRun {
    scenario: Scenario,
    gossips: bool,
    sim: Simulation,
    keys: Vec<CacheNodeKey>,
    rng: ChaCha8Rng,
    fronts: Vec<DecidingFront>,
    requests: u64,
    wasted: u64,
}

impl SimulationRun {
    fn new(scenario: Scenario, gossips: bool, seed: u64) -> SimulationRun {
        let mut sim = Simulation::new(scenario.fronts, Network::with_loss(scenario.loss), seed);
        let keys: Vec<CacheNodeKey> = common::cache_nodes(NODE_COUNT);
        sim.handle_event_on_all(fernslip_gossip::Event::CacheNodes(keys.clone()));
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        let fronts = (0..scenario.fronts).map(|index| DecidingFront::new(seed ^ index as u64)).collect();
        SimulationRun { scenario, gossips, sim, keys, rng, fronts, requests: 0, wasted: 0 }
    }

    fn is_byzantine(&self, index: usize) -> bool {
        index >= self.scenario.fronts - self.scenario.byzantine
    }

    fn is_node_dead(&self) -> bool {
        self.sim.now >= SETTLE_MS
    }

    /// Advances one front by one step: it accuses cache node 1 if it is byzantine, and serves the requests of
    /// the step.
    fn step_front(&mut self, index: usize, measured: &mut Measurements) {
        if self.is_byzantine(index) && self.gossips && self.rng.random_bool(0.2) {
            self.sim.observe_node(index, self.keys[1], Observation::Failing, 1.0);
        }
        let due = self.scenario.rate * STEP_MS / 1000.0;
        let requests = due as usize + usize::from(self.rng.random_bool(due.fract()));
        for _ in 0..requests {
            self.serve_request(index, measured);
        }
    }

    fn serve_request(&mut self, index: usize, measured: &mut Measurements) {
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
        self.fronts[index].router.handle(now, Event::Request(request), &mut actions);
        while let Some(Action::Forward { id, cache, .. }) =
            actions.iter().find(|a| matches!(a, Action::Forward { .. })).cloned()
        {
            actions.clear();
            let outcome = self.attempt_outcome(id, attempt, cache);
            attempt += 1;
            self.fronts[index].router.handle(now, Event::Outcome(outcome), &mut actions);
            actions.iter().for_each(|action| self.record_action(index, action, measured));
        }
    }

    /// Returns the outcome of an attempt: the failed node refuses the connection; the others answer, with an
    /// error at [`ERROR_RATE`].
    fn attempt_outcome(&mut self, id: RequestId, attempt: u32, cache: CacheId) -> fernslip::Outcome {
        let fails = self.is_node_dead() && &*cache.0 == "box-0";
        self.wasted += u64::from(fails && self.sim.now < SETTLE_MS + WASTED_PERIOD_MS);
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

    /// Records an ejection by the decision module, and passes the module's evidence to the gossip.
    fn record_action(&mut self, index: usize, action: &Action, measured: &mut Measurements) {
        match action {
            Action::Log(line) if line.contains("trials only") => {
                if line.starts_with("box-0 ") {
                    self.fronts[index].avoids_ms.get_or_insert(self.sim.now - SETTLE_MS);
                } else {
                    measured.shunned += 1;
                }
            }
            Action::Evidence { cache, sign, strength } if self.gossips && !self.is_byzantine(index) => {
                let observation = match sign {
                    Sign::Well => Observation::Healthy,
                    Sign::Silent => Observation::Unresponsive,
                    Sign::Crawling => Observation::Slow,
                    Sign::Failing => Observation::Failing,
                };
                self.sim.observe_node(index, CacheNodeKey::new(&cache.0, 0), observation, *strength);
            }
            _ => {}
        }
    }

    /// Passes changed gossip scores to the decision modules.
    fn apply_peer_scores(&mut self, dead: bool, measured: &mut Measurements) {
        for (index, front) in self.fronts.iter_mut().enumerate() {
            for (node, key) in self.keys.iter().enumerate() {
                let amount = self.sim.peer_score(index, *key);
                if amount == front.peer_scores[node] {
                    continue;
                }
                front.peer_scores[node] = amount;
                if node == 0 && dead && amount >= AVOIDING_SCORE {
                    front.avoids_ms.get_or_insert(self.sim.now - SETTLE_MS);
                }
                if node != 0 {
                    measured.lowered = measured.lowered.max(amount);
                }
                let cache = CacheId::from(node_name(node).as_str());
                let event = Event::PeerSuspicion { cache, amount };
                front.router.handle(self.sim.now + 1.0, event, &mut Vec::new());
            }
        }
    }

    fn add_measurements(&self, horizon: f64, measured: &mut Measurements) {
        let honest = self.scenario.fronts - self.scenario.byzantine;
        let mut times: Vec<u64> = self.fronts[..honest]
            .iter()
            .map(|front| front.avoids_ms.unwrap_or(horizon).max(1.0) as u64)
            .collect();
        times.iter().for_each(|t| {
            measured.detection_ms.record(*t).expect("the time is within the bounds of the histogram");
        });
        times.sort_unstable();
        measured.ninety_percent_ms.push(times[(honest * 9).div_ceil(10) - 1]);
        measured.wasted += self.wasted as f64 / self.scenario.fronts as f64 / self.scenario.seeds as f64;
        let max = self.sim.fronts.iter().map(|f| f.max_bytes_per_s).max().unwrap_or(0);
        measured.bytes_per_s = measured.bytes_per_s.max(max);
    }
}

fn run_seed(scenario: Scenario, gossips: bool, seed: u64, measured: &mut Measurements) {
    let horizon = if scenario.rate >= 50.0 { 20_000.0 } else { 240_000.0 };
    let mut run = SimulationRun::new(scenario, gossips, seed);
    while run.sim.now < SETTLE_MS + horizon {
        let died_before_step = run.is_node_dead();
        (0..scenario.fronts).for_each(|index| run.step_front(index, measured));
        run.sim.run_for_ms(STEP_MS);
        run.apply_peer_scores(died_before_step, measured);
        let counted = run.sim.now > SETTLE_MS + WASTED_PERIOD_MS.min(horizon);
        if counted && run.fronts.iter().all(|f| f.avoids_ms.is_some()) && scenario.byzantine == 0 {
            break;
        }
    }
    run.add_measurements(horizon, measured);
}

fn run_scenario(scenario: Scenario, gossips: bool) -> Measurements {
    let mut measured = Measurements {
        detection_ms: Histogram::new_with_bounds(1, 1_000_000, 3)
            .expect("the bounds of the histogram are valid"),
        ninety_percent_ms: Vec::new(),
        shunned: 0,
        lowered: 0.0,
        wasted: 0.0,
        bytes_per_s: 0,
    };
    (0..scenario.seeds).for_each(|s| run_seed(scenario, gossips, 100 + s, &mut measured));
    measured.ninety_percent_ms.sort_unstable();
    measured
}

fn percentiles(histogram: &Histogram<u64>) -> serde_json::Value {
    serde_json::json!({"p50": histogram.value_at_quantile(0.5), "p99": histogram.value_at_quantile(0.99)})
}

fn main() {
    let mut scenario = Scenario { fronts: 20, loss: 0.1, byzantine: 1, rate: 1.0, seeds: 5 };
    for arg in std::env::args().skip(1) {
        let value = |v: &str| {
            v.parse::<f64>().unwrap_or_else(|_| panic!("argument {arg}: the value is not a number"))
        };
        match arg.split_once('=') {
            None if arg == "table" => return print_table(),
            None if arg == "cpu" => return measure_receive_cost(),
            Some(("fronts", v)) => scenario.fronts = value(v) as usize,
            Some(("loss", v)) => scenario.loss = value(v),
            Some(("liars", v)) => scenario.byzantine = value(v) as usize,
            Some(("rate", v)) => scenario.rate = value(v),
            Some(("seeds", v)) => scenario.seeds = value(v) as u64,
            _ => {
                panic!("unknown argument {arg}: expected fronts=, loss=, liars=, rate=, seeds=, table or cpu")
            }
        }
    }
    let (with, without) =
        (run_scenario(scenario, true), run_scenario(Scenario { byzantine: 0, ..scenario }, false));
    println!(
        "{}",
        serde_json::json!({
            "fronts": scenario.fronts, "loss": scenario.loss,
            "liars": scenario.byzantine, "rate": scenario.rate,
            "healthy_shunned": with.shunned, "healthy_lowered_max": with.lowered, "cap": aggregate::MAX_SCORE,
            "bytes_per_s_max": with.bytes_per_s, "budget": 4096 + 4096,
            "detect_ms": {
                "with": percentiles(&with.detection_ms), "without": percentiles(&without.detection_ms)
            },
            "ninety_ms": {
                "with": with.ninety_percent_ms[with.ninety_percent_ms.len() / 2],
                "without": without.ninety_percent_ms[without.ninety_percent_ms.len() / 2]
            },
            "wasted_a_front": {"with": with.wasted, "without": without.wasted},
        })
    );
}

/// Measures what a datagram costs its receiver with 0, 1 and 11 reports: verifying the tag, the replay check
/// and aggregating the reports.
fn measure_receive_cost() {
    for reports in [0, 1, 11] {
        let mut sim = Simulation::new(3, Network { loss: 0.0, duplicated: 0.0, delay_ms: (1.0, 1.0) }, 1);
        sim.handle_event_on_all(fernslip_gossip::Event::CacheNodes(common::cache_nodes(100)));
        sim.run_for_ms(10_000.0);
        sim.recorded = Some(Vec::new());
        for round in 0..4_000u32 {
            // A strength that alternates makes each round's report a new version, which is sent again.
            let strength = 0.2 + 0.6 * f64::from(round % 2);
            common::cache_nodes(100)
                .iter()
                .take(reports)
                .for_each(|b| sim.observe_node(1, *b, Observation::Failing, strength));
            sim.run_for_ms(250.0);
        }
        let sent = sim.recorded.take().expect("recording is on");
        let mine: Vec<_> = sent
            .into_iter()
            .filter(|(from, to, _)| *from == common::front_addr(1) && *to == common::front_addr(0))
            .collect();
        let at = sim.clock(0);
        let config = fernslip_gossip::Config {
            name: "n0".into(),
            addr: common::front_addr(0),
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
            "{reports} reports: {} datagrams of {} bytes, {accepted} accepted, {us:.1} us per datagram",
            mine.len(),
            bytes / mine.len().max(1)
        );
    }
}

fn print_table() {
    println!(
        "| fronts | loss | requests/s per front | 90 % avoid the node, with gossip | without | ratio \
         | wasted per front, with gossip | without | max bytes/s | shunned |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (fronts, rate, seeds) in [(4, 1.0, 20), (20, 1.0, 9), (200, 1.0, 3), (4, 200.0, 9), (20, 200.0, 3)] {
        for loss in [0.0, 0.1, 0.3] {
            let scenario = Scenario { fronts, loss, byzantine: 0, rate, seeds };
            let (with, without) = (run_scenario(scenario, true), run_scenario(scenario, false));
            let median_s = |measured: &Measurements| {
                measured.ninety_percent_ms[measured.ninety_percent_ms.len() / 2] as f64 / 1000.0
            };
            println!(
                "| {fronts} | {loss} | {rate} | {:.1} s | {:.1} s | {:.1} | {:.1} | {:.1} | {} | {} |",
                median_s(&with),
                median_s(&without),
                median_s(&without) / median_s(&with),
                with.wasted,
                without.wasted,
                with.bytes_per_s,
                with.shunned
            );
        }
    }
}
