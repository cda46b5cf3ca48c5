//! Limits of what a front may use at once, all derived here from its `limits`.

const MB: usize = 1 << 20;
/// Memory of an idle front: code, tables, filters, threads.
const BASE: usize = 12 * MB;
/// Memory for work that the smallest front is taken to have.
const MIN_WORKING_MEMORY: usize = 8 * MB;
/// A request under way: its coroutine's stack as far as it is touched, its fields, its entries in the tables.
const REQUEST: usize = 16 * 1024;
/// A cache node's connection at the most: one whole answer in its buffer.
const UPSTREAM: usize = 256 * 1024;
/// More requests at once than any deployment asks of one core.
const MAX_OPEN_REQUESTS: usize = 2048;
/// Descriptors of the front's own, never competed for: standard streams, event queues, signals, the clients' socket, the
/// peers', the admin interface's, the event bus and a second connection to it while the first is being given up, a file that is
/// read, with as much again to spare.
const OWN: usize = 24;
/// Callers of the admin interface at the most: each has a thread.
const MAX_ADMIN_CALLERS: usize = 32;

/// Counts and bytes; all of them together fit into the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients' connections. They are promised a third of the descriptors, and have a quarter of that more.
    pub clients: usize,
    /// Clients' connections that are being closed gracefully, beside these.
    pub closing: usize,
    /// Callers of the admin interface.
    pub callers: usize,
    /// Connections to cache nodes.
    pub upstream: usize,
    /// Requests under way.
    pub open: usize,
    /// Bytes of answers that clients have not read.
    pub unread: usize,
    /// Bytes of open writes' bodies.
    pub bodies: usize,
    /// Bytes of messages that have not come completely.
    pub partial: usize,
}

impl Budget {
    /// For that many descriptors and megabytes.
    pub fn of(sockets: usize, memory_mb: usize) -> Budget {
        let memory = (memory_mb.saturating_mul(MB)).saturating_sub(BASE).max(MIN_WORKING_MEMORY);
        let third = (sockets / 3).max(1);
        Budget {
            // What remains beside the front's own, the admin interface's and the closing ones is for more clients.
            clients: third + (sockets.saturating_sub(OWN) / 12).min(third / 4),
            closing: (sockets / 32).clamp(2, 32),
            callers: (sockets / 16).clamp(4, MAX_ADMIN_CALLERS),
            upstream: third.min((memory / 4 / UPSTREAM).max(8)).max(1),
            open: (memory / 4 / REQUEST).min(MAX_OPEN_REQUESTS),
            unread: memory / 4,
            bodies: memory / 8,
            partial: memory / 8,
        }
    }
}

#[cfg(test)]
#[path = "budget/tests.rs"]
mod tests;
