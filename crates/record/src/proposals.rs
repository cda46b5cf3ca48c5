//! Proposals until they are committed: those made at this front, those that wait for their text to be on a
//! majority of voters, and the results of text validations.
//!
//! The steps that use them are in `engine/proposing.rs`.

use crate::rules::Command;
use crate::state::VoterId;
use crate::texts::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of unanswered proposals made at this front, and of pending proposals.
pub(crate) const MAX_PROPOSALS: usize = 1024;

/// A proposal made at this front that has not been answered yet.
#[derive(Debug)]
pub(crate) struct LocalProposal {
    pub(crate) command: Command,
    /// Time at which the proposal is sent again, in milliseconds on the caller's clock.
    pub(crate) next_retry_ms: f64,
}

/// A proposal that waits for its text to be on this front, or on a majority of voters.
#[derive(Debug)]
pub(crate) struct PendingProposal {
    pub(crate) command: Command,
    /// Name of the front that forwarded the proposal; the text is fetched from it and the answer is sent to
    /// it. `None` for a proposal made at this front.
    pub(crate) proposer: Option<String>,
    /// Number of ticks for which the proposal has been pending.
    pub(crate) age_ticks: u32,
}

/// The proposals known to this front that are not committed yet, by the keys of their commands.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    pub(crate) local: BTreeMap<String, LocalProposal>,
    pub(crate) pending: BTreeMap<String, PendingProposal>,
    /// Proposals appended to the log but not applied yet, each with the name of the front that forwarded it.
    pub(crate) in_log: BTreeMap<String, Option<String>>,
    /// Results of the validations on this front by text: the error, or `None` for a valid text.
    pub(crate) validated: BTreeMap<Digest, Option<String>>,
    /// The voters that have found a text valid and have it on disk.
    pub(crate) text_voters: BTreeMap<Digest, BTreeSet<VoterId>>,
    /// Whether this front was the leader at the last tick.
    pub(crate) was_leader: bool,
}

impl Proposals {
    /// Removes a proposal made at this front; returns whether there was one.
    pub(crate) fn remove_local(&mut self, key: &str) -> bool {
        self.local.remove(key).is_some()
    }

    /// Removes a forwarded proposal; returns the name of the front that forwarded it.
    pub(crate) fn take_proposer(&mut self, key: &str) -> Option<String> {
        let pending = self.pending.remove(key).and_then(|p| p.proposer);
        self.in_log.remove(key).flatten().or(pending)
    }

    /// Bounds the memory for validation results and stored-text reports by clearing a map that has grown too
    /// large.
    pub(crate) fn prune_texts(&mut self) {
        if self.validated.len() > MAX_PROPOSALS {
            self.validated.clear();
        }
        if self.text_voters.len() > MAX_PROPOSALS {
            self.text_voters.clear();
        }
    }

    /// Digests of the texts of proposals that are not committed yet.
    pub(crate) fn uncommitted_texts(&self) -> impl Iterator<Item = Digest> + '_ {
        let local = self.local.values().map(|p| &p.command);
        local.chain(self.pending.values().map(|p| &p.command)).filter_map(|c| Some(c.edit_text()?.digest))
    }
}
