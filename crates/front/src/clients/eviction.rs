//! Which client's connection is closed where a limit is reached, and which have timed out.

use super::connection::{ClientConnection, MESSAGE_TIMEOUT, NEW_CONNECTION_GRACE};
use super::server::Server;
use crate::log::Reason;
use crate::shared::Shared;
use crate::sync::lock;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A client that has answers waiting and took no byte of them for so long reads no more.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// An idle connection is closed; clients close theirs after 4 s, but some keep it for good.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl ClientConnection {
    /// How many bytes of partial messages closing it would release; a connection with an open call goes last.
    pub(super) fn partial_message_weight(&self, _: Instant) -> Option<(bool, Duration, usize)> {
        let open = lock(&self.open);
        (open.partial > 0).then_some((open.calls.is_empty(), Duration::ZERO, open.partial))
    }

    /// How many bytes of unread answers closing it would release; one that has read nothing for longest goes first.
    pub(super) fn unread_weight(&self, now: Instant) -> Option<(bool, Duration, usize)> {
        self.link.stalled_for(now).map(|stalled| (true, stalled, self.link.unwritten_bytes()))
    }

    /// Why it is to be closed, if it is.
    pub(super) fn timeout_reason(&self, now: Instant) -> Option<Reason> {
        let open = lock(&self.open);
        let timed_out = |at: Option<Instant>, limit| at.is_some_and(|at| now.duration_since(at) >= limit);
        match () {
            // Who waits for an answer gets it first.
            () if timed_out(open.partial_since, MESSAGE_TIMEOUT)
                && open.calls.is_empty()
                && self.link.is_drained() =>
            {
                Some(Reason::Stalled)
            }
            () if !open.message_received && timed_out(open.idle_since, MESSAGE_TIMEOUT) => {
                Some(Reason::NoRequest)
            }
            // A part that has come is the beginning of a call.
            () if open.partial == 0 && timed_out(open.idle_since, IDLE_TIMEOUT) && self.link.is_drained() => {
                Some(Reason::Idle)
            }
            () if self.link.stalled_for(now).is_some_and(|t| t >= UNREAD_TIMEOUT) => Some(Reason::SlowReader),
            () => None,
        }
    }

    /// How readily it is evicted for another: by kind, then by the time without an open call. `None`: it is not.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<(u8, Duration)> {
        let open = lock(&self.open);
        if open.closing || self.link.is_closing() {
            return None;
        }
        let idle = now.duration_since(open.idle_since?);
        match (open.served, open.message_received) {
            (true, _) if open.partial > 0 => None,
            (true, _) => Some((0, idle)),
            (false, true) => Some((1, idle)),
            (false, false) => Some((2, idle)).filter(|_| idle >= NEW_CONNECTION_GRACE),
        }
        .filter(|_| self.link.is_drained())
    }
}

impl Server {
    /// Closes, for that reason, the connection of the client that weighs most, if there is one: a shared limit is reached,
    /// and whoever happens to exceed it next is not the one at fault.
    pub(super) fn close_heaviest(
        &self,
        why: Reason,
        weight: impl Fn(&ClientConnection, Instant) -> Option<(bool, Duration, usize)>,
    ) {
        let now = Instant::now();
        let clients = lock(&self.clients);
        let open = clients.values().filter(|c| !c.link.is_closing());
        let heaviest = open.filter_map(|c| weight(c, now).map(|w| (w, c))).max_by_key(|(w, _)| *w);
        if let Some((_, client)) = heaviest {
            client.link.close(why);
        }
    }

    /// Where unread answers exceed their limit, the client that reads least is closed.
    pub(super) fn limit_unread_answers(&self) {
        if self.unread.load(Ordering::Relaxed) > self.budget.unread {
            self.close_heaviest(Reason::SlowReader, ClientConnection::unread_weight);
        }
    }

    /// Whether the connection that was just accepted is within the limit, if need be by evicting another. Guards new clients
    /// against those that called once and stay connected.
    pub(super) fn make_capacity(&self, front: &Shared) -> bool {
        let connected =
            self.descriptors.load(Ordering::Relaxed).saturating_sub(self.closing.load(Ordering::Relaxed));
        connected <= self.budget.clients || self.evict(front)
    }

    /// Closes the connection that ranks highest for eviction: one that never sent a message, was never served, or is idle
    /// for longest. Whether there was one.
    pub(super) fn evict(&self, front: &Shared) -> bool {
        let now = Instant::now();
        let evicted = {
            let clients = lock(&self.clients);
            let highest = clients.iter().filter_map(|(n, c)| c.eviction_rank(now).map(|s| (s, *n))).max();
            highest.and_then(|(_, number)| clients.get(&number).cloned())
        };
        match evicted {
            Some(client) => {
                client.finish(front, Reason::TooMany);
                true
            }
            None => false,
        }
    }
}
