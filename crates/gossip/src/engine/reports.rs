//! Dissemination of this front's own reports on cache nodes, which it sends directly to every peer.

use super::dissemination::REPORTS_RESERVED_BYTES;
use super::Gossip;
use crate::codec::{encoded_len, ITEM_CAPACITY, REPORTS_HEADER_BYTES, REPORT_BYTES};
use crate::config::Now;
use crate::event::Action;
use crate::member::MemberState;
use crate::message::{CacheNodeKey, FrontId, HealthReport, Item, Observation};
use crate::suspicion::REPORT_TTL_MS;
use std::net::SocketAddr;

/// How many times each report is sent to each peer at first. With a third of all datagrams lost, one in forty
/// peers receives none of them.
const INITIAL_SENDS: u8 = 3;
/// The gap between the first two sends of a report to a peer, in milliseconds. The gap before the third is
/// twice as long.
const INITIAL_RESEND_GAP_MS: f64 = 400.0;
/// The interval, in milliseconds, after which a report that still holds is sent again with its current age,
/// for peers that missed it or joined since.
pub(super) const REPORT_REFRESH_MS: f64 = 4_000.0;
/// The greatest number of reports that are sent individually. Beyond it, a summary also gives the number of
/// accused nodes: reports by a front that accuses so many say little about any one of them.
const MAX_SENT_REPORTS: usize = 64;

/// This front's own report on a cache node.
pub(super) struct OwnReport {
    pub observation: Observation,
    pub strength: f64,
    pub count: u8,
    pub observed_ms: f64,
    /// The report's version, raised with each change large enough to be disseminated.
    pub version: u32,
    /// When the version was last raised, on the host's monotonic clock in milliseconds.
    pub announced_ms: f64,
}

/// What a peer was sent of one of this front's reports.
#[derive(Clone, Copy, Default)]
pub(super) struct Delivery {
    version: u32,
    /// How many times `version` was sent to the peer.
    sends: u8,
    sent_ms: f64,
}

impl Delivery {
    /// Returns whether the report's `version` is due to be sent to the peer.
    fn is_due(self, version: u32, now_ms: f64) -> bool {
        let gap_ms = if self.sends < INITIAL_SENDS {
            INITIAL_RESEND_GAP_MS * f64::from(self.sends)
        } else {
            REPORT_REFRESH_MS
        };
        self.version < version || now_ms - self.sent_ms >= gap_ms
    }

    /// Returns the delivery state after the report's `version` was sent once more.
    fn updated_after_send(self, version: u32, now_ms: f64) -> Delivery {
        let sends = if self.version < version { 1 } else { self.sends.saturating_add(1) };
        Delivery { version, sends, sent_ms: now_ms }
    }
}

/// A report of this front, with its version, that may be sent to peers.
#[derive(Clone, Copy)]
struct ReportCandidate {
    version: u32,
    report: HealthReport,
}

impl Gossip {
    /// Sends this front's reports that are due to the peers in rotation, until the send budget is down to its
    /// reserve.
    pub(super) fn disseminate_reports(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.own_reports.is_empty() {
            return;
        }
        let at = now.mono_ms;
        let candidates = self.report_candidates(at);
        let summary = self.accusation_summary();
        let summary_len = summary.as_ref().map_or(0, encoded_len);
        let max_reports = (ITEM_CAPACITY - REPORTS_HEADER_BYTES - summary_len) / REPORT_BYTES;
        for (peer, addr) in self.rotated_recipients() {
            if self.send_budget.available_bytes(at) < REPORTS_RESERVED_BYTES {
                // The next round starts with the first peer that this round did not reach.
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

    /// Returns this front's reports, the strongest first, at most [`MAX_SENT_REPORTS`] of them.
    fn report_candidates(&self, now_ms: f64) -> Vec<ReportCandidate> {
        let candidate = |(node, own): (&CacheNodeKey, &OwnReport)| {
            let OwnReport { observation, strength, count, observed_ms, version, .. } = *own;
            let age_ms = now_ms - observed_ms;
            ReportCandidate {
                version,
                report: HealthReport { node: *node, observation, strength, count, age_ms },
            }
        };
        let mut candidates: Vec<ReportCandidate> = self.own_reports.iter().map(candidate).collect();
        candidates.sort_by(|a, b| {
            b.report.strength.total_cmp(&a.report.strength).then(a.report.node.cmp(&b.report.node))
        });
        candidates.truncate(MAX_SENT_REPORTS);
        candidates
    }

    /// Returns a summary with the number of cache nodes that this front accuses, if they are too many to
    /// report individually.
    fn accusation_summary(&self) -> Option<Item> {
        let saturating_u16 = |count: usize| count.min(usize::from(u16::MAX)) as u16;
        let accused = self.own_accusation_count();
        (accused > MAX_SENT_REPORTS).then(|| Item::Summary {
            witness: self.id,
            observation: Observation::Failing,
            accused: saturating_u16(accused),
            known: saturating_u16(self.suspicions.node_count()),
            age_ms: 0.0,
        })
    }

    /// Returns the present members in the order of their ids, starting with the first that the last round did
    /// not reach.
    fn rotated_recipients(&self) -> Vec<(FrontId, SocketAddr)> {
        let mut peers: Vec<(FrontId, SocketAddr)> =
            self.members.present().map(|m| (m.view.id, m.view.addr)).collect();
        let first = self.next_recipient.map_or(0, |next| peers.partition_point(|p| p.0 < next));
        peers.rotate_left(first);
        peers
    }

    /// Returns the reports that are due for a peer, and records them as sent.
    fn take_due_reports(
        &mut self,
        now_ms: f64,
        peer: FrontId,
        candidates: &[ReportCandidate],
        max_reports: usize,
    ) -> Vec<HealthReport> {
        let deliveries = self.deliveries.entry(peer).or_default();
        let is_due = |candidate: &&ReportCandidate| {
            let delivery = deliveries.get(&candidate.report.node).copied().unwrap_or_default();
            delivery.is_due(candidate.version, now_ms)
        };
        let due: Vec<ReportCandidate> = candidates.iter().filter(is_due).take(max_reports).copied().collect();
        for ReportCandidate { version, report } in &due {
            let delivery = deliveries.entry(report.node).or_default();
            *delivery = delivery.updated_after_send(*version, now_ms);
        }
        due.into_iter().map(|candidate| candidate.report).collect()
    }

    /// Returns the summary if it is due for a peer, and records it as sent.
    fn take_due_summary(&mut self, now_ms: f64, peer: FrontId, summary: Option<&Item>) -> Option<Item> {
        let summary = summary?;
        if self.summary_sent_ms.get(&peer).is_some_and(|last| now_ms - last < REPORT_REFRESH_MS) {
            return None;
        }
        self.summary_sent_ms.insert(peer, now_ms);
        Some(summary.clone())
    }

    /// Removes expired reports, and the state of peers that have departed or were removed.
    pub(super) fn expire_reports(&mut self, now: Now) {
        let at = now.mono_ms;
        self.suspicions.remove_expired(at);
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
