//! Inputs and outputs of a [`Record`](crate::Record): a front's configuration, the events it takes, the
//! actions it returns and its counters.

use crate::rules::{Answer, Command};
use crate::state::VoterId;
use crate::storage::WriteBatch;
use crate::texts::Digest;

/// Configuration of a front's replica of the record.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this front, unique in the fleet.
    pub name: String,
    /// Id of this front's disk; a new disk, or one that is no longer trusted, gets another id.
    pub disk_id: u64,
    /// Names of the fronts that are to vote, the same list at all fronts; if empty, there is no record.
    pub voters: Vec<String>,
}

impl Config {
    /// Voter id of this front with its present disk; never 0.
    pub fn voter_id(&self) -> VoterId {
        Digest::of(format!("{}\0{:016x}", self.name, self.disk_id).as_bytes()).prefix_u64().max(1)
    }
}

/// An input of a front's [`Record`](crate::Record).
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`Record::next_tick_at_ms`](crate::Record::next_tick_at_ms) may have come; an early tick
    /// does nothing.
    Tick,
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// The set of fronts that are present has changed to these names.
    Peers(Vec<String>),
    /// A command was proposed at this front.
    Propose {
        /// The command to be committed.
        command: Command,
        /// The new rules text if the command is an edit.
        text: Option<Vec<u8>>,
    },
    /// The caller no longer awaits the answer to the command with this key.
    Abandoned(String),
    /// The validation that [`Action::Validate`] requested has ended.
    Validated {
        /// Digest of the text that was validated.
        digest: Digest,
        /// Why this front can't use the text; `None` if the text is valid.
        error: Option<String>,
    },
    /// This front now serves by the rules version with this number.
    Serving(u64),
    /// An [`Action::Write`] failed.
    DiskFailed,
}

/// An output of a front's [`Record`](crate::Record); the caller carries actions out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make all these writes durable before any action that follows.
    Write(WriteBatch),
    /// Send a datagram to a front; it may be lost.
    Send {
        /// Name of the receiving front.
        to: String,
        /// The signed datagram.
        bytes: Vec<u8>,
    },
    /// Check whether this front can use a rules text; the result is returned as [`Event::Validated`].
    Validate {
        /// Digest of the text to be validated.
        digest: Digest,
        /// The rules text to be validated.
        text: Vec<u8>,
    },
    /// A command that was proposed at this front has been answered.
    Answered {
        /// Key of the answered command.
        key: String,
        /// The new version's number, or the reason for the rejection.
        answer: Answer,
    },
    /// The replicated state has changed, or a version's text has arrived.
    StateChanged,
}

/// Counters of the datagrams that a front has sent and dropped, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Number of datagrams sent.
    pub datagrams_sent: u64,
    /// Total size of the datagrams sent, in bytes.
    pub bytes_sent: u64,
    /// Number of received datagrams dropped as malformed or wrongly signed.
    pub malformed: u64,
    /// Number of received datagrams dropped because their format version is not supported.
    pub unsupported_version: u64,
    /// Format version of the last datagram dropped for its version.
    pub last_unsupported_version: u8,
    /// Number of status messages received from fronts that follow another record than this front.
    pub other_record: u64,
}
