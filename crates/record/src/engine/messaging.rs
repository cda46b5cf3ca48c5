//! Datagrams: items packed into as few as they fit into, and received ones dispatched by their items.

use super::Record;
use crate::events::Action;
use crate::wire::{encoded_size, item_capacity, open, seal, Item, Received, WireError};

impl Record {
    /// Sends items to a front, in their order; nothing to this front itself.
    pub(super) fn send(&mut self, to: &str, items: Vec<Item>, actions: &mut Vec<Action>) {
        if to == self.config.name {
            return;
        }
        for items in pack(items, item_capacity(&self.config.name)) {
            let bytes = seal(&self.keys, &self.config.name, &items);
            self.counts.datagrams_sent += 1;
            self.counts.bytes_sent += bytes.len() as u64;
            actions.push(Action::Send { to: to.into(), bytes });
        }
    }

    pub(super) fn on_datagram(&mut self, now_ms: f64, bytes: &[u8], actions: &mut Vec<Action>) {
        let Received { from, items } = match open(&self.keys, bytes) {
            Ok(received) => received,
            Err(WireError::UnsupportedVersion(version)) => {
                self.counts.unsupported_version += 1;
                self.counts.last_unsupported_version = version;
                return;
            }
            Err(WireError::Malformed) => {
                self.counts.malformed += 1;
                return;
            }
        };
        if from == self.config.name {
            return;
        }
        for item in items {
            self.on_item(now_ms, &from, item, actions);
        }
    }

    fn on_item(&mut self, now_ms: f64, from: &str, item: Item, actions: &mut Vec<Action>) {
        match item {
            Item::Status(status) => self.on_status(from, status, actions),
            Item::Pull { record_id, after_index } => self.on_pull(from, record_id, after_index, actions),
            Item::Entries { record_id, entries } => self.on_entries(now_ms, record_id, entries, actions),
            Item::TextOffered { record_id, text } => self.on_text_offered(from, record_id, text, actions),
            Item::RequestParts { digest, parts } => self.on_request_parts(from, digest, &parts, actions),
            Item::Part { digest, part, bytes } => self.on_part(now_ms, from, digest, part, &bytes, actions),
            Item::Propose { command, hops } => self.on_propose(from, command, hops, actions),
            Item::Answered { key, answer } => self.answer(&key, answer, actions),
            Item::TextStored { digest, voter } => self.on_text_stored(digest, voter),
            Item::VoterPresent { voter, without_record } => {
                self.on_voter_present(from, voter, without_record, actions);
            }
            Item::Bootstrapped { record_id, voters } => self.on_bootstrapped(record_id, voters, actions),
            Item::Raft { to, message } => self.on_raft(from, to, &message, actions),
        }
    }
}

/// Splits items into messages of at most `capacity` bytes each; an item that is longer gets one of its own.
fn pack(items: Vec<Item>, capacity: usize) -> Vec<Vec<Item>> {
    let mut messages = Vec::new();
    let (mut message, mut used) = (Vec::new(), 0);
    for item in items {
        let bytes = encoded_size(&item);
        if used + bytes > capacity && !message.is_empty() {
            messages.push(std::mem::take(&mut message));
            used = 0;
        }
        used += bytes;
        message.push(item);
    }
    if !message.is_empty() {
        messages.push(message);
    }
    messages
}
