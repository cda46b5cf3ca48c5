//! Runs real processes of the program on loopback, with injected faults on every link between them.
//!
//! - [`scenario`]: what is to happen and what must hold, parsed from a KDL document.
//! - [`links`]: the relay that every datagram between fronts passes; each ordered pair of fronts is a link of its own.
//! - [`cache_nodes`]: stand-ins for cache nodes and the origin, which check the request rules from outside.
//! - [`load`]: open-loop clients; [`client_protocol`]: the calls they send.
//! - [`fronts`]: the front processes: started, stopped, killed, queried; [`programs`]: the builds they run.
//! - [`run`]: one scenario with one seed; [`suite`]: many runs as rows of figures; [`pairs`]: two builds in one fleet.
//! - [`shim`]: machine faults under one process: failing system calls and a stepped wall clock.
//! - [`soak`]: fronts with the platform's configuration under overlapping faults, checked against the rules.
//! - [`chart`]: what each front saw over time, as an SVG file.
//! - [`addresses`]: the loopback addresses of a run.

pub mod addresses;
pub mod cache_nodes;
pub mod chart;
pub mod client_protocol;
pub mod fronts;
pub mod links;
pub mod load;
pub mod pairs;
pub mod programs;
pub mod run;
pub mod scenario;
pub mod shim;
pub mod soak;
pub mod suite;
mod sync;
