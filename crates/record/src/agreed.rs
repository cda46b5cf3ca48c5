//! What the agreed commands amount to, and a chain of hashes over them: two who hold the same chain hold the same.

use crate::rules::{self, Answer, Digest, Rules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter: a front's name and the disk that its votes are on. One that lost its disk is another voter.
pub type VoterId = u64;

/// One agreed command, as voters keep it and fronts pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place in the log.
    pub index: u64,
    /// What kind of command it is; a kind that this program does not know is kept and passed on unread.
    pub kind: u8,
    /// The command, by `postcard`.
    pub body: Vec<u8>,
}

/// Nothing: a new leader's first word, or a command that the log had to carry and nobody keeps.
pub const KIND_NONE: u8 = 0;
/// [`rules::Command`].
pub const KIND_RULES: u8 = 1;
/// The voters, and whose they are.
pub const KIND_VOTERS: u8 = 2;

/// What has been agreed up to a place in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// Drawn when the record was founded: another one is another record.
    pub birth: u64,
    /// The last command taken.
    pub index: u64,
    /// Hash of all commands up to it.
    pub chain: u64,
    /// The routing rules.
    pub rules: Rules,
    /// The voters, with the names of their fronts.
    pub voters: BTreeMap<VoterId, String>,
    /// The first command of a kind that this program does not know: its place and kind. Nothing after it is taken.
    pub unread: Option<(u64, u8)>,
}

impl Agreed {
    /// A record that has just been founded.
    pub fn founded(birth: u64, voters: BTreeMap<VoterId, String>) -> Agreed {
        // One command counts as taken, so that a voter that comes later gets this state and not commands from the first on.
        Agreed { birth, index: 1, chain: birth, voters, ..Agreed::default() }
    }

    /// Takes the next command; what a command of rules was answered, by its key. What is not the next changes nothing.
    pub fn take(&mut self, e: &Entry) -> Option<(String, Answer)> {
        if e.index != self.index + 1 || self.unread.is_some() {
            return None;
        }
        let mut answered = None;
        match e.kind {
            KIND_NONE => {}
            KIND_RULES => match postcard::from_bytes::<rules::Command>(&e.body) {
                Ok(c) => answered = Some((c.key.clone(), self.rules.take(&c))),
                Err(_) => self.unread = Some((e.index, e.kind)),
            },
            KIND_VOTERS => match postcard::from_bytes(&e.body) {
                Ok(voters) => self.voters = voters,
                Err(_) => self.unread = Some((e.index, e.kind)),
            },
            later => self.unread = Some((e.index, later)),
        }
        if self.unread.is_some() {
            return None;
        }
        self.index = e.index;
        self.chain = link(self.chain, e);
        answered
    }

    /// Its bytes, for one who is far behind.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them.
    pub fn from_bytes(bytes: &[u8]) -> Option<Agreed> {
        postcard::from_bytes(bytes).ok()
    }

    /// Texts that may still be asked for.
    pub fn texts(&self) -> impl Iterator<Item = (Digest, u32)> + '_ {
        self.rules.versions().map(|v| (v.digest, v.bytes))
    }
}

/// The chain with one more command.
pub fn link(chain: u64, e: &Entry) -> u64 {
    let mut all = chain.to_be_bytes().to_vec();
    all.extend(e.index.to_be_bytes());
    all.push(e.kind);
    all.extend(&e.body);
    let d = Digest::of(&all).0;
    d[..8].iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

#[cfg(test)]
mod tests;
