//! Proposals until they are committed. The front where a command was proposed sends it again until it is
//! answered; the leader holds it as pending until its text is on a majority of voters.

use super::Record;
use crate::events::Action;
use crate::proposals::{LocalProposal, PendingProposal, MAX_PROPOSALS};
use crate::rules::{Command, Rejection};
use crate::state::{VoterId, ENTRY_KIND_RULES};
use crate::storage::{StorageKey, StoredValue, Write};
use crate::texts::{Digest, TextRef};
use crate::wire::MessageItem;
use rand::seq::IndexedRandom;

/// Interval at which a front sends an unanswered proposal again, in milliseconds.
const PROPOSAL_RETRY_MS: f64 = 400.0;
/// How many times voters that are not the leader may forward a proposal.
const MAX_FORWARDING_HOPS: u8 = 2;
/// Ticks after which a pending proposal is dropped if its text has not arrived.
const MAX_PENDING_TICKS: u32 = 50;

/// What a pending proposal still needs before it can be appended to the log.
enum MissingPrerequisite {
    /// The text is not on this front, and can be fetched from the front named in `from`.
    Text { from: String, text: TextRef },
    /// The text is not on a majority of voters yet, or was not validated on this front.
    Majority { text: TextRef },
}

impl Record {
    /// Handles a command proposed at this front: answers it if it is invalid or was applied before, else
    /// forwards it.
    pub(super) fn propose_local(
        &mut self,
        now_ms: f64,
        command: Command,
        text: Option<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let known = self.state.rules.answer(&command.key).cloned();
        if let Some(answer) = self.check_proposal(&command, text).map(Err).or(known) {
            return actions.push(Action::Answered { key: command.key, answer });
        }
        if self.proposals.local.len() < MAX_PROPOSALS {
            let proposal =
                LocalProposal { command: command.clone(), next_retry_ms: now_ms + PROPOSAL_RETRY_MS };
            self.proposals.local.insert(command.key.clone(), proposal);
        }
        self.forward_command(command, MAX_FORWARDING_HOPS, actions);
    }

    /// Why a command can't be proposed; `None` if it can. The text that comes with it is stored here.
    fn check_proposal(&mut self, command: &Command, text: Option<Vec<u8>>) -> Option<Rejection> {
        if !command.has_valid_lengths() {
            return Some(Rejection::InvalidLength);
        }
        let stored = text.and_then(|text| self.texts.insert(text));
        let needed = command.edit_text().map(|text| text.digest);
        (needed.is_some() && stored != needed).then_some(Rejection::InvalidLength)
    }

    /// Passes a command to this front itself if it leads, else to the leader, else to any voter.
    fn forward_command(&mut self, command: Command, hops: u8, actions: &mut Vec<Action>) {
        if self.is_leader() {
            return self.accept_proposal(None, command, actions);
        }
        let voters: Vec<String> = match self.state.voters.is_empty() {
            true => self.config.voters.clone(),
            false => self.state.voters.values().cloned().collect(),
        };
        let to = self.leader().map(str::to_string).or_else(|| voters.choose(&mut self.rng).cloned());
        if let Some(to) = to {
            self.send_items(&to, vec![MessageItem::Propose { command, hops }], actions);
        }
    }

    /// Handles a proposal that another front has forwarded.
    pub(super) fn on_forwarded_proposal(
        &mut self,
        from: &str,
        command: Command,
        hops: u8,
        actions: &mut Vec<Action>,
    ) {
        if let Some(answer) = self.state.rules.answer(&command.key).cloned() {
            return self.send_items(from, vec![MessageItem::Answered { key: command.key, answer }], actions);
        }
        if !command.has_valid_lengths() {
            return;
        }
        if self.is_leader() {
            self.accept_proposal(Some(from.into()), command, actions);
        } else if hops > 0 && self.leader().is_some_and(|leader| leader != from) {
            // The text must be stored here before the command is forwarded, as the leader fetches it from
            // this front.
            if let Some(text) = command.edit_text() {
                self.request_missing_parts(from, text, actions);
                if self.texts.get(&text.digest).is_none() {
                    let proposer = Some(from.into());
                    let key = command.key.clone();
                    self.proposals.pending.insert(key, PendingProposal { command, proposer, age_ticks: 0 });
                    return;
                }
            }
            self.forward_command(command, hops - 1, actions);
        }
    }

