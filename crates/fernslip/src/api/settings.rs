//! Settings: all that a router is given when it starts. Which values are possible is in `settings_check.rs`.

/// What a class allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and rejected freely.
    Idempotent,
    /// Repeats are dropped by a group of caches for a while.
    Deduplicated,
    /// May run once at most.
    AtMostOnce,
}

/// Which caches share the memory of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name; for the caller only.
    pub name: String,
    /// Latency objective: answers within this time, in milliseconds, earn the full priority weight.
    pub objective_ms: f64,
    /// The objective grows by this multiple of the request's own sending time.
    pub objective_stretch: f64,
    /// How long a client waits at most, over all its attempts, in milliseconds; above 0.
    pub deadline_ms: f64,
    /// What answering a request is worth beside other classes.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// What may be repeated.
    pub effect: Effect,
    /// Group that drops repeats, for [`Effect::Deduplicated`].
    pub scope: DedupScope,
    /// How long it drops them, in milliseconds from the send of the first attempt that may have run.
    pub repeat_window_ms: f64,
    /// Never cached: runs at the origin.
    pub write: bool,
    /// How long a copy is fresh, in milliseconds; 0: until purged.
    pub fresh_ms: f64,
    /// How long past fresh a copy may still be served, in milliseconds.
    pub grace_ms: f64,
}

/// Which caches may be named as the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Neighbours {
    /// No cache.
    None,
    /// Caches of the own location.
    Location,
    /// Any cache.
    Any,
}

/// How much an outcome's `detail` tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteLevel {
    /// Everything, failures included.
    All,
    /// Only how an answer came about.
    Hit,
    /// Nothing.
    None,
}

/// All that a router is given when it starts. Figures are finite and not negative unless said otherwise.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of the zones; locations and hubs.
    pub zones: Vec<String>,
    /// The zone of this router.
    pub zone: usize,
    /// By zone: how many routers serve it.
    pub zone_routers: Vec<u32>,
    /// By zone: what its link for fills carries, KB a second; 0: not known.
    pub link_in_kb_per_s: Vec<f64>,
    /// Number of node kinds.
    pub kinds: usize,
    /// The kind that parents are of, if there are any.
    pub parent_kind: Option<usize>,
    /// The kind that the origin is of.
    pub origin_kind: Option<usize>,
    /// Number of this router, from 0.
    pub slot: u32,
    /// How many routers there are.
    pub routers: u32,
    /// The classes, at least one; events name them by index.
    pub classes: Vec<Class>,
    /// Requests may go straight to a parent or the origin.
    pub straight: bool,
    /// A request may join a fill in flight (request coalescing).
    pub joins: bool,
    /// Caches that may be sources.
    pub neighbours: Neighbours,
    /// How much outcomes tell.
    pub notes: NoteLevel,
    /// Pace of one answer, KB a second, above 0; the unit of weights.
    pub stream_kb_per_s: f64,
    /// Attempts allowed for a request, at least one.
    pub max_attempts: u32,
    /// Requests in flight at the same time.
    pub max_in_flight: u32,
    /// Hedged requests: two attempts at once are allowed.
    pub parallel: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Messages to other routers are allowed.
    pub peers: bool,
    /// Longest Retry-After hint that clients honour, in milliseconds; 0: none do.
    pub max_retry_after_ms: f64,
    /// Endpoint lists come only on request.
    pub lists_on_request: bool,
    /// Least interval between two batches of events, in milliseconds.
    pub tick_ms: f64,
    /// Grace for sends to a draining cache, in milliseconds.
    pub drain_grace_ms: f64,
    /// Slow start: least share of its capacity with which a cache starts.
    pub slow_start_from: f64,
    /// Slow start: a cache is warm after this time, in milliseconds.
    pub slow_start_ms: f64,
    /// Slow start: multiple of its present capacity that a warming cache stands.
    pub slow_start_multiple: f64,
    /// Slow start: for how long it stands that, in milliseconds; a cache and a parent alike.
    pub slow_start_window_ms: f64,
    /// As `slow_start_from`, for a parent.
    pub parent_slow_start_from: f64,
    /// As `slow_start_ms`, for a parent.
    pub parent_slow_start_ms: f64,
    /// As `slow_start_multiple`, for a parent.
    pub parent_slow_start_multiple: f64,
    /// Grace for copies from before a purge, in milliseconds.
    pub purge_slack_ms: f64,
    /// After this long no older copy is left anywhere, in milliseconds.
    pub purge_done_ms: f64,
}
