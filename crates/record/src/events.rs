//! The inputs and outputs of a [`Record`](crate::Record): what a front is configured with, the events it takes, the
//! actions it returns, and what it counts.

use crate::agreed::VoterId;
use crate::rules::{Answer, Command, Digest};
use crate::voter::Writes;

/// What a front is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Its disk's id: another one where the disk is new, or is not believed.
    pub disk: u64,
    /// Names of the voters, alike at all fronts; with none there is no record.
    pub voters: Vec<String>,
}

impl Config {
    /// The voter that this front is with its present disk; never 0.
    pub fn voter(&self) -> VoterId {
        let d = Digest::of(format!("{}\0{:016x}", self.name, self.disk).as_bytes()).0;
        d[..8].iter().fold(0, |n, b| n << 8 | u64::from(*b)).max(1)
    }
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by.
    Tick,
    /// A datagram came.
    Datagram(Vec<u8>),
    /// The fronts that are there now.
    Peers(Vec<String>),
    /// Somebody at this front asks; an edit brings its text.
    Ask {
        /// What.
        command: Command,
        /// The text of an edit.
        text: Option<Vec<u8>>,
    },
    /// Nobody waits for the answer to that key any more.
    Forget(String),
    /// Whether rules can be used by this front: what is wrong with them, if anything.
    Checked {
        /// Which.
        digest: Digest,
        /// Why not.
        wrong: Option<String>,
    },
    /// This front serves by that version now.
    InForce(u64),
    /// A write failed.
    DiskFailed,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make this durable, all of it, before what follows.
    Write(Writes),
    /// Send a datagram to a front; it may be lost.
    Send {
        /// Its name.
        to: String,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Look whether these rules can be used here, and tell by [`Event::Checked`].
    Check {
        /// Which.
        digest: Digest,
        /// Them.
        text: Vec<u8>,
    },
    /// What became of a command that was asked at this front.
    Answered {
        /// Its key.
        key: String,
        /// It.
        answer: Answer,
    },
    /// What is agreed has changed, or a text of it has come.
    Changed,
}

/// What was done, for the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams dropped: no message of ours.
    pub malformed: u64,
    /// Datagrams of another version, and the last one's number.
    pub other_version: (u64, u8),
    /// Words of another record than the one held.
    pub other_record: u64,
}
