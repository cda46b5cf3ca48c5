//! Datagrams: outgoing items are packed into as few datagrams as possible, and received ones are dispatched
//! by kind.

use super::Record;
use crate::events::Action;
use crate::wire::{
    decode_verified, encode_signed, encoded_size, item_capacity, MessageItem, ReceivedMessage, WireError,
};

impl Record {
    /// Sends items to a front, in order; does nothing if that front is this one.
    pub(super) fn send_items(&mut self, to: &str, items: Vec<MessageItem>, actions: &mut Vec<Action>) {
        if to == self.config.name {
            return;
        }
        for items in pack_items(items, item_capacity(&self.config.name)) {
            let bytes = encode_signed(&self.keys, &self.config.name, &items);
            self.counts.datagrams_sent += 1;
            self.counts.bytes_sent += bytes.len() as u64;
            actions.push(Action::Send { to: to.into(), bytes });
        }
    }

    pub(super) fn on_datagram(&mut self, now_ms: f64, bytes: &[u8], actions: &mut Vec<Action>) {
        let ReceivedMessage { from, items } = match decode_verified(&self.keys, bytes) {
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

    fn on_item(&mut self, now_ms: f64, from: &str, item: MessageItem, actions: &mut Vec<Action>) {
        match item {
            MessageItem::Status(status) => self.on_status(from, status, actions),
            MessageItem::Pull { record_id, after_index } => {
                self.on_pull(from, record_id, after_index, actions);
            }
            MessageItem::Entries { record_id, entries } => {
                self.on_entries(now_ms, record_id, entries, actions);
            }
            MessageItem::TextOffered { record_id, text } => {
                self.on_text_offered(from, record_id, text, actions);
            }
            MessageItem::RequestParts { digest, parts } => {
                self.on_request_parts(from, digest, &parts, actions);
            }
            MessageItem::Part { digest, part, bytes } => {
                self.on_part(now_ms, from, digest, part, &bytes, actions);
            }
            MessageItem::Propose { command, hops } => {
                self.on_forwarded_proposal(from, command, hops, actions);
            }
            MessageItem::Answered { key, answer } => self.deliver_answer(&key, answer, actions),
            MessageItem::TextStored { digest, voter } => self.on_text_stored(digest, voter),
            MessageItem::VoterPresent { voter, without_record } => {
                self.on_voter_present(from, voter, without_record, actions);
            }
            MessageItem::Bootstrapped { record_id, voters } => {
                self.on_bootstrapped(record_id, voters, actions);
            }
            MessageItem::Raft { to, message } => self.on_raft_message(from, to, &message, actions),
        }
    }
}

/// Splits items into messages of at most `capacity` bytes; an item longer than that is sent in a message by
/// itself.
fn pack_items(items: Vec<MessageItem>, capacity: usize) -> Vec<Vec<MessageItem>> {
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
