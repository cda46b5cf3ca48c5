//! Intervals, limits and factors used by the engine of a view.

/// The number of other members that are asked for an indirect ping if a direct ping is unanswered.
pub(super) const INDIRECT_PING_HELPERS: usize = 3;
/// An update is sent this factor times the binary logarithm of the number of live members, and once more.
pub(super) const TRANSMISSION_FACTOR: f64 = 1.5;
/// The minimum interval between two computations of the rings, in milliseconds per member. In a fleet of a
/// thousand a computation takes one millisecond, and without this limit each of hundreds of newcomers would
/// cause one.
pub(super) const RING_REBUILD_MS_PER_MEMBER: f64 = 0.1;
/// If more updates than this are pending, each is sent only [`TRANSMISSIONS_UNDER_LOAD`] times.
pub(super) const MANY_UPDATES_THRESHOLD: usize = 64;
/// The number of times that each update is sent if more than [`MANY_UPDATES_THRESHOLD`] are pending.
pub(super) const TRANSMISSIONS_UNDER_LOAD: u32 = 4;
/// The interval between gossip rounds, in milliseconds, while there are updates or the view is not settled.
pub(super) const GOSSIP_INTERVAL_MS: f64 = 100.0;
/// A view that is still unsettled after this time, in milliseconds, is gossiped at the slow interval: an
/// unreachable member can keep a view unsettled for long.
pub(super) const SLOW_GOSSIP_AFTER_MS: f64 = 8_000.0;
/// The slow interval between gossip rounds, in milliseconds, used after [`SLOW_GOSSIP_AFTER_MS`].
pub(super) const SLOW_GOSSIP_INTERVAL_MS: f64 = 1_000.0;
/// The minimum interval between two comparisons of views, in milliseconds.
pub(super) const COMPARISON_INTERVAL_MS: f64 = 250.0;
/// The interval at which an admitted front polls failed fronts, unknown seeds, or a process under its own
/// name, in milliseconds.
pub(super) const POLL_INTERVAL_MS: f64 = 1_000.0;
/// The interval at which a front that is not admitted yet polls others, in milliseconds.
pub(super) const JOIN_INTERVAL_MS: f64 = 300.0;
/// The number of polls per second that one failed front receives from all fronts together; unlimited polls
/// would flood it when it returns.
pub(super) const FLEET_POLLS_PER_S: f64 = 3.0;
/// Departed fronts are remembered for this time, in milliseconds, so that late messages do not make them live
/// again.
pub(super) const RETENTION_MS: f64 = 900_000.0;
/// A front that received nothing for this time, in milliseconds, considers its view outdated and joins again:
/// the others may no longer remember which fronts have departed.
pub(super) const REJOIN_AFTER_MS: f64 = RETENTION_MS / 3.0;
/// An event that is handled later than due by more than this, in milliseconds, shows that this front did not
/// run.
pub(super) const LATE_TICK_MS: f64 = 500.0;
/// The interval at which expired entries are removed, in milliseconds.
pub(super) const EXPIRY_INTERVAL_MS: f64 = 1_000.0;
/// The maximum number of history entries retained for each front.
pub(super) const MAX_HISTORY_ENTRIES: usize = 8;
/// The maximum number of unanswered pings that this front sent on behalf of others.
pub(super) const MAX_FORWARDED_PINGS: usize = 256;
/// The time for which a ping sent on behalf of another front is remembered, in milliseconds.
pub(super) const FORWARDED_PING_LIFETIME_MS: f64 = 5_000.0;
/// The assumed maximum size of a message without its items, its holder bits and its tag, in bytes.
pub(super) const HEADER_BYTES: usize = 48;
/// The maximum number of datagrams that one send to a front may take.
pub(super) const MAX_DATAGRAMS_PER_SEND: usize = 4;
/// The maximum number of facts that one message requests, or of facts about other fronts in an answer.
pub(super) const MAX_REQUESTED_FACTS: usize = 48;
/// The number of random members that each gossip round sends to.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// The time for which a failure is deferred that is unconfirmed or reported by a recently returned front, in
/// milliseconds. When a partition heals, each half lists the members of the other as failed; those members
/// refute it within this time.
pub(super) const REFUTATION_WAIT_MS: f64 = 1_000.0;
/// The interval at which a front is notified of its own failure report while that report is deferred, in
/// milliseconds.
pub(super) const NOTIFICATION_INTERVAL_MS: f64 = 200.0;
/// A front that became live again after a departure counts as recently returned for this time, in
/// milliseconds.
pub(super) const RECENTLY_RETURNED_MS: f64 = 5_000.0;
/// For this time after a failure that not all watchers could confirm, in milliseconds, no failure counts as
/// confirmed.
pub(super) const UNCONFIRMED_PERIOD_MS: f64 = 15_000.0;
/// The minimum interval between two reports of the same duplicate name, in milliseconds.
pub(super) const DUPLICATE_REPORT_INTERVAL_MS: f64 = 30_000.0;
/// A duplicate process that was not noticed for this time, in milliseconds, is considered ended.
pub(super) const DUPLICATE_LIFETIME_MS: f64 = 5_000.0;
/// A front that received nothing for this time, in milliseconds, may be cut off, and its view does not count
/// as settled.
pub(super) const CUT_OFF_AFTER_MS: f64 = 3_000.0;
/// The number of members to which a front announces its own departure.
pub(super) const DEPARTURE_FANOUT: usize = 8;
/// The number of random members named to a newcomer, so that not all newcomers rely on the seeds.
pub(super) const INTRODUCED_MEMBERS: usize = 8;
/// The maximum number of known members that a front adds to its seeds when it joins again.
pub(super) const MAX_REJOIN_PEERS: usize = 64;
/// The maximum number of seeds after a front added known members to join again.
pub(super) const MAX_REJOIN_SEEDS: usize = 256;
