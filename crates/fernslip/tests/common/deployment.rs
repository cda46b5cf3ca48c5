//! Deployments drawn by seed, over wider ranges of settings than any real deployment has, and what came of a run.
use super::*;

/// Draws by seed: splitmix64.
#[derive(Clone)]
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Evenly from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn within(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }

    /// As many small values as large ones.
    pub fn log(&mut self, from: f64, to: f64) -> f64 {
        (self.within(from.ln(), to.ln())).exp()
    }

    pub fn coin(&mut self) -> bool {
        self.next() & 1 == 1
    }

    pub fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[(self.next() % of.len() as u64) as usize]
    }
}

/// What a deployment is, drawn by its seed.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub seed: u64,
    pub set: Settings,
    /// Transfers that each cache's link carries.
    pub bandwidths: Vec<f64>,
    pub parents: usize,
    pub parent_bandwidth: f64,
    pub origin_bandwidth: f64,
    pub link_in: f64,
    /// Weights in the list: none, or the widths, roughly.
    pub weights: bool,
    pub reports: bool,
    /// Mean sending time of a request.
    pub work_ms: f64,
    /// Part of the requests that is for objects requested once.
    pub once: f64,
}

impl Deployment {
    pub fn draw(seed: u64) -> Deployment {
        let mut d = Draw(seed);
        let caches = d.log(2.0, 40.9) as usize;
        // In all some 80 transfers at the most: what a test has time for.
        let mean = d.log(1.0, 50.0).min(80.0 / caches as f64).max(1.5);
        let bandwidths: Vec<f64> = (0..caches).map(|_| mean * d.within(0.7, 1.3)).collect();
        let routers = d.log(1.0, 50.9) as u32;
        let (once, total) = (d.within(0.03, 0.15), bandwidths.iter().sum::<f64>());
        let flow = d.log(500.0, 15_000.0);
        let read = |objective_ms: f64, priority_weight| Class { objective_ms, priority_weight, ..class() };
        let mut classes = vec![read(d.within(300.0, 1_000.0), 2.0), read(d.within(200.0, 600.0), 1.0)];
        classes[0].deadline_ms = d.within(3_000.0, 8_000.0);
        classes[1].deadline_ms = d.within(1_500.0, 4_000.0);
        if d.coin() {
            (classes[1].fresh_ms, classes[1].grace_ms) = (8_000.0, 20_000.0);
        }
        classes.push(Class { effect: Effect::AtMostOnce, write: true, ..read(600.0, 3.0) });
        // Half as wide again as what is wanted once and what was not kept need.
        let link_in = (total * d.within(0.45, 0.8)).max(2.0);
        let links = d.coin();
        let grace = d.log(100.0, 2_000.0);
        let set = Settings {
            zone_routers: vec![0, routers, 1],
            routers: routers + 1,
            link_in_kb_per_s: if links { vec![0.0, link_in * flow, link_in * flow] } else { vec![0.0; 3] },
            classes,
            straight: d.coin(),
            joins: d.coin(),
            neighbours: d.pick(&[Neighbours::None, Neighbours::Location]),
            notes: d.pick(&[NoteLevel::None, NoteLevel::Hit, NoteLevel::All]),
            stream_kb_per_s: flow,
            max_attempts: d.within(1.0, 8.99) as u32,
            peers: d.coin(),
            max_retry_after_ms: d.pick(&[0.0, 500.0, 1_000.0]),
            tick_ms: d.pick(&[0.0, 2.0]),
            drain_grace_ms: grace,
            slow_start_from: d.within(0.15, 0.5),
            slow_start_ms: d.within(4_000.0, 20_000.0),
            slow_start_multiple: d.within(1.5, 4.0),
            slow_start_window_ms: d.within(1_000.0, 3_000.0),
            purge_slack_ms: d.log(100.0, 2_000.0),
            ..settings()
        };
        let parents = d.within(1.0, 4.99) as usize;
        Deployment {
            seed,
            set,
            parents,
            parent_bandwidth: (link_in * d.within(1.2, 2.0) / parents as f64).max(2.0)
                * if parents > 1 { 1.5 } else { 1.0 },
            origin_bandwidth: link_in * d.within(1.2, 2.5),
            link_in,
            weights: d.next() % 4 == 0,
            reports: d.next() % 3 == 0,
            work_ms: d.log(60.0, 500.0),
            once,
            bandwidths,
        }
    }
}

/// What happens besides requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// Nothing.
    Calm,
    /// A cache drains, another stops and comes back cold, objects are purged.
    Faults,
}

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub requests: u32,
    pub rejected: u32,
    pub failed: u32,
    /// Sending time of what was served, in milliseconds.
    pub served_ms: f64,
    /// By cache: what it sent over what it could send.
    pub used: Vec<f64>,
    pub violations: Vec<String>,
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
            "link in {:.1} (told {}), weights {}, reports {}, ",
            self.link_in,
            s.link_in_kb_per_s[1] > 0.0,
            self.weights,
            self.reports
        )?;
        write!(
            f,
            "notes {:?}, {:?}, joins {}, peers {}, {} attempts, ",
            s.notes, s.neighbours, s.joins, s.peers, s.max_attempts
        )?;
        write!(
            f,
            "{:.0} ms of work, {:.2} once, aims {:.0} and {:.0} ms, graces {:.0} and {:.0} ms",
            self.work_ms,
            self.once,
            s.classes[0].objective_ms,
            s.classes[1].objective_ms,
            s.drain_grace_ms,
            s.purge_slack_ms
        )
    }
}
