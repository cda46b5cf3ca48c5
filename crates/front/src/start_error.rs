//! The error that `start` returns.

use crate::admin::ADDRESS_VARIABLE;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The reason why a front could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings contradict each other or are out of range.
    #[error("configuration: {0}")]
    Settings(fernslip::SettingsError),
    /// A socket address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    /// The local control socket for operators could not be bound.
    #[error("cannot listen on control socket {}: {_1}", .0.display())]
    Control(PathBuf, std::io::Error),
    /// The value of `$RELAY_OPS` is not a socket address.
    #[error("{ADDRESS_VARIABLE}={0:?} is not an address of the form IP:PORT")]
    AdminAddress(String),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
    /// The main loop panicked.
    #[error("the main loop panicked; the panic message is above")]
    Panic,
}

#[cfg(test)]
mod tests;
