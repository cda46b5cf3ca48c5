//! fernslip decides, for a router, where objects are served, cached and filled from.
//!
//! It does no input or output. A router hands [`Router::handle`] one [`Event`] at a time, with its clock, and carries
//! out the [`Action`]s that come back, in their order and before the next event. Equal settings, seed and events give
//! equal actions.
//!
//! # The contract
//!
//! - Time never runs back; a clock that does is taken to stand still.
//! - The first event is a complete list ([`ListKind::Cached`] or [`ListKind::Full`]); each later event comes in the
//!   order in which the router saw it. A request that comes while no cache is known is rejected.
//! - An action takes effect at the time of its event. Each [`Action::Forward`] is answered by exactly one
//!   [`Event::Outcome`] that carries the number of the attempt, counted from 0 in each request. The router enforces
//!   `until_ms` and reports [`Ending::TimedOut`].
//! - The first [`Ending::Completed`] reaches the client by itself. Otherwise the router ends each request by one
//!   [`Action::Reject`] or [`Action::Fail`], unless [`Event::Cancelled`] or an outcome with `over` came first; it
//!   sends nothing more for it then, though it may still cancel an attempt.
//! - Each [`Action::Timer`] comes back as one [`Event::Timer`]. [`Action::SendToPeer`] and [`Action::SendToAllPeers`] may be lost.
//! - Never returned: an attempt at a cache of another location, at one that drains or is removed, or, where
//!   [`Settings::parallel`] is false, a second attempt while one is out.
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
//!     straight: false,
//!     joins: true,
//!     neighbours: Neighbours::Location,
//!     notes: NoteLevel::All,
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
//!         assert_eq!(&*cache.0, "10.0.0.1:80"); // home: the only cache of the location
//!         assert_eq!(&*source.0, "10.0.1.1:80"); // no filter shows the object: its first parent
//!     }
//!     other => panic!("{other:?}"),
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
pub use policy::{Retained, Router};
