//! The upstream side of the front: the dispatch queue of each pool, and the connections to cache nodes,
//! parents and the origin.
//!
//! A request first takes a permit from the [`dispatch_queue`] of its pool. Each of its attempts is then
//! sent as a [`resp`] message over the [`connection_pool`]; [`send_guard`] decides, up to the attempt's
//! first byte, whether the attempt may still be sent.

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
pub mod upstream_memory;
pub mod waiter;
pub mod write_claims;
