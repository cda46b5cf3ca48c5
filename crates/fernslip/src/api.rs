//! The interface between a router and the decision module: settings, events, actions.
//!
//! Times are milliseconds as `f64` on the caller's one clock, which never runs back.

use std::fmt;
use std::sync::Arc;

/// A cache, parent or origin, by the address that the discovery list gives it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheId(pub Arc<str>);

impl From<&str> for CacheId {
    fn from(s: &str) -> Self {
        CacheId(Arc::from(s))
    }
}

/// One try of a client; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An object with all its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);

/// What a class allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and refused freely.
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
    /// Answers within this time earn the full worth.
    pub objective_ms: f64,
    /// The aim grows by this multiple of the request's own sending time.
    pub objective_stretch: f64,
    /// How long a client waits at most, over all its tries.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// What may be repeated.
    pub effect: Effect,
    /// Group that drops repeats, for [`Effect::Deduplicated`].
    pub scope: DedupScope,
    /// How long it drops them, from the send of the first attempt that may have run.
    pub repeat_window_ms: f64,
    /// Never kept: runs at the origin.
    pub write: bool,
    /// How long a copy is fresh; 0: until purged.
    pub fresh_ms: f64,
    /// How long past fresh a copy may still be served.
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

/// All that a router is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of the zones; locations and hubs.
    pub zones: Vec<String>,
    /// The zone of this router.
    pub zone: usize,
    /// By zone: how many routers serve it.
    pub zone_routers: Vec<u32>,
    /// By zone: what its link for fills carries, KB a second; 0: not told.
    pub link_in_kb_per_s: Vec<f64>,
    /// Number of machine kinds.
    pub kinds: usize,
    /// The kind that parents are of, if there are any.
    pub parent_kind: Option<usize>,
    /// The kind that the origin is of.
    pub origin_kind: Option<usize>,
    /// Number of this router, from 0.
    pub slot: u32,
    /// How many routers there are.
    pub routers: u32,
    /// The classes; events name them by index.
    pub classes: Vec<Class>,
    /// Requests may go straight to a parent or the origin.
    pub straight: bool,
    /// A fill may be joined.
    pub joins: bool,
    /// Caches that may be sources.
    pub neighbours: Neighbours,
    /// How much outcomes tell.
    pub notes: NoteLevel,
    /// Pace of one answer, KB a second; the unit of weights.
    pub stream_kb_per_s: f64,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Requests held at the same time.
    pub max_in_flight: u32,
    /// Two attempts at once are allowed.
    pub parallel: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Messages to other routers are allowed.
    pub peers: bool,
    /// Longest retry-after hint that clients honour; 0: none do.
    pub max_retry_after_ms: f64,
    /// Lists must be asked for.
    pub lists_on_request: bool,
    /// Least interval between two batches of events.
    pub tick_ms: f64,
    /// Grace for sends to a draining cache.
    pub drain_grace_ms: f64,
    /// Least share of its capacity with which a cache starts.
    pub slow_start_from: f64,
    /// A cache is warm after this time.
    pub slow_start_ms: f64,
    /// Multiple of its present capacity that a cold cache stands.
    pub slow_start_multiple: f64,
    /// For how long it stands it, a cache and a parent alike.
    pub slow_start_window_ms: f64,
    /// As `slow_start_from`, for a parent.
    pub parent_slow_start_from: f64,
    /// As `slow_start_ms`, for a parent.
    pub parent_slow_start_ms: f64,
    /// As `slow_start_multiple`, for a parent.
    pub parent_slow_start_multiple: f64,
    /// Grace for copies from before a purge.
    pub purge_slack_ms: f64,
    /// After this long no older copy is left anywhere.
    pub purge_done_ms: f64,
}

/// A setting that cannot be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as named in [`Settings`] or, below `classes[i].`, in [`Class`].
    pub field: String,
    /// What is wrong with it.
    pub why: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.why)
    }
}

impl std::error::Error for SettingsError {}

/// Rejects a setting: the field as named in [`Settings`] (or below `classes[i].`), and what is wrong with it.
fn rejected(field: &str, why: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { field: field.to_string(), why })
}

/// Rejects a figure that is negative, infinite or not a number.
fn check_non_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if !(value.is_finite() && value >= 0.0) {
        return rejected(field, "negative or not a number");
    }
    Ok(())
}

