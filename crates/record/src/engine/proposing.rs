//! Proposals until they are committed: sent again by the front where they were made until they are answered, and kept
//! pending by the leader until their texts are on a majority of voters.

use super::Record;
use crate::events::Action;
use crate::proposals::{LocalProposal, PendingProposal, MAX_PROPOSALS};
use crate::rules::{Command, Rejection};
use crate::state::{VoterId, KIND_RULES};
use crate::storage::{StorageKey, StoredValue, Write};
use crate::texts::{Digest, TextRef};
use crate::wire::Item;
use rand::seq::IndexedRandom;

/// Between two attempts to have a proposal committed, in milliseconds.
const RETRY_MS: f64 = 400.0;
/// How often a voter that is not the leader forwards a proposal.
const MAX_HOPS: u8 = 2;
/// A pending proposal whose text does not come is dropped after so many ticks.
const MAX_PENDING_TICKS: u32 = 50;

/// What a pending proposal lacks.
enum Missing {
    /// Its text is not here, and can be fetched from a front.
    Text { from: String, text: TextRef },
    /// Its text is not on a majority of voters, or was not validated here.
    Majority { text: TextRef },
}

impl Record {
    /// A command is proposed at this front.
    pub(super) fn propose(
        &mut self,
        now_ms: f64,
        command: Command,
        text: Option<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let known = self.state.rules.answer(&command.key).cloned();
        if let Some(answer) = self.reject(&command, text).map(Err).or(known) {
            return actions.push(Action::Answered { key: command.key, answer });
        }
        if self.proposals.local.len() < MAX_PROPOSALS {
            let proposal = LocalProposal { command: command.clone(), next_retry_ms: now_ms + RETRY_MS };
            self.proposals.local.insert(command.key.clone(), proposal);
        }
        self.forward(command, MAX_HOPS, actions);
    }

    /// Why a command is not even proposed; stores its text if it is.
    fn reject(&mut self, command: &Command, text: Option<Vec<u8>>) -> Option<Rejection> {
        if !command.has_valid_lengths() {
            return Some(Rejection::InvalidLength);
        }
        let stored = text.and_then(|text| self.texts.insert(text));
        let needed = command.text().map(|text| text.digest);
        (needed.is_some() && stored != needed).then_some(Rejection::InvalidLength)
    }

    /// Passes a proposal on to this front itself if it leads, else to the leader, else to any voter.
    fn forward(&mut self, command: Command, hops: u8, actions: &mut Vec<Action>) {
        if self.is_leader() {
            return self.accept(None, command, actions);
        }
        let voters: Vec<String> = match self.state.voters.is_empty() {
            true => self.config.voters.clone(),
            false => self.state.voters.values().cloned().collect(),
        };
        let to = self.leader().map(str::to_string).or_else(|| voters.choose(&mut self.rng).cloned());
        if let Some(to) = to {
            self.send(&to, vec![Item::Propose { command, hops }], actions);
        }
    }

    /// Another front forwards a proposal here.
    pub(super) fn on_propose(&mut self, from: &str, command: Command, hops: u8, actions: &mut Vec<Action>) {
        if let Some(answer) = self.state.rules.answer(&command.key).cloned() {
            return self.send(from, vec![Item::Answered { key: command.key, answer }], actions);
        }
        if !command.has_valid_lengths() {
            return;
        }
        if self.is_leader() {
            self.accept(Some(from.into()), command, actions);
        } else if hops > 0 && self.leader().is_some_and(|leader| leader != from) {
            // Its text must be here first, or the leader could not fetch it from here.
            if let Some(text) = command.text() {
                self.fetch(from, text, actions);
                if self.texts.get(&text.digest).is_none() {
                    let proposer = Some(from.into());
                    let key = command.key.clone();
                    self.proposals.pending.insert(key, PendingProposal { command, proposer, age_ticks: 0 });
                    return;
                }
            }
            self.forward(command, hops - 1, actions);
        }
    }

    /// The leader takes a proposal on.
    fn accept(&mut self, proposer: Option<String>, command: Command, actions: &mut Vec<Action>) {
        let key = command.key.clone();
        if self.proposals.in_log.contains_key(&key) || self.proposals.pending.len() >= MAX_PROPOSALS {
            return;
        }
        if let (Some(text), Some(from)) = (command.text(), &proposer) {
            self.fetch(from, text, actions);
        }
        self.proposals.pending.entry(key).or_insert(PendingProposal { command, proposer, age_ticks: 0 });
        self.advance_pending(actions);
    }

