//! The options of a soak.

use std::path::PathBuf;
use std::time::Duration;

/// How the soak is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// How many fronts.
    pub fronts: usize,
    /// Decides everything that is random.
    pub seed: u64,
    /// For how long faults are injected.
    pub fault_period: Duration,
    /// Requests a second at each front.
    pub requests_per_second: f64,
    /// A folder for the fronts' logs; without one they are not written.
    pub logs: Option<PathBuf>,
    /// Injects no fault at all: what the soak itself costs.
    pub without_faults: bool,
}
