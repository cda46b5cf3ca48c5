//! Chooses the client connections to close: those that have timed out, and one when a shared limit is
//! reached.

use super::connection::{
    ClientConnection, ConnectionState, MAX_OPEN_CALLS, MESSAGE_TIMEOUT, NEW_CONNECTION_GRACE,
};
use super::server::Server;
use crate::log::Reason;
use crate::memory::MemoryAccount;
use crate::shared::SharedState;
use crate::sync::lock;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after which a client is disconnected if answers wait for it, here or in the system, and it reads
/// nothing of them.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a client that reads nothing is disconnected if another client, that holds nothing, waits
/// for the memory of its answers.
const SHORT_MEMORY_UNREAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed. Clients close theirs after 4 s, but some keep them open
/// indefinitely.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Reading speed of a client, in bytes per second, below which it may still be reading answers that its own
/// system has received. Clients are known to read 1 MB a second or less.
const MIN_READING_SPEED: usize = 100_000;

/// A client that sends nothing for this time within a message has paused. Longer than the retransmission of a
/// lost packet takes.
const MESSAGE_PAUSE: Duration = Duration::from_millis(250);
/// Added to the age of a message when the speed is calculated at which its client occupied memory, so that the
/// first bytes of a message do not count as the fastest.
const MESSAGE_START: Duration = Duration::from_millis(50);

/// Priority of closing a connection when a limit on memory is exceeded; the highest is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClosePriority {
    /// Whether the client waits for no answer.
    waits_for_nothing: bool,
    /// Whether the client has never been served on this connection.
    never_served: bool,
    /// Whether the client has paused within a message, or reads nothing.
    has_paused: bool,
    weight: u128,
}

/// Memory that a connection uses for a purpose, and the priority of closing the connection for that.
struct MemoryUsage {
    priority: ClosePriority,
    memory: usize,
}

impl ClientConnection {
    /// Priority of closing this connection when received bytes that are not handled use too much memory.
    /// `None` if no message is incomplete: its connection's bytes are handled shortly. Connections whose
    /// clients wait for an answer, or were served before, come last. Among the others those that have paused
    /// come first, by memory and time; then the one that occupied its memory fastest, so that clients who come
    /// in great numbers do not displace one that writes slowly.
    fn partial_message_usage(&self, now: Instant) -> Option<MemoryUsage> {
        let open = lock(&self.open);
        let begun = now.saturating_duration_since(open.partial_since?);
        let without_input = now.saturating_duration_since(open.last_input);
        let has_paused = without_input >= MESSAGE_PAUSE;
        let weight = match has_paused {
            true => without_input.as_micros() * open.input_memory as u128,
            false => open.input_memory as u128 * 1_000_000 / (begun + MESSAGE_START).as_micros(),
        };
        let (waits_for_nothing, never_served) = (open.calls.is_empty(), !open.served);
        let priority = ClosePriority { waits_for_nothing, never_served, has_paused, weight };
        Some(MemoryUsage { priority, memory: open.input_memory })
    }

    /// Priority of closing this connection when unread answers use too much memory: the time for which the
    /// client has read nothing. `None` if all its answers are written.
    fn unread_answer_usage(&self, now: Instant) -> Option<MemoryUsage> {
        if self.link.is_drained() {
            return None;
        }
        let weight = self.link.stalled_for(now)?.as_micros();
        let priority =
            ClosePriority { waits_for_nothing: true, never_served: true, has_paused: true, weight };
        Some(MemoryUsage { priority, memory: self.link.unwritten_memory() })
    }

    /// How long the connection has been idle: since its last call ended and the client has had the time to
    /// read the answers that may still be in its receive buffer, and since bytes were last delivered. `None`
    /// while a call is open.
    fn idle_for(&self, open: &ConnectionState, now: Instant) -> Option<Duration> {
        let without_call = now.saturating_duration_since(open.idle_since?);
        let reading = Duration::from_secs(self.recent_answer_bytes() as u64) / MIN_READING_SPEED as u32;
        Some(without_call.saturating_sub(reading).min(self.link.time_since_progress(now)))
    }

