//! Versions of the routing rules: which one is current, and how an edit or an undo changes it. This is a
//! pure state machine: fronts that have applied the same commands have the same state.

use crate::texts::{Digest, TextRef};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of versions retained; the text of an older version is dropped with it.
pub const MAX_RETAINED_VERSIONS: usize = 128;
/// Maximum number of commands whose answer is retained, to answer a repeated command with the same key.
pub const MAX_RETAINED_ANSWERS: usize = 512;
/// Maximum length of a command's author, and of its reason, in bytes.
pub const MAX_ANNOTATION_BYTES: usize = 160;
/// Maximum length of a command's key in bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// A version of the routing rules. Its number is never used for another version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RulesVersion {
    /// Number of the version, from 1 on; version 0 stands for each front's own site document.
    pub number: u64,
    /// Number of the version that was current before this one.
    pub parent: u64,
    /// Number of the version whose rules an undo restored; `None` for an edit.
    pub restores: Option<u64>,
    /// Digest of the version's rules text.
    pub digest: Digest,
    /// Length of the version's rules text in bytes.
    pub bytes: u32,
    /// Author of the command that made the version.
    pub author: String,
    /// Reason that the author gave for the version.
    pub reason: String,
    /// Unix time in milliseconds at which the version was proposed, by the clock of the proposing front; not
    /// used for ordering.
    pub at_unix_ms: u64,
}

/// What a command does. `base` is the version that its author saw as current (optimistic concurrency
/// control).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Replaces the rules of the version `base`.
    Edit {
        /// Number of the version that the edit was made from.
        base: u64,
        /// Digest of the new rules text.
        digest: Digest,
        /// Length of the new rules text in bytes.
        bytes: u32,
    },
    /// Restores the rules of an earlier version, as a new version.
    Undo {
        /// Number of the version that the author saw as current.
        base: u64,
        /// Number of the version whose rules are restored.
        to: u64,
        /// Edits that the author knows to be reverted too, apart from that of the current version.
        acknowledged: Vec<u64>,
    },
}

/// A command on the routing rules, as it is stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Makes the command idempotent: a repeat with the same key gets the first answer.
    pub key: String,
    /// Who proposes the command.
    pub author: String,
    /// Reason that the author gives; may be empty.
    pub reason: String,
    /// Unix time in milliseconds at which the command was proposed, by the clock of the proposing front.
    pub at_unix_ms: u64,
    /// The change of the rules that the command asks for.
    pub operation: Operation,
}

impl Command {
    /// Digest and length of an edit's text; `None` for an undo.
    pub fn edit_text(&self) -> Option<TextRef> {
        match self.operation {
            Operation::Edit { digest, bytes, .. } => Some(TextRef { digest, bytes }),
            Operation::Undo { .. } => None,
        }
    }

    /// Whether key and author are not empty, and key, author and reason are within their maximum lengths.
    pub fn has_valid_lengths(&self) -> bool {
        let valid = |text: &str, max: usize| !text.is_empty() && text.len() <= max;
        valid(&self.key, MAX_KEY_BYTES)
            && valid(&self.author, MAX_ANNOTATION_BYTES)
            && self.reason.len() <= MAX_ANNOTATION_BYTES
    }
}

/// Why a command was rejected without changing the rules.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The command was made from a version that is no longer current.
    #[error("the command was made from an outdated version: version {current} is current now")]
    Conflict {
        /// Number of the version that is current now.
        current: u64,
    },
    /// The undo concerns a version that does not exist or is no longer retained.
    #[error("version {version} does not exist or is no longer retained")]
    UnknownVersion {
        /// Number of the version that is not known.
        version: u64,
    },
    /// The undo would revert edits that its author has not acknowledged.
    #[error("the undo would also revert the edits of versions {versions:?}, which must be acknowledged")]
    Unacknowledged {
        /// All edits that the undo would revert, apart from that of the current version.
        versions: Vec<u64>,
    },
    /// The command's rules are the same as the current ones.
    #[error("the rules are the same as those of the current version")]
    Unchanged,
    /// The key or the author is empty, the key, author or reason is too long, or the text does not match the
    /// command's digest.
    #[error(
        "invalid command: key or author is empty, author or reason exceeds {} bytes, key exceeds {} bytes, \
         or the text does not match its digest",
        MAX_ANNOTATION_BYTES,
        MAX_KEY_BYTES
    )]
    InvalidLength,
}