impl Settings {
    /// Tells the first field that is impossible, if any.
    ///
    /// The parts are checked in this order, and within each part field by field: zones, kinds, routers,
    /// attempts and streams, durations and slow start, classes.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_zones()?;
        self.check_kinds()?;
        self.check_routers()?;
        self.check_attempts_and_streams()?;
        self.check_durations()?;
        self.check_classes()
    }

    /// The own zone exists, and each per-zone list has one value for each zone.
    fn check_zones(&self) -> Result<(), SettingsError> {
        if self.zone >= self.zones.len() {
            return rejected("zone", "no such zone");
        }
        for (name, len) in
            [("zone_routers", self.zone_routers.len()), ("link_in_kb_per_s", self.link_in_kb_per_s.len())]
        {
            if len != self.zones.len() {
                return rejected(name, "needs one value for each zone");
            }
        }
        if self.link_in_kb_per_s.iter().any(|v| !(v.is_finite() && *v >= 0.0)) {
            return rejected("link_in_kb_per_s", "negative or not a number");
        }
        Ok(())
    }

    /// The parent and origin kinds are among the kinds.
    fn check_kinds(&self) -> Result<(), SettingsError> {
        for (name, kind) in [("parent_kind", self.parent_kind), ("origin_kind", self.origin_kind)] {
            if kind.is_some_and(|k| k >= self.kinds) {
                return rejected(name, "no such kind");
            }
        }
        Ok(())
    }

    /// This router's slot is among the routers.
    fn check_routers(&self) -> Result<(), SettingsError> {
        if self.routers == 0 || self.slot >= self.routers {
            return rejected("slot", "not among the routers");
        }
        Ok(())
    }

    /// At least one attempt is allowed, and streams have a rate above 0.
    fn check_attempts_and_streams(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return rejected("max_attempts", "no attempt is allowed");
        }
        if !(self.stream_kb_per_s.is_finite() && self.stream_kb_per_s > 0.0) {
            return rejected("stream_kb_per_s", "must be above 0");
        }
        Ok(())
    }

    /// Durations, slow-start figures and purge times are finite and not negative.
    fn check_durations(&self) -> Result<(), SettingsError> {
        for (name, value) in [
            ("max_retry_after_ms", self.max_retry_after_ms),
            ("tick_ms", self.tick_ms),
            ("drain_grace_ms", self.drain_grace_ms),
            ("cold_from", self.slow_start_from),
            ("cold_ms", self.slow_start_ms),
            ("cold_multiple", self.slow_start_multiple),
            ("cold_window_ms", self.slow_start_window_ms),
            ("parent_cold_from", self.parent_slow_start_from),
            ("parent_cold_ms", self.parent_slow_start_ms),
            ("parent_cold_multiple", self.parent_slow_start_multiple),
            ("purge_slack_ms", self.purge_slack_ms),
            ("purge_done_ms", self.purge_done_ms),
        ] {
            check_non_negative(name, value)?;
        }
        Ok(())
    }

    /// There is at least one class, and each class is sound.
    fn check_classes(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return rejected("classes", "no class");
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        Ok(())
    }
}

impl Class {
    /// The class at `index` of [`Settings::classes`] has a deadline above 0 and no negative figure.
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        let name = |field: &str| format!("classes[{index}].{field}");
        if !(self.deadline_ms.is_finite() && self.deadline_ms > 0.0) {
            return rejected(&name("deadline_ms"), "must be above 0");
        }
        for (field, value) in [
            ("aim_ms", self.objective_ms),
            ("aim_stretch", self.objective_stretch),
            ("worth", self.priority_weight),
            ("late_worth", self.late_weight),
            ("repeat_window_ms", self.repeat_window_ms),
            ("fresh_ms", self.fresh_ms),
            ("grace_ms", self.grace_ms),
        ] {
            check_non_negative(&name(field), value)?;
        }
        Ok(())
    }
}

/// State of a list entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// In service.
    #[default]
    In,
    /// Draining: nothing new.
    Draining,
    /// Removed.
    Out,
}

/// One line of the discovery list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Which cache.
    pub cache: CacheId,
    /// Its link, in answers at full pace; compared with the others'.
    pub weight: f64,
    /// Its zone; `None` where the settings do not know it.
    pub zone: Option<usize>,
    /// Its kind.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: i64,
    /// When it last started; 0: long ago.
    pub born_ms: f64,
    /// Its state.
    pub phase: Phase,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held, perhaps old.
    Cached,
    /// Asking failed; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Completed,
    /// An error; it may have run.
    Errored,
    /// Turned away unseen, or its source refused or was not reached.
    Saturated,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectionRefused,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// The machine says that the request is over: its client has left, its time has expired, or it had all its attempts.
    /// It never ran, and no further attempt will.
    Superseded,
    /// The front took it back before its first byte: its node or source drains, or its connection ended or never was. It
    /// may go elsewhere.
    Retracted,
    /// Nothing suitable is held there.
    LookupMiss,
}

