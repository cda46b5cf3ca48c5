//! The rules, judged from outside: what clients sent and got, what came to nodes, what the bus had told whom.
//!
//! Every limit has the rules' own 50 ms, and as much again as this process itself was late lately: a busy machine is no
//! fault of a front's. What a node could not read while it hung is not judged by the time at which it was read.

use super::lock;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The rules' own slack.
const SLACK: Duration = Duration::from_millis(50);
/// An answer may be late by this; later it is lost.
const LATE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// The time passed to a node may be above the client's by this.
const LIMIT_SLACK: Duration = Duration::from_millis(150);
/// A further attempt is compared with the one before after this: their connections are read in any order.
const ORDER: Duration = Duration::from_millis(50);
/// A request that has ended is forgotten after this: what is late for it has come by then.
const FORGET: Duration = Duration::from_secs(30);
/// What the bus has to tell counts as told after this, connected or not.
const TOLD_ANYWAY: Duration = Duration::from_secs(7);
/// Breaches that are kept with their text.
const MOST_TEXTS: usize = 200;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No final answer, or too late.
    Lost,
    /// Two final answers, or one to nothing that was asked.
    Second,
    /// An answer that no node made.
    Foreign,
    /// Two attempts of one request out at once.
    TwoOut,
    /// What may run once ran again.
    RanAgain,
    /// Something new at a node that drains.
    Drain,
    /// A purged copy named as good enough.
    Purge,
    /// More time passed to a node than its client had.
    Limit,
    /// An attempt for a client that had left.
    Nobody,
    /// A process that ended otherwise than it was told to, or too late, or was not ready in time.
    Process,
    /// The front itself counted a violation.
    Counted,
}

/// What one class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    Once,
}

/// What a client asked.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The front that was asked.
    pub front: usize,
    /// What the class allows.
    pub effect: Effect,
    /// The object.
    pub object: u64,
    /// When its last byte was written.
    pub at: Instant,
    /// How long its client waits.
    pub patience: Duration,
}

struct Request {
    asked: Asked,
    left: Option<Instant>,
    ended: Option<Instant>,
    /// Attempts out, by node and connection.
    out: Vec<(usize, u64)>,
    ran: u32,
}

#[derive(Clone, Copy)]
struct Purge {
    at: Instant,
    /// When a front was told.
    told: Option<Instant>,
}

#[derive(Default)]
struct Seen {
    requests: HashMap<u64, Request>,
    /// By front and node: since when nothing new may go there, by the list.
    out_of_service: HashMap<(usize, usize), Instant>,
    /// The same by hand, which outlasts processes.
    excluded: HashMap<(usize, usize), Instant>,
    /// By front and object.
    purges: HashMap<(usize, u64), Purge>,
    breaches: BTreeMap<Rule, u64>,
    texts: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
}

/// The judge of one run.
pub struct Judge {
    begun: Instant,
    seen: Mutex<Seen>,
    /// How late this process was lately, in milliseconds.
    late_ms: AtomicU64,
    drain_grace: Duration,
    purge_slack: Duration,
    purge_done: Duration,
}

impl Judge {
    /// With the deployment's graces.
    pub fn new(drain_grace: Duration, purge_slack: Duration, purge_done: Duration) -> Judge {
        let (begun, seen, late_ms) = (Instant::now(), Mutex::default(), AtomicU64::new(0));
        Judge { begun, seen, late_ms, drain_grace, purge_slack, purge_done }
    }

    /// This process was so late just now.
    pub fn note_lateness(&self, late: Duration) {
        let before = self.late_ms.load(Ordering::Relaxed);
        // It fades by a tenth each time.
        let now = (late.as_millis() as u64).max(before * 9 / 10);
        self.late_ms.store(now, Ordering::Relaxed);
    }

    fn slack(&self) -> Duration {
        SLACK + 2 * Duration::from_millis(self.late_ms.load(Ordering::Relaxed))
    }

    /// A rule was broken; what was seen.
    pub fn breach(&self, rule: Rule, what: String) {
        let at = self.begun.elapsed().as_millis();
        let mut seen = lock(&self.seen);
        *seen.breaches.entry(rule).or_default() += 1;
        if seen.texts.len() < MOST_TEXTS {
            seen.texts.push(format!("{at} ms {rule:?}: {what}"));
        }
    }