/// The answer to a command: the number of the new version, or why the command was rejected.
pub type Answer = Result<u64, Rejection>;

/// The retained versions of the routing rules, and the answers to the last commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    versions: BTreeMap<u64, RulesVersion>,
    current: u64,
    /// Answers by command key, each with the command's position in the order of application.
    answers: BTreeMap<String, (u64, Answer)>,
    /// Number of commands applied so far, repeats not counted.
    applied: u64,
}

impl Rules {
    /// Number of the current version; 0 while each front's own site document applies.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// The version with this number; `None` if it does not exist or is no longer retained.
    pub fn version(&self, number: u64) -> Option<&RulesVersion> {
        self.versions.get(&number)
    }

    /// All retained versions, the oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &RulesVersion> {
        self.versions.values()
    }

    /// The answer to the command with this key; `None` if it was not applied or its answer is no longer
    /// retained.
    pub fn answer(&self, key: &str) -> Option<&Answer> {
        self.answers.get(key).map(|a| &a.1)
    }

    /// Applies a command in the order of the log and answers it. A command whose key was answered before
    /// gets the same answer again and changes nothing.
    ///
    /// # Errors
    /// The command is rejected, see [`Rejection`].
    pub fn apply_command(&mut self, command: &Command) -> Answer {
        if let Some((_, answer)) = self.answers.get(&command.key) {
            return answer.clone();
        }
        self.applied += 1;
        let answer = self.execute_command(command);
        if !command.key.is_empty() && command.key.len() <= MAX_KEY_BYTES {
            self.answers.insert(command.key.clone(), (self.applied, answer.clone()));
        }
        if self.answers.len() > MAX_RETAINED_ANSWERS {
            let oldest =
                self.answers.iter().min_by_key(|(_, (number, _))| *number).map(|(key, _)| key.clone());
            oldest.and_then(|key| self.answers.remove(&key));
        }
        answer
    }

    fn execute_command(&mut self, command: &Command) -> Answer {
        if !command.has_valid_lengths() {
            return Err(Rejection::InvalidLength);
        }
        let (Operation::Edit { base, .. } | Operation::Undo { base, .. }) = command.operation;
        // A command made from an older version would overwrite the versions committed since.
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
        Ok(self.add_version(command, text, restores))
    }

    /// The text of the version that an undo restores, if the undo reverts no unacknowledged edit.
    fn text_to_restore(&self, to: u64, acknowledged: &[u64]) -> Result<TextRef, Rejection> {
        let restored = self.version(to).ok_or(Rejection::UnknownVersion { version: to })?;
        let lost = self.edits_reverted_by_undo(to);
        if let Some(unknown) = lost.iter().find(|n| self.version(**n).is_none()) {
            return Err(Rejection::UnknownVersion { version: *unknown });
        }
        if lost.iter().any(|n| !acknowledged.contains(n)) {
            return Err(Rejection::Unacknowledged { versions: lost });
        }
        Ok(TextRef { digest: restored.digest, bytes: restored.bytes })
    }

    /// Adds a text as the new current version and returns the version's number.
    fn add_version(&mut self, command: &Command, text: TextRef, restores: Option<u64>) -> u64 {
        let number = self.versions.last_key_value().map_or(0, |v| *v.0).max(self.current) + 1;
        let version = RulesVersion {
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
        while self.versions.len() > MAX_RETAINED_VERSIONS {
            self.versions.pop_first();
        }
        number
    }

    /// The edits in effect under a version: its own and those of its ancestors, where an undo leads to the
    /// version it restored. An edit that is no longer retained stands for all before it.
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

    /// The edits that an undo to version `to` would revert, without the current version's own, which the
    /// author means to undo. The versions between the two are not enough to tell, since a later one may have
    /// restored an earlier one.
    pub fn edits_reverted_by_undo(&self, to: u64) -> Vec<u64> {
        let (now, then) = (self.edits_in_effect(self.current), self.edits_in_effect(to));
        let before = self.edits_in_effect(self.version(self.current).map_or(0, |v| v.parent));
        now.into_iter().filter(|edit| !then.contains(edit) && before.contains(edit)).collect()
    }
}

#[cfg(test)]
mod tests;