impl Ending {
    /// The name in log lines, which is stable: it is the one that operators' searches and alerts know.
    fn log_name(self) -> &'static str {
        match self {
            Ending::Completed => "Completed",
            Ending::Errored => "Errored",
            Ending::Saturated => "Saturated",
            Ending::TimedOut => "Overdue",
            Ending::ConnectionRefused => "RefusedConn",
            Ending::ConnectionLost => "Severed",
            Ending::Cancelled => "Recalled",
            Ending::Superseded => "Superseded",
            Ending::Retracted => "Retracted",
            Ending::LookupMiss => "LookupMiss",
        }
    }

    /// Whether it proves that the request never ran.
    pub fn never_ran(self) -> bool {
        self.never_sent()
            || matches!(self, Ending::Saturated | Ending::ConnectionRefused | Ending::LookupMiss)
    }

    /// Whether no machine has had anything to do with it, nor is one to blame.
    pub fn never_sent(self) -> bool {
        matches!(self, Ending::Superseded | Ending::Retracted)
    }
}

impl fmt::Debug for Ending {
    /// Log lines print an ending in this form, so it gives [`Ending::log_name`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.log_name())
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The object it names.
    pub object: ObjectId,
    /// The part of it.
    pub part: u32,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Size of the part in KB; 0: not told.
    pub size_kb: f64,
    /// Time until the client gives this try up.
    pub budget_ms: f64,
    /// Purge group of the object.
    pub group: u64,
}

/// How an attempt ended, in full.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, in the order sent, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub cache: CacheId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent.
    pub elapsed_ms: f64,
    /// The request has finished.
    pub over: bool,
    /// How it was filled or why not; 0: not told.
    pub detail: u8,
    /// Time to the source's first byte or failure, where told.
    pub fill_wait_ms: f64,
    /// Requests of all routers that the cache holds, as its answer reports; late and not exact.
    pub reported_in_flight: Option<f64>,
}

/// What a router tells the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the caches.
    Endpoints {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client asks.
    Request(Request),
    /// A streamed answer has begun: the attempt belongs to the client now.
    Opened {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client left, or the answer is too late: nothing is owed.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// A timer fell due.
    Timer {
        /// The value given when it was set.
        token: u64,
    },
    /// A probe ended; the module sends none and ignores it.
    HealthChecked {
        /// The cache.
        cache: CacheId,
        /// How it ended.
        ending: Ending,
    },
    /// A message of another router.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// The bytes.
        data: Vec<u8>,
    },
    /// What other routers' words on a machine amount to now.
    PeerSuspicion {
        /// The machine.
        cache: CacheId,
        /// From -1 (well) to 1 (failing); 0: nothing is said.
        amount: f64,
    },
    /// An object, or a whole group, was purged.
    Purged {
        /// The object; `None`: all of the group.
        object: Option<ObjectId>,
        /// The group.
        group: u64,
        /// How long ago.
        age_ms: f64,
    },
}

/// What a router's own answers show of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It refuses, breaks or answers with errors.
    Failing,
    /// It says nothing.
    Silent,
    /// It answers, far slower than its fellows.
    Crawling,
    /// It answers as it should, after something spoke against it.
    Well,
}

/// What the router is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt, filling a miss from `source`.
    Forward {
        /// The request.
        id: RequestId,
        /// Where it goes.
        cache: CacheId,
        /// Where a miss is filled from; the cache itself: nowhere.
        source: CacheId,
        /// Clock time at which the attempt is given up.
        until_ms: f64,
        /// Clock time by which its first byte is written, or it is not made: after it a repeat would run anew. Infinite
        /// for all that may begin at any time.
        begin_by_ms: f64,
        /// 0: pass through; 1 to 3: keep at that rank.
        rank: u8,
        /// Oldest copy that will do; 0: the class's fresh time.
        age_ms: f64,
        /// Join a fill under way, if what it brings is young enough for `age_ms`.
        join: bool,
        /// Renew an ageing copy behind the answer.
        renew: bool,
    },
    /// Call an attempt off; its outcome still comes.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back; 0: no advice.
        retry_after_ms: f64,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Send an [`Event::Timer`] after `delay_ms`.
    Timer {
        /// From now.
        delay_ms: f64,
        /// Comes back with the event.
        token: u64,
    },
    /// Send at most 256 bytes to one router.
    SendToPeer {
        /// Its number.
        to: u32,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Send at most 256 bytes to every other router.
    SendToAllPeers {
        /// The bytes.
        data: Vec<u8>,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// A line for the operators.
    Log(String),
    /// What this router's own answers show, for the others; only after [`crate::Router::enable_evidence`].
    Evidence {
        /// Of which machine.
        cache: CacheId,
        /// What.
        sign: Sign,
        /// How sure, from 0 to 1.
        strength: f64,
    },
}
