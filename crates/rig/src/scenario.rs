//! Scenarios: what is to happen to a fleet, step by step, and what must hold. They are KDL documents; `docs/operate/rig.md`
//! lists their keys.

mod parse;

use crate::programs::Build;
use std::time::Duration;

/// Which fronts a step applies to; the seed decides which ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// So many.
    Count(usize),
    /// That fraction of all that run.
    Fraction(f64),
}

impl Selection {
    /// How many of `all` fronts that is; a fraction selects at least one.
    pub fn count_of(self, all: usize) -> usize {
        match self {
            Selection::Count(n) => n.min(all),
            Selection::Fraction(fraction) => ((all as f64 * fraction).round() as usize).clamp(1, all.max(1)),
        }
    }
}

/// The state of the fleet that a step waits for. The names stand in the rig's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// All fronts that run and reach each other hold the same view, of exactly themselves.
    Even,
    /// The same, and each reports that its view has settled.
    Settled,
    /// No front that runs counts on one that has ended.
    Known,
}

/// A step that starts, ends or pauses processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessStep {
    /// SIGKILL.
    Kill(Selection),
    /// SIGTERM, and waits until the process has ended.
    Terminate(Selection),
    /// SIGSTOP.
    Stop(Selection),
    /// SIGCONT to all that are stopped.
    Resume,
    /// Starts all that have ended.
    Restart {
        /// At another address than before.
        new_address: bool,
        /// With that build; without one, with the build that each ran before.
        build: Option<Build>,
    },
    /// Ends fronts in batches and starts them with that build, until all run it.
    Roll {
        /// The build.
        build: Build,
        /// Fronts of a batch.
        batch: usize,
    },
    /// Starts new fronts.
    Join(Selection),
}

/// How a partition divides the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// So many sides of about the same size.
    Sides(usize),
    /// So many fronts against all others.
    Isolated(usize),
}

/// A step that injects faults on links, or removes them.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultStep {
    /// Sides that don't reach each other.
    Partition(Partition),
    /// All links work again.
    Heal,
    /// A fraction of all datagrams is lost.
    Loss(f64),
    /// Some fronts lose a fraction of what they send and of what is sent to them.
    LossyFronts {
        /// Which.
        fronts: Selection,
        /// The fraction.
        loss: f64,
    },
    /// All that some fronts send and are sent is delayed.
    Delay {
        /// Which.
        fronts: Selection,
        /// The constant delay, in milliseconds.
        base_ms: f64,
        /// The upper bound of a random delay on top, in milliseconds.
        jitter_ms: f64,
    },
    /// Datagrams are delivered twice or out of order.
    Disorder {
        /// Fraction delivered twice.
        duplicated: f64,
        /// Fraction delivered late, behind later datagrams.
        reordered: f64,
    },
    /// So many links lose everything in one direction.
    OneWay(usize),
    /// No datagram reaches some fronts, though what they send arrives.
    BlockInbound(Selection),
    /// Some fronts lose all connections to their cache nodes and can't make new ones.
    DisconnectCacheNodes(Selection),
}

/// One step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Starts, ends or pauses processes.
    Process(ProcessStep),
    /// Injects or removes faults on links.
    Fault(FaultStep),
    /// Sends fronts arbitrary bytes, replayed datagrams and signed nonsense.
    Garbage {
        /// Datagrams a second.
        per_second: f64,
        /// For how long.
        duration: Duration,
    },
    /// Time passes.
    Wait(Duration),
    /// The goal must be reached in time; how long it took is measured.
    Await {
        /// The goal.
        goal: Goal,
        /// The time since the last thing that happened.
        within: Duration,
    },
    /// Bytes sent and CPU used in steady state are measured over this time.
    Measure(Duration),
    /// The steps are run several times.
    Repeat {
        /// How often.
        times: usize,
        /// The steps.
        steps: Vec<Step>,
    },
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How many fronts it runs with unless the command line says otherwise.
    pub fronts: usize,
    /// Requests a second of all clients together; 0 for no load.
    pub load: f64,
    /// Whether every request must be served, because faults are between fronts alone.
    pub serves_all: bool,
    /// The steps, run after all fronts have started and settled.
    pub steps: Vec<Step>,
}

/// A mistake in a scenario document, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct ScenarioError {
    /// The document's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

#[cfg(test)]
mod tests;
