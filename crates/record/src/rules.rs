//! Versions of the routing rules: which is current, and what an edit or an undo may do to it. A pure state machine: every
//! front that has applied the same commands has the same state.

use crate::texts::{Digest, TextRef};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Versions that are retained; the texts of older ones are dropped with them.
pub const MAX_VERSIONS: usize = 128;
/// Commands whose answer is retained for a repeat with the same key.
pub const MAX_ANSWERS: usize = 512;
/// The most bytes of an author or a reason.
pub const MAX_ANNOTATION_BYTES: usize = 160;
/// The most bytes of a command's key.
pub const MAX_KEY_BYTES: usize = 64;

/// A version of the rules. Its number is never used again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// From 1; version 0 is each front's own site document.
    pub number: u64,
    /// The version that was current when it was committed.
    pub parent: u64,
    /// The version whose rules it restores, where it is an undo.
    pub restores: Option<u64>,
    /// Digest of its text.
    pub digest: Digest,
    /// Length of its text in bytes.
    pub bytes: u32,
    /// Who proposed it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was proposed, by that front's clock: Unix time in milliseconds; nothing is ordered by it.
    pub at_unix_ms: u64,
}

/// What a command does. `base` is the version that its author took for current (optimistic concurrency).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Replaces the rules of `base`.
    Edit {
        /// The version that the edit was made from.
        base: u64,
        /// Digest of the new text.
        digest: Digest,
        /// Length of the new text in bytes.
        bytes: u32,
    },
    /// Restores the rules of an earlier version, as a new version.
    Undo {
        /// The version that was current for the author.
        base: u64,
        /// The version whose rules are restored.
        to: u64,
        /// The edits that the author knows to be reverted with it, besides the current version's own.
        acknowledged: Vec<u64>,
    },
}

/// A command, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Makes the command idempotent: a repeat with the same key gets the answer that the first got.
    pub key: String,
    /// Who proposes it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, by the clock of the front where it was proposed: Unix time in milliseconds.
    pub at_unix_ms: u64,
    /// What it does.
    pub operation: Operation,
}

impl Command {
    /// The text that an edit needs.
    pub fn text(&self) -> Option<TextRef> {
        match self.operation {
            Operation::Edit { digest, bytes, .. } => Some(TextRef { digest, bytes }),
            Operation::Undo { .. } => None,
        }
    }

    /// Whether key and author are there, and they and the reason are not too long.
    pub fn has_valid_lengths(&self) -> bool {
        let valid = |text: &str, max: usize| !text.is_empty() && text.len() <= max;
        valid(&self.key, MAX_KEY_BYTES)
            && valid(&self.author, MAX_ANNOTATION_BYTES)
            && self.reason.len() <= MAX_ANNOTATION_BYTES
    }
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// Another version is current than the one that the command was made from.
    #[error("version {current} is current by now: look at it and ask again")]
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The version is not known, or no longer retained.
    #[error("version {version} is not known")]
    UnknownVersion {
        /// That version.
        version: u64,
    },
    /// The undo would revert edits that were not acknowledged.
    #[error("versions {versions:?} would be undone with it: name them")]
    Unacknowledged {
        /// All edits that it would revert, besides the current version's own.
        versions: Vec<u64>,
    },
    /// The rules are those already.
    #[error("the rules are those already")]
    Unchanged,
    /// Key, author or reason is empty or too long, or the text is not the one of the command.
    #[error(
        "author, reason or key is empty or too long ({} and {} bytes)",
        MAX_ANNOTATION_BYTES,
        MAX_KEY_BYTES
    )]
    InvalidLength,
}

/// The answer to a command: the number of the new version, or why there is none.
pub type Answer = Result<u64, Rejection>;

/// The versions after the commands applied so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    versions: BTreeMap<u64, Version>,
    current: u64,
    /// Answers by key, each with the number of its command.
    answers: BTreeMap<String, (u64, Answer)>,
    /// Number of commands applied.
    applied: u64,
}

