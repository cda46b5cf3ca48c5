//! Versions of the routing rules: which is current, and what an edit or an undo may do to it. A pure state machine: every
//! front that has taken the same commands holds the same.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A text, by the first half of its SHA-256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Of a text.
    pub fn of(text: &[u8]) -> Digest {
        use sha2::Digest as _;
        let mut d = [0; 16];
        d.copy_from_slice(&sha2::Sha256::digest(text)[..16]);
        Digest(d)
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// Versions whose words are kept. Texts are let go of with them.
pub const MOST_VERSIONS: usize = 128;
/// Keys of commands whose answer is kept for one that is repeated.
pub const MOST_KEYS: usize = 512;
/// An author or a reason has at most so many bytes.
pub const MOST_WORDS: usize = 160;
/// A key has at most so many bytes.
pub const MOST_KEY: usize = 64;

/// A version of the rules. Its number never means anything else.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// From 1; version 0 is each front's own site document.
    pub number: u64,
    /// The one that was current when it was agreed.
    pub parent: u64,
    /// The version whose rules it brings back, where it is an undo.
    pub restores: Option<u64>,
    /// Its text.
    pub digest: Digest,
    /// Bytes of it.
    pub bytes: u32,
    /// Who asked.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was asked, by that front's clock: Unix time in milliseconds; nothing is ordered by it.
    pub at_unix_ms: u64,
}

/// What is asked. `base` is the version that the one who asks took for current.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// Other rules than those of `base`.
    Edit {
        /// The version it was made from.
        base: u64,
        /// The new text.
        digest: Digest,
        /// Bytes of it.
        bytes: u32,
    },
    /// The rules of an earlier version again, as a new version.
    Undo {
        /// The version that was current when it was asked.
        base: u64,
        /// Whose rules come back.
        to: u64,
        /// The edits that are known to go out of force with it, besides the current version's own.
        with: Vec<u64>,
    },
}

/// A command, as it stands in the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Makes a repeat harmless: a command whose key was seen gets the answer that the first got.
    pub key: String,
    /// Who asks.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, by the clock of the front that was asked: Unix time in milliseconds.
    pub at_unix_ms: u64,
    /// What.
    pub ask: Ask,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// Another version is current than the one it was made from: look at it and ask again.
    Moved {
        /// The current one.
        current: u64,
    },
    /// That version is not known, or no longer.
    Unknown {
        /// It.
        version: u64,
    },
    /// Edits after the version that is to come back would be lost, and were not named.
    WouldLose {
        /// Them.
        versions: Vec<u64>,
    },
    /// The rules are those already.
    Same,
    /// Texts are too long or empty.
    Words,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Moved { current } => {
                write!(f, "version {current} is current by now: look at it and ask again")
            }
            Refusal::Unknown { version } => write!(f, "version {version} is not known"),
            Refusal::WouldLose { versions } => {
                write!(f, "versions {versions:?} would be undone with it: name them")
            }
            Refusal::Same => write!(f, "the rules are those already"),
            Refusal::Words => {
                write!(f, "author, reason or key is empty or too long ({MOST_WORDS} and {MOST_KEY} bytes)")
            }
        }
    }
}

/// What became of a command.
pub type Answer = Result<u64, Refusal>;

/// The versions, as agreed so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    versions: BTreeMap<u64, Version>,
    current: u64,
    /// Answers by key, and the order in which they came.
    answers: BTreeMap<String, (u64, Answer)>,
    /// Commands taken.
    taken: u64,
}

impl Rules {
    /// The number of the current version; 0: each front's own document.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// A version.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.get(&number)
    }

    /// All that are known, the oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.values()
    }

    /// The answer that a key got.
    pub fn answer(&self, key: &str) -> Option<&Answer> {
        self.answers.get(key).map(|a| &a.1)
    }

    /// Takes a command in the order of the record, and answers.
    pub fn take(&mut self, c: &Command) -> Answer {
        if let Some((_, answer)) = self.answers.get(&c.key) {
            return answer.clone();
        }
        self.taken += 1;
        let answer = self.decide(c);
        let words = c.key.is_empty() || c.key.len() > MOST_KEY;
        if !words {
            self.answers.insert(c.key.clone(), (self.taken, answer.clone()));
        }
        if self.answers.len() > MOST_KEYS {
            let oldest = self.answers.iter().min_by_key(|a| a.1 .0).map(|a| a.0.clone());
            oldest.and_then(|k| self.answers.remove(&k));
        }
        answer
    }

    fn decide(&mut self, c: &Command) -> Answer {
        let long = |t: &str, most: usize| t.is_empty() || t.len() > most;
        if long(&c.key, MOST_KEY) || long(&c.author, MOST_WORDS) || c.reason.len() > MOST_WORDS {
            return Err(Refusal::Words);
        }
        let base = match &c.ask {
            Ask::Edit { base, .. } | Ask::Undo { base, .. } => *base,
        };
        // What was made from another version than the current one would lose what came between.
        if base != self.current {
            return Err(Refusal::Moved { current: self.current });
        }
        let now = self.version(self.current).map(|v| v.digest);
        let (digest, bytes, restores) = match &c.ask {
            Ask::Edit { digest, bytes, .. } => (*digest, *bytes, None),
            Ask::Undo { to, with, .. } => {
                let held = self.version(*to).ok_or(Refusal::Unknown { version: *to })?;
                let (digest, bytes) = (held.digest, held.bytes);
                let lost = self.lost(*to);
                if let Some(gap) = lost.iter().find(|n| self.version(**n).is_none()) {
                    return Err(Refusal::Unknown { version: *gap });
                }
                if lost.iter().any(|n| !with.contains(n)) {
                    return Err(Refusal::WouldLose { versions: lost });
                }
                (digest, bytes, Some(*to))
            }
        };
        if now == Some(digest) {
            return Err(Refusal::Same);
        }
        let number = self.versions.last_key_value().map_or(0, |v| *v.0).max(self.current) + 1;
        let (author, reason, at_unix_ms) = (c.author.clone(), c.reason.clone(), c.at_unix_ms);
        let version =
            Version { number, parent: self.current, restores, digest, bytes, author, reason, at_unix_ms };
        self.versions.insert(number, version);
        self.current = number;
        while self.versions.len() > MOST_VERSIONS {
            self.versions.pop_first();
        }
        Ok(number)
    }

    /// The edits that are in force under a version: its own and those that it was made on, through undos to what they
    /// brought back. One that is no longer known stands for all before it.
    fn in_force(&self, version: u64) -> BTreeSet<u64> {
        let (mut edits, mut at) = (BTreeSet::new(), version);
        while at > 0 {
            at = match self.version(at).map(|v| (v.restores, v.parent)) {
                Some((Some(restored), _)) => restored,
                Some((None, parent)) => {
                    edits.insert(at);
                    parent
                }
                None => {
                    edits.insert(at);
                    0
                }
            };
        }
        edits
    }

    /// Edits that an undo to that version would take out of force, besides what the current version itself brought: to
    /// undo that is what is asked. Versions between the two would not do: a later one may have brought back an earlier.
    pub fn lost(&self, to: u64) -> Vec<u64> {
        let (now, then) = (self.in_force(self.current), self.in_force(to));
        let before = self.in_force(self.version(self.current).map_or(0, |v| v.parent));
        now.into_iter().filter(|e| !then.contains(e) && before.contains(e)).collect()
    }
}

#[cfg(test)]
mod tests;
