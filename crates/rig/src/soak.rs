//! A soak test: real fronts with the platform's configuration, real sockets, and two or three faults at any time, drawn by a
//! seed. What happens is checked against the rules from outside, at clients, cache nodes and the discovery bus, and from
//! inside by the violations that the fronts count themselves.
//!
//! - [`run`]: one seed from beginning to end; [`options`]: its options.
//! - [`plan`]: which fault is injected when, by the seed; `inject`: injects it.
//! - [`environment`]: the fronts and the stand-ins around them.
//! - [`bus`], [`nodes`], [`clients`], [`faulty_clients`], [`peers`]: the stand-ins.
//! - [`process`]: one front's process: configuration, signals, log; [`availability`]: which losses it excuses.
//! - [`checker`]: the rules, over what clients, nodes and the bus saw.
//! - [`seeded_rng`]: repeatable draws.

pub mod availability;
pub mod bus;
pub mod checker;
pub mod clients;
pub mod environment;
pub mod faulty_clients;
mod inject;
pub mod nodes;
pub mod options;
pub mod peers;
pub mod plan;
pub mod process;
pub mod run;
pub mod seeded_rng;
