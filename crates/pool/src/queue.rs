//! The queue of requests that wait for capacity, in order of arrival, each with its own deadline.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// The time at which a queued request times out; ordered by time, then by request number.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Deadline {
    at_ms: f64,
    request: u64,
}

impl Eq for Deadline {}
impl PartialOrd for Deadline {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Deadline {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.request.cmp(&other.request))
    }
}

/// The keys of a queued request in the two sorted sets of the [`Queue`].
#[derive(Clone, Copy, Debug)]
struct QueuedKeys {
    sequence: u64,
    deadline_ms: f64,
}

/// A first-in, first-out queue with a deadline for each request. Each operation takes logarithmic time in the
/// length.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    next_sequence: u64,
    /// The queued requests as (arrival sequence number, request number).
    by_arrival: BTreeSet<(u64, u64)>,
    by_deadline: BTreeSet<Deadline>,
    queued: HashMap<u64, QueuedKeys>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    pub fn push(&mut self, request: u64, deadline_ms: f64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_arrival.insert((sequence, request));
        self.by_deadline.insert(Deadline { at_ms: deadline_ms, request });
        self.queued.insert(request, QueuedKeys { sequence, deadline_ms });
    }

    pub fn contains(&self, request: u64) -> bool {
        self.queued.contains_key(&request)
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, request: u64) -> bool {
        let Some(QueuedKeys { sequence, deadline_ms }) = self.queued.remove(&request) else { return false };
        self.by_arrival.remove(&(sequence, request));
        self.by_deadline.remove(&Deadline { at_ms: deadline_ms, request });
        true
    }

    /// Removes and returns the request that arrived first.
    pub fn pop(&mut self) -> Option<u64> {
        let (_, request) = *self.by_arrival.first()?;
        self.remove(request);
        Some(request)
    }

    /// Removes and returns the request of the earliest deadline, if that has passed at `now_ms`.
    pub fn pop_expired(&mut self, now_ms: f64) -> Option<u64> {
        let Deadline { at_ms, request } = *self.by_deadline.first()?;
        (now_ms >= at_ms).then(|| {
            self.remove(request);
            request
        })
    }

    /// The earliest deadline, in milliseconds on the caller's clock; `None` if the queue is empty.
    pub fn next_deadline_ms(&self) -> Option<f64> {
        self.by_deadline.first().map(|d| d.at_ms)
    }
}
