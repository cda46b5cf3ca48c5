//! Requests that wait for a place: first come, first served, each until its own time, all of them bounded.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

#[derive(Clone, Copy, Debug, PartialEq)]
struct Until(f64, u64);

impl Eq for Until {}
impl PartialOrd for Until {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Until {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// The queue. Each step costs the logarithm of its length.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    next: u64,
    by_turn: BTreeSet<(u64, u64)>,
    by_time: BTreeSet<Until>,
    held: HashMap<u64, (u64, f64)>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn push(&mut self, request: u64, until: f64) {
        let turn = self.next;
        self.next += 1;
        self.by_turn.insert((turn, request));
        self.by_time.insert(Until(until, request));
        self.held.insert(request, (turn, until));
    }

    pub fn contains(&self, request: u64) -> bool {
        self.held.contains_key(&request)
    }

    /// Takes a request out; whether it waited.
    pub fn remove(&mut self, request: u64) -> bool {
        let Some((turn, until)) = self.held.remove(&request) else { return false };
        self.by_turn.remove(&(turn, request));
        self.by_time.remove(&Until(until, request));
        true
    }

    /// The one that came first.
    pub fn pop(&mut self) -> Option<u64> {
        let (_, request) = *self.by_turn.first()?;
        self.remove(request);
        Some(request)
    }

    /// One whose time is over.
    pub fn expired(&mut self, now: f64) -> Option<u64> {
        let Until(until, request) = *self.by_time.first()?;
        (now >= until).then(|| {
            self.remove(request);
            request
        })
    }

    /// When the next one's time is over.
    pub fn due(&self) -> Option<f64> {
        self.by_time.first().map(|u| u.0)
    }
}
