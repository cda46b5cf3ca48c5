//! What traffic shows of one member: in use, failed, or in recovery by single trials.

use crate::spec::Spec;

/// How an attempt ended, as far as its member's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It answered as it should.
    Good,
    /// The connection was refused: no process runs there, and one that comes back will be cold.
    Refused,
    /// It failed otherwise: an error, a broken connection, silence.
    Failed,
    /// It says nothing of the member: called off, turned away, a miss.
    Neither,
}

/// In use, failed, or on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// In use.
    Up {
        /// Failures in a row.
        failures: u64,
    },
    /// Not used until then.
    Failed {
        /// When a trial is due.
        until: f64,
        /// How long it waits this time.
        wait: f64,
        /// It was refused: what comes back has just started.
        refused: bool,
    },
    /// One request at a time may try it.
    Trial {
        /// That request is out.
        out: Option<u64>,
        /// How long it waited.
        wait: f64,
        /// As in `Failed`.
        refused: bool,
    },
}

impl Health {
    pub const UP: Health = Health::Up { failures: 0 };

    /// Nothing is held against it.
    pub fn is_up(self) -> bool {
        matches!(self, Health::Up { .. })
    }

    /// A request may go there, be it as a trial.
    pub fn may_be_sent(self) -> bool {
        matches!(self, Health::Up { .. } | Health::Trial { out: None, .. })
    }

    /// When a trial is due.
    pub fn due(self) -> Option<f64> {
        match self {
            Health::Failed { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Time goes by.
    pub fn tick(&mut self, now: f64) {
        if let Health::Failed { until, wait, refused } = *self {
            if now >= until {
                *self = Health::Trial { out: None, wait, refused };
            }
        }
    }

    /// A request goes there.
    pub fn sent(&mut self, request: u64) {
        if let Health::Trial { out: out @ None, .. } = self {
            *out = Some(request);
        }
    }

    /// A request's attempt there ended; whether the member has come back, and has just started.
    ///
    /// `spread` from 1 up stretches waits, so that the fronts' trials of one member don't fall together.
    pub fn ended(&mut self, now: f64, request: u64, end: End, spec: &Spec, spread: f64) -> Option<bool> {
        let failed = |wait: f64, refused| Health::Failed { until: now + wait * spread, wait, refused };
        match (*self, end) {
            (Health::Up { .. }, End::Good) => *self = Health::UP,
            (Health::Up { failures }, End::Failed | End::Refused) => {
                let failures = failures + 1;
                *self = match failures >= spec.failures {
                    true => failed(spec.first_ms, end == End::Refused),
                    false => Health::Up { failures },
                };
            }
            // Only the trial itself tells: what was sent before may end late, good or bad.
            (Health::Trial { out: Some(trial), wait, refused }, _) if trial == request => match end {
                End::Good => {
                    *self = Health::UP;
                    return Some(refused);
                }
                End::Neither => *self = Health::Trial { out: None, wait, refused },
                End::Failed | End::Refused => {
                    let next = (wait * 2.0).clamp(spec.first_ms, spec.most_ms.max(spec.first_ms));
                    *self = failed(next, refused || end == End::Refused);
                }
            },
            _ => {}
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> Spec {
        Spec {
            name: "p".into(),
            parts: Vec::new(),
            in_flight: None,
            wait_ms: 0.0,
            waiting: 0,
            attempts: 1,
            retry_budget: 0.0,
            retry_burst: 0.0,
            failures: 2,
            first_ms: 100.0,
            most_ms: 350.0,
        }
    }

    #[test]
    fn waits_double_up_to_the_most_and_one_trial_is_out_at_a_time() {
        let (spec, mut h) = (spec(), Health::UP);
        h.ended(0.0, 1, End::Failed, &spec, 1.0);
        h.ended(1.0, 2, End::Good, &spec, 1.0);
        h.ended(2.0, 3, End::Failed, &spec, 1.0);
        assert!(h.is_up(), "not in a row");
        h.ended(3.0, 4, End::Failed, &spec, 1.0);
        let mut now = 3.0;
        for (n, wait) in [100.0, 200.0, 350.0, 350.0].into_iter().enumerate() {
            assert_eq!(h.due(), Some(now + wait));
            h.tick(now + wait - 0.1);
            assert!(!h.may_be_sent());
            now += wait;
            h.tick(now);
            assert!(h.may_be_sent() && !h.is_up());
            let trial = 10 + n as u64;
            h.sent(trial);
            assert!(!h.may_be_sent(), "one at a time");
            h.sent(99);
            h.ended(now, 99, End::Good, &spec, 1.0);
            assert!(!h.is_up(), "another's answer is no proof");
            h.ended(now, trial, End::Failed, &spec, 1.0);
        }
        h.tick(now + 1000.0);
        h.sent(50);
        h.ended(now + 1000.0, 50, End::Neither, &spec, 1.0);
        assert!(h.may_be_sent(), "a trial that told nothing is made again");
        h.sent(51);
        assert_eq!(h.ended(now + 1000.0, 51, End::Good, &spec, 1.0), Some(false));
        assert_eq!(h, Health::UP);
    }

    #[test]
    fn what_was_refused_comes_back_as_just_started() {
        let (spec, mut h) = (Spec { failures: 1, ..spec() }, Health::UP);
        h.ended(0.0, 1, End::Refused, &spec, 1.25);
        assert_eq!(h.due(), Some(125.0));
        h.tick(125.0);
        h.sent(2);
        h.ended(130.0, 2, End::Failed, &spec, 1.0);
        h.tick(1000.0);
        h.sent(3);
        assert_eq!(h.ended(1000.0, 3, End::Good, &spec, 1.0), Some(true));
    }
}
