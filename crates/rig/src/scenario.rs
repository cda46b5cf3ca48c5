//! Scenarios: the steps that are applied to a fleet and the goals that it must reach. They are written as KDL
//! documents, whose keys are listed in `docs/operate/rig.md`.

mod parse;

use crate::programs::Build;
use std::time::Duration;

/// The number of fronts to which a step applies. The seed determines which ones are selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// This number of fronts.
    Count(usize),
    /// This fraction of all running fronts.
    Fraction(f64),
}

impl Selection {
    /// Returns how many of `all` fronts are selected. A fraction selects at least one.
    pub fn count_of(self, all: usize) -> usize {
        match self {
            Selection::Count(n) => n.min(all),
            Selection::Fraction(fraction) => ((all as f64 * fraction).round() as usize).clamp(1, all.max(1)),
        }
    }
}

/// A state of the fleet that a step waits for. The variant names are part of the rig's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// All running fronts that reach each other have the same view, which holds exactly these fronts.
    Even,
    /// Like [`Goal::Even`], and each of these fronts reports that its view has settled.
    Settled,
    /// No running front has more members in its view than there are running fronts that can reach it.
    Known,
}

/// A step that starts, ends, stops or resumes front processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessStep {
    /// Kills fronts with SIGKILL.
    Kill(Selection),
    /// Sends SIGTERM to fronts and waits until their processes have ended.
    Terminate(Selection),
    /// Stops fronts with SIGSTOP.
    Stop(Selection),
    /// Resumes all stopped fronts with SIGCONT.
    Resume,
    /// Restarts all fronts that have ended.
    Restart {
        /// Whether each front gets another address than before.
        new_address: bool,
        /// The build to start; `None` for the build that each front ran before.
        build: Option<Build>,
    },
    /// Ends fronts in batches and starts them with another build, until all fronts run it.
    Roll {
        /// The build that all fronts run in the end.
        build: Build,
        /// The number of fronts in a batch.
        batch: usize,
    },
    /// Starts additional fronts.
    Join(Selection),
}

/// How a partition divides the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Divides the fronts into this number of sides of about the same size.
    Sides(usize),
    /// Separates this number of fronts from all others.
    Isolated(usize),
}

/// A step that injects faults on links or removes them.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultStep {
    /// Divides the fronts into sides that can't reach each other.
    Partition(Partition),
    /// Removes all faults from the links between fronts and to cache nodes.
    Heal,
    /// Drops a fraction of all datagrams.
    Loss(f64),
    /// Drops a fraction of the datagrams from and to some fronts.
    LossyFronts {
        /// The affected fronts.
        fronts: Selection,
        /// The fraction of datagrams that is lost.
        loss: f64,
    },
    /// Delays all datagrams from and to some fronts.
    Delay {
        /// The affected fronts.
        fronts: Selection,
        /// The constant delay, in milliseconds.
        base_ms: f64,
        /// The upper bound of an additional random delay, in milliseconds.
        jitter_ms: f64,
    },
    /// Delivers datagrams twice or out of order.
    Disorder {
        /// The fraction of datagrams that is delivered twice.
        duplicated: f64,
        /// The fraction of datagrams that is delayed, so that later datagrams overtake them.
        reordered: f64,
    },
    /// Makes this number of links between two fronts lose every datagram in one direction.
    OneWay(usize),
    /// Drops all datagrams to some fronts, but none from them.
    BlockInbound(Selection),
    /// Closes all connections of some fronts to their cache nodes, and prevents new ones.
    DisconnectCacheNodes(Selection),
}

/// One step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Starts, ends, stops or resumes front processes.
    Process(ProcessStep),
    /// Injects or removes faults on links.
    Fault(FaultStep),
    /// Sends fronts random bytes, replayed datagrams and signed messages with random items.
    Garbage {
        /// The number of datagrams per second.
        per_second: f64,
        /// How long datagrams are sent.
        duration: Duration,
    },
    /// Waits for this time.
    Wait(Duration),
    /// Waits until a goal is reached, which must happen in time, and measures how long it takes.
    Await {
        /// The goal to be reached.
        goal: Goal,
        /// The longest accepted time since the last event.
        within: Duration,
    },
    /// Measures gossip bytes, CPU and memory in steady state over this time.
    Measure(Duration),
    /// Executes steps several times.
    Repeat {
        /// The number of times.
        times: usize,
        /// The steps to repeat, in order.
        steps: Vec<Step>,
    },
}

/// A scenario, as parsed from its document.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// The number of fronts at the start, unless the command line gives another.
    pub fronts: usize,
    /// The requests per second of all clients together; 0 for no load.
    pub load: f64,
    /// Whether every request must be served, because only links between fronts have faults.
    pub serves_all: bool,
    /// The steps, which are executed after all fronts have started and settled.
    pub steps: Vec<Step>,
}

/// An error in a scenario document, with its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct ScenarioError {
    /// The file name of the document.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// A description of the error.
    pub message: String,
}

#[cfg(test)]
mod tests;
