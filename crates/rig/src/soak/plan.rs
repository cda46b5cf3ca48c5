//! Which fault is injected when: two or three at any time, drawn by the seed before the run begins.

use super::bus::BusMode;
use super::nodes::NodeMode;
use super::seeded_rng::SeededRng;
use crate::shim::MachineFault;
use std::ops::Range;
use std::time::Duration;

/// Between the beginnings of two faults, in milliseconds; most last longer than this, and so overlap.
const GAP_MS: Range<u64> = 150..800;
/// How long a fault lasts, in milliseconds.
const DURATION_MS: Range<u64> = 400..3_500;
/// When the first fault begins.
const FIRST_AFTER: Duration = Duration::from_millis(500);
/// Steps of a wall clock, in milliseconds.
const CLOCK_STEPS_MS: [i64; 4] = [-3_600_000, 3_600_000, -5_000, 5_000];

/// How often a kind of system call fails.
#[derive(Clone, Copy, Debug)]
pub struct SystemFaultRate {
    /// Which.
    pub fault: MachineFault,
    /// So many times of a thousand.
    pub per_thousand: i64,
}

/// A fault. Fronts and nodes are named by their number.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// A front gets SIGTERM, and starts again.
    Terminate {
        /// The front.
        front: usize,
    },
    /// A front is killed, and starts again.
    Kill {
        /// The front.
        front: usize,
    },
    /// A front is stopped for a moment.
    Pause {
        /// The front.
        front: usize,
    },
    /// A front gets a new configuration that names another address of the bus.
    Reload {
        /// The front.
        front: usize,
    },
    /// A front is evacuated, and activated again.
    Evacuate {
        /// The front.
        front: usize,
    },
    /// A node is excluded at a front by hand, and included again.
    Exclude {
        /// The front.
        front: usize,
        /// The node.
        node: usize,
    },
    /// A node misbehaves for a while.
    Node {
        /// The node.
        node: usize,
        /// How it misbehaves.
        mode: NodeMode,
    },
    /// The link between a front and a node stalls, and then delivers what was on it.
    StallLink {
        /// The front.
        front: usize,
        /// The node.
        node: usize,
    },
    /// A node drains, departs, and comes back as another process.
    ReplaceNode {
        /// The node.
        node: usize,
    },
    /// The bus misbehaves towards a front.
    Bus {
        /// The front.
        front: usize,
        /// How it misbehaves.
        mode: BusMode,
    },
    /// The bus misbehaves towards all fronts.
    AllBuses {
        /// How it misbehaves.
        mode: BusMode,
    },
    /// So many objects are purged, the most requested ones first.
    Purge {
        /// How many.
        objects: u64,
    },
    /// A front's wall clock is stepped.
    StepWallClock {
        /// The front.
        front: usize,
        /// By so many milliseconds.
        by_ms: i64,
    },
    /// Some system calls of a front fail.
    SystemCalls {
        /// The front.
        front: usize,
        /// Which, and how often.
        rates: Vec<SystemFaultRate>,
    },
    /// A front gets faulty clients.
    FaultyClients {
        /// The front.
        front: usize,
        /// How many.
        count: u64,
    },
}

/// A fault and its time.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// When it begins, from the beginning of the run.
    pub after: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What it is.
    pub kind: FaultKind,
}

/// How many fronts and nodes there are.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Fronts.
    pub fronts: usize,
    /// Nodes, sources among them.
    pub nodes: usize,
    /// The last nodes are sources: parents and the origin.
    pub sources: usize,
}

/// Draws all faults of a run that lasts so long.
pub fn draw_plan(seed: u64, run_duration: Duration, fleet: Fleet) -> Vec<PlannedFault> {
    let rng = SeededRng::new(seed, 5_000);
    let mut plan = Vec::new();
    let mut after = FIRST_AFTER;
    while after < run_duration {
        let duration = Duration::from_millis(rng.number(DURATION_MS));
        plan.push(PlannedFault { after, duration, kind: draw_kind(&rng, fleet) });
        after += Duration::from_millis(rng.number(GAP_MS));
    }
    plan
}

fn draw_kind(rng: &SeededRng, Fleet { fronts, nodes, sources }: Fleet) -> FaultKind {
    let front = rng.number(0..fronts as u64) as usize;
    let cache_node = rng.number(0..(nodes - sources) as u64) as usize;
    // Sources fail less often: without any, nothing could be filled and little would be tested.
    let source = || nodes - 1 - rng.number(0..sources as u64) as usize;
    let node = if rng.chance(0.15) { source() } else { cache_node };
    match rng.number(0..22) {
        0 | 1 => FaultKind::Terminate { front },
        2 => FaultKind::Kill { front },
        3 => FaultKind::Pause { front },
        4 | 5 => FaultKind::Reload { front },
        6 => FaultKind::Evacuate { front },
        7 => FaultKind::Exclude { front, node: cache_node },
        8 => FaultKind::StallLink { front, node },
        9 | 10 => FaultKind::ReplaceNode { node: cache_node },
        11 => FaultKind::Bus { front, mode: draw_bus_mode(rng) },
        12 => FaultKind::AllBuses { mode: draw_bus_mode(rng) },
        13 | 14 => FaultKind::Purge { objects: rng.number(3..60) },
        15 => FaultKind::StepWallClock { front, by_ms: *rng.pick(&CLOCK_STEPS_MS) },
        16 | 17 => FaultKind::SystemCalls { front, rates: draw_system_faults(rng) },
        18 => FaultKind::FaultyClients { front, count: rng.number(5..80) },
        _ => FaultKind::Node { node, mode: draw_node_mode(rng) },
    }
}

fn draw_bus_mode(rng: &SeededRng) -> BusMode {
    match rng.number(0..4) {
        0 => BusMode::Down,
        1 => BusMode::Silent,
        _ => BusMode::Delayed(Duration::from_millis(rng.number(20..400))),
    }
}

fn draw_node_mode(rng: &SeededRng) -> NodeMode {
    match rng.number(0..8) {
        0 | 1 => NodeMode::Hanging,
        2 => NodeMode::Dead,
        3 => NodeMode::Slow(Duration::from_millis(rng.number(50..900))),
        4 => NodeMode::Failing,
        5 => NodeMode::Full,
        6 => NodeMode::Resetting,
        _ => NodeMode::Corrupting,
    }
}

fn draw_system_faults(rng: &SeededRng) -> Vec<SystemFaultRate> {
    let chosen = MachineFault::RATES.into_iter().filter(|_| rng.chance(0.5));
    chosen.map(|fault| SystemFaultRate { fault, per_thousand: rng.number(20..300) as i64 }).collect()
}

#[cfg(test)]
mod tests;