    /// Counts something that is no breach.
    pub fn count(&self, what: &'static str) {
        *lock(&self.seen).counts.entry(what).or_default() += 1;
    }

    /// Rules broken, with the first of them in words, and all that was counted.
    pub fn verdict(&self) -> (BTreeMap<Rule, u64>, Vec<String>, BTreeMap<&'static str, u64>) {
        let seen = lock(&self.seen);
        (seen.breaches.clone(), seen.texts.clone(), seen.counts.clone())
    }

    /// A client has asked.
    pub fn asked(&self, trace: u64, asked: Asked) {
        let request = Request { asked, left: None, ended: None, out: Vec::new(), ran: 0 };
        lock(&self.seen).requests.insert(trace, request);
    }

    /// Its last byte was written at that moment: what it waits counts from there.
    pub fn asked_at(&self, trace: u64, at: Instant) {
        if let Some(r) = lock(&self.seen).requests.get_mut(&trace) {
            r.asked.at = at;
        }
    }

    /// The client has cancelled or disconnected: no answer is owed.
    pub fn left(&self, trace: u64) {
        if let Some(r) = lock(&self.seen).requests.get_mut(&trace) {
            r.left.get_or_insert_with(Instant::now);
            r.ended.get_or_insert_with(Instant::now);
        }
    }

    /// A final answer came.
    pub fn answered(&self, trace: u64) {
        let (late, asked) = {
            let mut seen = lock(&self.seen);
            let Some(r) = seen.requests.get_mut(&trace) else { return };
            r.ended = Some(Instant::now());
            (r.asked.at.elapsed().saturating_sub(r.asked.patience), r.asked.clone())
        };
        if late > LATE + self.slack() {
            self.breach(Rule::Lost, format!("{trace:016x} answered {late:?} after its time, {asked:?}"));
        }
    }

    /// Its connection ended without an answer, or none came; `excused`: the rules don't hold that against the front.
    pub fn unanswered(&self, trace: u64, excused: Option<&'static str>, why: &str) {
        let asked = {
            let mut seen = lock(&self.seen);
            let Some(r) = seen.requests.get_mut(&trace) else { return };
            r.left.get_or_insert_with(Instant::now);
            r.ended = Some(Instant::now());
            r.asked.clone()
        };
        match excused {
            Some(what) => self.count(what),
            None => self.breach(
                Rule::Lost,
                format!("{trace:016x} {why}, {:?} after it was asked, {asked:?}", asked.at.elapsed()),
            ),
        }
    }

    /// That front was told that nothing new may go to a node, or, with `None`, that it may again. `told`: when, or that it
    /// is not connected.
    pub fn drains(&self, front: usize, node: usize, told: Option<Instant>) {
        let mut seen = lock(&self.seen);
        match told {
            Some(at) => drop(seen.out_of_service.entry((front, node)).or_insert(at)),
            None => drop(seen.out_of_service.remove(&(front, node))),
        }
    }

    /// The front's operators were promised, at that moment, that nothing new goes to a node; or, with `None`, put it back.
    pub fn excluded(&self, front: usize, node: usize, since: Option<Instant>) {
        let mut seen = lock(&self.seen);
        match since {
            Some(at) => drop(seen.excluded.entry((front, node)).or_insert(at)),
            None => drop(seen.excluded.remove(&(front, node))),
        }
    }

    /// An object was purged; when that front was told, if it was.
    pub fn purged(&self, front: usize, object: u64, at: Instant, told: Option<Instant>) {
        lock(&self.seen).purges.insert((front, object), Purge { at, told });
    }

    /// That front starts anew: it has been told all that is in its configuration.
    pub fn started(&self, front: usize) {
        let mut seen = lock(&self.seen);
        seen.out_of_service.retain(|(f, _), _| *f != front);
        seen.purges.retain(|(f, _), _| *f != front);
    }

