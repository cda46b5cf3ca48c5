//! Limits on the resources that a front uses at once, all derived from `limits` in its configuration.

/// Number of bytes in a megabyte of the configuration.
const BYTES_PER_MB: usize = 1 << 20;
/// Memory of an idle front, in bytes: code, tables, filters and threads.
const IDLE_MEMORY: usize = 12 * BYTES_PER_MB;
/// Minimum memory assumed to be available for requests, in bytes, however low the configured limit is.
const MIN_WORKING_MEMORY: usize = 8 * BYTES_PER_MB;
/// Memory of one open request, in bytes: the used part of its coroutine's stack, its fields and its table
/// entries.
const REQUEST_MEMORY: usize = 16 * 1024;
/// Maximum memory of one connection to a cache node, in bytes: a complete answer in its buffer.
const UPSTREAM_CONNECTION_MEMORY: usize = 256 * 1024;
/// Upper limit of open requests, above what any deployment needs on one core.
const MAX_OPEN_REQUESTS: usize = 2048;
/// Descriptors reserved for the front itself, for which clients do not compete: standard streams, event
/// queues, signals, the sockets for clients, peers and the admin interface, the event bus with a second
/// connection while the first is being closed, and a file that is being read, with as many again in reserve.
const OWN_DESCRIPTORS: usize = 24;
/// Maximum number of concurrent callers of the admin interface; each has its own thread.
const MAX_ADMIN_CALLERS: usize = 32;

/// Limits as counts and bytes. Together they fit into the configured descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Client connections: a third of all descriptors is guaranteed, and up to a quarter of that is added if
    /// available.
    pub clients: usize,
    /// Client connections that are being closed gracefully, in addition to `clients`.
    pub closing: usize,
    /// Concurrent callers of the admin interface.
    pub callers: usize,
    /// Connections to cache nodes.
    pub upstream: usize,
    /// Open requests.
    pub open: usize,
    /// Bytes of answers that clients have not read yet.
    pub unread: usize,
    /// Bytes of the bodies of open write calls.
    pub bodies: usize,
    /// Bytes of messages that have been received only in part.
    pub partial: usize,
}

impl Budget {
    /// Derives the limits from a number of descriptors and a memory size in megabytes.
    pub fn from_limits(sockets: usize, memory_mb: usize) -> Budget {
        let memory =
            (memory_mb.saturating_mul(BYTES_PER_MB)).saturating_sub(IDLE_MEMORY).max(MIN_WORKING_MEMORY);
        let third = (sockets / 3).max(1);
        Budget {
            // Descriptors that are left after the reserves for the front itself, the admin interface and
            // closing connections go to further clients.
            clients: third + (sockets.saturating_sub(OWN_DESCRIPTORS) / 12).min(third / 4),
            closing: (sockets / 32).clamp(2, 32),
            callers: (sockets / 16).clamp(4, MAX_ADMIN_CALLERS),
            upstream: third.min((memory / 4 / UPSTREAM_CONNECTION_MEMORY).max(8)).max(1),
            open: (memory / 4 / REQUEST_MEMORY).min(MAX_OPEN_REQUESTS),
            unread: memory / 4,
            bodies: memory / 8,
            partial: memory / 8,
        }
    }
}

#[cfg(test)]
#[path = "budget/tests.rs"]
mod tests;
