//! The other fronts' reports on cache nodes, as received from each witness directly, within bounds on their
//! number.

use crate::message::{CacheNodeKey, FrontId, HealthReport, Observation};
use std::collections::{BTreeMap, BTreeSet};

/// The time after which a report expires, in milliseconds. Its weight has decayed to a sixteenth by then.
pub(crate) const REPORT_TTL_MS: f64 = 32_000.0;
/// The greatest number of witnesses stored for a cache node, far more than any quorum.
const MAX_WITNESSES_PER_NODE: usize = 16;
/// The greatest number of reports stored in all.
const MAX_REPORTS: usize = 16_384;
/// A report that is less than this many milliseconds newer than the stored one is a duplicate, because ages
/// are sent in steps of 100 ms.
const DUPLICATE_REPORT_TOLERANCE_MS: f64 = 150.0;
/// A change of a report's strength up to this amount counts as no change.
const STRENGTH_TOLERANCE: f64 = 0.02;

/// A stored report. Its witness and cache node are the keys of the table.
#[derive(Clone, Copy, Debug)]
struct StoredReport {
    observation: Observation,
    strength: f64,
    count: u8,
    /// When the witness made the observation, on this front's monotonic clock in milliseconds.
    observed_ms: f64,
}

impl StoredReport {
    fn to_report(self, node: CacheNodeKey, now_ms: f64) -> HealthReport {
        let StoredReport { observation, strength, count, observed_ms } = self;
        HealthReport { node, observation, strength, count, age_ms: (now_ms - observed_ms).max(0.0) }
    }
}

/// A stored report of another front, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// The front that made the report.
    pub witness: FrontId,
    /// The witness's report.
    pub report: HealthReport,
}

/// The fraction of all cache nodes that a witness accuses, according to its own summary.
#[derive(Clone, Copy, Debug)]
struct AccusationSummary {
    fraction: f64,
    observed_ms: f64,
}

/// The reports of all other fronts.
#[derive(Default)]
pub(crate) struct SuspicionTable {
    nodes: BTreeSet<CacheNodeKey>,
    reports: BTreeMap<CacheNodeKey, BTreeMap<FrontId, StoredReport>>,
    len: usize,
    /// How many cache nodes each witness accuses in its stored reports.
    accused_by: BTreeMap<FrontId, usize>,
    summaries: BTreeMap<FrontId, AccusationSummary>,
}

impl SuspicionTable {
    /// Sets the cache nodes that exist, and removes reports on all others, including those on a node that was
    /// replaced.
    pub fn set_cache_nodes(&mut self, nodes: impl IntoIterator<Item = CacheNodeKey>) {
        self.nodes = nodes.into_iter().collect();
        let removed: Vec<CacheNodeKey> =
            self.reports.keys().filter(|node| !self.nodes.contains(node)).copied().collect();
        for node in removed {
            self.remove_node(node);
        }
    }

    /// Returns whether this cache node exists.
    pub fn is_known_node(&self, node: CacheNodeKey) -> bool {
        self.nodes.contains(&node)
    }