    /// Adds a proposal to the leader's pending ones, and fetches its text from the front that forwarded it.
    fn accept_proposal(&mut self, proposer: Option<String>, command: Command, actions: &mut Vec<Action>) {
        let key = command.key.clone();
        if self.proposals.in_log.contains_key(&key) || self.proposals.pending.len() >= MAX_PROPOSALS {
            return;
        }
        if let (Some(text), Some(from)) = (command.edit_text(), &proposer) {
            self.request_missing_parts(from, text, actions);
        }
        self.proposals.pending.entry(key).or_insert(PendingProposal { command, proposer, age_ticks: 0 });
        self.advance_pending(actions);
    }

    pub(super) fn tick_proposals(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for proposal in self.proposals.local.values_mut().filter(|p| now_ms >= p.next_retry_ms) {
            proposal.next_retry_ms = now_ms + PROPOSAL_RETRY_MS;
            due.push(proposal.command.clone());
        }
        for command in due {
            // The command may have been committed although its answer was lost.
            match self.state.rules.answer(&command.key).cloned() {
                Some(answer) => self.deliver_answer(&command.key, answer, actions),
                None => self.forward_command(command, MAX_FORWARDING_HOPS, actions),
            }
        }
        let is_leader = self.is_leader();
        if is_leader != std::mem::replace(&mut self.proposals.was_leader, is_leader) {
            // Entries appended by an earlier leader may be lost; the proposing front then sends the command
            // again.
            self.proposals.in_log.clear();
        }
        self.proposals.pending.values_mut().for_each(|p| p.age_ticks += 1);
        self.proposals.pending.retain(|_, p| p.age_ticks < MAX_PENDING_TICKS);
        self.advance_pending(actions);
    }

    /// Appends or forwards each pending proposal whose text is where it must be, and requests the missing
    /// texts and validations of the others.
    pub(super) fn advance_pending(&mut self, actions: &mut Vec<Action>) {
        let mut ready = Vec::new();
        let mut missing = Vec::new();
        for (key, proposal) in &self.proposals.pending {
            let Some(text) = proposal.command.edit_text() else {
                ready.push(key.clone());
                continue;
            };
            if self.texts.get(&text.digest).is_none() {
                missing
                    .extend(proposal.proposer.clone().map(|from| MissingPrerequisite::Text { from, text }));
            } else if !self.is_leader() || self.is_text_on_majority(&text.digest) {
                ready.push(key.clone());
            } else {
                missing.push(MissingPrerequisite::Majority { text });
            }
        }
        for missing in missing {
            match missing {
                MissingPrerequisite::Text { from, text } => self.request_missing_parts(&from, text, actions),
                MissingPrerequisite::Majority { text } => self.request_validation_by_voters(text, actions),
            }
        }
        for key in ready {
            self.append_or_forward(key, actions);
        }
    }

    /// Whether a text was validated on this front and a majority of voters has it on disk.
    fn is_text_on_majority(&self, digest: &Digest) -> bool {
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
            return self.forward_command(command, 1, actions);
        }
        let body = postcard::to_stdvec(&command).unwrap_or_default();
        if self.voter.as_mut().is_some_and(|voter| voter.propose_entry(ENTRY_KIND_RULES, &body)) {
            self.proposals.in_log.insert(key, proposer);
        }
    }

    /// Validates a text on the leader, and offers it to the voters that have not reported it as stored.
    fn request_validation_by_voters(&mut self, text: TextRef, actions: &mut Vec<Action>) {
        self.validate_text(text.digest, actions);
        let stored = self.proposals.text_voters.get(&text.digest).cloned().unwrap_or_default();
        let lacking: Vec<String> = self
            .state
            .voters
            .iter()
            .filter(|(id, _)| !stored.contains(id))
            .map(|(_, name)| name.clone())
            .collect();
        for to in lacking {
            self.send_items(&to, vec![MessageItem::TextOffered { record_id: 0, text }], actions);
        }
    }

    /// Requests the validation of a stored text if this front is a voter; reports a text already found valid
    /// again.
    pub(super) fn validate_text(&mut self, digest: Digest, actions: &mut Vec<Action>) {
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

    /// Handles the result of a validation; a valid text is written to disk and reported to the leader.
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
            self.send_items(&to, vec![MessageItem::TextStored { digest, voter }], actions);
        }
    }

    /// Records that a voter found a text valid and has it on disk.
    pub(super) fn on_text_stored(&mut self, digest: Digest, voter: VoterId) {
        self.proposals.text_voters.entry(digest).or_default().insert(voter);
    }
}
