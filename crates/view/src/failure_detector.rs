//! Failure detection: schedules pings to the members that this front watches, tracks the suspicions of the
//! other watchers of the same members, and decides by a vote of several watchers that a member has failed.

use crate::fact::{FrontProcess, Id};
use std::collections::BTreeMap;

/// The interval between two pings to a member that answers, in milliseconds.
pub const PING_INTERVAL_MS: f64 = 1_000.0;
/// The interval between two pings to a member whose answer is outstanding, in milliseconds.
pub const PING_RETRY_MS: f64 = 300.0;
/// A member that leaves a ping unanswered for this time, in milliseconds, is suspected. The time is extended
/// by twice the member's typical round trip, and if this front itself is slow. A pause of a second or three
/// lost pings in a row cause no suspicion.
const PING_TIMEOUT_MS: f64 = 1_250.0;
/// A member counts as silent if it leaves a ping unanswered for longer than this time, in milliseconds, plus
/// twice its typical round trip.
const SILENT_AFTER_MS: f64 = 150.0;
/// The interval at which a recent suspicion is sent again, in milliseconds.
pub const SUSPICION_RETRY_MS: f64 = 400.0;
/// Once a suspicion is this old, in milliseconds, it is sent again only at this interval, which suffices to
/// keep it from expiring.
const SUSPICION_REFRESH_MS: f64 = 1_200.0;
/// A suspicion that was not renewed for this time, in milliseconds, expires.
const SUSPICION_LIFETIME_MS: f64 = 2_500.0;
/// Another watcher from which nothing was received for this time after the suspicion began, in milliseconds,
/// plus the typical round trip, counts as out of reach. Its vote is not waited for.
const OUT_OF_REACH_AFTER_MS: f64 = 1_000.0;
/// From this number of members on, at least two watchers have to suspect a member before it counts as failed,
/// because a single front may itself be cut off.
const MIN_MEMBERS_FOR_TWO_VOTES: usize = 4;
/// The maximum slowness that a front attributes to itself.
const MAX_SLOWNESS: f64 = 8.0;
/// The slowness grows by 1 for each period of this length, in milliseconds, by which a tick is late.
const SLOWNESS_STEP_MS: f64 = 500.0;
/// The round trip assumed for a member that has not answered yet, in milliseconds.
const INITIAL_ROUND_TRIP_MS: f64 = 50.0;
/// The maximum number of unanswered pings to a member whose numbers are retained.
const MAX_OUTSTANDING_PINGS: usize = 16;

/// An unanswered ping.
#[derive(Clone, Copy, Debug)]
struct SentPing {
    number: u32,
    at_ms: f64,
}

/// The state of a member that this front watches.
#[derive(Clone, Debug)]
struct WatchedMember {
    /// The process of the member that is watched.
    process_id: u64,
    /// The time at which the first unanswered ping was sent, in milliseconds; `None` if no ping is
    /// unanswered.
    unanswered_since_ms: Option<f64>,
    /// The unanswered pings, oldest first.
    pings: Vec<SentPing>,
    /// The moving average of the member's ping round trips, in milliseconds.
    round_trip_ms: f64,
    /// The time at which the next ping is due, in milliseconds.
    next_ping_ms: f64,
    /// The time since which this front suspects the member, in milliseconds; `None` if it does not.
    suspected_ms: Option<f64>,
    /// The time at which the suspicion was last sent, in milliseconds.
    announced_ms: f64,
}

impl WatchedMember {
    /// Returns how long a ping may stay unanswered before the member is suspected, in milliseconds.
    fn ping_timeout_ms(&self, slowness: f64) -> f64 {
        (PING_TIMEOUT_MS + 2.0 * self.round_trip_ms) * (1.0 + slowness / 2.0)
    }
}

/// A watcher's suspicion of a member, or the withdrawal of one.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// A number that the watcher raises with each suspicion or withdrawal; the highest one of a watcher is
    /// valid.
    pub number: u32,
    /// The time at which the suspicion or withdrawal was received or made, in milliseconds.
    pub at_ms: f64,
    /// The process of the member.
    pub process_id: u64,
    /// Whether the member is suspected; `false` withdraws an earlier suspicion.
    pub is_active: bool,
    /// Whether the watcher has no other silent subject. If several are silent, the links may be faulty rather
    /// than the member.
    pub is_only_silent: bool,
}

/// The decision that a member has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether all watchers of the member are in reach, and those that suspect it have no other silent
    /// subject.
    pub is_confirmed: bool,
}

/// The result of an accepted answer to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredPing {
    /// The member that the ping was sent to.
    pub id: Id,
    /// Whether the answer ends this front's suspicion of the member, so that the suspicion has to be
    /// withdrawn.
    pub ends_suspicion: bool,
}

