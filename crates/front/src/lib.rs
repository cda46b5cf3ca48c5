//! The front as a network server. Clients connect over MessagePack-RPC and cache nodes over RESP; the
//! [`fernslip`] crate decides what is done with each request.
//!
//! [`start`] takes a [`LoadedConfig`] (the configuration and an optional site document) and serves until
//! SIGTERM.

pub mod atomic_file;
pub mod buffer;
pub mod clients;
pub mod clock;
pub mod control;
pub mod dispatch_host;
pub mod event_loop;
pub mod failure;
pub mod file_lock;
pub mod invariants;
pub mod link;
pub mod loaded_config;
pub mod log;
mod main_loop;
pub mod memory;
pub mod pass_times;
pub mod reason_counts;
mod reconfigure;
pub mod shared;
pub mod shutdown;
pub mod sleep;
mod spawn;
pub mod start_error;
pub mod startup;
mod sync;
pub mod upstream;
pub mod wall_clock;

pub use clients::{budget, call, forward, listen, metrics, msgpack_rpc, server};
pub use control::{
    admin, config, discovery_watch, gossip, keyfile, manual_exclusion, peers, plan, reload, snapshot, view,
    watch_history,
};
pub use loaded_config::LoadedConfig;
pub use start_error::StartError;
pub use startup::start;
pub use upstream::resp;
