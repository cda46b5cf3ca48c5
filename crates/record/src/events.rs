//! The inputs and outputs of a [`Record`](crate::Record): what a front is configured with, the events it takes, the
//! actions it returns, and what it counts.

use crate::rules::{Answer, Command};
use crate::state::VoterId;
use crate::storage::WriteBatch;
use crate::texts::Digest;

/// What a front is configured with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front's name.
    pub name: String,
    /// Id of its disk: another one where the disk is new, or is not trusted.
    pub disk_id: u64,
    /// Names of the voters' fronts, alike at all fronts; with none there is no record.
    pub voters: Vec<String>,
}

impl Config {
    /// The voter that this front is with its present disk; never 0.
    pub fn voter_id(&self) -> VoterId {
        Digest::of(format!("{}\0{:016x}", self.name, self.disk_id).as_bytes()).prefix_u64().max(1)
    }
}

/// What happens to a front.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by.
    Tick,
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// The names of the fronts that are present now.
    Peers(Vec<String>),
    /// A command is proposed at this front.
    Propose {
        /// The command.
        command: Command,
        /// The text of an edit.
        text: Option<Vec<u8>>,
    },
    /// The answer to the proposal of that key is no longer awaited.
    Abandoned(String),
    /// A text was validated, as [`Action::Validate`] requested.
    Validated {
        /// The text.
        digest: Digest,
        /// Why this front can't use it; `None`: it can.
        error: Option<String>,
    },
    /// This front serves by that version of the rules now.
    Serving(u64),
    /// A write failed.
    DiskFailed,
}

/// What the caller is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make this durable, all of it, before any action that follows.
    Write(WriteBatch),
    /// Send a datagram to a front; it may be lost.
    Send {
        /// The front's name.
        to: String,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Validate rules for use at this front; the result comes as [`Event::Validated`].
    Validate {
        /// The text's digest.
        digest: Digest,
        /// The text.
        text: Vec<u8>,
    },
    /// A command that was proposed at this front has its answer.
    Answered {
        /// The command's key.
        key: String,
        /// The answer.
        answer: Answer,
    },
    /// The replicated state has changed, or a text of it was received.
    StateChanged,
}

/// What a front has sent and dropped, for the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams dropped as malformed.
    pub malformed: u64,
    /// Datagrams dropped for their format version.
    pub unsupported_version: u64,
    /// The format version of the last one of these.
    pub last_unsupported_version: u8,
    /// Messages on another record than this front's.
    pub other_record: u64,
}
