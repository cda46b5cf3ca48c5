//! When the periodic tasks are due.

use super::{DIGEST_PERIOD_MS, EXPIRY_PERIOD_MS};
use crate::config::Config;

/// A periodic task.
#[derive(Clone, Copy)]
pub(super) enum Task {
    /// Probing the next member.
    Probe,
    /// Disseminating membership updates and own reports.
    Disseminate,
    /// Sending a membership digest.
    Digest,
    /// Contacting an unknown seed or a dead front.
    Contact,
    /// Expiring what is too old.
    Expire,
}

const TASKS: usize = 5;

/// When each task is due next, on the host's monotonic clock in milliseconds.
pub(super) struct Schedule {
    due_ms: [f64; TASKS],
}

impl Schedule {
    /// The first rounds are spread by the seed, so that fronts that start together don't send together. Contacts to the
    /// seeds are due at once.
    pub fn new(config: &Config, seed: u64, now_ms: f64) -> Schedule {
        let phase = (seed % 97) as f64 / 97.0;
        let first = |period_ms: f64| now_ms + period_ms * phase;
        let mut due_ms = [now_ms; TASKS];
        due_ms[Task::Probe as usize] = first(config.probe_period_ms);
        due_ms[Task::Disseminate as usize] = first(config.gossip_period_ms);
        due_ms[Task::Digest as usize] = first(DIGEST_PERIOD_MS);
        due_ms[Task::Contact as usize] = now_ms;
        due_ms[Task::Expire as usize] = first(EXPIRY_PERIOD_MS);
        Schedule { due_ms }
    }

    /// When the first task is due.
    pub fn earliest_ms(&self) -> f64 {
        self.due_ms.iter().copied().fold(f64::MAX, f64::min)
    }

    /// Postpones all tasks to `due_ms`.
    pub fn postpone_all(&mut self, due_ms: f64) {
        self.due_ms = [due_ms; TASKS];
    }

    /// Whether a task is due; if so, its next round is scheduled. Missed rounds are not made up for.
    pub fn take_due(&mut self, task: Task, period_ms: f64, now_ms: f64) -> bool {
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
