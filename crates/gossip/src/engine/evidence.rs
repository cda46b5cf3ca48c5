//! This front's own evidence on cache nodes, and the scores that it and the other fronts' reports add up to.

use super::reports::{OwnReport, REFRESH_MS};
use super::Gossip;
use crate::aggregate::{aggregate, WitnessReport};
use crate::config::Now;
use crate::event::{Action, Evidence};
use crate::message::{CacheNodeKey, FrontId, HealthReport, Observation};
use crate::suspicion::REPORT_TTL_MS;

/// Own evidence at least this strong counts as a witness: a refused connection, or errors in a row.
const MIN_WITNESS_STRENGTH: f64 = 0.45;
/// The host is not given a change of a score smaller than this.
const MIN_SCORE_CHANGE: f64 = 0.05;
/// A change of the own report's strength smaller than this is not disseminated at once.
const MIN_STRENGTH_CHANGE: f64 = 0.1;
/// A peer's trust changes by one cache node this often at the most.
const COMPARISON_INTERVAL_MS: f64 = 1_000.0;
/// Only reports younger than this are compared with our own evidence.
const MAX_COMPARED_AGE_MS: f64 = REPORT_TTL_MS / 4.0;

impl Gossip {
    /// Sets the cache nodes that exist, and forgets all others.
    pub(super) fn set_nodes(&mut self, nodes: Vec<CacheNodeKey>, actions: &mut Vec<Action>) {
        self.suspicions.set_nodes(nodes);
        let suspicions = &self.suspicions;
        self.own_reports.retain(|node, _| suspicions.is_known(*node));
        self.last_healthy_ms.retain(|node, _| suspicions.is_known(*node));
        self.last_compared_ms.retain(|node, _| suspicions.is_known(*node));
        for deliveries in self.deliveries.values_mut() {
            deliveries.retain(|node, _| suspicions.is_known(*node));
        }
        let removed: Vec<CacheNodeKey> =
            self.hearsay.keys().filter(|node| !suspicions.is_known(**node)).copied().collect();
        for node in removed {
            self.hearsay.remove(&node);
            actions.push(Action::Hearsay { node, score: 0.0 });
        }
    }

    /// Takes what the front's own answers show of a cache node.
    pub(super) fn record_evidence(&mut self, now: Now, evidence: Evidence, actions: &mut Vec<Action>) {
        let Evidence { node, observation, .. } = evidence;
        if !self.suspicions.is_known(node) {
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

    /// Updates this front's report on a cache node; a change worth disseminating raises its version.
    fn update_own_report(&mut self, now_ms: f64, evidence: Evidence) {
        let Evidence { node, observation, count, .. } = evidence;
        // A front that is slow itself sees slow cache nodes everywhere.
        let damping = if observation.is_accusation() { f64::from(1 + self.tick_lag) } else { 1.0 };
        let strength = evidence.strength.clamp(0.0, 1.0) / damping;
        let old = self.own_reports.get(&node);
        let changed = old.is_none_or(|o| {
            o.observation != observation
                || (o.strength - strength).abs() >= MIN_STRENGTH_CHANGE
                || now_ms - o.announced_ms >= REFRESH_MS
        });
        let version = old.map_or(0, |o| o.version) + u32::from(changed);
        // The answers behind a report: those that showed the same, one after the other.
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

    /// Compares what other fronts report of a cache node with what this one observed: that makes their trust.
    fn compare_witnesses(&mut self, now: Now, node: CacheNodeKey, observation: Observation) {
        let at = now.mono_ms;
        if self.last_compared_ms.get(&node).is_some_and(|last| at - last < COMPARISON_INTERVAL_MS) {
            return;
        }
        let reports: Vec<(FrontId, HealthReport)> = self
            .suspicions
            .reports_on(node, at)
            .filter(|(_, report)| report.age_ms < MAX_COMPARED_AGE_MS)
            .collect();
        if !reports.is_empty() {
            self.last_compared_ms.insert(node, at);
        }
        for (witness, report) in reports {
            let agrees = report.observation.is_accusation() == observation.is_accusation();
            self.trust.record(witness, agrees, at);
        }
    }

    /// Aggregates the reports on a cache node anew, and gives the host the score if it has changed.
    pub(super) fn update_score(&mut self, now: Now, node: CacheNodeKey, actions: &mut Vec<Action>) {
        let reports = self.witness_reports(now.mono_ms, node);
        let last_success_age_ms = self.last_healthy_ms.get(&node).map(|ms| now.mono_ms - ms);
        let fronts = self.members.present().count() + 1;
        let score = aggregate(&reports, fronts, last_success_age_ms);
        let old = self.hearsay(node);
        if (score - old).abs() >= MIN_SCORE_CHANGE || score == 0.0 && old != 0.0 {
            if score == 0.0 {
                self.hearsay.remove(&node);
            } else {
                self.hearsay.insert(node, score);
            }
            actions.push(Action::Hearsay { node, score });
        }
    }

    /// The reports on a cache node of all witnesses that are present, this front included.
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
        // This front is one witness of the quorum, and the one that is trusted. Its lone error does not count: with it,
        // one byzantine peer would lower a healthy node's score.
        let own = self.own_reports.get(&node);
        let own = own.filter(|o| o.observation.is_accusation() && o.strength >= MIN_WITNESS_STRENGTH);
        reports.extend(own.map(|o| WitnessReport {
            witness: self.id,
            observation: o.observation,
            strength: o.strength,
            age_ms: now_ms - o.observed_ms,
            trust: 1.0,
            accused_fraction: self.suspicions.smoothed_fraction(self.own_accusations()),
        }));
        reports
    }

    /// How many cache nodes this front itself accuses.
    pub(super) fn own_accusations(&self) -> usize {
        self.own_reports.values().filter(|o| o.observation.is_accusation()).count()
    }
}