    /// Returns how many cache nodes exist.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    fn remove_node(&mut self, node: CacheNodeKey) {
        let witnesses: Vec<FrontId> =
            self.reports.get(&node).into_iter().flat_map(|all| all.keys().copied()).collect();
        for witness in witnesses {
            self.remove_report(node, witness);
        }
    }

    fn remove_report(&mut self, node: CacheNodeKey, witness: FrontId) {
        let Some(reports) = self.reports.get_mut(&node) else { return };
        let Some(removed) = reports.remove(&witness) else { return };
        if reports.is_empty() {
            self.reports.remove(&node);
        }
        self.len -= 1;
        if removed.observation.is_accusation() {
            if let Some(accused) = self.accused_by.get_mut(&witness) {
                *accused -= 1;
                if *accused == 0 {
                    self.accused_by.remove(&witness);
                }
            }
        }
    }

    /// Stores a report and returns whether it is new. A report on an unknown cache node is dropped.
    pub fn insert_report(&mut self, witness: FrontId, report: &HealthReport, now_ms: f64) -> bool {
        if !self.is_known_node(report.node) || report.age_ms >= REPORT_TTL_MS {
            return false;
        }
        let observed_ms = now_ms - report.age_ms.max(0.0);
        let old = self.reports.get(&report.node).and_then(|all| all.get(&witness)).copied();
        if old.is_some_and(|o| observed_ms <= o.observed_ms + DUPLICATE_REPORT_TOLERANCE_MS) {
            return false;
        }
        if old.is_none() && !self.make_space_for_report(report.node, observed_ms) {
            return false;
        }
        self.remove_report(report.node, witness);
        let HealthReport { observation, strength, count, .. } = *report;
        let stored = StoredReport { observation, strength, count, observed_ms };
        self.reports.entry(report.node).or_default().insert(witness, stored);
        self.len += 1;
        if observation.is_accusation() {
            *self.accused_by.entry(witness).or_default() += 1;
        }
        old.is_none_or(|o| {
            o.observation != observation
                || (o.strength - strength).abs() > STRENGTH_TOLERANCE
                || observed_ms > o.observed_ms
        })
    }

    /// Makes room for a report by another witness on `node`: if a bound is reached, the oldest report on the
    /// node is evicted. Returns `false` if no stored report on the node is older than the new one, which is
    /// then to be dropped.
    fn make_space_for_report(&mut self, node: CacheNodeKey, observed_ms: f64) -> bool {
        let reports = self.reports.get(&node);
        let crowded = reports.is_some_and(|all| all.len() >= MAX_WITNESSES_PER_NODE);
        if !crowded && self.len < MAX_REPORTS {
            return true;
        }
        let oldest = reports.and_then(|all| {
            all.iter()
                .min_by(|a, b| a.1.observed_ms.total_cmp(&b.1.observed_ms))
                .map(|(witness, stored)| (*witness, stored.observed_ms))
        });
        match oldest {
            Some((witness, oldest_ms)) if oldest_ms < observed_ms => {
                self.remove_report(node, witness);
                true
            }
            _ => false,
        }
    }

    /// Records a summary: the witness accuses `accused` of the `known` cache nodes that it knows.
    pub fn set_summary(&mut self, witness: FrontId, accused: u16, known: u16, age_ms: f64, now_ms: f64) {
        let fraction = (f64::from(accused) / f64::from(known.max(1))).min(1.0);
        let observed_ms = now_ms - age_ms.max(0.0);
        self.summaries.insert(witness, AccusationSummary { fraction, observed_ms });
    }

    /// Returns the fraction of all cache nodes that a witness accuses, the greater of those by its stored
    /// reports and by its own summary.
    pub fn accused_fraction(&self, witness: FrontId, now_ms: f64) -> f64 {
        let accused = self.accused_by.get(&witness).copied().unwrap_or(0);
        let reported = self.smoothed_fraction(accused);
        let summary = self.summaries.get(&witness).filter(|s| now_ms - s.observed_ms < REPORT_TTL_MS);
        reported.max(summary.map_or(0.0, |s| s.fraction))
    }

    /// Returns the fraction that `accused` nodes are of all cache nodes, computed as if there were a few more
    /// nodes: a single accusation among two or three nodes does not show that the witness accuses everything.
    pub fn smoothed_fraction(&self, accused: usize) -> f64 {
        (accused as f64 - 1.0).max(0.0) / (self.nodes.len() as f64 + 2.0)
    }

    /// Returns the reports on a cache node with their witnesses and current ages.
    pub fn reports_on(
        &self,
        node: CacheNodeKey,
        now_ms: f64,
    ) -> impl Iterator<Item = (FrontId, HealthReport)> + '_ {
        let reports = self.reports.get(&node).into_iter().flatten();
        reports.map(move |(witness, stored)| (*witness, stored.to_report(node, now_ms)))
    }

    /// Returns whether any report accuses a cache node.
    pub fn is_accused(&self, node: CacheNodeKey) -> bool {
        self.reports.get(&node).is_some_and(|all| all.values().any(|h| h.observation.is_accusation()))
    }

    /// Returns the cache nodes with at least one report.
    pub fn reported_nodes(&self) -> impl Iterator<Item = CacheNodeKey> + '_ {
        self.reports.keys().copied()
    }

    /// Returns all stored reports, for operators.
    pub fn iter(&self, now_ms: f64) -> impl Iterator<Item = Suspicion> + '_ {
        self.reports.iter().flat_map(move |(node, all)| {
            all.iter().map(move |(witness, stored)| Suspicion {
                witness: *witness,
                report: stored.to_report(*node, now_ms),
            })
        })
    }

    /// Returns how many reports are stored.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Removes the reports and summaries that have expired.
    pub fn remove_expired(&mut self, now_ms: f64) {
        let expired: Vec<(CacheNodeKey, FrontId)> = self
            .reports
            .iter()
            .flat_map(|(node, all)| {
                all.iter().map(move |(witness, stored)| (*node, *witness, stored.observed_ms))
            })
            .filter(|(_, _, observed_ms)| now_ms - observed_ms >= REPORT_TTL_MS)
            .map(|(node, witness, _)| (node, witness))
            .collect();
        for (node, witness) in expired {
            self.remove_report(node, witness);
        }
        self.summaries.retain(|_, s| now_ms - s.observed_ms < REPORT_TTL_MS);
    }
}
