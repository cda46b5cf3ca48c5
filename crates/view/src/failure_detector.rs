//! Failure detection: pings to the members that this front watches, the suspicions of the other watchers of the same
//! members, and the verdict that a member has failed, which takes several watchers.

use crate::fact::{FrontProcess, Id};
use std::collections::BTreeMap;

/// Interval between two pings to a member that answers, in milliseconds.
pub const PING_INTERVAL_MS: f64 = 1_000.0;
/// Interval between two pings to a member whose answer is outstanding, in milliseconds.
pub const PING_RETRY_MS: f64 = 300.0;
/// A member that leaves a ping unanswered for this long, in milliseconds, is suspected. Extended by twice its typical round
/// trip, and where this front itself is slow. A pause of a second, and three lost pings in a row, pass.
const PING_TIMEOUT_MS: f64 = 1_250.0;
/// A member that leaves a ping unanswered for this long, in milliseconds, and twice its typical round trip, counts as
/// silent.
const SILENT_AFTER_MS: f64 = 150.0;
/// Interval after which an unanswered suspicion is sent again, in milliseconds.
pub const SUSPICION_RETRY_MS: f64 = 400.0;
/// The same once the suspicion has stood for this long: it only has to be kept alive.
const SUSPICION_REFRESH_MS: f64 = 1_200.0;
/// A suspicion that was not renewed for this long, in milliseconds, has expired.
const SUSPICION_LIFETIME_MS: f64 = 2_500.0;
/// A watcher of the same member that leaves a suspicion unanswered for this long, in milliseconds, is out of reach too and
/// is not waited for.
const OUT_OF_REACH_MS: f64 = 1_000.0;
/// From this number of members on no front alone decides that another has failed: it may be cut off itself.
const TWO_VOTES_FROM: usize = 4;
/// Largest slowness that a front attributes to itself.
const MAX_SLOWNESS: f64 = 8.0;
/// How much a late tick adds to the slowness: 1 for each so many milliseconds.
const SLOWNESS_STEP_MS: f64 = 500.0;
/// Typical round trip assumed of a member that has not answered yet, in milliseconds.
const INITIAL_ROUND_TRIP_MS: f64 = 50.0;
/// Most outstanding pings whose numbers are retained for a member.
const MAX_OUTSTANDING_PINGS: usize = 16;

/// A ping that was sent.
#[derive(Clone, Copy, Debug)]
struct SentPing {
    number: u32,
    at_ms: f64,
}

/// A member that this front watches.
#[derive(Clone, Debug)]
struct Subject {
    /// Its process, as watched.
    process_id: u64,
    /// When the first unanswered ping was sent.
    unanswered_since_ms: Option<f64>,
    /// The pings since then.
    pings: Vec<SentPing>,
    /// Its typical round trip, in milliseconds.
    round_trip_ms: f64,
    /// When the next ping is due.
    next_ping_ms: f64,
    /// Since when this front suspects it.
    suspected_ms: Option<f64>,
    /// When that suspicion was last sent.
    announced_ms: f64,
}

impl Subject {
    /// How long a ping may go unanswered before the member is suspected, in milliseconds.
    fn ping_timeout_ms(&self, slowness: f64) -> f64 {
        (PING_TIMEOUT_MS + 2.0 * self.round_trip_ms) * (1.0 + slowness / 2.0)
    }
}

/// A watcher's suspicion of a member, or its withdrawal.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// The watcher's count of such messages.
    pub number: u32,
    /// When it came, in milliseconds.
    pub at_ms: f64,
    /// The member's process.
    pub process_id: u64,
    /// Whether the member is suspected; else the suspicion is withdrawn.
    pub is_active: bool,
    /// Whether no other subject of the watcher is silent: where several are, the links may be at fault, not the member.
    pub is_only_silent: bool,
}

/// The decision that a member has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether all of the member's watchers are in reach, and the suspecting ones have no other silent subject.
    pub is_confirmed: bool,
}

/// An answer to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// The member that answered.
    pub id: Id,
    /// Whether this front's suspicion of it is to be withdrawn.
    pub ends_suspicion: bool,
}

/// What is due for a subject.
#[derive(Clone, Debug, PartialEq)]
pub enum Due {
    /// A ping; `indirect` where other members are to be asked for one too.
    Ping {
        /// The subject.
        id: Id,
        /// Whether an earlier ping is unanswered.
        indirect: bool,
    },
    /// A suspicion of that subject: for the first time, or again.
    Suspicion(Id),
}

/// The members that this front watches, and the suspicions of all watchers.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    subjects: BTreeMap<Id, Subject>,
    /// Suspicions by suspected member and watcher.
    suspicions: BTreeMap<Id, BTreeMap<Id, Suspicion>>,
    /// When any message last came from a member.
    last_received_ms: BTreeMap<Id, f64>,
    /// How slow this front is itself: 0 where its ticks come in time.
    slowness: f64,
}

/// The interval after which a suspicion that has stood for `stood_ms` is sent again.
fn suspicion_interval_ms(stood_ms: f64) -> f64 {
    if stood_ms < SUSPICION_REFRESH_MS {
        SUSPICION_RETRY_MS
    } else {
        SUSPICION_REFRESH_MS
    }
}