    /// An attempt came whole to a node over that connection. `prompt`: the node has read all along. Whether it is known.
    pub fn arrives(&self, node: usize, conn: u64, trace: u64, fields: &str, prompt: bool) -> Option<Asked> {
        let now = Instant::now();
        let slack = self.slack();
        let mut found = Vec::new();
        let asked = {
            let mut seen = lock(&self.seen);
            let Seen { requests, out_of_service, excluded, purges, .. } = &mut *seen;
            let r = requests.get_mut(&trace)?;
            let asked = r.asked.clone();
            r.out.push((node, conn));
            let over = |from: Instant, limit: Duration| {
                let late = now.saturating_duration_since(from);
                (late > limit + slack).then_some(late)
            };
            if let Some(late) = r.left.filter(|_| prompt).and_then(|at| over(at, AFTER_LEAVING)) {
                found.push((Rule::Nobody, format!("{late:?} after its client had left")));
            }
            let field =
                |name: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name);
            let number = |name: &str| field(name).and_then(|f| f.1.parse::<u64>().ok());
            if let Some(limit) = number("limit").filter(|_| prompt) {
                let left = (asked.at + asked.patience).saturating_duration_since(now);
                if Duration::from_millis(limit) > left + LIMIT_SLACK + slack {
                    found.push((Rule::Limit, format!("{limit} ms told, {left:?} left")));
                }
            }
            let place = (asked.front, node);
            for at in
                [out_of_service.get(&place), excluded.get(&place)].into_iter().flatten().filter(|_| prompt)
            {
                if let Some(late) = over(*at, self.drain_grace) {
                    found.push((Rule::Drain, format!("{late:?} after the front was told")));
                }
            }
            if let Some(purge) = purges.get(&(asked.front, asked.object)) {
                let told = purge.told.unwrap_or(purge.at + TOLD_ANYWAY);
                let binds =
                    prompt && over(told, self.purge_slack).is_some() && purge.at.elapsed() < self.purge_done;
                let oldest = number("fresh").map(Duration::from_millis);
                let since = now.saturating_duration_since(purge.at) + slack;
                if binds && field("via").is_some() && oldest.is_none_or(|oldest| oldest > since) {
                    found.push((Rule::Purge, format!("a copy of {oldest:?} will do, purged {since:?} ago")));
                }
            }
            asked
        };
        for (rule, what) in found {
            self.breach(rule, format!("{trace:016x} at node {node}: {what}, {asked:?}"));
        }
        Some(asked)
    }

    /// To be asked as soon as an attempt has come; it answers a moment later: whether another of that request was out all the while.
    pub async fn compare(&self, node: usize, conn: u64, trace: u64) {
        let other = |seen: &Seen| {
            let out = &seen.requests.get(&trace)?.out;
            out.iter().copied().find(|o| *o != (node, conn))
        };
        let Some(first) = other(&lock(&self.seen)) else { return };
        tokio::time::sleep(ORDER + self.slack()).await;
        let still = {
            let seen = lock(&self.seen);
            seen.requests.get(&trace).is_some_and(|r| [first, (node, conn)].iter().all(|o| r.out.contains(o)))
        };
        if still {
            self.breach(Rule::TwoOut, format!("{trace:016x} at nodes {} and {node}", first.0));
        }
    }

    /// An attempt's end was written, it was given up, or its connection ended.
    pub fn leaves(&self, node: usize, conn: u64, trace: u64) {
        if let Some(r) = lock(&self.seen).requests.get_mut(&trace) {
            r.out.retain(|o| *o != (node, conn));
        }
    }

    /// An attempt takes effect at a node.
    pub fn runs(&self, node: usize, trace: u64) {
        let again = {
            let mut seen = lock(&self.seen);
            let Some(r) = seen.requests.get_mut(&trace) else { return };
            r.ran += 1;
            (r.ran > 1 && r.asked.effect == Effect::Once).then(|| r.asked.clone())
        };
        if let Some(asked) = again {
            self.breach(Rule::RanAgain, format!("{trace:016x} at node {node}, {asked:?}"));
        }
    }

    /// Now and then: what was never answered, and what can be forgotten.
    pub fn sweep(&self) {
        let slack = self.slack();
        let mut lost = Vec::new();
        {
            let mut seen = lock(&self.seen);
            for (trace, r) in seen.requests.iter_mut().filter(|(_, r)| r.ended.is_none()) {
                if r.asked.at.elapsed() > r.asked.patience + 2 * LATE + slack {
                    r.ended = Some(Instant::now());
                    lost.push(format!("{trace:016x} never answered, {:?}", r.asked));
                }
            }
            seen.requests.retain(|_, r| r.ended.is_none_or(|at| at.elapsed() < FORGET));
        }
        lost.into_iter().for_each(|what| self.breach(Rule::Lost, what));
    }
}

#[cfg(test)]
#[path = "judge/tests.rs"]
mod tests;
