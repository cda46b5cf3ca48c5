//! Random deployments, each determined by a seed, over wider ranges of settings than real deployments have,
//! and the report of a simulated run.
use super::*;

/// A pseudo-random number generator (splitmix64); the number is its state, at first the seed.
#[derive(Clone)]
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A uniform number of at least 0 and below 1.
    pub fn unit_interval(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A uniform number between the bounds.
    pub fn uniform(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit_interval()
    }

    /// A log-uniform number between the bounds: each factor of two is equally likely.
    pub fn log_uniform(&mut self, from: f64, to: f64) -> f64 {
        (self.uniform(from.ln(), to.ln())).exp()
    }

    pub fn coin_flip(&mut self) -> bool {
        self.next() & 1 == 1
    }

    pub fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[(self.next() % choices.len() as u64) as usize]
    }
}

/// One location's caches, routers, parents, origin and load, all chosen at random by the seed.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub seed: u64,
    pub set: Settings,
    /// By cache: the number of concurrent transfers that its link carries at full speed.
    pub bandwidths: Vec<f64>,
    pub parents: usize,
    /// Like `bandwidths`, but for each parent.
    pub parent_bandwidth: f64,
    /// Like `bandwidths`, but for the origin.
    pub origin_bandwidth: f64,
    /// Like `bandwidths`, but for the location's fill link.
    pub link_in: f64,
    /// Whether the endpoint list gives roughly the bandwidths as weights; otherwise every weight is 1.
    pub weights: bool,
    /// Whether outcomes carry load reports.
    pub reports: bool,
    /// Mean sending time of a request, in milliseconds.
    pub work_ms: f64,
    /// Fraction of the requests that are for objects requested only once.
    pub once: f64,
}

impl Deployment {
    pub fn from_seed(seed: u64) -> Deployment {
        let mut d = SplitMix64(seed);
        let caches = d.log_uniform(2.0, 40.9) as usize;
        // The total is limited to about 80 transfers, to bound the run time of a test.
        let mean = d.log_uniform(1.0, 50.0).min(80.0 / caches as f64).max(1.5);
        let bandwidths: Vec<f64> = (0..caches).map(|_| mean * d.uniform(0.7, 1.3)).collect();
        let routers = d.log_uniform(1.0, 50.9) as u32;
        let (once, total) = (d.uniform(0.03, 0.15), bandwidths.iter().sum::<f64>());
        let flow = d.log_uniform(500.0, 15_000.0);
        let read = |objective_ms: f64, priority_weight| Class { objective_ms, priority_weight, ..class() };
        let mut classes = vec![read(d.uniform(300.0, 1_000.0), 2.0), read(d.uniform(200.0, 600.0), 1.0)];
        classes[0].deadline_ms = d.uniform(3_000.0, 8_000.0);
        classes[1].deadline_ms = d.uniform(1_500.0, 4_000.0);
        if d.coin_flip() {
            (classes[1].fresh_ms, classes[1].grace_ms) = (8_000.0, 20_000.0);
        }
        classes.push(Class { effect: Effect::AtMostOnce, write: true, ..read(600.0, 3.0) });
        // One and a half times the bandwidth that fills need, for objects requested once and copies not kept.
        let link_in = (total * d.uniform(0.45, 0.8)).max(2.0);
        let links = d.coin_flip();
        let grace = d.log_uniform(100.0, 2_000.0);
        let set = Settings {
            zone_routers: vec![0, routers, 1],
            routers: routers + 1,
            link_in_kb_per_s: if links { vec![0.0, link_in * flow, link_in * flow] } else { vec![0.0; 3] },
            classes,
            direct_to_source: d.coin_flip(),
            join_fills: d.coin_flip(),
            neighbours: d.choose(&[Neighbours::None, Neighbours::Location]),
            detail_level: d.choose(&[DetailLevel::None, DetailLevel::Hit, DetailLevel::All]),
            stream_kb_per_s: flow,
            max_attempts: d.uniform(1.0, 8.99) as u32,
            peers: d.coin_flip(),
            max_retry_after_ms: d.choose(&[0.0, 500.0, 1_000.0]),
            tick_ms: d.choose(&[0.0, 2.0]),
            drain_grace_ms: grace,
            slow_start_from: d.uniform(0.15, 0.5),
            slow_start_ms: d.uniform(4_000.0, 20_000.0),
            slow_start_multiple: d.uniform(1.5, 4.0),
            slow_start_window_ms: d.uniform(1_000.0, 3_000.0),
            purge_slack_ms: d.log_uniform(100.0, 2_000.0),
            ..settings()
        };
        let parents = d.uniform(1.0, 4.99) as usize;
        Deployment {
            seed,
            set,
            parents,
            parent_bandwidth: (link_in * d.uniform(1.2, 2.0) / parents as f64).max(2.0)
                * if parents > 1 { 1.5 } else { 1.0 },
            origin_bandwidth: link_in * d.uniform(1.2, 2.5),
            link_in,
            weights: d.next() % 4 == 0,
            reports: d.next() % 3 == 0,
            work_ms: d.log_uniform(60.0, 500.0),
            once,
            bandwidths,
        }
    }
}

/// What happens in a run besides requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RunKind {
    /// Nothing besides requests.
    RequestsOnly,
    /// A cache drains, another stops and restarts with no copies, and objects are purged.
    Faults,
}

/// Result of a run, measured after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub requests: u32,
    pub rejected: u32,
    pub failed: u32,
    /// Total sending time of the requests served, in milliseconds.
    pub served_ms: f64,
    /// By cache: the fraction of its link's capacity that it used.
    pub used: Vec<f64>,
    /// Rules that an action broke.
    pub violations: Vec<String>,
    /// Log lines of the routers.
    pub log: Vec<String>,
}

impl std::fmt::Display for Deployment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let s = &self.set;
        let bandwidths: Vec<f64> = self.bandwidths.iter().map(|w| (w * 10.0).round() / 10.0).collect();
        write!(
            f,
            "{} caches {bandwidths:?}, {} routers, {} parents of {:.1}, origin {:.1}, ",
            bandwidths.len(),
            s.zone_routers[1],
            self.parents,
            self.parent_bandwidth,
            self.origin_bandwidth
        )?;
        write!(
            f,
            "fill link {:.1} (in settings: {}), weights listed: {}, load reports: {}, ",
            self.link_in,
            s.link_in_kb_per_s[1] > 0.0,
            self.weights,
            self.reports
        )?;
        write!(
            f,
            "detail level {:?}, neighbours {:?}, joins: {}, peers: {}, at most {} attempts, ",
            s.detail_level, s.neighbours, s.join_fills, s.peers, s.max_attempts
        )?;
        write!(
            f,
            "mean work {:.0} ms, fraction requested once {:.2}, latency objectives {:.0} and {:.0} ms, \
             drain grace {:.0} ms, purge slack {:.0} ms",
            self.work_ms,
            self.once,
            s.classes[0].objective_ms,
            s.classes[1].objective_ms,
            s.drain_grace_ms,
            s.purge_slack_ms
        )
    }
}
