//! A member's health as its traffic shows it: healthy, ejected, or half-open while single requests probe it.

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

/// How an ejected member came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// Its process ran all the while.
    SameProcess,
    /// Its connections were refused before: the process that answers now has just started.
    JustStarted,
}

/// A member's health. All times are milliseconds on the pool's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// In use.
    Healthy {
        /// Consecutive failures.
        failures: u64,
    },
    /// Not used until a half-open probe is due.
    Ejected {
        /// When the half-open probe is due.
        until_ms: f64,
        /// The backoff that led to it, without jitter.
        backoff_ms: f64,
        /// A connection was refused: what comes back has just started.
        refused: bool,
    },
    /// Half-open: one request at a time may probe it.
    HalfOpen {
        /// The request that probes it now.
        probe: Option<u64>,
        /// The last backoff, without jitter.
        backoff_ms: f64,
        /// As in `Ejected`.
        refused: bool,
    },
}

impl Health {
    pub const HEALTHY: Health = Health::Healthy { failures: 0 };

    pub fn is_healthy(self) -> bool {
        matches!(self, Health::Healthy { .. })
    }

    /// Whether a request may be sent to it, be it as a half-open probe.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Health::Healthy { .. } | Health::HalfOpen { probe: None, .. })
    }

    /// When a half-open probe is due, in milliseconds.
    pub fn probe_due_ms(self) -> Option<f64> {
        match self {
            Health::Ejected { until_ms, .. } => Some(until_ms),
            _ => None,
        }
    }

    /// An ejected member whose backoff is over becomes half-open.
    pub fn tick(&mut self, now_ms: f64) {
        if let Health::Ejected { until_ms, backoff_ms, refused } = *self {
            if now_ms >= until_ms {
                *self = Health::HalfOpen { probe: None, backoff_ms, refused };
            }
        }
    }

    /// An attempt of a request was sent to it; to a half-open member that is the probe.
    pub fn on_sent(&mut self, request: u64) {
        if let Health::HalfOpen { probe: probe @ None, .. } = self {
            *probe = Some(request);
        }
    }

    /// A request's attempt at it ended. `Some` if the member has recovered with it.
    ///
    /// `jitter`, a factor of at least 1, stretches the backoff, so that the fronts' probes of one member don't
    /// coincide.
    pub fn on_ended(
        &mut self,
        now_ms: f64,
        request: u64,
        outcome: AttemptOutcome,
        spec: &Spec,
        jitter: f64,
    ) -> Option<Recovery> {
        let ejected = |backoff_ms: f64, refused| Health::Ejected {
            until_ms: now_ms + backoff_ms * jitter,
            backoff_ms,
            refused,
        };
        match (*self, outcome) {
            (Health::Healthy { .. }, AttemptOutcome::Success) => *self = Health::HEALTHY,
            (Health::Healthy { failures }, AttemptOutcome::Failure | AttemptOutcome::ConnectionRefused) => {
                let failures = failures + 1;
                *self = match failures >= spec.eject_after_failures {
                    true => ejected(spec.first_backoff_ms, outcome == AttemptOutcome::ConnectionRefused),
                    false => Health::Healthy { failures },
                };
            }
            // Only the probe itself counts: what was sent before may end late, well or badly.
            (Health::HalfOpen { probe: Some(probe), backoff_ms, refused }, _) if probe == request => {
                match outcome {
                    AttemptOutcome::Success => {
                        *self = Health::HEALTHY;
                        return Some(if refused { Recovery::JustStarted } else { Recovery::SameProcess });
                    }
                    AttemptOutcome::Inconclusive => {
                        *self = Health::HalfOpen { probe: None, backoff_ms, refused };
                    }
                    AttemptOutcome::Failure | AttemptOutcome::ConnectionRefused => {
                        let next = (backoff_ms * 2.0)
                            .clamp(spec.first_backoff_ms, spec.max_backoff_ms.max(spec.first_backoff_ms));
                        *self = ejected(next, refused || outcome == AttemptOutcome::ConnectionRefused);
                    }
                }
            }
            _ => {}
        }
        None
    }
}

#[cfg(test)]
mod tests;
