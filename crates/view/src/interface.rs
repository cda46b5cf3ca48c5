//! What goes into a [`View`](crate::View) and what comes out of it: the time, events, actions and reports.

use crate::fact::{Fact, FrontState};
use fernslip_gossip::Keyring;
use std::net::SocketAddr;

/// The time, by two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The host's monotonic clock, in milliseconds.
    pub mono_ms: f64,
    /// Unix time in milliseconds. May be wrong: it is only the first guess of a start's generation.
    pub unix_ms: f64,
}

/// What a view is to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A datagram was received.
    Datagram {
        /// Its source address.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// This front's state is now [`FrontState::Joining`], [`FrontState::Ready`] or [`FrontState::Draining`].
    State(FrontState),
    /// The hash of its configuration is now this.
    Configuration(u32),
    /// Its keys are now these.
    Keys(Keyring),
    /// This front shuts down.
    Leave,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram; it may be lost.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Report that a front's state changed in the view.
    Changed {
        /// The front.
        name: String,
        /// Its state before; `None`: it was unknown.
        before: Option<FrontState>,
        /// Its state now.
        after: FrontState,
        /// The front whose datagram reported it; `None`: this front detected it.
        by: Option<String>,
    },
    /// Report that all live fronts hold this view now, or no longer.
    Settled(bool),
    /// Report that another process runs under this front's name; the view holds the older.
    DuplicateName {
        /// Its address.
        addr: SocketAddr,
        /// Whether the view holds the other process.
        other_is_suspended: bool,
    },
}

/// Counts since the start, for the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams not sent for lack of budget.
    pub over_budget: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams dropped: not a valid message, or with a wrong tag.
    pub malformed: u64,
    /// Datagrams dropped: duplicates of earlier ones.
    pub replayed: u64,
    /// Times that this front refuted its own failure.
    pub refuted: u64,
    /// Changes of a front's state in the view.
    pub changes: u64,
}

/// A front in the view, for the operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// What is known of it.
    pub fact: Fact,
    /// Since when it has its state, by this front's monotonic clock, in milliseconds.
    pub since_ms: f64,
    /// Names of the fronts that suspect it now.
    pub suspected_by: Vec<String>,
}

/// An event in a front's history, for the operators.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// When it happened, by this front's monotonic clock, in milliseconds.
    pub at_ms: f64,
    /// What happened.
    pub what: String,
    /// The front that reported it; empty: this front itself.
    pub by: String,
}
