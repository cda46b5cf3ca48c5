//! What stands between a request and the decision module: which pool it belongs to, whether the pool has capacity,
//! and which of its endpoints (cache nodes) the module may pick from.
//!
//! [`Routes`] sends a host and a path to a pool, in the order of Apache or of mod_jk. [`Pool`] is one pool's state: it
//! takes an [`Event`] and the time and returns [`Action`]s. There are no sockets, threads or clocks in here; equal
//! inputs give equal outputs.
//!
//! # The contract
//!
//! - Times are milliseconds on the caller's one clock, which never runs back.
//! - A request that arrives ([`Event::Arrived`]) is admitted ([`Action::Admit`]) or rejected ([`Action::Reject`]) by
//!   exactly one action (unless it finished first), and if it was admitted it is [`Event::Finished`] in the end.
//! - Each attempt of an admitted request is one [`Event::AttemptSent`] and one [`Event::AttemptEnded`]. The caller
//!   sends only to endpoints whose last [`Endpoint::phase`] is [`Phase::Serving`], and reports each send before it
//!   takes the next step: then limits hold exactly, and an ejected endpoint gets one half-open probe at a time.
//! - Before a retry [`Event::RetryRequested`] is handled; [`Action::Retry`] or [`Action::RetryDenied`] answers.
//! - An endpoint whose administrative state is draining or stopped is never published as [`Phase::Serving`], from the
//!   very event on that brings the state: not by recovery, not as a stand-in, not by a half-open probe.
//! - [`Pool::wake_at`] tells when the next [`Event::Tick`] is due; one that comes early does no harm.
//!
//! ```
//! use fernslip_pool::{Action, AttemptOutcome, Event, Phase, Pool, Spec};
//! use fernslip_site::Site;
//!
//! let text = r#"
//! member "a" address="127.0.0.1:1"
//! member "b" address="127.0.0.1:2" state="draining"
//! pool "docs" { use "a"; use "b"; limits in-flight=1 wait-ms=50; }
//! "#;
//! let site = Site::parse("site.kdl", text)?.site;
//! let mut pool = Pool::new(Spec::of(&site, &site.pools[0]), 7);
//! let mut actions = Vec::new();
//! pool.handle(0.0, Event::Tick, &mut actions);
//! let Action::Endpoints(endpoints) = &actions[0] else { panic!() };
//! assert_eq!(endpoints.iter().map(|e| e.phase).collect::<Vec<_>>(), [Phase::Serving, Phase::Draining]);
//!
//! actions.clear();
//! pool.handle(1.0, Event::Arrived { request: 1, wait_until_ms: 1000.0 }, &mut actions);
//! pool.handle(1.0, Event::Arrived { request: 2, wait_until_ms: 1000.0 }, &mut actions);
//! assert_eq!(actions, [Action::Admit { request: 1 }]); // the second waits for capacity
//! actions.clear();
//! pool.handle(20.0, Event::Finished { request: 1 }, &mut actions);
//! assert_eq!(actions, [Action::Admit { request: 2 }]);
//! # Ok::<(), fernslip_site::SiteError>(())
//! ```

mod health;
mod message;
mod pool;
mod queue;
mod route;
mod select;
mod spec;

pub use health::AttemptOutcome;
pub use message::{Action, Counts, Endpoint, Event, Notified, Phase, RejectReason};
pub use pool::{Occupancy, Pool};
pub use route::{Routed, Routes};
pub use spec::{MemberSpec, Spec};