impl FailureDetector {
    /// The typical round trip in milliseconds: the median of the subjects'.
    pub fn typical_round_trip_ms(&self) -> f64 {
        let mut all: Vec<f64> = self.subjects.values().map(|s| s.round_trip_ms).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0)
    }

    /// Whether this front suspects that member.
    pub fn suspects(&self, id: Id) -> bool {
        self.subjects.get(&id).is_some_and(|s| s.suspected_ms.is_some())
    }

    /// The members that this front suspects, by id.
    pub fn suspected(&self) -> impl Iterator<Item = Id> + '_ {
        self.subjects.iter().filter(|(_, s)| s.suspected_ms.is_some()).map(|(id, _)| *id)
    }

    /// Sets the subjects, each with its process. `offset` (0 to 1) shifts their first pings within an interval.
    pub fn assign(&mut self, subjects: &[FrontProcess], now_ms: f64, offset: f64) {
        self.subjects.retain(|id, s| subjects.contains(&FrontProcess { id: *id, process_id: s.process_id }));
        for (i, FrontProcess { id, process_id }) in subjects.iter().enumerate() {
            self.subjects.entry(*id).or_insert_with(|| Subject {
                process_id: *process_id,
                unanswered_since_ms: None,
                pings: Vec::new(),
                round_trip_ms: INITIAL_ROUND_TRIP_MS,
                // Spread over an interval, so that pings don't come in bursts.
                next_ping_ms: now_ms + PING_INTERVAL_MS * ((i as f64 + offset) / subjects.len() as f64),
                suspected_ms: None,
                announced_ms: 0.0,
            });
        }
    }

    /// When anything is due, in milliseconds.
    pub fn wake_at(&self) -> f64 {
        let due = self.subjects.values().map(|s| match s.suspected_ms {
            Some(since) => s.next_ping_ms.min(s.announced_ms + suspicion_interval_ms(s.announced_ms - since)),
            None => {
                let timeout = s.unanswered_since_ms.map(|at| at + s.ping_timeout_ms(self.slowness));
                s.next_ping_ms.min(timeout.unwrap_or(f64::MAX))
            }
        });
        due.fold(f64::MAX, f64::min)
    }

    /// Notes that this front did not run for `late_ms`: answers that it waited for may have come and been lost.
    pub fn resume(&mut self, late_ms: f64, now_ms: f64) {
        self.slowness = (self.slowness + late_ms / SLOWNESS_STEP_MS).min(MAX_SLOWNESS);
        for s in self.subjects.values_mut() {
            s.unanswered_since_ms = None;
            s.pings.clear();
            s.suspected_ms = None;
            s.next_ping_ms = s.next_ping_ms.max(now_ms);
        }
        self.suspicions.clear();
    }

    /// What is due now; each ping that is sent is to be noted by [`FailureDetector::ping_sent`].
    pub fn due(&mut self, now_ms: f64) -> Vec<Due> {
        let mut due = Vec::new();
        let slowness = self.slowness;
        for (id, s) in &mut self.subjects {
            if let Some(at) = s.unanswered_since_ms {
                let may_repeat =
                    |since: f64| now_ms - s.announced_ms >= suspicion_interval_ms(s.announced_ms - since);
                if s.suspected_ms.is_none() && now_ms - at >= s.ping_timeout_ms(slowness) {
                    (s.suspected_ms, s.announced_ms) = (Some(now_ms), now_ms);
                    due.push(Due::Suspicion(*id));
                } else if s.suspected_ms.is_some_and(may_repeat) {
                    s.announced_ms = now_ms;
                    due.push(Due::Suspicion(*id));
                }
            }
            if now_ms >= s.next_ping_ms {
                due.push(Due::Ping { id: *id, indirect: s.unanswered_since_ms.is_some() });
            }
        }
        due
    }

    /// Notes that a ping of that number was sent.
    pub fn ping_sent(&mut self, id: Id, number: u32, now_ms: f64) {
        let Some(s) = self.subjects.get_mut(&id) else { return };
        s.unanswered_since_ms = s.unanswered_since_ms.or(Some(now_ms));
        s.pings.push(SentPing { number, at_ms: now_ms });
        if s.pings.len() > MAX_OUTSTANDING_PINGS {
            s.pings.remove(0);
        }
        // Silent subjects are pinged more often until they are suspected; then once an interval, as before.
        s.next_ping_ms = now_ms + if s.suspected_ms.is_some() { PING_INTERVAL_MS } else { PING_RETRY_MS };
    }

    /// Takes the answer to the ping of that number, direct or forwarded by another member; `None` where no such ping is
    /// outstanding. `direct`: the process that answered, where no other member forwarded the answer.
    pub fn ping_answered(
        &mut self,
        number: u32,
        direct: Option<FrontProcess>,
        now_ms: f64,
    ) -> Option<Answered> {
        let (id, s) = self.subjects.iter_mut().find(|(_, s)| s.pings.iter().any(|p| p.number == number))?;
        // A process restarted at the same address answers for itself, not for the one before it.
        if direct.is_some_and(|from| from.id == *id && from.process_id != s.process_id) {
            return None;
        }
        let sent_ms = s.pings.iter().find(|p| p.number == number).map_or(now_ms, |p| p.at_ms);
        s.round_trip_ms += (now_ms - sent_ms - s.round_trip_ms) / 4.0;
        let first_ms = s.unanswered_since_ms.unwrap_or(now_ms);
        s.unanswered_since_ms = None;
        s.pings.clear();
        s.next_ping_ms = (first_ms + PING_INTERVAL_MS).max(now_ms + PING_RETRY_MS);
        self.slowness = (self.slowness - 0.2).max(0.0);
        Some(Answered { id: *id, ends_suspicion: s.suspected_ms.take().is_some() })
    }

    /// The number of the last outstanding ping to a member.
    pub fn outstanding_ping(&self, id: Id) -> Option<u32> {
        self.subjects.get(&id)?.pings.last().map(|p| p.number)
    }

    /// Notes that a message came from a member.
    pub fn received_from(&mut self, from: Id, now_ms: f64) {
        self.last_received_ms.insert(from, now_ms);
    }

    /// Records a watcher's suspicion of a member, or its withdrawal; returns whether it changes anything.
    pub fn record(&mut self, of: Id, by: Id, suspicion: Suspicion) -> bool {
        let recorded = self.suspicions.entry(of).or_default();
        // Late and duplicated ones must not undo a later one of the same watcher.
        if recorded
            .get(&by)
            .is_some_and(|s| s.process_id == suspicion.process_id && s.number >= suspicion.number)
        {
            return false;
        }
        let was_active =
            recorded.get(&by).is_some_and(|s| s.is_active && s.process_id == suspicion.process_id);
        recorded.insert(by, suspicion);
        was_active != suspicion.is_active
    }

    /// The watchers that suspect a member's process now, by id.
    pub fn suspected_by(&self, of: Id, process_id: u64, now_ms: f64) -> Vec<Id> {
        let recorded = self.suspicions.get(&of).into_iter().flatten();
        recorded
            .filter(|(_, s)| {
                s.is_active && s.process_id == process_id && now_ms - s.at_ms < SUSPICION_LIFETIME_MS
            })
            .map(|(by, _)| *by)
            .collect()
    }

    /// Whether no subject but that one is silent. Each is pinged once an interval, so by the time that one is suspected all
    /// have been pinged.
    pub fn is_only_silent(&self, of: Id, now_ms: f64) -> bool {
        let is_silent = |s: &Subject| {
            s.unanswered_since_ms.is_some_and(|at| now_ms - at > SILENT_AFTER_MS + 2.0 * s.round_trip_ms)
        };
        !self.subjects.iter().any(|(id, s)| *id != of && is_silent(s))
    }

    /// The verdict on a member that this front suspects: it has failed once most of its watchers that are in reach suspect
    /// it. `watchers` are the member's, `own` is this front and `member_count` the number of members in the view.
    pub fn verdict(
        &self,
        of: Id,
        process_id: u64,
        own: Id,
        watchers: &[Id],
        member_count: usize,
        now_ms: f64,
    ) -> Option<Verdict> {
        let suspecting = self.suspected_by(of, process_id, now_ms);
        // Only a front that watches the member and observes its silence itself decides.
        let since = self.subjects.get(&of).and_then(|s| s.suspected_ms)?;
        let is_in_reach = |w: &&Id| {
            **w == own
                || suspecting.contains(w)
                || self.last_received_ms.get(w).is_some_and(|at| *at >= since)
        };
        let in_reach = watchers.iter().filter(is_in_reach).count();
        let recorded = self.suspicions.get(&of);
        let is_only_silent = |w: &Id| recorded.and_then(|all| all.get(w)).is_some_and(|s| s.is_only_silent);
        let all_in_reach = in_reach == watchers.len();
        if !all_in_reach && now_ms - since < OUT_OF_REACH_MS + self.typical_round_trip_ms() {
            return None;
        }
        let votes = watchers.iter().filter(|w| suspecting.contains(w)).count();
        let min_votes = if member_count >= TWO_VOTES_FROM { 2 } else { 1 };
        (votes >= (in_reach / 2 + 1).max(min_votes))
            .then(|| Verdict { is_confirmed: all_in_reach && suspecting.iter().all(is_only_silent) })
    }

    /// Drops what is out of date: members that `is_member` does not know, and long expired suspicions.
    pub fn expire(&mut self, is_member: impl Fn(Id) -> bool, now_ms: f64) {
        self.last_received_ms.retain(|id, _| is_member(*id));
        for recorded in self.suspicions.values_mut() {
            // The number of a withdrawn or expired suspicion is retained for a while: a late copy must not revive it.
            recorded.retain(|_, s| now_ms - s.at_ms < 10.0 * SUSPICION_LIFETIME_MS);
        }
        self.suspicions.retain(|_, recorded| !recorded.is_empty());
    }
}

#[cfg(test)]
mod tests;
