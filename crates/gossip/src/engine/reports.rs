//! Dissemination of this front's own reports on cache nodes, at first hand and to every peer.

use super::dissemination::REPORTS_RESERVED_BYTES;
use super::Gossip;
use crate::codec::{encoded_len, ITEM_CAPACITY, REPORTS_HEADER_BYTES, REPORT_BYTES};
use crate::config::Now;
use crate::event::Action;
use crate::member::MemberState;
use crate::message::{CacheNodeKey, FrontId, HealthReport, Item, Observation};
use crate::suspicion::REPORT_TTL_MS;
use std::net::SocketAddr;

/// Each report goes to each peer this often at first: where a third of all is lost, one in forty peers gets none.
const INITIAL_SENDS: u8 = 3;
/// Between the first two of these, in milliseconds; the next comes after twice the time.
const INITIAL_GAP_MS: f64 = 400.0;
/// A report that still holds is sent again after this time, with its age; for peers that missed it or joined since.
pub(super) const REFRESH_MS: f64 = 4_000.0;
/// Own reports that are sent one by one; of more only their number is sent. A front that accuses so many has nothing to
/// say on any one of them.
const MAX_SENT_REPORTS: usize = 64;

/// What this front itself reports of a cache node.
pub(super) struct OwnReport {
    pub observation: Observation,
    pub strength: f64,
    pub count: u8,
    pub observed_ms: f64,
    /// Raised with each change that is worth disseminating.
    pub version: u32,
    /// When the version was raised last.
    pub announced_ms: f64,
}

/// What a peer was sent of an own report.
#[derive(Clone, Copy, Default)]
pub(super) struct Delivery {
    version: u32,
    /// How often that version was sent.
    sends: u8,
    sent_ms: f64,
}

impl Delivery {
    /// Whether the peer is to be sent this version now.
    fn is_due(self, version: u32, now_ms: f64) -> bool {
        let gap_ms =
            if self.sends < INITIAL_SENDS { INITIAL_GAP_MS * f64::from(self.sends) } else { REFRESH_MS };
        self.version < version || now_ms - self.sent_ms >= gap_ms
    }

    /// The delivery after this version was sent once more.
    fn after_send(self, version: u32, now_ms: f64) -> Delivery {
        let sends = if self.version < version { 1 } else { self.sends.saturating_add(1) };
        Delivery { version, sends, sent_ms: now_ms }
    }
}

/// A version of an own report that may be sent.
#[derive(Clone, Copy)]
struct Candidate {
    version: u32,
    report: HealthReport,
}

impl Gossip {
    /// Sends peers our own reports, in rotation, down to the budget's reserve: each peer those that it was sent least.
    pub(super) fn disseminate_reports(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.own_reports.is_empty() {
            return;
        }
        let at = now.mono_ms;
        let candidates = self.report_candidates(at);
        let summary = self.accusation_summary();
        let summary_len = summary.as_ref().map_or(0, encoded_len);
        let max_reports = (ITEM_CAPACITY - REPORTS_HEADER_BYTES - summary_len) / REPORT_BYTES;
        for (peer, addr) in self.recipients() {
            if self.send_budget.available(at) < REPORTS_RESERVED_BYTES {
                // The next round begins with the first peer that this one did not reach.
                self.next_recipient = Some(peer);
                return;
            }
            let reports = self.take_due_reports(at, peer, &candidates, max_reports);
            let mut items = Vec::new();
            items.extend(self.take_due_summary(at, peer, summary.as_ref()));
            if !reports.is_empty() {
                items.push(Item::Reports { witness: self.id, reports });
            }
            if !items.is_empty() {
                self.send(now, addr, &items, actions);
            }
        }
        self.next_recipient = None;
    }

    /// The own reports to send, the strongest first; where there are too many, those alone.
    fn report_candidates(&self, now_ms: f64) -> Vec<Candidate> {
        let candidate = |(node, own): (&CacheNodeKey, &OwnReport)| {
            let OwnReport { observation, strength, count, observed_ms, version, .. } = *own;
            let age_ms = now_ms - observed_ms;
            Candidate { version, report: HealthReport { node: *node, observation, strength, count, age_ms } }
        };
        let mut candidates: Vec<Candidate> = self.own_reports.iter().map(candidate).collect();
        candidates.sort_by(|a, b| {
            b.report.strength.total_cmp(&a.report.strength).then(a.report.node.cmp(&b.report.node))
        });
        candidates.truncate(MAX_SENT_REPORTS);
        candidates
    }

    /// How many cache nodes this front accuses of how many, if these are too many to report one by one.
    fn accusation_summary(&self) -> Option<Item> {
        let saturated = |count: usize| count.min(usize::from(u16::MAX)) as u16;
        let accused = self.own_accusations();
        (accused > MAX_SENT_REPORTS).then(|| Item::Summary {
            witness: self.id,
            observation: Observation::Failing,
            accused: saturated(accused),
            known: saturated(self.suspicions.node_count()),
            age_ms: 0.0,
        })
    }

    /// The present members by their ids, beginning with the first that the last round did not reach.
    fn recipients(&self) -> Vec<(FrontId, SocketAddr)> {
        let mut peers: Vec<(FrontId, SocketAddr)> =
            self.members.present().map(|m| (m.view.id, m.view.addr)).collect();
        let first = self.next_recipient.map_or(0, |next| peers.partition_point(|p| p.0 < next));
        peers.rotate_left(first);
        peers
    }

    /// The reports that a peer is to be sent now, which are noted as sent.
    fn take_due_reports(
        &mut self,
        now_ms: f64,
        peer: FrontId,
        candidates: &[Candidate],
        max_reports: usize,
    ) -> Vec<HealthReport> {
        let deliveries = self.deliveries.entry(peer).or_default();
        let is_due = |candidate: &&Candidate| {
            let delivery = deliveries.get(&candidate.report.node).copied().unwrap_or_default();
            delivery.is_due(candidate.version, now_ms)
        };
        let due: Vec<Candidate> = candidates.iter().filter(is_due).take(max_reports).copied().collect();
        for Candidate { version, report } in &due {
            let delivery = deliveries.entry(report.node).or_default();
            *delivery = delivery.after_send(*version, now_ms);
        }
        due.into_iter().map(|candidate| candidate.report).collect()
    }

    /// The summary, if a peer is to be sent it now; it is noted as sent.
    fn take_due_summary(&mut self, now_ms: f64, peer: FrontId, summary: Option<&Item>) -> Option<Item> {
        let summary = summary?;
        if self.summary_sent_ms.get(&peer).is_some_and(|last| now_ms - last < REFRESH_MS) {
            return None;
        }
        self.summary_sent_ms.insert(peer, now_ms);
        Some(summary.clone())
    }

    /// Drops reports that have expired, and what is known of peers that departed or were forgotten.
    pub(super) fn expire_reports(&mut self, now: Now) {
        let at = now.mono_ms;
        self.suspicions.expire(at);
        self.own_reports.retain(|_, own| at - own.observed_ms < REPORT_TTL_MS);
        self.last_healthy_ms.retain(|_, ms| at - *ms < REPORT_TTL_MS);
        let members = &self.members;
        let is_tracked = |id: FrontId| members.get(id).is_some_and(|m| m.view.state != MemberState::Departed);
        self.trust.retain(is_tracked);
        self.deliveries.retain(|id, _| is_tracked(*id));
        self.summary_sent_ms.retain(|id, _| is_tracked(*id));
        let own_reports = &self.own_reports;
        for deliveries in self.deliveries.values_mut() {
            deliveries.retain(|node, _| own_reports.contains_key(node));
        }
    }
}
