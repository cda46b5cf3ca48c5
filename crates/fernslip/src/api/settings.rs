//! Settings that a router is created with. `settings_check.rs` defines the valid values.

/// Whether and how the requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Requests may be repeated and rejected without restriction.
    Idempotent,
    /// A group of caches drops repeats of a request for [`Class::repeat_window_ms`].
    Deduplicated,
    /// A request may run at most once.
    AtMostOnce,
}

/// The group of caches that share their record of requests already run, and so drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All caches.
    All,
    /// The caches of one zone.
    Zone,
    /// The caches of one cell, which is a group of nodes given by [`crate::Entry::cell`].
    Cell,
}

/// A class of requests, with its latency objective and its rules for repeats.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class, for the caller. The router does not use it.
    pub name: String,
    /// Latency objective in milliseconds: an answer within this time earns the full priority weight.
    pub objective_ms: f64,
    /// Addition to the objective, as a multiple of the time that sending the answer takes at the full rate.
    pub objective_stretch: f64,
    /// Longest time that a client waits for its answer, over all attempts, in milliseconds. Above 0.
    pub deadline_ms: f64,
    /// Priority weight: value of an answer to this class relative to the other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// Whether and how requests may be repeated.
    pub effect: Effect,
    /// Group of caches that drops repeats, for [`Effect::Deduplicated`].
    pub scope: DedupScope,
    /// How long the caches of the `scope` drop repeats, in milliseconds from the send of the first attempt
    /// that may have run.
    pub repeat_window_ms: f64,
    /// Whether requests are writes, which run at the origin and are never cached.
    pub write: bool,
    /// How long a copy is fresh, in milliseconds; 0: until it is purged.
    pub fresh_ms: f64,
    /// How long a copy may still be served after it is no longer fresh, in milliseconds.
    pub grace_ms: f64,
}

/// Which caches may be the source of a fill at another cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Neighbours {
    /// No cache may be a source.
    None,
    /// Caches of the router's own location may be sources.
    Location,
    /// Any cache may be a source.
    Any,
}

/// Which outcomes give a [`crate::Outcome::detail`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetailLevel {
    /// All outcomes, including failures.
    All,
    /// Only served requests: whether the answer was a hit or a fill.
    Hit,
    /// No outcomes.
    None,
}

/// Configuration of a router. Numbers are finite and not negative unless the field says otherwise.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of the zones, which are locations and hubs.
    pub zones: Vec<String>,
    /// Index of this router's zone in `zones`.
    pub zone: usize,
    /// Number of routers that serve each zone, in the order of `zones`.
    pub zone_routers: Vec<u32>,
    /// Capacity of each zone's link for fills, in KB/s, in the order of `zones`; 0: unknown.
    pub link_in_kb_per_s: Vec<f64>,
    /// Number of kinds of nodes. Entries of the endpoint list name a kind by its index.
    pub kinds: usize,
    /// Kind of the parents; `None`: the deployment has no parents.
    pub parent_kind: Option<usize>,
    /// Kind of the origin; `None`: the deployment has no origin.
    pub origin_kind: Option<usize>,
    /// Number of this router, from 0 to `routers - 1`.
    pub slot: u32,
    /// Number of routers in the deployment.
    pub routers: u32,
    /// The request classes, at least one. Events name a class by its index.
    pub classes: Vec<Class>,
    /// Whether requests may be sent directly to a parent or the origin.
    pub direct_to_source: bool,
    /// Whether a request may join a fill in flight (request coalescing).
    pub join_fills: bool,
    /// Which caches may be the source of a fill at another cache.
    pub neighbours: Neighbours,
    /// Which outcomes give a [`crate::Outcome::detail`].
    pub detail_level: DetailLevel,
    /// Full rate of one transfer, in KB/s. Above 0. The weights of the endpoint list count transfers at this
    /// rate.
    pub stream_kb_per_s: f64,
    /// Highest number of attempts for a request. At least 1.
    pub max_attempts: u32,
    /// Highest number of requests in flight at the same time. Further ones are rejected.
    pub max_in_flight: u32,
    /// Whether a request may have two attempts in flight at once (hedged requests).
    pub parallel: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether messages to other routers are allowed.
    pub peers: bool,
    /// Longest Retry-After hint that clients honour, in milliseconds; 0: clients honour none.
    pub max_retry_after_ms: f64,
    /// Whether endpoint lists arrive only on request.
    pub lists_on_request: bool,
    /// Shortest interval between two batches of events, in milliseconds.
    pub tick_ms: f64,
    /// Time after a cache begins to drain in which an attempt may still begin there, in milliseconds.
    pub drain_grace_ms: f64,
    /// Slow start: lowest fraction of its full capacity that a cache has when it starts.
    pub slow_start_from: f64,
    /// Slow start: time after which a cache has its full capacity, in milliseconds.
    pub slow_start_ms: f64,
    /// Slow start: load that a cache that is warming up can bear, as a multiple of its present capacity.
    pub slow_start_multiple: f64,
    /// Slow start: how long a cache or a parent can bear the load given by its slow-start multiple, in
    /// milliseconds.
    pub slow_start_window_ms: f64,
    /// Slow start of parents: lowest fraction of its full capacity that a parent has when it starts.
    pub parent_slow_start_from: f64,
    /// Slow start of parents: time after which a parent has its full capacity, in milliseconds.
    pub parent_slow_start_ms: f64,
    /// Slow start of parents: load that a parent that is warming up can bear, as a multiple of its present
    /// capacity.
    pub parent_slow_start_multiple: f64,
    /// Time after a purge in which copies from before it may still be served, in milliseconds.
    pub purge_slack_ms: f64,
    /// Time after a purge from which no copy from before it is left on any node, in milliseconds.
    pub purge_done_ms: f64,
}
