//! A gossip protocol by which fronts tell each other which cache nodes are slow or failing, as each front
//! observes from the answers that it receives.
//!
//! [`Gossip`] is the state machine of one front: it takes [`Event`]s and the time and returns [`Action`]s. It
//! has no sockets, threads or clocks, and equal inputs and seeds give equal outputs. Cache nodes are not
//! probed: the host passes in evidence from their answers. Only fronts probe each other, by the SWIM protocol
//! with extensions in the manner of Lifeguard.
//!
//! # The contract
//!
//! - [`Now`] holds the host's monotonic clock and the Unix time. The Unix time may be wrong; datagrams are
//!   accepted if they are within [`Config::skew_ms`] of it.
//! - The datagram of an [`Action::Send`] may be lost, delayed, duplicated or reordered. Received bytes are
//!   passed in unchanged as [`Event::Datagram`]. A datagram that is not signed by a known key, is too old or
//!   was received before is counted and dropped, and is never answered.
//! - All datagrams together stay within [`Config::bytes_per_s`], enforced by a token bucket of that rate and
//!   the capacity [`Config::burst_bytes`]. The most useful data is sent first; the remainder waits for the
//!   next round or is summarised.
//! - [`Action::PeerScore`] gives the score of a cache node by the fronts' reports, from
//!   -[`aggregate::MAX_SCORE`] (healthy) to [`aggregate::MAX_SCORE`] (failing). It is advice: the host may
//!   lower a node's load or retry it sooner, but must not eject the node because of the score.
//! - A cache node is identified by its id and its start: reports on a node that was replaced or restarted do
//!   not apply to its successor.
//! - [`Gossip::wake_at`] returns when the next [`Event::Tick`] is due. A late tick shows that this front is
//!   slow. The front then waits longer before it suspects others, and its evidence counts for less.
//!
//! ```
//! use fernslip_gossip::*;
//!
//! let keys = Keyring::new(Key::new(1, [7; 32]));
//! let addr = |n: u8| std::net::SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)));
//! let now = |ms: f64| Now { mono_ms: ms, unix_ms: 1.8e12 + ms };
//! let front = |n: u8, seeds: Vec<std::net::SocketAddr>| {
//!     let config = Config { name: format!("n{n}"), addr: addr(n), seeds, ..Config::default() };
//!     Gossip::new(config, keys.clone(), u64::from(n), now(0.0))
//! };
//! let mut fronts = vec![front(0, vec![]), front(1, vec![addr(0)])];
//! // One second on a network without loss.
//! for step in 1..=40 {
//!     let at = now(f64::from(step) * 25.0);
//!     let mut sent = Vec::new();
//!     for f in &mut fronts {
//!         f.handle(at, Event::Tick, &mut sent);
//!     }
//!     for a in sent {
//!         if let Action::Send { to, bytes } = a {
//!             let from = fronts.iter().position(|f| f.config().addr != to).unwrap_or(0);
//!             let f = fronts.iter_mut().find(|f| f.config().addr == to);
//!             let f = f.expect("the destination is one of the fronts");
//!             f.handle(at, Event::Datagram { from: addr(from as u8), bytes }, &mut Vec::new());
//!         }
//!     }
//! }
//! assert_eq!(fronts[0].members().count(), 2);
//! assert_eq!(fronts[1].members().count(), 2);
//! ```

pub mod aggregate;
mod budget;
mod codec;
mod config;
mod engine;
mod event;
mod keys;
mod member;
mod message;
mod replay;
mod suspicion;
mod trust;

pub use budget::TokenBucket;
pub use codec::{decode_datagram, encode_datagram, CodecError, MAX_DATAGRAM_BYTES};
pub use config::{Config, Now};
pub use engine::Gossip;
pub use event::{Action, Counters, Event, Evidence, RejectReason, TableSizes};
pub use keys::{parse_key_file, Key, KeyError, Keyring};
pub use member::{MemberState, MemberView, MembershipChange, PeerAddress};
pub use message::{CacheNodeKey, FrontId, Header, HealthReport, Item, Observation};
pub use replay::ReplayFilter;
pub use suspicion::Suspicion;
