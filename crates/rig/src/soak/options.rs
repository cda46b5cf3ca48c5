//! Options of a soak run.

use std::path::PathBuf;
use std::time::Duration;

/// Options of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the front program that is tested.
    pub program: PathBuf,
    /// Number of fronts to start.
    pub fronts: usize,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Period during which faults are injected.
    pub fault_period: Duration,
    /// Number of requests per second that clients send to each front.
    pub requests_per_second: f64,
    /// Folder that the fronts' logs are written to; with `None` they are not written.
    pub logs: Option<PathBuf>,
    /// Whether the run injects no faults, as a baseline of the soak's own cost.
    pub without_faults: bool,
}
