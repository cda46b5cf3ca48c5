//! Decision logic of a request router for object caches: which cache node serves a request, and which source
//! a miss is filled from.
//!
//! The crate does no I/O. The caller passes [`Router::handle`] one [`Event`] at a time with the current time,
//! and executes the returned [`Action`]s in order before it passes the next event. The same settings, seed
//! and events always give the same actions.
//!
//! # The contract
//!
//! - Time is monotonic. If the caller's clock goes back, the router's clock stands still.
//! - The first event is a complete list ([`ListKind::Cached`] or [`ListKind::Full`]). Later events are passed
//!   in the order in which the caller observed them. A request that arrives while no cache is known is
//!   rejected.
//! - An action takes effect at the time of its event. For each [`Action::Forward`] the caller passes exactly
//!   one [`Event::Outcome`] with the number of the attempt, counted from 0 in each request. The caller
//!   enforces `until_ms` and reports [`Ending::TimedOut`].
//! - The caller sends the first [`Ending::Completed`] answer to the client without a further action.
//!   Otherwise each request ends with one [`Action::Reject`] or [`Action::Fail`], unless [`Event::Cancelled`]
//!   or an outcome with `over` came first. After that, the only action for the request may be the
//!   cancellation of an attempt.
//! - The caller answers each [`Action::Timer`] with one [`Event::Timer`]. Messages of [`Action::SendToPeer`]
//!   and [`Action::SendToAllPeers`] may be lost.
//! - The router never returns an attempt at a cache that is in another location, draining or removed. If
//!   [`Settings::parallel`] is false, it never returns a second attempt for a request while one is in flight.
//!
//! # Example
//!
//! ```
//! use fernslip::*;
//!
//! let settings = Settings {
//!     zones: vec!["hub".into(), "branch".into()],
//!     zone: 1,
//!     zone_routers: vec![0, 1],
//!     link_in_kb_per_s: vec![0.0, 0.0],
//!     kinds: 3,
//!     parent_kind: Some(1),
//!     origin_kind: Some(2),
//!     slot: 0,
//!     routers: 1,
//!     classes: vec![Class {
//!         name: "file".into(),
//!         objective_ms: 400.0,
//!         objective_stretch: 2.0,
//!         deadline_ms: 5000.0,
//!         priority_weight: 1.0,
//!         late_weight: 0.1,
//!         effect: Effect::Idempotent,
//!         scope: DedupScope::All,
//!         repeat_window_ms: 0.0,
//!         write: false,
//!         fresh_ms: 0.0,
//!         grace_ms: 0.0,
//!     }],
//!     direct_to_source: false,
//!     join_fills: true,
//!     neighbours: Neighbours::Location,
//!     detail_level: DetailLevel::All,
//!     stream_kb_per_s: 4000.0,
//!     max_attempts: 4,
//!     max_in_flight: 1000,
//!     parallel: false,
//!     cancel: true,
//!     peers: false,
//!     max_retry_after_ms: 1000.0,
//!     lists_on_request: false,
//!     tick_ms: 1.0,
//!     drain_grace_ms: 1000.0,
//!     slow_start_from: 0.2,
//!     slow_start_ms: 15_000.0,
//!     slow_start_multiple: 4.0,
//!     slow_start_window_ms: 1000.0,
//!     parent_slow_start_from: 0.1,
//!     parent_slow_start_ms: 20_000.0,
//!     parent_slow_start_multiple: 2.0,
//!     purge_slack_ms: 300.0,
//!     purge_done_ms: 6000.0,
//! };
//! let mut router = Router::new(settings, 42)?;
//! let mut actions = Vec::new();
//! let entry = |name: &str, zone, kind| Entry {
//!     cache: name.into(),
//!     weight: 10.0,
//!     zone: Some(zone),
//!     kind: Some(kind),
//!     cell: 0,
//!     started_ms: 0.0,
//!     phase: Phase::In,
//! };
//! let entries = vec![entry("10.0.0.1:80", 1, 0), entry("10.0.1.1:80", 0, 1), entry("10.0.1.2:80", 0, 2)];
//! router.handle(0.0, Event::Endpoints { kind: ListKind::Full, entries }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     object: ObjectId(7),
//!     part: 0,
//!     class: 0,
//!     size_kb: 200.0,
//!     budget_ms: 5000.0,
//!     group: 0,
//! };
//! router.handle(5.0, Event::Request(request), &mut actions);
//! match &actions[0] {
//!     Action::Forward { cache, source, .. } => {
//!         // The only cache of the location is the object's home.
//!         assert_eq!(&*cache.0, "10.0.0.1:80");
//!         // No filter shows the object, so it is filled from its first parent.
//!         assert_eq!(&*source.0, "10.0.1.1:80");
//!     }
//!     other => panic!("expected Action::Forward, got {other:?}"),
//! }
//! # Ok::<(), SettingsError>(())
//! ```

pub mod api;
mod bandwidth;
mod bootstrap;
pub mod facade;
mod fill_limiter;
pub mod filter;
mod in_flight;
pub mod json;
pub mod manual_exclusion;
mod message;
mod peers;
mod policy;
mod purges;
mod rejection_counts;
mod rendezvous;
mod slow_start;
mod source_throttle;
mod state;

pub use api::*;
pub use policy::{RetainedCounts, Router};
