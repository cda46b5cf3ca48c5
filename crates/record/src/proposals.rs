//! Proposals until they are committed: those made at this front, those that await their texts on a majority of voters,
//! and which texts were validated.
//!
//! The steps that use it are in `engine/proposing.rs`.

use crate::rules::Command;
use crate::state::VoterId;
use crate::texts::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// The most proposals made at this front, and the most that await their texts.
pub(crate) const MAX_PROPOSALS: usize = 1024;

/// A proposal made at this front and not answered yet.
#[derive(Debug)]
pub(crate) struct LocalProposal {
    pub(crate) command: Command,
    /// When it is sent again, in milliseconds.
    pub(crate) next_retry_ms: f64,
}

/// A proposal that awaits its text, here or on a majority of voters.
#[derive(Debug)]
pub(crate) struct PendingProposal {
    pub(crate) command: Command,
    /// The front that forwarded it: its text is fetched from there and its answer goes there. `None`: this front.
    pub(crate) proposer: Option<String>,
    /// Ticks that it has been pending for.
    pub(crate) age_ticks: u32,
}

/// Proposals on their way to be committed, by the keys of their commands.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    pub(crate) local: BTreeMap<String, LocalProposal>,
    pub(crate) pending: BTreeMap<String, PendingProposal>,
    /// Appended to the log and not applied yet, with the front that forwarded each.
    pub(crate) in_log: BTreeMap<String, Option<String>>,
    /// Texts that were validated here: the error, or `None` for a valid one.
    pub(crate) validated: BTreeMap<Digest, Option<String>>,
    /// Voters that have a text durably and found it valid.
    pub(crate) text_voters: BTreeMap<Digest, BTreeSet<VoterId>>,
    /// Whether this front led at the last tick.
    pub(crate) was_leader: bool,
}

impl Proposals {
    /// Drops a proposal made here; returns whether there was one.
    pub(crate) fn remove_local(&mut self, key: &str) -> bool {
        self.local.remove(key).is_some()
    }

    /// Drops a proposal that was forwarded here; returns the front that forwarded it.
    pub(crate) fn take_proposer(&mut self, key: &str) -> Option<String> {
        let pending = self.pending.remove(key).and_then(|p| p.proposer);
        self.in_log.remove(key).flatten().or(pending)
    }

    /// Bounds what is known of texts.
    pub(crate) fn prune_texts(&mut self) {
        if self.validated.len() > MAX_PROPOSALS {
            self.validated.clear();
        }
        if self.text_voters.len() > MAX_PROPOSALS {
            self.text_voters.clear();
        }
    }

    /// Texts of proposals that are not committed yet.
    pub(crate) fn texts(&self) -> impl Iterator<Item = Digest> + '_ {
        let local = self.local.values().map(|p| &p.command);
        local.chain(self.pending.values().map(|p| &p.command)).filter_map(|c| Some(c.text()?.digest))
    }
}