    pub(super) fn proposals_tick(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for proposal in self.proposals.local.values_mut().filter(|p| now_ms >= p.next_retry_ms) {
            proposal.next_retry_ms = now_ms + RETRY_MS;
            due.push(proposal.command.clone());
        }
        for command in due {
            // It may have been committed while the answer was lost.
            match self.state.rules.answer(&command.key).cloned() {
                Some(answer) => self.answer(&command.key, answer, actions),
                None => self.forward(command, MAX_HOPS, actions),
            }
        }
        let is_leader = self.is_leader();
        if is_leader != std::mem::replace(&mut self.proposals.was_leader, is_leader) {
            // What an earlier leader appended may be lost: it is proposed again by the front where it was made.
            self.proposals.in_log.clear();
        }
        self.proposals.pending.values_mut().for_each(|p| p.age_ticks += 1);
        self.proposals.pending.retain(|_, p| p.age_ticks < MAX_PENDING_TICKS);
        self.advance_pending(actions);
    }

    /// Appends or forwards the pending proposals whose texts are where they must be, and requests what others lack.
    pub(super) fn advance_pending(&mut self, actions: &mut Vec<Action>) {
        let mut ready = Vec::new();
        let mut missing = Vec::new();
        for (key, proposal) in &self.proposals.pending {
            let Some(text) = proposal.command.text() else {
                ready.push(key.clone());
                continue;
            };
            if self.texts.get(&text.digest).is_none() {
                missing.extend(proposal.proposer.clone().map(|from| Missing::Text { from, text }));
            } else if !self.is_leader() || self.is_on_majority(&text.digest) {
                ready.push(key.clone());
            } else {
                missing.push(Missing::Majority { text });
            }
        }
        for missing in missing {
            match missing {
                Missing::Text { from, text } => self.fetch(&from, text, actions),
                Missing::Majority { text } => self.request_validation(text, actions),
            }
        }
        for key in ready {
            self.append_or_forward(key, actions);
        }
    }

    /// Whether a text was validated here, and a majority of voters has it durably.
    fn is_on_majority(&self, digest: &Digest) -> bool {
        let voters = &self.state.voters;
        let stored = self.proposals.text_voters.get(digest);
        let count = stored.map_or(0, |ids| ids.iter().filter(|id| voters.contains_key(id)).count());
        self.proposals.validated.contains_key(digest) && 2 * count > voters.len()
    }

    fn append_or_forward(&mut self, key: String, actions: &mut Vec<Action>) {
        let Some(PendingProposal { command, proposer, .. }) = self.proposals.pending.remove(&key) else {
            return;
        };
        if !self.is_leader() {
            return self.forward(command, 1, actions);
        }
        let body = postcard::to_stdvec(&command).unwrap_or_default();
        if self.voter.as_mut().is_some_and(|voter| voter.propose(KIND_RULES, &body)) {
            self.proposals.in_log.insert(key, proposer);
        }
    }

    /// The leader has a text: it is validated here, and the voters that lack it are to fetch and validate it.
    fn request_validation(&mut self, text: TextRef, actions: &mut Vec<Action>) {
        self.validate(text.digest, actions);
        let stored = self.proposals.text_voters.get(&text.digest).cloned().unwrap_or_default();
        let lacking: Vec<String> = self
            .state
            .voters
            .iter()
            .filter(|(id, _)| !stored.contains(id))
            .map(|(_, name)| name.clone())
            .collect();
        for to in lacking {
            self.send(&to, vec![Item::TextOffered { record_id: 0, text }], actions);
        }
    }

    /// A voter has a text: its validation is requested, or its result reported again.
    pub(super) fn validate(&mut self, digest: Digest, actions: &mut Vec<Action>) {
        if self.voter.is_none() {
            return;
        }
        match self.proposals.validated.get(&digest) {
            Some(None) => self.report_text_stored(digest, actions),
            Some(Some(_)) => {}
            None => {
                if let Some(text) = self.texts.get(&digest) {
                    actions.push(Action::Validate { digest, text: text.to_vec() });
                }
            }
        }
    }

    /// A text was validated here; a valid one is made durable.
    pub(super) fn on_validated(&mut self, digest: Digest, error: Option<String>, actions: &mut Vec<Action>) {
        let is_valid = error.is_none();
        if self.proposals.validated.insert(digest, error).is_some() || !is_valid {
            return;
        }
        if let Some(text) = self.texts.get(&digest).filter(|_| self.voter.is_some()) {
            let write = Write::put(StorageKey::Text(digest), StoredValue::Text(text.to_vec()));
            actions.push(Action::Write(vec![write]));
            self.report_text_stored(digest, actions);
            self.advance_pending(actions);
        }
    }

    fn report_text_stored(&mut self, digest: Digest, actions: &mut Vec<Action>) {
        let voter = self.config.voter_id();
        if self.is_leader() {
            return self.on_text_stored(digest, voter);
        }
        if let Some(to) = self.leader().map(str::to_string) {
            self.send(&to, vec![Item::TextStored { digest, voter }], actions);
        }
    }

    /// A voter has a text durably, and found it valid.
    pub(super) fn on_text_stored(&mut self, digest: Digest, voter: VoterId) {
        self.proposals.text_voters.entry(digest).or_default().insert(voter);
    }
}
