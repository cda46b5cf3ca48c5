//! Replication of committed entries, snapshots and texts to all fronts: each front announces its status, and
//! fronts that are behind pull from those that are ahead.

use super::Record;
use crate::events::Action;
use crate::replication::SnapshotSource;
use crate::state::{LogEntry, RecordState};
use crate::texts::{Digest, TextRef, MAX_PARTS_PER_REQUEST};
use crate::wire::{encoded_size, item_capacity, MessageItem, Status};
use rand::seq::IndexedRandom;

/// Interval between two announcements of this front's status to a random peer in steady state, in
/// milliseconds.
const STATUS_INTERVAL_MS: f64 = 1_000.0;
/// Number of random peers to which each announcement of an update is sent.
const UPDATE_FANOUT: usize = 3;
/// Number of ticks on which an update is announced again, so that peers missed by the first announcements
/// need not wait for the next one in steady state.
const UPDATE_REPEATS: u32 = 4;
/// Interval between two requests for missing texts, in milliseconds.
const FETCH_INTERVAL_MS: f64 = 150.0;
/// Maximum number of missing version texts requested at the same time.
const MAX_VERSION_TEXTS_PER_FETCH: usize = 2;
/// Maximum number of text parts sent in reply to one request.
const MAX_PARTS_PER_REPLY: usize = MAX_PARTS_PER_REQUEST;
/// Maximum number of peers whose status is remembered.
const MAX_PEER_STATUSES: usize = 4096;
/// Upper bound on the encoded size of [`MessageItem::Entries`] without its entries, in bytes, with a margin.
const ENTRIES_OVERHEAD_BYTES: usize = 32;

impl Record {
    fn own_status(&self) -> MessageItem {
        MessageItem::Status(Status {
            record_id: self.state.record_id,
            applied_index: self.state.applied_index,
            chain_hash: self.state.chain_hash,
            serving_version: self.replication.serving_version,
            reply_wanted: false,
        })
    }

