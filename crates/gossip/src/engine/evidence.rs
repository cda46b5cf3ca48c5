//! This front's own evidence on cache nodes, and the scores computed from it and the other fronts' reports.

use super::reports::{OwnReport, REPORT_REFRESH_MS};
use super::Gossip;
use crate::aggregate::{aggregate_score, WitnessReport};
use crate::config::Now;
use crate::event::{Action, Evidence};
use crate::message::{CacheNodeKey, FrontId, HealthReport, Observation};
use crate::suspicion::REPORT_TTL_MS;

/// The least strength at which this front's own evidence counts as a witness: that of a refused connection or
/// of several errors in a row.
const MIN_WITNESS_STRENGTH: f64 = 0.45;
/// The host is not notified of a change of a score smaller than this, unless the score becomes 0.
const MIN_SCORE_CHANGE: f64 = 0.05;
/// A change in the strength of this front's own report that is smaller than this is not disseminated at once.
const MIN_STRENGTH_CHANGE: f64 = 0.1;
/// The shortest interval, in milliseconds, between two comparisons on the same cache node, each of which
/// changes the witnesses' trust.
const COMPARISON_INTERVAL_MS: f64 = 1_000.0;
/// Only reports younger than this, in milliseconds, are compared with this front's own evidence.
const MAX_COMPARED_REPORT_AGE_MS: f64 = REPORT_TTL_MS / 4.0;

impl Gossip {
    /// Sets the cache nodes that exist, and removes what is stored about all others.
    pub(super) fn set_cache_nodes(&mut self, nodes: Vec<CacheNodeKey>, actions: &mut Vec<Action>) {
        self.suspicions.set_cache_nodes(nodes);
        let suspicions = &self.suspicions;
        self.own_reports.retain(|node, _| suspicions.is_known_node(*node));
        self.last_healthy_ms.retain(|node, _| suspicions.is_known_node(*node));
        self.last_compared_ms.retain(|node, _| suspicions.is_known_node(*node));
        for deliveries in self.deliveries.values_mut() {
            deliveries.retain(|node, _| suspicions.is_known_node(*node));
        }
        let removed: Vec<CacheNodeKey> =
            self.peer_scores.keys().filter(|node| !suspicions.is_known_node(**node)).copied().collect();
        for node in removed {
            self.peer_scores.remove(&node);
            actions.push(Action::PeerScore { node, score: 0.0 });
        }
    }

    /// Records an observation that this front made of a cache node.
    pub(super) fn record_evidence(&mut self, now: Now, evidence: Evidence, actions: &mut Vec<Action>) {
        let Evidence { node, observation, .. } = evidence;
        if !self.suspicions.is_known_node(node) {
            return;
        }
        if observation == Observation::Healthy {
            self.last_healthy_ms.insert(node, now.mono_ms);
        } else {
            self.last_healthy_ms.remove(&node);
        }
        self.compare_witnesses(now, node, observation);
        let is_reportable = observation.is_accusation()
            || self.own_reports.contains_key(&node)
            || self.suspicions.is_accused(node);
        if is_reportable {
            self.update_own_report(now.mono_ms, evidence);
        }
        self.update_score(now, node, actions);
    }

    /// Updates this front's report on a cache node. A change large enough to be disseminated raises the
    /// report's version.
    fn update_own_report(&mut self, now_ms: f64, evidence: Evidence) {
        let Evidence { node, observation, count, .. } = evidence;
        // To a front that is slow itself, all cache nodes appear slow.
        let damping = if observation.is_accusation() { f64::from(1 + self.tick_lag) } else { 1.0 };
        let strength = evidence.strength.clamp(0.0, 1.0) / damping;
        let old = self.own_reports.get(&node);
        let changed = old.is_none_or(|o| {
            o.observation != observation
                || (o.strength - strength).abs() >= MIN_STRENGTH_CHANGE
                || now_ms - o.announced_ms >= REPORT_REFRESH_MS
        });
        let version = old.map_or(0, |o| o.version) + u32::from(changed);
        // `count` is the number of consecutive answers that showed the same observation.
        let earlier = old.filter(|o| o.observation == observation).map_or(0, |o| o.count);
        let announced_ms = if changed { now_ms } else { old.map_or(now_ms, |o| o.announced_ms) };
        let report = OwnReport {
            observation,
            strength,
            count: earlier.saturating_add(count),
            observed_ms: now_ms,
            version,
            announced_ms,
        };
        self.own_reports.insert(node, report);
    }

    /// Compares other fronts' reports on a cache node with what this front observed, and updates their trust.
    fn compare_witnesses(&mut self, now: Now, node: CacheNodeKey, observation: Observation) {
        let at = now.mono_ms;
        if self.last_compared_ms.get(&node).is_some_and(|last| at - last < COMPARISON_INTERVAL_MS) {
            return;
        }
        let reports: Vec<(FrontId, HealthReport)> = self
            .suspicions
            .reports_on(node, at)
            .filter(|(_, report)| report.age_ms < MAX_COMPARED_REPORT_AGE_MS)
            .collect();
        if !reports.is_empty() {
            self.last_compared_ms.insert(node, at);
        }
        for (witness, report) in reports {
            let agrees = report.observation.is_accusation() == observation.is_accusation();
            self.trust.record_comparison(witness, agrees, at);
        }
    }

    /// Recomputes the score of a cache node, and passes it to the host if it has changed enough.
    pub(super) fn update_score(&mut self, now: Now, node: CacheNodeKey, actions: &mut Vec<Action>) {
        let reports = self.witness_reports(now.mono_ms, node);
        let last_success_age_ms = self.last_healthy_ms.get(&node).map(|ms| now.mono_ms - ms);
        let fronts = self.members.present().count() + 1;
        let score = aggregate_score(&reports, fronts, last_success_age_ms);
        let old = self.peer_score(node);
        if (score - old).abs() >= MIN_SCORE_CHANGE || score == 0.0 && old != 0.0 {
            if score == 0.0 {
                self.peer_scores.remove(&node);
            } else {
                self.peer_scores.insert(node, score);
            }
            actions.push(Action::PeerScore { node, score });
        }
    }

    /// Returns the reports on a cache node by all witnesses that are present, this front included.
    fn witness_reports(&self, now_ms: f64, node: CacheNodeKey) -> Vec<WitnessReport> {
        let mut reports: Vec<WitnessReport> = self
            .suspicions
            .reports_on(node, now_ms)
            .filter(|(witness, _)| self.members.is_present(*witness))
            .map(|(witness, report)| WitnessReport {
                witness,
                observation: report.observation,
                strength: report.strength,
                age_ms: report.age_ms,
                trust: self.trust.trust(witness, now_ms),
                accused_fraction: self.suspicions.accused_fraction(witness, now_ms),
            })
            .collect();
        // This front counts as one fully trusted witness of the quorum. A single error does not count:
        // otherwise a single error and one byzantine peer would suffice to change a healthy node's score.
        let own = self.own_reports.get(&node);
        let own = own.filter(|o| o.observation.is_accusation() && o.strength >= MIN_WITNESS_STRENGTH);
        reports.extend(own.map(|o| WitnessReport {
            witness: self.id,
            observation: o.observation,
            strength: o.strength,
            age_ms: now_ms - o.observed_ms,
            trust: 1.0,
            accused_fraction: self.suspicions.smoothed_fraction(self.own_accusation_count()),
        }));
        reports
    }

    /// Returns how many cache nodes this front itself accuses.
    pub(super) fn own_accusation_count(&self) -> usize {
        self.own_reports.values().filter(|o| o.observation.is_accusation()).count()
    }
}
