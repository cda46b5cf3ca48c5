//! A view of the fleet that the fronts maintain among themselves: which fronts exist, at which addresses and
//! in which state, and whether all of them hold the same view.
//!
//! [`View`] is one front's part of the protocol. It takes [`Event`]s and the time, and returns [`Action`]s.
//! It uses no sockets, threads or clocks; equal inputs and seeds give equal outputs.
//!
//! # Guarantees
//!
//! - *Facts* are ordered by [`Rank`]: of two facts about the same front, the one with the higher rank
//!   replaces the other, in whatever order they arrive. Only a front itself raises its incarnation; at the
//!   same incarnation, the others can only report its failure.
//! - *Failure detection* takes several fronts: [`Config::watchers`] others watch each front. A front has
//!   failed once most of the watchers that are in reach got no answer, directly or through other fronts; in a
//!   fleet of four or more, at least two watchers have to agree.
//! - *Settlement*: each message carries the digest of its sender's view, and which fronts the sender knows to
//!   have held the same view. A view is settled once all live fronts are known to hold it
//!   ([`View::settled_since`]). It is not settled while its front suspects a front that it watches, or
//!   receives nothing at all.
//! - *Healing of partitions*: failed fronts are polled at a bounded rate. When one side of a partition
//!   reports fronts of the other side as failed, the report is deferred until those fronts could refute it.
//!   Views are thus not emptied before they are merged.
//! - *Duplicate names*: a second process with the same name is not admitted while the first one answers; both
//!   report the conflict ([`Action::DuplicateName`]).
//! - Datagrams of [`Action::Send`] may be lost, delayed, duplicated or reordered. Everything sent stays
//!   within [`Config::bytes_per_s`].
//! - [`View::wake_at`] is the time at which the next [`Event::Tick`] is due. A late tick shows that this
//!   front did not run; it then suspects no other front for messages that it missed meanwhile.
//!
//! ```
//! use fernslip_view::*;
//! use fernslip_gossip::{Key, Keyring};
//!
//! let addr = |n: u8| std::net::SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)));
//! let now = |ms: f64| Now { mono_ms: ms, unix_ms: 1.8e12 + ms };
//! let front = |n: u8| {
//!     let (name, seeds) = (format!("n{n}"), vec![addr(0)]);
//!     let config = Config { name, addr: addr(n), seeds, ..Config::default() };
//!     View::new(config, Keyring::new(Key::new(1, [7; 32])), u64::from(n), now(0.0))
//! };
//! let mut fronts: Vec<View> = (0..3).map(front).collect();
//! // Run the fronts for two seconds over a network without losses.
//! for step in 1..=100 {
//!     let at = now(f64::from(step) * 20.0);
//!     for i in 0..3u8 {
//!         let mut actions = Vec::new();
//!         fronts[usize::from(i)].handle(at, Event::Tick, &mut actions);
//!         let mut pending: Vec<(u8, Action)> = actions.into_iter().map(|a| (i, a)).collect();
//!         while let Some((from, action)) = pending.pop() {
//!             let Action::Send { to, bytes } = action else { continue };
//!             let Some(to) = (0..3).find(|n| addr(*n) == to) else { continue };
//!             let mut more = Vec::new();
//!             fronts[usize::from(to)].handle(at, Event::Datagram { from: addr(from), bytes }, &mut more);
//!             pending.extend(more.into_iter().map(|a| (to, a)));
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