/// A message that is due to be sent concerning a subject.
#[derive(Clone, Debug, PartialEq)]
pub enum DueMessage {
    /// A ping of the subject.
    Ping {
        /// The member to be pinged.
        id: Id,
        /// Whether other members are asked to ping the subject too, because an earlier ping is unanswered.
        indirect: bool,
    },
    /// A suspicion of this subject, sent for the first time or repeated.
    Suspicion(Id),
}

/// Tracks the members that this front watches (its subjects), and the suspicions of all watchers.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    subjects: BTreeMap<Id, WatchedMember>,
    /// Suspicions, by suspected member and then by watcher.
    suspicions: BTreeMap<Id, BTreeMap<Id, Suspicion>>,
    /// The time at which any message was last received from each member, in milliseconds.
    last_received_ms: BTreeMap<Id, f64>,
    /// The slowness of this front itself: 0 if it runs on time, up to [`MAX_SLOWNESS`].
    slowness: f64,
}

/// Returns the interval after which a suspicion that is `stood_ms` old is sent again, in milliseconds.
fn suspicion_interval_ms(stood_ms: f64) -> f64 {
    if stood_ms < SUSPICION_REFRESH_MS {
        SUSPICION_RETRY_MS
    } else {
        SUSPICION_REFRESH_MS
    }
}

