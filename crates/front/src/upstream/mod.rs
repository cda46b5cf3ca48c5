//! The upstream side: the dispatch queue of each pool, and the connections to cache nodes, parents and the origin.
//!
//! A request gets a permit of its pool's [`dispatch_queue`]; each of its attempts goes out through the
//! [`connection_pool`], guarded by [`send_guard`] up to its first byte, as [`resp`] messages.

pub mod caller;
pub mod completed_attempt;
mod connection;
pub mod connection_pool;
mod dialer;
pub mod dispatch_queue;
pub mod dispatch_queues;
mod in_flight_attempt;
pub mod node_registry;
pub mod pending_attempt;
pub mod resp;
pub mod send_guard;
#[cfg(test)]
mod test_support;
pub mod waiter;
