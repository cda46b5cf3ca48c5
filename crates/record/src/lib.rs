//! A replicated log of the facts that all fronts must agree on: the versions of the routing rules, the
//! voters, and later tables of slots. A few fronts, the voters, commit its entries by Raft; all others
//! follow as learners.
//!
//! [`Record`] is one front's replica: it takes [`Event`]s and the time and returns [`Action`]s. It has no
//! sockets, threads, clocks or disks; equal inputs and seeds give equal outputs.
//!
//! # Contract with the caller
//!
//! - *Voters* are three to seven fronts, with the same names in every front's document. An entry that a
//!   majority of them (the quorum) has written to disk is committed. A record is *bootstrapped* once, when
//!   all configured voters are present and none has a record; from then on a majority is enough.
//! - A voter is identified by its name **and its disk**: a disk that is new or no longer trusted gets
//!   another [`Config::disk_id`]. Its front then comes back as another voter, which the others add, and
//!   never votes under the old id.
//! - The caller carries out [`Action::Write`] durably and completely before any action that follows it. If a
//!   write fails, the caller carries out none of the actions that follow and feeds [`Event::DiskFailed`]:
//!   the front no longer votes and goes on as a follower.
//! - *Followers* announce their status to others and pull the entries that they lack. An entry of a kind
//!   that this program does not know is reported in [`RecordState::unsupported`]; nothing after it is
//!   applied.
//! - *Texts* (of rules) are replicated separately from log entries, by digest and in parts. An edit is
//!   appended to the log once a majority of voters has its text on disk and has found it valid
//!   ([`Action::Validate`]).
//! - A command's key makes it idempotent. The answer is returned as [`Action::Answered`]; the command is
//!   sent again until the answer has arrived or [`Event::Abandoned`] is fed.
//! - A datagram of [`Action::Send`] may be lost, delayed, duplicated or reordered.
//!
//! ```
//! use fernslip_gossip::{Key, Keyring};
//! use fernslip_record::{rules::*, texts::Digest, *};
//!
//! let keys = Keyring::new(Key::new(1, [7; 32]));
//! let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
//! let mut fronts: Vec<Record> = (0..3)
//!     .map(|n| {
//!         let config = Config { name: names[n].clone(), disk_id: 40 + n as u64, voters: names.clone() };
//!         Record::new(config, keys.clone(), Default::default(), n as u64, 0.0)
//!     })
//!     .collect();
//! let text = b"route pool=\"main\" path=\"/*\"".to_vec();
//! let operation = Operation::Edit { base: 0, digest: Digest::of(&text), bytes: text.len() as u32 };
//! let (author, reason) = ("ops".to_string(), "first".to_string());
//! let command = Command { key: "k1".into(), author, reason, at_unix_ms: 1, operation };
//! let mut answers = Vec::new();
//! for step in 1..=80 {
//!     let at = f64::from(step) * 50.0;
//!     let mut events: Vec<(usize, Event)> = (0..3).map(|n| (n, Event::Tick)).collect();
//!     if step == 50 {
//!         events.push((2, Event::Propose { command: command.clone(), text: Some(text.clone()) }));
//!     }
//!     if step == 1 {
//!         events.extend((0..3).map(|n| (n, Event::Peers(names.clone()))));
//!     }
//!     while let Some((n, event)) = events.pop() {
//!         let mut actions = Vec::new();
//!         fronts[n].handle_event(at, event, &mut actions);
//!         for a in actions {
//!             match a {
//!                 Action::Send { to, bytes } => {
//!                     let to = names.iter().position(|m| *m == to).expect("the front is known");
//!                     events.push((to, Event::Datagram(bytes)));
//!                 }
//!                 Action::Validate { digest, .. } => {
//!                     events.push((n, Event::Validated { digest, error: None }));
//!                 }
//!                 Action::Answered { key, answer } => answers.push((n, key, answer)),
//!                 Action::Write(_) | Action::StateChanged => {}
//!             }
//!         }
//!     }
//! }
//! assert!(answers.contains(&(2, "k1".to_string(), Ok(1))));
//! assert!(fronts.iter().all(|f| f.state().rules.current() == 1 && f.version_text(1) == Some(&text[..])));
//! ```

mod bootstrap;
mod engine;
mod events;
mod proposals;
mod replication;
pub mod rules;
pub mod state;
pub mod storage;
pub mod texts;
mod voter;
pub mod wire;

pub use engine::Record;
pub use events::{Action, Config, DatagramCounts, Event};
pub use state::{LogEntry, RecordState, VoterId};
pub use storage::{StorageKey, StoredValue, Write, WriteBatch};