    /// The reason to close the connection because a timeout has passed; `None` if none has.
    pub(super) fn timeout_reason(&self, now: Instant) -> Option<Reason> {
        let open = lock(&self.open);
        let timed_out = |at: Option<Instant>, limit| at.is_some_and(|at| now.duration_since(at) >= limit);
        match () {
            // A client that waits for an answer gets it before it is disconnected.
            () if timed_out(open.partial_since, MESSAGE_TIMEOUT)
                && open.calls.is_empty()
                && self.link.is_delivered() =>
            {
                Some(Reason::Stalled)
            }
            () if !open.message_received && timed_out(open.idle_since, MESSAGE_TIMEOUT) => {
                Some(Reason::NoRequest)
            }
            // An incomplete message is the beginning of a call, so its connection is not idle.
            () if open.partial == 0
                && self.idle_for(&open, now).is_some_and(|t| t >= IDLE_TIMEOUT)
                && self.link.is_delivered() =>
            {
                Some(Reason::Idle)
            }
            () if self.link.stalled_for(now).is_some_and(|t| t >= UNREAD_TIMEOUT) => Some(Reason::SlowReader),
            () => None,
        }
    }

    /// Rank for [`Server::evict_incomplete`], the highest first: whether the client has sent nothing, then the age
    /// of the connection, reversed if a message is begun. `None` if a message was received or the connection is
    /// being closed.
    fn incompleteness(&self, now: Instant) -> Option<(bool, Duration)> {
        let open = lock(&self.open);
        if open.closing || open.message_received || open.message_unread || self.link.is_closing() {
            return None;
        }
        let age = now.saturating_duration_since(open.idle_since?);
        Some(match open.partial {
            0 => (true, age),
            _ => (false, Duration::MAX.saturating_sub(age)),
        })
    }

    /// Rank for eviction, the highest first: by kind (0: has been served, 1: has only sent messages, 2: has
    /// sent nothing), then by whether the client has had the time to read its answers, then by the time without
    /// an open call. `None`: the connection is not evicted.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<(u8, bool, Duration)> {
        let open = lock(&self.open);
        if open.closing || open.message_unread || self.link.is_closing() {
            return None;
        }
        let idle = now.saturating_duration_since(open.idle_since?);
        let has_read = self.idle_for(&open, now).is_some_and(|t| !t.is_zero());
        match (open.served, open.message_received) {
            (true, _) if open.partial > 0 => None,
            (true, _) => Some((0, has_read, idle)),
            (false, true) => Some((1, has_read, idle)),
            (false, false) => Some((2, has_read, idle)).filter(|_| idle >= NEW_CONNECTION_GRACE),
        }
        .filter(|_| self.link.is_delivered())
    }
}

impl Server {
    /// If connections that are not yet being closed use more than the account's limit, closes the one with
    /// the highest priority. The client that happens to exceed a limit is not necessarily the one at fault.
    fn close_over_limit(
        &self,
        account: &MemoryAccount,
        why: Reason,
        usage: impl Fn(&ClientConnection, Instant) -> Option<MemoryUsage>,
    ) {
        if !account.is_exceeded() {
            return;
        }
        let now = Instant::now();
        let clients = lock(&self.clients);
        let open = clients.values().filter(|c| !c.link.is_closing());
        let usages: Vec<_> = open.filter_map(|c| usage(c, now).map(|usage| (usage, c))).collect();
        // The memory of connections that are being closed is released shortly.
        if usages.iter().map(|(usage, _)| usage.memory).sum::<usize>() <= account.limit() {
            return;
        }
        if let Some((_, client)) = usages.iter().max_by_key(|(usage, _)| (usage.priority, usage.memory)) {
            client.link.close(why);
        }
    }

