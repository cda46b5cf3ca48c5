//! Accounts of the memory that others make the front hold: clients, cache nodes and the event bus.
//!
//! An account counts what an allocation occupies, not the data in it, because the limit of the process is on
//! the former. It has a limit that [`Budget`](crate::budget::Budget) derives from the configuration; whoever
//! resizes a [`Reservation`] checks the limit and decides what is given up when it is exceeded.

use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Memory that an allocator adds to each block, in bytes: its header, and rounding to its granularity.
pub const ALLOCATION_OVERHEAD: usize = 32;
/// File in which Linux reports the memory of the process.
const PROCESS_STATUS_FILE: &str = "/proc/self/status";

/// Memory in use for one purpose, in bytes, and its limit.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
}

impl Default for MemoryAccount {
    fn default() -> MemoryAccount {
        MemoryAccount::with_limit(usize::MAX)
    }
}

impl MemoryAccount {
    /// Creates an account of which nothing is in use.
    pub fn with_limit(limit: usize) -> MemoryAccount {
        MemoryAccount { limit, used: AtomicUsize::new(0), peak: AtomicUsize::new(0) }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Most bytes that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether more is in use than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.used() > self.limit
    }

    /// Whether this many more bytes may be used.
    pub fn has_left(&self, bytes: usize) -> bool {
        self.used().saturating_add(bytes) <= self.limit
    }

    fn add(&self, bytes: usize) {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.peak.fetch_max(used, Ordering::Relaxed);
    }

    fn subtract(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes of an account that one holder uses. They are returned to the account when this is dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn new(account: Arc<MemoryAccount>) -> Reservation {
        Reservation { account, bytes: 0 }
    }

    /// Changes the number of reserved bytes. The limit of the account may be exceeded.
    pub fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.account.add(bytes - self.bytes);
        } else {
            self.account.subtract(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The account that the bytes belong to.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Memory of a block of this many bytes, in bytes; an empty block is not allocated.
pub fn block_memory(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        _ => capacity + ALLOCATION_OVERHEAD,
    }
}

/// The metrics of accounts, by name, as `name=value` lines; followed by the memory of the process, so that
/// what no account counts shows as the difference.
pub fn metric_lines(accounts: &[(&str, &MemoryAccount)]) -> String {
    let mut out = String::new();
    for (name, account) in accounts {
        let (used, peak) = (account.used(), account.peak.load(Ordering::Relaxed));
        let _ = writeln!(out, "relay.memory.{name}.bytes={used}");
        let _ = writeln!(out, "relay.memory.{name}.peak_bytes={peak}");
        let _ = writeln!(out, "relay.memory.{name}.limit_bytes={}", account.limit);
    }
    if let Some(bytes) = std::fs::read_to_string(PROCESS_STATUS_FILE).ok().and_then(|s| private_bytes(&s)) {
        let _ = writeln!(out, "relay.memory.process.bytes={bytes}");
    }
    out
}

/// The private memory in the text of `/proc/PID/status`, in bytes; `None` if the text has no such line.
fn private_bytes(status: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<usize>().ok().map(|kb| kb * 1024)
}

#[cfg(test)]
#[path = "memory/tests.rs"]
mod tests;
