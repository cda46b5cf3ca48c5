//! What traffic shows of one member: in use, failed, or in recovery by single trials.

use crate::spec::Spec;

/// How an attempt ended, as far as its member's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered as it should.
    Success,
    /// The connection was refused: no process runs there, and one that comes back will be warming up.
    ConnectionRefused,
    /// It failed otherwise: an error, a broken connection, a timeout.
    Failure,
    /// It says nothing of the member's health: cancelled, rejected, a lookup miss.
    Inconclusive,
}

/// In use, failed, or on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// In use.
    Healthy {
        /// Consecutive failures.
        failures: u64,
    },
    /// Ejected: not used until a half-open probe is due.
    Ejected {
        /// When the half-open probe is due, in milliseconds.
        until: f64,
        /// This backoff, in milliseconds.
        wait: f64,
        /// The connection was refused: what comes back has just started.
        refused: bool,
    },
    /// Half-open: one request at a time may probe it.
    HalfOpen {
        /// That request is out.
        out: Option<u64>,
        /// How long it waited.
        wait: f64,
        /// As in `Ejected`.
        refused: bool,
    },
}

impl Health {
    pub const HEALTHY: Health = Health::Healthy { failures: 0 };

    /// Nothing is held against it.
    pub fn is_healthy(self) -> bool {
        matches!(self, Health::Healthy { .. })
    }

    /// A request may go there, be it as a trial.
    pub fn may_be_sent(self) -> bool {
        matches!(self, Health::Healthy { .. } | Health::HalfOpen { out: None, .. })
    }

    /// When a half-open probe is due, in milliseconds.
    pub fn probe_due_ms(self) -> Option<f64> {
        match self {
            Health::Ejected { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Time goes by.
    pub fn tick(&mut self, now: f64) {
        if let Health::Ejected { until, wait, refused } = *self {
            if now >= until {
                *self = Health::HalfOpen { out: None, wait, refused };
            }
        }
    }

    /// A request goes there.
    pub fn sent(&mut self, request: u64) {
        if let Health::HalfOpen { out: out @ None, .. } = self {
            *out = Some(request);
        }
    }

    /// A request's attempt there ended; whether the member has come back, and has just started.
    ///
    /// `spread` from 1 up stretches waits, so that the fronts' trials of one member don't fall together.
    pub fn ended(
        &mut self,
        now: f64,
        request: u64,
        end: AttemptOutcome,
        spec: &Spec,
        spread: f64,
    ) -> Option<bool> {
        let failed = |wait: f64, refused| Health::Ejected { until: now + wait * spread, wait, refused };
        match (*self, end) {
            (Health::Healthy { .. }, AttemptOutcome::Success) => *self = Health::HEALTHY,
            (Health::Healthy { failures }, AttemptOutcome::Failure | AttemptOutcome::ConnectionRefused) => {
                let failures = failures + 1;
                *self = match failures >= spec.failures {
                    true => failed(spec.first_backoff_ms, end == AttemptOutcome::ConnectionRefused),
                    false => Health::Healthy { failures },
                };
            }
            // Only the trial itself tells: what was sent before may end late, good or bad.
            (Health::HalfOpen { out: Some(trial), wait, refused }, _) if trial == request => match end {
                AttemptOutcome::Success => {
                    *self = Health::HEALTHY;
                    return Some(refused);
                }
                AttemptOutcome::Inconclusive => *self = Health::HalfOpen { out: None, wait, refused },
                AttemptOutcome::Failure | AttemptOutcome::ConnectionRefused => {
                    let next = (wait * 2.0)
                        .clamp(spec.first_backoff_ms, spec.max_backoff_ms.max(spec.first_backoff_ms));
                    *self = failed(next, refused || end == AttemptOutcome::ConnectionRefused);
                }
            },
            _ => {}
        }
        None
    }
}

#[cfg(test)]
mod tests;
