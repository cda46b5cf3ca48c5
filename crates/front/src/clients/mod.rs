//! Client side of the front: accepting connections, decoding calls, forwarding requests and counting
//! results.

pub mod answer_memory;
pub mod answer_sizes;
pub mod budget;
pub mod call;
pub mod client_memory;
mod connection;
mod eviction;
pub mod forward;
pub mod listen;
pub mod metrics;
pub mod msgpack_rpc;
pub mod server;
