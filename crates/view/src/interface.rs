//! The inputs and outputs of a [`View`](crate::View): the time, events, actions, counters and reports.

use crate::fact::{Fact, FrontState};
use fernslip_gossip::Keyring;
use std::net::SocketAddr;

/// The current time by a monotonic clock and by Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Time of the host's monotonic clock, in milliseconds.
    pub mono_ms: f64,
    /// Unix time, in milliseconds. It may be wrong: it only gives the first value for the generation of a new
    /// process.
    pub unix_ms: f64,
}

/// An input to [`View::handle`](crate::View::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. A tick is due at the time that [`View::wake_at`](crate::View::wake_at) returns.
    Tick,
    /// A datagram was received.
    Datagram {
        /// The source address of the datagram.
        from: SocketAddr,
        /// The payload as received, with its authentication tag.
        bytes: Vec<u8>,
    },
    /// This front's own state is now [`FrontState::Joining`], [`FrontState::Ready`] or
    /// [`FrontState::Draining`].
    State(FrontState),
    /// The hash of this front's configuration changed to the given value.
    Configuration(u32),
    /// The keyring that signs and verifies datagrams is replaced.
    Keys(Keyring),
    /// This front is shutting down and announces its departure.
    Leave,
}

/// An output of [`View::handle`](crate::View::handle) that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram. The protocol tolerates its loss.
    Send {
        /// The destination address of the datagram.
        to: SocketAddr,
        /// The payload to send, with its authentication tag.
        bytes: Vec<u8>,
    },
    /// Report that the state of a front changed in the view.
    Changed {
        /// The name of the front whose state changed.
        name: String,
        /// The previous state of the front; `None` if the front was unknown.
        before: Option<FrontState>,
        /// The new state of the front.
        after: FrontState,
        /// The name of the front whose datagram reported the change; `None` if this front detected it itself.
        reported_by: Option<String>,
    },
    /// Report that the view became settled (`true`: all live fronts are known to hold it) or is no longer
    /// settled (`false`).
    Settled(bool),
    /// Report that another process runs under this front's name. The view lists the older of the two
    /// processes.
    DuplicateName {
        /// The address of the other process.
        addr: SocketAddr,
        /// Whether the view lists the other process rather than this one.
        other_is_listed: bool,
    },
}

/// Counters since the start of this view, shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Total bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Number of sends that the byte budget or the datagram size limit prevented.
    pub over_budget: u64,
    /// Number of received datagrams that were valid and not replayed.
    pub accepted: u64,
    /// Number of received datagrams dropped because they were no valid message or had a wrong authentication
    /// tag.
    pub malformed: u64,
    /// Number of received datagrams dropped as replays of earlier ones.
    pub replayed: u64,
    /// Number of times that this front refuted a report of its own failure.
    pub refuted: u64,
    /// Number of state changes of fronts in the view.
    pub changes: u64,
}

/// The status of one front in the view, shown to operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// The fact with the highest rank known of this front.
    pub fact: Fact,
    /// The time at which the front entered its current state, by this front's monotonic clock, in
    /// milliseconds.
    pub since_ms: f64,
    /// Names of the watchers that currently suspect the front.
    pub suspected_by: Vec<String>,
}

/// An entry in the history of one front, shown to operators.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// The time of the event, by this front's monotonic clock, in milliseconds.
    pub at_ms: f64,
    /// A description of the event in plain text.
    pub description: String,
    /// The name of the front that reported the event; empty if this front observed it itself.
    pub reported_by: String,
}
