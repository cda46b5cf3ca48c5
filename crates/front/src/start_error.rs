//! Why a front could not start, or had to stop.

use crate::admin::ADDRESS_VARIABLE;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a front could not start, or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its settings are impossible.
    #[error("configuration: {0}")]
    Settings(fernslip::SettingsError),
    /// An address can't be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    /// The operators' local socket can't be bound.
    #[error("cannot answer at {}: {_1}", .0.display())]
    Control(PathBuf, std::io::Error),
    /// `$RELAY_OPS` is no address.
    #[error("{ADDRESS_VARIABLE}={0:?} is no address")]
    AdminAddress(String),
    /// A thread can't be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
    /// The coroutine of the main loop has panicked.
    #[error("a defect ended what keeps house; its message is above")]
    Panic,
}

#[cfg(test)]
mod tests;
