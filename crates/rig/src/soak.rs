//! The soak test: runs real fronts with the configuration of `examples/config.json` over real sockets while
//! two or three faults at a time, chosen by a seed, are injected. Rules are checked from outside, at the
//! clients, the cache nodes and the discovery bus, and from inside, by the violations that the fronts log
//! themselves.
//!
//! - [`run`]: runs one seed from start to end; [`options`]: the options of such a run.
//! - [`plan`]: determines from the seed which fault is injected when; `inject`: injects the faults.
//! - [`environment`]: the fronts and the simulated services around them.
//! - [`bus`], [`nodes`], [`peers`]: the simulated services; [`clients`], [`faulty_clients`]: the simulated
//!   clients.
//! - [`process`]: the configuration, signals and log of one front; [`availability`]: which of its unanswered
//!   requests are excused.
//! - [`checker`]: checks the rules against what clients, nodes and the bus observed.
//! - [`seeded_rng`]: random numbers that are repeatable by seed.

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
