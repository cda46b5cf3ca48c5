//! The few things that all fronts must agree on (versions of the routing rules, the voters, later tables of slots), as a
//! replicated log: a few fronts, the voters, commit its entries by Raft, and all others follow (as learners do).
//!
//! [`Record`] is one front's part: it takes [`Event`]s and the time and returns [`Action`]s. It has no sockets, threads,
//! clocks or disks; equal inputs and seeds give equal outputs.
//!
//! # The contract
//!
//! - *Voters* are three to seven fronts, named alike in every front's document. What a majority (the quorum) has written
//!   to disk is committed. A record is *bootstrapped* once, when all configured voters are present and none has a record;
//!   from then on a majority is enough.
//! - A voter is a name **and a disk**: [`Config::disk_id`] differs for a disk that is new or is no longer trusted. Its
//!   front then comes back as another voter, added by the others, and never votes as the one that it was.
//! - [`Action::Write`] is carried out, durably and completely, before any action that follows it. Where that fails nothing
//!   that follows is carried out, and [`Event::DiskFailed`] is fed: the front votes no more and goes on as a follower.
//! - *Followers* announce their status to others and pull the entries that they lack. An entry may be of a kind that this
//!   program does not know: it is reported in [`RecordState::unsupported`]; nothing after it is applied.
//! - *Texts* (of rules) are replicated apart from log entries, by digest, in parts. An edit is appended to the log once a
//!   majority of voters has its text durably and has found it valid ([`Action::Validate`]).
//! - A command's key makes it idempotent; its answer comes as [`Action::Answered`], and is requested again until it has
//!   come or [`Event::Abandoned`] is fed.
//! - [`Action::Send`] may be lost, late, duplicated or out of order.
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
//!         fronts[n].handle(at, event, &mut actions);
//!         for a in actions {
//!             match a {
//!                 Action::Send { to, bytes } => {
//!                     let to = names.iter().position(|m| *m == to).expect("a front");
//!                     events.push((to, Event::Datagram(bytes)));
//!                 }
//!                 Action::Validate { digest, .. } => events.push((n, Event::Validated { digest, error: None })),
//!                 Action::Answered { key, answer } => answers.push((n, key, answer)),
//!                 Action::Write(_) | Action::StateChanged => {}
//!             }
//!         }
//!     }
//! }
//! assert!(answers.contains(&(2, "k1".to_string(), Ok(1))));
//! assert!(fronts.iter().all(|f| f.state().rules.current() == 1 && f.text(1) == Some(&text[..])));
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
pub use events::{Action, Config, Counts, Event};
pub use state::{LogEntry, RecordState, VoterId};
pub use storage::{StorageKey, StoredValue, Write, WriteBatch};
