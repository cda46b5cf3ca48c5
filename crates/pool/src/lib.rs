//! The steps before the decision module: to which pool a request belongs, whether the pool has capacity for
//! it, and which of the pool's endpoints (cache nodes) the module may pick from.
//!
//! [`Routes`] maps a host and a path to a pool, with the rule order of Apache httpd or of mod_jk. [`Pool`] is
//! the state of one pool: it takes an [`Event`] and the time and returns [`Action`]s. The crate uses no
//! sockets, threads or clocks; equal inputs give equal outputs.
//!
//! # The contract
//!
//! - All times are milliseconds on one clock of the caller, which never runs backwards.
//! - A request that arrives ([`Event::Arrived`]) is admitted ([`Action::Admit`]) or rejected
//!   ([`Action::Reject`]) by exactly one action, unless it finishes first. The caller reports the end of an
//!   admitted request by [`Event::Finished`].
//! - The caller reports each attempt of an admitted request by one [`Event::AttemptSent`] and one
//!   [`Event::AttemptEnded`]. It sends only to endpoints whose last [`Endpoint::phase`] is
//!   [`Phase::Serving`], and reports each send before its next step: then limits hold exactly, and an ejected
//!   endpoint gets one half-open probe at a time.
//! - Before a retry the caller sends [`Event::RetryRequested`]; the pool answers with [`Action::Retry`] or
//!   [`Action::RetryDenied`].
//! - An endpoint whose administrative state is draining or stopped is not published as [`Phase::Serving`]
//!   once the event that sets this state was handled: not after recovery, not as a replacement and not for a
//!   half-open probe.
//! - [`Pool::next_tick_ms`] returns when the next [`Event::Tick`] is due; an earlier one is harmless.
//!
//! ```
//! use fernslip_pool::{Action, AttemptOutcome, Event, Phase, Pool, PoolSpec};
//! use fernslip_site::Site;
//!
//! let text = r#"
//! member "a" address="127.0.0.1:1"
//! member "b" address="127.0.0.1:2" state="draining"
//! pool "docs" { use "a"; use "b"; limits in-flight=1 wait-ms=50; }
//! "#;
//! let site = Site::parse("site.kdl", text)?.site;
//! let mut pool = Pool::new(PoolSpec::for_pool(&site, &site.pools[0]), 7);
//! let mut actions = Vec::new();
//! pool.handle(0.0, Event::Tick, &mut actions);
//! let Action::Endpoints(endpoints) = &actions[0] else { panic!("the first event publishes all members") };
//! assert_eq!(endpoints.iter().map(|e| e.phase).collect::<Vec<_>>(), [Phase::Serving, Phase::Draining]);
//!
//! actions.clear();
//! pool.handle(1.0, Event::Arrived { request: 1, wait_until_ms: 1000.0 }, &mut actions);
//! pool.handle(1.0, Event::Arrived { request: 2, wait_until_ms: 1000.0 }, &mut actions);
//! assert_eq!(actions, [Action::Admit { request: 1 }]); // request 2 waits for capacity
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
pub use message::{Action, Endpoint, Event, ListedState, Phase, PoolCounts, RejectReason};
pub use pool::{Occupancy, Pool};
pub use route::{RouteDecision, Routes};
pub use spec::{MemberSpec, PoolSpec};
