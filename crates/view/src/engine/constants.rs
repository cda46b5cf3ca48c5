//! Intervals, limits and factors of the engine.

/// Other members asked for an indirect ping where a direct one has no answer.
pub(super) const INDIRECT_PINGS: usize = 3;
/// An update is sent this many times the binary logarithm of the fleet's size, and once more.
pub(super) const RETRANSMIT_FACTOR: f64 = 1.5;
/// Rings are redrawn no more often than once in this many milliseconds for each member: in a fleet of a thousand a redraw
/// takes one millisecond, and each of hundreds of newcomers would cause one.
pub(super) const RING_REDRAW_MS_PER_MEMBER: f64 = 0.1;
/// More pending updates than this are many.
pub(super) const MANY_UPDATES: usize = 64;
/// How often each of many updates is sent.
pub(super) const RETRANSMITS_OF_MANY: u32 = 4;
/// Interval of gossip rounds, in milliseconds, while there are updates or the view is not settled.
pub(super) const GOSSIP_INTERVAL_MS: f64 = 100.0;
/// A view that is not settled after this long, in milliseconds, is gossiped slowly: a member that is cut off keeps it so.
pub(super) const SLOW_GOSSIP_AFTER_MS: f64 = 8_000.0;
/// Interval of gossip rounds then, in milliseconds.
pub(super) const SLOW_GOSSIP_INTERVAL_MS: f64 = 1_000.0;
/// Least interval between two comparisons of views, in milliseconds.
pub(super) const COMPARISON_INTERVAL_MS: f64 = 250.0;
/// Interval of polls of a failed front, of a seed that is not known, or of a process under this front's name, in
/// milliseconds.
pub(super) const POLL_INTERVAL_MS: f64 = 1_000.0;
/// Interval of a newcomer's polls, in milliseconds.
pub(super) const JOIN_INTERVAL_MS: f64 = 300.0;
/// Polls of one failed front by all fronts together, per second: it must not be polled by all when it returns.
pub(super) const FLEET_POLLS_PER_S: f64 = 3.0;
/// Departed fronts are remembered for this long, in milliseconds, so that late messages don't bring them back.
pub(super) const RETENTION_MS: f64 = 900_000.0;
/// A front that received nothing for this long, in milliseconds, takes its view for out of date and joins anew: others may
/// no longer remember who has departed.
pub(super) const REJOIN_AFTER_MS: f64 = RETENTION_MS / 3.0;
/// A tick that is late by more than this, in milliseconds, shows that this front did not run.
pub(super) const LATE_TICK_MS: f64 = 500.0;
/// Interval of the expiry of old entries, in milliseconds.
pub(super) const EXPIRY_INTERVAL_MS: f64 = 1_000.0;
/// History entries retained for each front.
pub(super) const HISTORY_LENGTH: usize = 8;
/// Most pings made for others whose answers are outstanding.
pub(super) const MAX_FORWARDED_PINGS: usize = 256;
/// How long such a ping is remembered, in milliseconds.
pub(super) const FORWARDED_PING_LIFETIME_MS: f64 = 5_000.0;
/// Bytes of a message without its items and the bits of its holders.
pub(super) const HEADER_BYTES: usize = 48;
/// Most datagrams sent at once to one front.
pub(super) const MAX_DATAGRAMS_PER_SEND: usize = 4;
/// Most facts requested at once.
pub(super) const MAX_REQUESTED_FACTS: usize = 48;
/// Members that a gossip round goes to.
pub(super) const FANOUT: usize = 3;
/// How long a failure reported by a recently returned front is deferred, in milliseconds: one half of a partition that heals
/// holds all of the other half for failed, and those answer within this time.
pub(super) const ANSWER_WAIT_MS: f64 = 1_000.0;
/// Interval at which the front concerned is notified meanwhile, in milliseconds.
pub(super) const NOTIFICATION_INTERVAL_MS: f64 = 200.0;
/// A front that was departed and has been live again for less than this, in milliseconds, returned recently.
pub(super) const RECENTLY_RETURNED_MS: f64 = 5_000.0;
/// For this long after a failure that not all watchers could confirm, in milliseconds, no failure is confirmed.
pub(super) const UNCONFIRMED_PERIOD_MS: f64 = 15_000.0;
/// Interval of reports of a duplicate name, in milliseconds.
pub(super) const DUPLICATE_REPORT_INTERVAL_MS: f64 = 30_000.0;
/// A process under this front's name from which nothing was received for this long, in milliseconds, has ended.
pub(super) const DUPLICATE_LIFETIME_MS: f64 = 5_000.0;
/// A front that received nothing for this long, in milliseconds, may be cut off: its view does not count as settled.
pub(super) const CUT_OFF_AFTER_MS: f64 = 3_000.0;
/// Members that a front's own departure is announced to.
pub(super) const DEPARTURE_FANOUT: usize = 8;
/// Other members named to a newcomer, so that not all newcomers turn to the seeds.
pub(super) const INTRODUCED_MEMBERS: usize = 8;
/// Known members that a front adds to its seeds when it joins anew.
pub(super) const MAX_REJOIN_PEERS: usize = 64;
/// Most seeds then.
pub(super) const MAX_REJOIN_SEEDS: usize = 256;