    /// Records the rules version that this front now serves by, and announces a change at once, because other
    /// fronts may await it.
    pub(super) fn set_serving_version(&mut self, version: u64, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.replication.serving_version, version) != version {
            self.replication.repeats_remaining = self.replication.repeats_remaining.max(1);
            self.announce_status(UPDATE_FANOUT, actions);
        }
    }

    /// Sends this front's status to `count` random peers.
    fn announce_status(&mut self, count: usize, actions: &mut Vec<Action>) {
        let to: Vec<String> = self.replication.peers.choose_multiple(&mut self.rng, count).cloned().collect();
        for to in to {
            let status = self.own_status();
            self.send_items(&to, vec![status], actions);
        }
    }

    /// Announces a change of the state at once, and fetches the texts that it needs.
    pub(super) fn announce_update(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.replication.repeats_remaining = UPDATE_REPEATS;
        self.announce_status(UPDATE_FANOUT, actions);
        self.replication.next_fetch_ms = now_ms;
        self.fetch_missing(now_ms, actions);
    }

    pub(super) fn tick_replication(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if now_ms >= self.replication.next_status_ms {
            self.replication.next_status_ms = now_ms + STATUS_INTERVAL_MS;
            self.announce_status(1, actions);
            if let Some(voter) = &mut self.voter {
                voter.resend_snapshots();
            }
        }
        if self.replication.repeats_remaining > 0 {
            self.replication.repeats_remaining -= 1;
            self.announce_status(UPDATE_FANOUT, actions);
        }
        self.fetch_missing(now_ms, actions);
    }

    /// Requests missing texts: a snapshot from the front that offered it, a version's text from a random
    /// peer and a random voter.
    fn fetch_missing(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if now_ms < self.replication.next_fetch_ms {
            return;
        }
        self.replication.next_fetch_ms = now_ms + FETCH_INTERVAL_MS;
        let snapshots: Vec<_> = self.replication.snapshots.iter().cloned().collect();
        for snapshot in snapshots {
            if let Some(source) = snapshot.source {
                self.request_missing_parts(&source.from, snapshot.text, actions);
            }
        }
        for text in self.missing_version_texts() {
            let mut to: Vec<String> =
                self.replication.peers.choose_multiple(&mut self.rng, 1).cloned().collect();
            let voters: Vec<String> = self.state.voters.values().cloned().collect();
            to.extend(voters.choose(&mut self.rng).cloned());
            for to in to {
                self.request_missing_parts(&to, text, actions);
            }
        }
    }

    /// Up to [`MAX_VERSION_TEXTS_PER_FETCH`] missing version texts: the current version's first, then from
    /// the oldest version on.
    fn missing_version_texts(&self) -> Vec<TextRef> {
        let current = self.state.rules.version(self.state.rules.current());
        let current = current.map(|v| TextRef { digest: v.digest, bytes: v.bytes });
        let wanted = current.into_iter().chain(self.state.version_texts());
        wanted
            .filter(|text| self.texts.get(&text.digest).is_none())
            .take(MAX_VERSION_TEXTS_PER_FETCH)
            .collect()
    }

    /// Requests the next missing parts of a text from a front.
    pub(super) fn request_missing_parts(&mut self, from: &str, text: TextRef, actions: &mut Vec<Action>) {
        let parts = self.texts.missing_parts(text);
        if !parts.is_empty() {
            self.send_items(from, vec![MessageItem::RequestParts { digest: text.digest, parts }], actions);
        }
    }

    /// Fetches the state that a snapshot of the leader refers to. The leader sends the snapshot again, and
    /// it is installed once the state has arrived.
    pub(super) fn fetch_leader_snapshot(&mut self, from: &str, text: TextRef, actions: &mut Vec<Action>) {
        let source = SnapshotSource { record_id: 0, from: from.into() };
        self.replication.retain_snapshot(text, Some(source));
        self.request_missing_parts(from, text, actions);
    }

    pub(super) fn on_status(&mut self, from: &str, status: Status, actions: &mut Vec<Action>) {
        let Status { record_id, applied_index, reply_wanted, .. } = status;
        let known = &mut self.replication.peer_status;
        if known.len() < MAX_PEER_STATUSES || known.contains_key(from) {
            known.insert(from.into(), status);
        }
        if record_id != 0 && self.state.record_id != 0 && record_id != self.state.record_id {
            // The peer's record was bootstrapped separately from this one: neither front replicates from the
            // other.
            self.counts.other_record += 1;
            return;
        }
        let mut reply = Vec::new();
        let is_ahead = record_id != 0 && applied_index > self.state.applied_index;
        if is_ahead && self.voter.is_none() && self.state.unsupported.is_none() {
            reply.push(MessageItem::Pull {
                record_id: self.state.record_id,
                after_index: self.state.applied_index,
            });
        }
        let is_behind = self.state.record_id != 0 && applied_index < self.state.applied_index;
        if reply_wanted || is_behind {
            reply.push(self.own_status());
        }
        if !reply.is_empty() {
            self.send_items(from, reply, actions);
        }
    }

    /// Answers a front that is behind with the entries after `after_index`, or with the offer of a snapshot.
    pub(super) fn on_pull(
        &mut self,
        from: &str,
        record_id: u64,
        after_index: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_other_record = record_id != 0 && record_id != self.state.record_id;
        if self.state.record_id == 0 || is_other_record || after_index >= self.state.applied_index {
            return;
        }
        let first_recent = self.recent_entries.front().map_or(u64::MAX, |e| e.index);
        if record_id == 0 || after_index + 1 < first_recent {
            return self.offer_snapshot(from, actions);
        }
        // Only one message is sent for each pull; a front that is still behind pulls again.
        let entries = self.entries_after(after_index);
        let has_more = entries.last().is_some_and(|e| e.index < self.state.applied_index);
        let mut items = vec![MessageItem::Entries { record_id: self.state.record_id, entries }];
        if has_more {
            items.push(self.own_status());
        }
        self.send_items(from, items, actions);
    }

    fn offer_snapshot(&mut self, to: &str, actions: &mut Vec<Action>) {
        let encoded = self.state.to_bytes();
        let bytes = encoded.len() as u32;
        if let Some(digest) = self.texts.insert(encoded) {
            let text = TextRef { digest, bytes };
            self.replication.retain_snapshot(text, None);
            self.send_items(
                to,
                vec![MessageItem::TextOffered { record_id: self.state.record_id, text }],
                actions,
            );
        }
    }

    /// The recent entries after an index, as many as fit into one message.
    fn entries_after(&self, index: u64) -> Vec<LogEntry> {
        let capacity = item_capacity(&self.config.name) - ENTRIES_OVERHEAD_BYTES;
        let (mut entries, mut bytes) = (Vec::new(), 0);
        for entry in self.recent_entries.iter().filter(|e| e.index > index) {
            let entry_bytes =
                encoded_size(&MessageItem::Entries { record_id: 0, entries: vec![entry.clone()] });
            if bytes + entry_bytes > capacity {
                break;
            }
            bytes += entry_bytes;
            entries.push(entry.clone());
        }
        entries
    }

    pub(super) fn on_entries(
        &mut self,
        now_ms: f64,
        record_id: u64,
        entries: Vec<LogEntry>,
        actions: &mut Vec<Action>,
    ) {
        // A voter applies only the entries that its own Raft log has committed.
        if record_id != 0 && record_id == self.state.record_id && self.voter.is_none() {
            self.apply_entries(now_ms, entries, actions);
        }
    }

    /// Handles the offer of a text: the snapshot of a record, or with record id 0 a proposed text that the
    /// leader wants validated.
    pub(super) fn on_text_offered(
        &mut self,
        from: &str,
        record_id: u64,
        text: TextRef,
        actions: &mut Vec<Action>,
    ) {
        if record_id == 0 {
            match self.texts.get(&text.digest).is_some() {
                true => self.validate_text(text.digest, actions),
                false => self.request_missing_parts(from, text, actions),
            }
        } else if self.voter.is_none() && (self.state.record_id == 0 || self.state.record_id == record_id) {
            let source = SnapshotSource { record_id, from: from.into() };
            self.replication.retain_snapshot(text, Some(source));
            self.request_missing_parts(from, text, actions);
        }
    }

    pub(super) fn on_request_parts(
        &mut self,
        from: &str,
        digest: Digest,
        parts: &[u16],
        actions: &mut Vec<Action>,
    ) {
        let own_state = self.state.to_bytes();
        if self.texts.get(&digest).is_none() && Digest::of(&own_state) == digest {
            // The leader's Raft message refers to this front's current state by its digest.
            let text = TextRef { digest, bytes: own_state.len() as u32 };
            self.replication.retain_snapshot(text, None);
            self.texts.insert(own_state);
        }
        let items: Vec<MessageItem> = parts
            .iter()
            .take(MAX_PARTS_PER_REPLY)
            .filter_map(|part| {
                let bytes = self.texts.part_content(&digest, *part)?.to_vec();
                Some(MessageItem::Part { digest, part: *part, bytes })
            })
            .collect();
        if !items.is_empty() {
            self.send_items(from, items, actions);
        }
    }

    pub(super) fn on_part(
        &mut self,
        now_ms: f64,
        from: &str,
        digest: Digest,
        part: u16,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if !self.texts.add_part(digest, part, bytes) {
            // The last part of a request has arrived: the next parts are requested without waiting for the
            // timer.
            if usize::from(part) % MAX_PARTS_PER_REQUEST == MAX_PARTS_PER_REQUEST - 1 {
                if let Some(text) = self.texts.partial_text_ref(&digest) {
                    self.request_missing_parts(from, text, actions);
                }
            }
            return;
        }
        let snapshot = self.replication.snapshots.iter().find(|s| s.text.digest == digest);
        match snapshot.and_then(|s| s.source.as_ref()).map(|source| source.record_id) {
            Some(record_id) => self.on_snapshot_fetched(now_ms, record_id, digest, actions),
            None => self.on_text_fetched(now_ms, digest, actions),
        }
    }

    /// Installs a fetched snapshot on a follower if it is newer than the follower's state. The snapshot of a
    /// voter (record id 0) is installed on the leader's next message instead.
    fn on_snapshot_fetched(
        &mut self,
        now_ms: f64,
        record_id: u64,
        digest: Digest,
        actions: &mut Vec<Action>,
    ) {
        if record_id == 0 || self.voter.is_some() {
            return;
        }
        let Some(state) = self.texts.get(&digest).and_then(RecordState::from_bytes) else { return };
        let is_first = self.state.record_id == 0;
        let is_newer = self.state.record_id == record_id && state.applied_index > self.state.applied_index;
        if state.record_id == record_id && (is_first || is_newer) {
            self.state = state;
            self.recent_entries.clear();
            actions.push(Action::StateChanged);
            self.announce_update(now_ms, actions);
        }
    }

    fn on_text_fetched(&mut self, now_ms: f64, digest: Digest, actions: &mut Vec<Action>) {
        self.validate_text(digest, actions);
        self.advance_pending(actions);
        if self.state.version_texts().any(|text| text.digest == digest) {
            actions.push(Action::StateChanged);
        }
        self.fetch_missing(now_ms, actions);
    }
}