impl Rules {
    /// The number of the current version; 0: each front's own document.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// The version of that number, if it is retained.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.get(&number)
    }

    /// All retained versions, the oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.values()
    }

    /// The answer that a key got.
    pub fn answer(&self, key: &str) -> Option<&Answer> {
        self.answers.get(key).map(|a| &a.1)
    }

    /// Applies a command in the order of the log, and answers it.
    ///
    /// # Errors
    /// Why the command is rejected; a command with a key that has an answer gets that answer again.
    pub fn apply(&mut self, command: &Command) -> Answer {
        if let Some((_, answer)) = self.answers.get(&command.key) {
            return answer.clone();
        }
        self.applied += 1;
        let answer = self.decide(command);
        if !command.key.is_empty() && command.key.len() <= MAX_KEY_BYTES {
            self.answers.insert(command.key.clone(), (self.applied, answer.clone()));
        }
        if self.answers.len() > MAX_ANSWERS {
            let oldest =
                self.answers.iter().min_by_key(|(_, (number, _))| *number).map(|(key, _)| key.clone());
            oldest.and_then(|key| self.answers.remove(&key));
        }
        answer
    }

    fn decide(&mut self, command: &Command) -> Answer {
        if !command.has_valid_lengths() {
            return Err(Rejection::InvalidLength);
        }
        let (Operation::Edit { base, .. } | Operation::Undo { base, .. }) = command.operation;
        // What was made from another version than the current one would lose what came between.
        if base != self.current {
            return Err(Rejection::Conflict { current: self.current });
        }
        let (text, restores) = match &command.operation {
            Operation::Edit { digest, bytes, .. } => (TextRef { digest: *digest, bytes: *bytes }, None),
            Operation::Undo { to, acknowledged, .. } => (self.text_to_restore(*to, acknowledged)?, Some(*to)),
        };
        if self.version(self.current).is_some_and(|current| current.digest == text.digest) {
            return Err(Rejection::Unchanged);
        }
        Ok(self.push_version(command, text, restores))
    }

    /// The text of the version that an undo restores, if the undo reverts nothing that was not acknowledged.
    fn text_to_restore(&self, to: u64, acknowledged: &[u64]) -> Result<TextRef, Rejection> {
        let restored = self.version(to).ok_or(Rejection::UnknownVersion { version: to })?;
        let lost = self.lost_edits(to);
        if let Some(unknown) = lost.iter().find(|n| self.version(**n).is_none()) {
            return Err(Rejection::UnknownVersion { version: *unknown });
        }
        if lost.iter().any(|n| !acknowledged.contains(n)) {
            return Err(Rejection::Unacknowledged { versions: lost });
        }
        Ok(TextRef { digest: restored.digest, bytes: restored.bytes })
    }

    /// Makes a text the current version; returns its number.
    fn push_version(&mut self, command: &Command, text: TextRef, restores: Option<u64>) -> u64 {
        let number = self.versions.last_key_value().map_or(0, |v| *v.0).max(self.current) + 1;
        let version = Version {
            number,
            parent: self.current,
            restores,
            digest: text.digest,
            bytes: text.bytes,
            author: command.author.clone(),
            reason: command.reason.clone(),
            at_unix_ms: command.at_unix_ms,
        };
        self.versions.insert(number, version);
        self.current = number;
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
        number
    }

    /// The edits that are in effect under a version: its own and those that it was made on, through undos to what they
    /// restored. One that is no longer retained stands for all before it.
    fn edits_in_effect(&self, version: u64) -> BTreeSet<u64> {
        let (mut edits, mut number) = (BTreeSet::new(), version);
        while number > 0 {
            number = match self.version(number).map(|v| (v.restores, v.parent)) {
                Some((Some(restored), _)) => restored,
                Some((None, parent)) => {
                    edits.insert(number);
                    parent
                }
                None => {
                    edits.insert(number);
                    0
                }
            };
        }
        edits
    }

    /// Edits that an undo to that version would revert, besides what the current version itself brought: to undo that
    /// is what the author wants. The versions between the two would not do: a later one may have restored an earlier.
    pub fn lost_edits(&self, to: u64) -> Vec<u64> {
        let (now, then) = (self.edits_in_effect(self.current), self.edits_in_effect(to));
        let before = self.edits_in_effect(self.version(self.current).map_or(0, |v| v.parent));
        now.into_iter().filter(|edit| !then.contains(edit) && before.contains(edit)).collect()
    }
}

#[cfg(test)]
mod tests;
