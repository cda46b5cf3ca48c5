//! The few things that all fronts must hold alike (versions of the routing rules, the voters, later tables of slots),
//! as an ordered record that a few fronts agree on and all others follow.
//!
//! [`Record`] is one front's part: it takes [`Event`]s and the time and returns [`Action`]s. It has no sockets, threads,
//! clocks or disks; equal inputs and seeds give equal outputs.
//!
//! # The contract
//!
//! - *Voters* are three to seven fronts, named alike in every front's document. What a majority of them has written to
//!   disk is agreed. A record is *founded* once, when all that are named are there and none has a record; from then on
//!   a majority is enough.
//! - A voter is a name **and a disk**: [`Config::disk`] differs for a disk that is new or is no longer believed. Its front
//!   then comes back as another voter, taken in by the others, and never votes as the one that it was.
//! - [`Action::Write`] is carried out, durably and whole, before any action that follows it. Where that fails nothing that
//!   follows is carried out, and [`Event::DiskFailed`] is told: the front votes no more and goes on as a follower.
//! - *Followers* ask others: by digest which commands there are, and pull what they lack. A command may be of a kind that
//!   this program does not know: it is kept, passed on, and named in [`Record::agreed`]; nothing after it is taken.
//! - *Texts* (of rules) go apart from commands, by digest, in parts. An edit is agreed once a majority of voters has its
//!   text durably and has found it good ([`Action::Check`]).
//! - A command's key makes its repeat harmless; its answer comes as [`Action::Answered`], and is asked for again until it
//!   has come or [`Event::Forget`] is told.
//! - [`Action::Send`] may be lost, late, doubled or out of order.
//!
//! ```
//! use fernslip_gossip::{Key, Keyring};
//! use fernslip_record::{rules::*, *};
//!
//! let keys = Keyring::new(Key::new(1, [7; 32]));
//! let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
//! let mut fronts: Vec<Record> = (0..3)
//!     .map(|n| {
//!         let config = Config { name: names[n].clone(), disk: 40 + n as u64, voters: names.clone() };
//!         Record::new(config, keys.clone(), Default::default(), n as u64, 0.0)
//!     })
//!     .collect();
//! let text = b"route pool=\"main\" path=\"/*\"".to_vec();
//! let ask = Ask::Edit { base: 0, digest: Digest::of(&text), bytes: text.len() as u32 };
//! let (author, reason) = ("ops".to_string(), "first".to_string());
//! let command = Command { key: "k1".into(), author, reason, at_unix_ms: 1, ask };
//! let mut answers = Vec::new();
//! for step in 1..=80 {
//!     let at = f64::from(step) * 50.0;
//!     let mut todo: Vec<(usize, Event)> = (0..3).map(|n| (n, Event::Tick)).collect();
//!     if step == 50 {
//!         todo.push((2, Event::Ask { command: command.clone(), text: Some(text.clone()) }));
//!     }
//!     if step == 1 {
//!         todo.extend((0..3).map(|n| (n, Event::Peers(names.clone()))));
//!     }
//!     while let Some((n, event)) = todo.pop() {
//!         let mut actions = Vec::new();
//!         fronts[n].handle(at, event, &mut actions);
//!         for a in actions {
//!             match a {
//!                 Action::Send { to, bytes } => {
//!                     let to = names.iter().position(|m| *m == to).expect("one of them");
//!                     todo.push((to, Event::Datagram(bytes)));
//!                 }
//!                 Action::Check { digest, .. } => todo.push((n, Event::Checked { digest, wrong: None })),
//!                 Action::Answered { key, answer } => answers.push((n, key, answer)),
//!                 Action::Write(_) | Action::Changed => {}
//!             }
//!         }
//!     }
//! }
//! assert!(answers.contains(&(2, "k1".to_string(), Ok(1))));
//! assert!(fronts.iter().all(|f| f.agreed().rules.current() == 1 && f.text(1) == Some(&text[..])));
//! ```

pub mod agreed;
mod bootstrap;
mod engine;
mod events;
mod proposals;
mod replication;
pub mod rules;
pub mod texts;
mod voter;
pub mod wire;

pub use agreed::{Agreed, Entry, VoterId};
pub use engine::Record;
pub use events::{Action, Config, Counts, Event};
pub use voter::{Place, Saved, Writes};
