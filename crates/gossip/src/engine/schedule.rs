//! The due times of the periodic tasks.

use super::{DIGEST_PERIOD_MS, EXPIRY_PERIOD_MS};
use crate::config::Config;

/// A periodic task of the gossip state machine.
#[derive(Clone, Copy)]
pub(super) enum PeriodicTask {
    /// Probes the next member.
    Probe,
    /// Disseminates membership updates and this front's own reports.
    Disseminate,
    /// Sends a membership digest.
    Digest,
    /// Contacts a seed that is not a member or a dead front.
    Contact,
    /// Removes expired entries.
    Expire,
}

const TASK_COUNT: usize = 5;

/// The next due time of each task, on the host's monotonic clock in milliseconds.
pub(super) struct Schedule {
    due_ms: [f64; TASK_COUNT],
}

impl Schedule {
    /// Creates a schedule whose first rounds are offset by the seed, so that fronts that start together do
    /// not send together. Contacts to the seeds are due at once.
    pub fn new(config: &Config, seed: u64, now_ms: f64) -> Schedule {
        let phase = (seed % 97) as f64 / 97.0;
        let first = |period_ms: f64| now_ms + period_ms * phase;
        let mut due_ms = [now_ms; TASK_COUNT];
        due_ms[PeriodicTask::Probe as usize] = first(config.probe_period_ms);
        due_ms[PeriodicTask::Disseminate as usize] = first(config.gossip_period_ms);
        due_ms[PeriodicTask::Digest as usize] = first(DIGEST_PERIOD_MS);
        due_ms[PeriodicTask::Contact as usize] = now_ms;
        due_ms[PeriodicTask::Expire as usize] = first(EXPIRY_PERIOD_MS);
        Schedule { due_ms }
    }

    /// Returns when the first task is due.
    pub fn earliest_ms(&self) -> f64 {
        self.due_ms.iter().copied().fold(f64::MAX, f64::min)
    }

    /// Postpones all tasks to `due_ms`.
    pub fn postpone_all(&mut self, due_ms: f64) {
        self.due_ms = [due_ms; TASK_COUNT];
    }

    /// Returns whether a task is due; if so, its next round is scheduled. Missed rounds are skipped.
    pub fn take_due_task(&mut self, task: PeriodicTask, period_ms: f64, now_ms: f64) -> bool {
        let due_ms = &mut self.due_ms[task as usize];
        if now_ms < *due_ms {
            return false;
        }
        *due_ms = (*due_ms + period_ms).max(now_ms);
        if *due_ms <= now_ms {
            *due_ms = now_ms + period_ms;
        }
        true
    }
}
