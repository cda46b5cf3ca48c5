//! Observes the fronts of a run: polls their summaries, checks goals, collects false reports and measures the
//! cost of steady state.

use super::{Run, Sample};
use crate::fronts::ProcessState;
use crate::links::LinkFaults;
use crate::scenario::Goal;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The interval between two polls of all fronts while the run waits for a goal.
const GOAL_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The interval between two polls of all fronts during a `wait` step.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// How long fronts whose links were cut may still report each other gone after the links work again.
const LINK_CUT_REPORT_SPREAD_TIME: Duration = Duration::from_secs(8);

/// The answer of a front to a poll.
struct FrontSummary {
    front: usize,
    /// The summary in JSON; `None` if the front did not answer.
    summary: Option<Value>,
}

/// The fronts on one side of a partition.
#[derive(Default)]
struct PartitionSide {
    fronts: usize,
    /// The view digest of the first front polled on this side; the digests of all others must equal it.
    digest: Option<String>,
}

impl Run<'_> {
    /// Waits for `duration` and polls the fronts meanwhile.
    pub(super) async fn wait_and_poll(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            if self.options.with_view {
                self.poll_fronts().await;
            }
            sleep(SAMPLE_INTERVAL.min(end.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Polls all running fronts and records a sample for each one that answers.
    async fn poll_fronts(&mut self) -> Vec<FrontSummary> {
        let running = self.fronts.in_state(ProcessState::Running);
        let mut summaries = Vec::with_capacity(running.len());
        // The fronts are polled one after the other, since many polls at the same time would load the
        // machine.
        for front in running {
            summaries.push(FrontSummary { front, summary: self.fronts.query(front, "summary").await });
        }
        let at_ms = self.elapsed_ms();
        for FrontSummary { front, summary } in &summaries {
            let Some(summary) = summary else { continue };
            let member_count = summary["count"].as_u64().unwrap_or(0) as usize;
            let settled = summary["settled"] == true;
            self.report.samples.push(Sample { at_ms, front: *front, member_count, settled });
        }
        summaries
    }

    /// Returns the first front that keeps a goal from being reached, or `None` if the goal is reached.
    fn deviating_front(&self, goal: Goal, summaries: &[FrontSummary]) -> Option<usize> {
        let faults = self.fronts.links.faults();
        let side_of = |front: usize| faults.side_of(self.fronts.all[front].endpoint);
        let mut sides: BTreeMap<usize, PartitionSide> = BTreeMap::new();
        for polled in summaries {
            sides.entry(side_of(polled.front)).or_default().fronts += 1;
        }
        for FrontSummary { front, summary } in summaries {
            let (Some(summary), Some(side)) = (summary, sides.get_mut(&side_of(*front))) else {
                return Some(*front);
            };
            let member_count = summary["count"].as_u64().unwrap_or(0) as usize;
            let agrees = match goal {
                Goal::Known => member_count <= side.fronts,
                Goal::Even | Goal::Settled => {
                    let digest = summary["digest"].as_str().map(str::to_string);
                    let expected = side.digest.get_or_insert_with(|| digest.clone().unwrap_or_default());
                    member_count == side.fronts && digest.as_ref() == Some(expected)
                }
            };
            if !agrees || (goal == Goal::Settled && summary["settled"] != true) {
                return Some(*front);
            }
        }
        None
    }

    /// Waits until a goal is reached and returns the milliseconds since the last event, or `None` if it is
    /// not reached in time.
    pub(super) async fn wait_for_goal(&mut self, goal: Goal, within: Duration) -> Option<f64> {
        let since = self.last_event;
        loop {
            let polled_at = Instant::now();
            let summaries = self.poll_fronts().await;
            if self.deviating_front(goal, &summaries).is_none() {
                return Some(polled_at.saturating_duration_since(since).as_secs_f64() * 1000.0);
            }
            if polled_at.saturating_duration_since(since) > within {
                return None;
            }
            sleep(GOAL_POLL_INTERVAL.saturating_sub(polled_at.elapsed())).await;
        }
    }

    /// Polls the fronts again and returns the first one that keeps a goal from being reached.
    pub(super) async fn find_deviating_front(&mut self, goal: Goal) -> Option<usize> {
        let summaries = self.poll_fronts().await;
        self.deviating_front(goal, &summaries)
    }

    /// Collects the reports that a live front is gone, except those that a fault explains.
    pub(super) fn collect_false_positives(&mut self) {
        self.past_faults.retain(|past| past.until.elapsed() < LINK_CUT_REPORT_SPREAD_TIME);
        let current = self.fronts.links.faults();
        let is_cut = |reporter: usize, subject: usize| {
            let cuts = |faults: &LinkFaults| {
                faults.is_cut(reporter, subject)
                    || faults.is_cut(subject, reporter)
                    || faults.inbound_blocked.contains(&subject)
            };
            cuts(&current) || self.past_faults.iter().any(|past| cuts(&past.faults))
        };
        let reports = self.fronts.take_false_positives(is_cut);
        self.report.false_positives.extend(reports);
    }

    /// Measures gossip bytes, CPU and memory of each front while no event happens and the rig does not poll.
    pub(super) async fn measure_steady_state(&mut self, duration: Duration) {
        let started = Instant::now();
        let (bytes_before, usage_before) = (self.fronts.links.bytes_sent(), self.fronts.resource_usage());
        sleep(duration).await;
        let seconds = started.elapsed().as_secs_f64();
        let (bytes_after, usage_after) = (self.fronts.links.bytes_sent(), self.fronts.resource_usage());
        let cpu_before: BTreeMap<usize, f64> =
            usage_before.iter().map(|usage| (usage.front, usage.cpu_seconds)).collect();
        for usage in usage_after {
            let endpoint = self.fronts.all[usage.front].endpoint;
            let bytes_at = |bytes: &[u64]| bytes.get(endpoint).copied().unwrap_or(0);
            let bytes = bytes_at(&bytes_after) - bytes_at(&bytes_before);
            self.report.bytes_per_s.push(bytes as f64 / seconds);
            self.report.memory_mb.push(usage.memory_mb);
            let before = cpu_before.get(&usage.front);
            self.report.cpu.extend(before.map(|before| (usage.cpu_seconds - before) / seconds));
        }
    }

    /// Counts, over the views of all running fronts, the members whose process does not run.
    pub(super) async fn count_stale_members(&mut self) {
        let running = self.fronts.in_state(ProcessState::Running);
        let live: BTreeSet<String> = running.iter().map(|i| self.fronts.all[*i].name.clone()).collect();
        for i in running {
            let Some(view) = self.fronts.query(i, "members").await else { continue };
            let members = view["members"].as_array().cloned().unwrap_or_default();
            let is_counted_on = |m: &&Value| !matches!(m["state"].as_str(), Some("gone" | "left"));
            let is_stale = |m: &&Value| m["name"].as_str().is_some_and(|name| !live.contains(name));
            self.report.stale_members += members.iter().filter(is_counted_on).filter(is_stale).count();
        }
    }
}
