//! A view of the fleet that the fronts keep among themselves: which fronts there are, where, and in what state; and whether
//! all of them hold the same view.
//!
//! [`View`] is one front's part: it takes [`Event`]s and the time and returns [`Action`]s. It has no sockets, threads or
//! clocks; equal inputs and seeds give equal outputs.
//!
//! # The contract
//!
//! - *Facts* are ordered ([`Rank`]): of two facts on one front the higher holds, in whatever order they are received. Only
//!   a front itself raises its incarnation; at the same one the others can only report its failure.
//! - *Failed* takes several: a front is watched by [`Config::watchers`] others; it has failed once most of those of them
//!   that are in reach had no answer, directly or through others, and in a fleet of four and more at least two.
//! - *Settled*: each message carries its sender's digest and which fronts it knows to have held the same view. A front
//!   whose bits are all set is settled ([`View::settled_since`]); a suspicion of a front that it watches, or receiving
//!   nothing at all, unsettles it.
//! - *Healing*: failed fronts are polled at a bounded rate. What one half of a partition reports of the other is deferred
//!   until those could refute it, so that views are not torn down before they are joined.
//! - *One name, two processes*: the second is not admitted while the first answers; both report it
//!   ([`Action::DuplicateName`]).
//! - [`Action::Send`] may be lost, late, duplicated or out of order. All that is sent stays under [`Config::bytes_per_s`].
//! - [`View::wake_at`] is when the next [`Event::Tick`] is due. A late one shows that this front did not run: it then
//!   suspects nobody for what it missed meanwhile.
//!
//! ```
//! use fernslip_view::*;
//! use fernslip_gossip::{Key, Keyring};
//!
//! let addr = |n: u8| std::net::SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)));
//! let now = |ms: f64| Now { mono_ms: ms, unix_ms: 1.8e12 + ms };
//! let front = |n: u8| {
//!     let config = Config { name: format!("n{n}"), addr: addr(n), seeds: vec![addr(0)], ..Config::default() };
//!     View::new(config, Keyring::new(Key::new(1, [7; 32])), u64::from(n), now(0.0))
//! };
//! let mut fronts: Vec<View> = (0..3).map(front).collect();
//! // Two seconds of a network that loses nothing.
//! for step in 1..=100 {
//!     let at = now(f64::from(step) * 20.0);
//!     for i in 0..3u8 {
//!         let mut todo = Vec::new();
//!         fronts[usize::from(i)].handle(at, Event::Tick, &mut todo);
//!         let mut waits: Vec<(u8, Action)> = todo.into_iter().map(|a| (i, a)).collect();
//!         while let Some((from, action)) = waits.pop() {
//!             let Action::Send { to, bytes } = action else { continue };
//!             let Some(to) = (0..3).find(|n| addr(*n) == to) else { continue };
//!             let mut more = Vec::new();
//!             fronts[usize::from(to)].handle(at, Event::Datagram { from: addr(from), bytes }, &mut more);
//!             waits.extend(more.into_iter().map(|a| (to, a)));
//!         }
//!     }
//! }
//! assert!(fronts.iter().all(|f| f.members(2000.0).len() == 3 && f.digest() == fronts[0].digest()));
//! assert!(fronts.iter().all(|f| f.settled_since(2000.0).is_some()));
//! ```

mod config;
mod engine;
mod fact;
mod failure_detector;
mod interface;
mod ring;
mod settlement;
mod wire;

pub use config::{Config, PeerAddress};
pub use engine::View;
pub use fact::{Fact, FrontState, Id, Member, MemberTable, MergeOutcome, Rank, MAX_MEMBERS, MAX_TEXT_BYTES};
pub use interface::{Action, Counters, Event, HistoryEntry, MemberStatus, Now};
pub use wire::{encoded_len, Item, Message, MAX_DATAGRAM_BYTES};
