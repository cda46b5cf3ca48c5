//! What clients see: connections taken, calls read, requests carried to their one answer, and what is counted of them.

pub mod budget;
pub mod call;
mod connection;
mod eviction;
pub mod forward;
pub mod listen;
pub mod metrics;
pub mod msgpack_rpc;
pub mod server;