    /// If received bytes that are not handled use too much memory, closes the connection of an incomplete
    /// message.
    pub(super) fn limit_partial_messages(&self) {
        let usage = ClientConnection::partial_message_usage;
        self.close_over_limit(&self.memory.input, Reason::MemoryLimit, usage);
    }

    /// If unread answers exceed their limit, closes the connection whose client has read nothing for
    /// longest.
    pub(super) fn limit_unread_answers(&self) {
        self.close_over_limit(&self.memory.unread, Reason::SlowReader, ClientConnection::unread_answer_usage);
    }

    /// If a client that holds nothing waits for the memory of an answer, closes one connection that holds memory
    /// for no good reason, if there is one: first one with more unread answers than a client may have calls
    /// open, else the one whose client has read nothing for longest, provided that it has had the time to read.
    pub(super) fn close_memory_holder(&self, now: Instant) {
        if !self.memory.answers.has_starved_call() {
            return;
        }
        let clients = lock(&self.clients);
        let unwritten = || clients.values().filter(|c| !c.link.is_closing() && !c.link.is_drained());
        let excessive = unwritten().filter(|c| c.link.unwritten_messages() > MAX_OPEN_CALLS);
        let most_answers = excessive.max_by_key(|c| c.link.unwritten_messages());
        let stalled = unwritten().filter_map(|c| c.link.stalled_for(now).map(|time| (time, c)));
        let stalled = stalled.filter(|(time, _)| *time >= SHORT_MEMORY_UNREAD_TIMEOUT);
        let longest_stalled = stalled.max_by_key(|(time, _)| *time).map(|(_, client)| client);
        if let Some(client) = most_answers.or(longest_stalled) {
            client.link.close(Reason::SlowReader);
        }
    }

    /// Ensures that a connection that was just accepted is within the limit, if necessary by evicting
    /// another; returns whether it is. Protects new clients against those that called once and stay
    /// connected.
    pub(super) fn make_capacity(&self, front: &SharedState) -> bool {
        self.has_capacity() || self.evict(front)
    }

    /// Whether the connections that are not being closed are within the limit.
    pub(super) fn has_capacity(&self) -> bool {
        let connected =
            self.descriptors.load(Ordering::Relaxed).saturating_sub(self.closing.load(Ordering::Relaxed));
        connected <= self.budget.clients
    }

    /// Closes a connection that has not yet sent a whole message, however new it is, so that a client that has
    /// sent one is served: the oldest of those that have sent nothing, else the newest of those that have
    /// begun a message. Returns whether there was one.
    ///
    /// Clients that connect in great numbers and send nothing, or send slowly, would otherwise keep others out:
    /// each of their connections is safe for a while, and the next one takes its place.
    pub(super) fn evict_incomplete(&self, front: &SharedState) -> bool {
        let now = Instant::now();
        let evicted = {
            let clients = lock(&self.clients);
            let ranked = clients.values().filter_map(|c| c.incompleteness(now).map(|rank| (rank, c)));
            ranked.max_by_key(|(rank, _)| *rank).map(|(_, client)| client.clone())
        };
        if let Some(client) = &evicted {
            client.start_closing(front, Reason::TooMany);
        }
        evicted.is_some()
    }

    /// Closes the connection with the highest rank for eviction: one that never sent a message, else one
    /// that was never served, else the one that has been idle for longest. Returns whether there was one.
    pub(super) fn evict(&self, front: &SharedState) -> bool {
        let now = Instant::now();
        let evicted = {
            let clients = lock(&self.clients);
            let highest = clients.iter().filter_map(|(n, c)| c.eviction_rank(now).map(|s| (s, *n))).max();
            highest.and_then(|(_, number)| clients.get(&number).cloned())
        };
        match evicted {
            Some(client) => {
                client.start_closing(front, Reason::TooMany);
                true
            }
            None => false,
        }
    }
}