impl FailureDetector {
    /// Returns the typical round trip in milliseconds: the median over all subjects, or 0 without subjects.
    pub fn typical_round_trip_ms(&self) -> f64 {
        let mut all: Vec<f64> = self.subjects.values().map(|s| s.round_trip_ms).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0)
    }

    /// Whether this front suspects the member `id`.
    pub fn suspects(&self, id: Id) -> bool {
        self.subjects.get(&id).is_some_and(|s| s.suspected_ms.is_some())
    }

    /// Iterates over the members that this front suspects, in the order of their ids.
    pub fn suspected_members(&self) -> impl Iterator<Item = Id> + '_ {
        self.subjects.iter().filter(|(_, s)| s.suspected_ms.is_some()).map(|(id, _)| *id)
    }

    /// Sets the subjects, each with its process. `offset` (0 to 1) shifts the first pings within the ping
    /// interval.
    pub fn set_subjects(&mut self, subjects: &[FrontProcess], now_ms: f64, offset: f64) {
        self.subjects.retain(|id, s| subjects.contains(&FrontProcess { id: *id, process_id: s.process_id }));
        for (i, FrontProcess { id, process_id }) in subjects.iter().enumerate() {
            self.subjects.entry(*id).or_insert_with(|| WatchedMember {
                process_id: *process_id,
                unanswered_since_ms: None,
                pings: Vec::new(),
                round_trip_ms: INITIAL_ROUND_TRIP_MS,
                // First pings are spread over an interval, to avoid bursts.
                next_ping_ms: now_ms + PING_INTERVAL_MS * ((i as f64 + offset) / subjects.len() as f64),
                suspected_ms: None,
                announced_ms: 0.0,
            });
        }
    }

    /// Returns the time at which the next ping or suspicion is due, in milliseconds; `f64::MAX` without
    /// subjects.
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

    /// Discards all suspicions and unanswered pings after this front did not run for `late_ms`, because
    /// answers may have arrived and been lost in that time.
    pub fn reset_after_pause(&mut self, late_ms: f64, now_ms: f64) {
        self.slowness = (self.slowness + late_ms / SLOWNESS_STEP_MS).min(MAX_SLOWNESS);
        for s in self.subjects.values_mut() {
            s.unanswered_since_ms = None;
            s.pings.clear();
            s.suspected_ms = None;
            s.next_ping_ms = s.next_ping_ms.max(now_ms);
        }
        self.suspicions.clear();
    }

    /// Returns the messages that are due now. The caller records each ping that it sends by
    /// [`FailureDetector::ping_sent`].
    pub fn due_messages(&mut self, now_ms: f64) -> Vec<DueMessage> {
        let mut due = Vec::new();
        let slowness = self.slowness;
        for (id, s) in &mut self.subjects {
            if let Some(at) = s.unanswered_since_ms {
                let may_repeat =
                    |since: f64| now_ms - s.announced_ms >= suspicion_interval_ms(s.announced_ms - since);
                if s.suspected_ms.is_none() && now_ms - at >= s.ping_timeout_ms(slowness) {
                    (s.suspected_ms, s.announced_ms) = (Some(now_ms), now_ms);
                    due.push(DueMessage::Suspicion(*id));
                } else if s.suspected_ms.is_some_and(may_repeat) {
                    s.announced_ms = now_ms;
                    due.push(DueMessage::Suspicion(*id));
                }
            }
            if now_ms >= s.next_ping_ms {
                due.push(DueMessage::Ping { id: *id, indirect: s.unanswered_since_ms.is_some() });
            }
        }
        due
    }

    /// Records that a ping with this number was sent to a member.
    pub fn ping_sent(&mut self, id: Id, number: u32, now_ms: f64) {
        let Some(s) = self.subjects.get_mut(&id) else { return };
        s.unanswered_since_ms = s.unanswered_since_ms.or(Some(now_ms));
        s.pings.push(SentPing { number, at_ms: now_ms });
        if s.pings.len() > MAX_OUTSTANDING_PINGS {
            s.pings.remove(0);
        }
        // Subjects that do not answer are pinged more often until they are suspected, and at the normal
        // interval afterwards.
        s.next_ping_ms = now_ms + if s.suspected_ms.is_some() { PING_INTERVAL_MS } else { PING_RETRY_MS };
    }

    /// Handles the answer to the ping with this number; `None` if no such ping is unanswered or if another
    /// process answered. `direct` is the process that answered, if the answer was not forwarded by another
    /// member.
    pub fn ping_answered(
        &mut self,
        number: u32,
        direct: Option<FrontProcess>,
        now_ms: f64,
    ) -> Option<AnsweredPing> {
        let (id, s) = self.subjects.iter_mut().find(|(_, s)| s.pings.iter().any(|p| p.number == number))?;
        // A process that was restarted at the same address does not answer for its predecessor.
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
        Some(AnsweredPing { id: *id, ends_suspicion: s.suspected_ms.take().is_some() })
    }

    /// Returns the number of the latest unanswered ping to a member, if there is one.
    pub fn outstanding_ping(&self, id: Id) -> Option<u32> {
        self.subjects.get(&id)?.pings.last().map(|p| p.number)
    }

    /// Records that a message was received from a member.
    pub fn received_from(&mut self, from: Id, now_ms: f64) {
        self.last_received_ms.insert(from, now_ms);
    }

    /// Records a watcher's suspicion of a member, or the withdrawal of one; returns whether the member's
    /// status changed for that watcher.
    pub fn record_suspicion(&mut self, of: Id, by: Id, suspicion: Suspicion) -> bool {
        let recorded = self.suspicions.entry(of).or_default();
        // Delayed or duplicated messages must not override a later message of the same watcher.
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

    /// Returns the watchers that currently suspect this process of a member, in the order of their ids.
    pub fn suspecting_watchers(&self, of: Id, process_id: u64, now_ms: f64) -> Vec<Id> {
        let recorded = self.suspicions.get(&of).into_iter().flatten();
        recorded
            .filter(|(_, s)| {
                s.is_active && s.process_id == process_id && now_ms - s.at_ms < SUSPICION_LIFETIME_MS
            })
            .map(|(by, _)| *by)
            .collect()
    }

    /// Whether no subject other than `of` is silent. Each is pinged once in an interval, so all of them have
    /// been pinged by the time that `of` is suspected.
    pub fn is_only_silent(&self, of: Id, now_ms: f64) -> bool {
        let is_silent = |s: &WatchedMember| {
            s.unanswered_since_ms.is_some_and(|at| now_ms - at > SILENT_AFTER_MS + 2.0 * s.round_trip_ms)
        };
        !self.subjects.iter().any(|(id, s)| *id != of && is_silent(s))
    }

    /// Returns the verdict on a member that this front suspects. The member has failed if most of its
    /// watchers that are in reach suspect it. `watchers` are the watchers of the member, `own` is this front,
    /// and `member_count` is the number of live members in the view.
    pub fn verdict(
        &self,
        of: Id,
        process_id: u64,
        own: Id,
        watchers: &[Id],
        member_count: usize,
        now_ms: f64,
    ) -> Option<Verdict> {
        let suspecting = self.suspecting_watchers(of, process_id, now_ms);
        // Only a front that watches the member, and itself got no answer from it, may decide.
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
        if !all_in_reach && now_ms - since < OUT_OF_REACH_AFTER_MS + self.typical_round_trip_ms() {
            return None;
        }
        let votes = watchers.iter().filter(|w| suspecting.contains(w)).count();
        let min_votes = if member_count >= MIN_MEMBERS_FOR_TWO_VOTES { 2 } else { 1 };
        (votes >= (in_reach / 2 + 1).max(min_votes))
            .then(|| Verdict { is_confirmed: all_in_reach && suspecting.iter().all(is_only_silent) })
    }

    /// Removes entries of members that `is_member` rejects, and suspicions that expired long ago.
    pub fn remove_expired(&mut self, is_member: impl Fn(Id) -> bool, now_ms: f64) {
        self.last_received_ms.retain(|id, _| is_member(*id));
        for recorded in self.suspicions.values_mut() {
            // The number of a withdrawn or expired suspicion is retained for some time, so that a delayed
            // copy does not revive it.
            recorded.retain(|_, s| now_ms - s.at_ms < 10.0 * SUSPICION_LIFETIME_MS);
        }
        self.suspicions.retain(|_, recorded| !recorded.is_empty());
    }
}

#[cfg(test)]
mod tests;
