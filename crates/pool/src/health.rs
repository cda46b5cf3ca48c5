//! The health of a member as its attempts show it: healthy, ejected, or half-open while one request at a time
//! probes it.

use crate::spec::PoolSpec;

/// How an attempt ended, as far as its member's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The member answered correctly.
    Success,
    /// The connection was refused: no process runs there, and a process that answers later will be warming
    /// up.
    ConnectionRefused,
    /// The attempt failed in another way: an error, a broken connection or a timeout.
    Failure,
    /// The end says nothing about the member's health: the attempt was cancelled, rejected or a lookup miss.
    Inconclusive,
}

/// What the recovery of an ejected member tells about its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// Neither the ejecting failure nor a probe ended in a refused connection, so the process is assumed to
    /// have run throughout.
    SameProcess,
    /// The ejecting failure or a probe ended in a refused connection, so the process that answers now has
    /// just started.
    JustStarted,
}

/// The health of a member. All times are in milliseconds on the clock of the pool's caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// The member may receive requests.
    Healthy {
        /// The number of consecutive failures so far.
        failures: u64,
    },
    /// The member receives no requests until a half-open probe is due.
    Ejected {
        /// The time at which the half-open probe is due.
        until_ms: f64,
        /// The backoff before this probe, without jitter.
        backoff_ms: f64,
        /// Whether the failure that ejected the member, or a later probe, ended in a refused connection; a
        /// process that answers afterwards has then just started.
        connection_refused: bool,
    },
    /// One request at a time may probe the member.
    HalfOpen {
        /// The number of the request that probes the member now; `None` if no probe is in flight.
        probe: Option<u64>,
        /// The backoff before the current probe, without jitter.
        backoff_ms: f64,
        /// Whether the failure that ejected the member, or a later probe, ended in a refused connection.
        connection_refused: bool,
    },
}

impl Health {
    pub const HEALTHY: Health = Health::Healthy { failures: 0 };

    pub fn is_healthy(self) -> bool {
        matches!(self, Health::Healthy { .. })
    }

    /// Whether a request may be sent to the member, as ordinary traffic or as a half-open probe.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Health::Healthy { .. } | Health::HalfOpen { probe: None, .. })
    }

    /// The time at which the half-open probe of an ejected member is due; `None` in the other states.
    pub fn probe_due_ms(self) -> Option<f64> {
        match self {
            Health::Ejected { until_ms, .. } => Some(until_ms),
            _ => None,
        }
    }

    /// Makes an ejected member half-open if its backoff is over at `now_ms`.
    pub fn half_open_if_due(&mut self, now_ms: f64) {
        if let Health::Ejected { until_ms, backoff_ms, connection_refused } = *self {
            if now_ms >= until_ms {
                *self = Health::HalfOpen { probe: None, backoff_ms, connection_refused };
            }
        }
    }

    /// Records that an attempt of a request was sent to the member; to a half-open member without a probe in
    /// flight this attempt is the probe.
    pub fn on_attempt_sent(&mut self, request: u64) {
        if let Health::HalfOpen { probe: probe @ None, .. } = self {
            *probe = Some(request);
        }
    }

    /// Records the end of a request's attempt at the member; returns `Some` if the member recovered by it.
    ///
    /// `jitter`, a factor of at least 1, lengthens the backoff, so that the probes of one member by several
    /// fronts do not coincide.
    pub fn on_attempt_ended(
        &mut self,
        now_ms: f64,
        request: u64,
        outcome: AttemptOutcome,
        spec: &PoolSpec,
        jitter: f64,
    ) -> Option<Recovery> {
        let ejected = |backoff_ms: f64, connection_refused| Health::Ejected {
            until_ms: now_ms + backoff_ms * jitter,
            backoff_ms,
            connection_refused,
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
            // Only the probe itself counts: attempts sent before the ejection may still end with any outcome.
            (Health::HalfOpen { probe: Some(probe), backoff_ms, connection_refused }, _)
                if probe == request =>
            {
                match outcome {
                    AttemptOutcome::Success => {
                        *self = Health::HEALTHY;
                        return Some(if connection_refused {
                            Recovery::JustStarted
                        } else {
                            Recovery::SameProcess
                        });
                    }
                    AttemptOutcome::Inconclusive => {
                        *self = Health::HalfOpen { probe: None, backoff_ms, connection_refused };
                    }
                    AttemptOutcome::Failure | AttemptOutcome::ConnectionRefused => {
                        let next = (backoff_ms * 2.0)
                            .clamp(spec.first_backoff_ms, spec.max_backoff_ms.max(spec.first_backoff_ms));
                        *self =
                            ejected(next, connection_refused || outcome == AttemptOutcome::ConnectionRefused);
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
