//! The upstream side: the dispatch queue of each pool, and the connections to cache nodes, parents and the origin.

pub mod connection_pool;
pub mod dispatch_queue;
pub mod pending_attempt;
pub mod resp;
pub mod send_guard;
