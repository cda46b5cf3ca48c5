//! Limits on the resources that a front uses at once, all derived from `limits` in its configuration.

/// Number of bytes in a megabyte of the configuration.
const BYTES_PER_MB: usize = 1 << 20;
/// Memory of an idle front, in bytes: tables, filters, threads, spare coroutines and queued log lines.
const IDLE_MEMORY: usize = 8 * BYTES_PER_MB;
/// Memory of one connection of a client, in bytes: the used part of its coroutine's stack, and its state.
const CONNECTION_MEMORY: usize = 12 * 1024;
/// Minimum memory assumed to be available for requests, in bytes, however low the configured limit is.
const MIN_WORKING_MEMORY: usize = 8 * BYTES_PER_MB;
/// Memory of one open request, in bytes: the used part of its coroutine's stack, its fields and its table
/// entries.
pub const REQUEST_MEMORY: usize = 12 * 1024;
/// Received bytes of an incomplete answer on one connection to a cache node, in bytes.
const UPSTREAM_CONNECTION_MEMORY: usize = 256 * 1024;
/// Minimum memory of a line from the event bus, in bytes: an endpoint list of the largest fleet.
const MIN_BUS_INPUT_MEMORY: usize = BYTES_PER_MB;
/// Number of equal parts into which the memory for requests is divided among its purposes.
const PARTS: usize = 16;
/// Connections allowed beyond the budgets for open and closing clients, as a margin while some are just
/// being closed. Further clients wait in the listen queue.
pub const CLOSING_RESERVE: usize = 4;
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
    /// Calls whose coroutines have not ended: open requests, and further calls that the decision crate is
    /// about to reject.
    pub calls: usize,
    /// Memory of answers that clients have not read yet, in bytes.
    pub unread: usize,
    /// Part of `unread` up to which answers are requested from cache nodes, in bytes. The remainder is for
    /// answers without a body, and for those that are longer than was expected.
    pub answers: usize,
    /// Memory of the bodies of open write calls, in bytes.
    pub bodies: usize,
    /// Memory of clients' messages that are received only in part, in bytes.
    pub partial: usize,
    /// Memory of cache nodes' answers that are received only in part, in bytes.
    pub upstream_input: usize,
    /// Memory of a line from the event bus that is received only in part, in bytes.
    pub bus_input: usize,
}

impl Budget {
    /// Derives the limits from a number of descriptors and a memory size in megabytes.
    pub fn from_limits(sockets: usize, memory_mb: usize) -> Budget {
        let third = (sockets / 3).max(1);
        // Descriptors that are left after the reserves for the front itself, the admin interface and closing
        // connections go to further clients.
        let clients = third + (sockets.saturating_sub(OWN_DESCRIPTORS) / 12).min(third / 4);
        let closing = (sockets / 32).clamp(2, 32);
        let memory = working_memory(memory_mb, clients + closing + CLOSING_RESERVE);
        let part = memory / PARTS;
        let calls = 4 * part / REQUEST_MEMORY;
        Budget {
            clients,
            closing,
            callers: (sockets / 16).clamp(4, MAX_ADMIN_CALLERS),
            upstream: third.min((4 * part / UPSTREAM_CONNECTION_MEMORY).max(8)).max(1),
            open: (calls * 3 / 4).min(MAX_OPEN_REQUESTS),
            calls: calls.min(MAX_OPEN_REQUESTS * 2),
            unread: 4 * part,
            answers: 3 * part,
            bodies: 2 * part,
            partial: 2 * part,
            upstream_input: 3 * part,
            bus_input: part.max(MIN_BUS_INPUT_MEMORY),
        }
    }
}

/// Memory for requests, in bytes: what the idle front and this number of clients' connections leave.
fn working_memory(memory_mb: usize, connections: usize) -> usize {
    memory_mb
        .saturating_mul(BYTES_PER_MB)
        .saturating_sub(IDLE_MEMORY + connections * CONNECTION_MEMORY)
        .max(MIN_WORKING_MEMORY)
}

#[cfg(test)]
#[path = "budget/tests.rs"]
mod tests;
