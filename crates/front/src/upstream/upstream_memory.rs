//! The memory that cache nodes make the front hold, by purpose.

use crate::budget::Budget;
use crate::memory::MemoryAccount;
use std::sync::Arc;

/// The memory that cache nodes make the front hold.
#[derive(Clone, Debug, Default)]
pub struct UpstreamMemory {
    /// Received bytes of incomplete answers.
    pub input: Arc<MemoryAccount>,
    /// Requests that are not written yet.
    pub output: Arc<MemoryAccount>,
    /// Memory of received bytes that one connection may use however much the others do, in bytes.
    pub connection_input: usize,
}

impl UpstreamMemory {
    /// Creates accounts with the limits of this budget.
    pub fn new(budget: &Budget) -> UpstreamMemory {
        UpstreamMemory {
            input: Arc::new(MemoryAccount::with_limit(budget.upstream_input)),
            output: Arc::default(),
            connection_input: budget.upstream_input / budget.upstream.max(1),
        }
    }

    /// The accounts by the name of their metrics.
    pub fn accounts(&self) -> [(&'static str, &MemoryAccount); 2] {
        [("upstream_input", &self.input), ("upstream_output", &self.output)]
    }
}
