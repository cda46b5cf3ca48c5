//! The plan of faults: which fault is injected when. The plan is generated from the seed before the run
//! begins; two or three faults are active at any time.

use super::bus::BusMode;
use super::nodes::NodeMode;
use super::seeded_rng::SeededRng;
use crate::shim::MachineFault;
use std::ops::Range;
use std::time::Duration;

/// Time between the starts of two consecutive faults, in milliseconds. Most faults last longer than this, so
/// that they overlap.
const FAULT_INTERVAL_MS: Range<u64> = 150..800;
/// Time for which a fault is active, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 400..3_500;
/// Time from the start of the fault period to the first fault.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(500);
/// Steps by which a front's wall clock is moved, in milliseconds.
const WALL_CLOCK_STEPS_MS: [i64; 4] = [-3_600_000, 3_600_000, -5_000, 5_000];

/// Rate at which one group of system calls fails.
#[derive(Clone, Copy, Debug)]
pub struct SystemFaultRate {
    /// Group of system calls that fails.
    pub fault: MachineFault,
    /// Number of failures per thousand calls.
    pub per_thousand: i64,
}

/// A fault that can be injected. Fronts and nodes are given by their index.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// A front receives SIGTERM and is started again after it has ended.
    Terminate {
        /// Index of the front.
        front: usize,
    },
    /// A front is killed with SIGKILL and is started again after a pause.
    Kill {
        /// Index of the front.
        front: usize,
    },
    /// A front is suspended with SIGSTOP for a short, fixed time.
    Pause {
        /// Index of the front.
        front: usize,
    },
    /// A front reloads a configuration that may name its other address of the discovery bus.
    Reload {
        /// Index of the front.
        front: usize,
    },
    /// A front is evacuated and later activated again through its admin interface.
    Evacuate {
        /// Index of the front.
        front: usize,
    },
    /// A node is excluded at one front through the admin interface and later included again.
    Exclude {
        /// Index of the front.
        front: usize,
        /// Index of the node.
        node: usize,
    },
    /// A node is in a faulty mode until the fault ends.
    Node {
        /// Index of the node.
        node: usize,
        /// Faulty mode of the node.
        mode: NodeMode,
    },
    /// The link between a front and a node delivers nothing until the fault ends, and then all that was sent
    /// meanwhile.
    StallLink {
        /// Index of the front.
        front: usize,
        /// Index of the node.
        node: usize,
    },
    /// A node drains, is removed from the endpoint list, and returns as a new process.
    ReplaceNode {
        /// Index of the node.
        node: usize,
    },
    /// The discovery bus is in a faulty mode for one front.
    Bus {
        /// Index of the front.
        front: usize,
        /// Faulty mode of the bus.
        mode: BusMode,
    },
    /// The discovery bus is in the same faulty mode for all fronts.
    AllBuses {
        /// Faulty mode of the bus.
        mode: BusMode,
    },
    /// Objects are purged one after another, the most requested ones first.
    Purge {
        /// Number of objects to purge.
        objects: u64,
    },
    /// A front's wall clock is shifted by a fixed offset from real time. The offset remains when the fault
    /// ends.
    StepWallClock {
        /// Index of the front.
        front: usize,
        /// Offset of the wall clock, in milliseconds.
        by_ms: i64,
    },
    /// Some system calls of a front fail until the fault ends.
    SystemCalls {
        /// Index of the front.
        front: usize,
        /// Groups of system calls that fail, each with its rate.
        rates: Vec<SystemFaultRate>,
    },
    /// Faulty clients connect to a front.
    FaultyClients {
        /// Index of the front.
        front: usize,
        /// Number of faulty clients.
        count: u64,
    },
}

/// A fault with the time at which it is injected.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Time from the start of the fault period to the start of the fault.
    pub after: Duration,
    /// Time for which the fault is active.
    pub duration: Duration,
    /// The fault to inject.
    pub kind: FaultKind,
}

/// Number of fronts and nodes in a run.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of nodes, sources included.
    pub nodes: usize,
    /// Number of sources (parents and the origin), which have the highest node indices.
    pub sources: usize,
}

/// Generates all faults of a run from its seed; none starts after `run_duration`.
pub fn generate_fault_plan(seed: u64, run_duration: Duration, fleet: FleetSize) -> Vec<PlannedFault> {
    let rng = SeededRng::new(seed, 5_000);
    let mut plan = Vec::new();
    let mut after = FIRST_FAULT_DELAY;
    while after < run_duration {
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        plan.push(PlannedFault { after, duration, kind: choose_fault_kind(&rng, fleet) });
        after += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
    }
    plan
}

fn choose_fault_kind(rng: &SeededRng, FleetSize { fronts, nodes, sources }: FleetSize) -> FaultKind {
    let front = rng.random_range(0..fronts as u64) as usize;
    let cache_node = rng.random_range(0..(nodes - sources) as u64) as usize;
    // Sources fail less often than cache nodes: without a source nothing can be filled, and little would be
    // tested.
    let source = || nodes - 1 - rng.random_range(0..sources as u64) as usize;
    let node = if rng.random_bool(0.15) { source() } else { cache_node };
    match rng.random_range(0..22) {
        0 | 1 => FaultKind::Terminate { front },
        2 => FaultKind::Kill { front },
        3 => FaultKind::Pause { front },
        4 | 5 => FaultKind::Reload { front },
        6 => FaultKind::Evacuate { front },
        7 => FaultKind::Exclude { front, node: cache_node },
        8 => FaultKind::StallLink { front, node },
        9 | 10 => FaultKind::ReplaceNode { node: cache_node },
        11 => FaultKind::Bus { front, mode: choose_bus_mode(rng) },
        12 => FaultKind::AllBuses { mode: choose_bus_mode(rng) },
        13 | 14 => FaultKind::Purge { objects: rng.random_range(3..60) },
        15 => FaultKind::StepWallClock { front, by_ms: *rng.choose(&WALL_CLOCK_STEPS_MS) },
        16 | 17 => FaultKind::SystemCalls { front, rates: choose_system_call_faults(rng) },
        18 => FaultKind::FaultyClients { front, count: rng.random_range(5..80) },
        _ => FaultKind::Node { node, mode: choose_node_mode(rng) },
    }
}

fn choose_bus_mode(rng: &SeededRng) -> BusMode {
    match rng.random_range(0..4) {
        0 => BusMode::Down,
        1 => BusMode::Silent,
        _ => BusMode::Delayed(Duration::from_millis(rng.random_range(20..400))),
    }
}

fn choose_node_mode(rng: &SeededRng) -> NodeMode {
    match rng.random_range(0..8) {
        0 | 1 => NodeMode::Hanging,
        2 => NodeMode::Dead,
        3 => NodeMode::Slow(Duration::from_millis(rng.random_range(50..900))),
        4 => NodeMode::Failing,
        5 => NodeMode::Full,
        6 => NodeMode::Resetting,
        _ => NodeMode::Corrupting,
    }
}

fn choose_system_call_faults(rng: &SeededRng) -> Vec<SystemFaultRate> {
    let chosen = MachineFault::RATE_FAULTS.into_iter().filter(|_| rng.random_bool(0.5));
    chosen.map(|fault| SystemFaultRate { fault, per_thousand: rng.random_range(20..300) as i64 }).collect()
}

#[cfg(test)]
mod tests;
