//! Runs real processes of the program on loopback, with injected faults on every link between them.
//!
//! - [`scenario`]: the steps of a run and the goals that must be reached, parsed from a KDL document.
//! - [`links`]: the relay for all datagrams between fronts; each ordered pair of fronts is a separate link.
//! - [`cache_nodes`]: simulated cache nodes and origin, which check the request rules outside the fronts.
//! - [`load`]: open-loop clients; [`client_protocol`]: the calls that they send.
//! - [`fronts`]: starts, stops, kills and queries the front processes; [`programs`]: the builds they run.
//! - [`run`]: runs one scenario with one seed; [`suite`]: runs several and summarizes each in a row of
//!   results; [`pairs`]: runs two builds in one fleet.
//! - [`shim`]: machine faults injected into one process: failing system calls and a stepped wall clock.
//! - [`soak`]: runs fronts with the example configuration under overlapping faults and checks the rules.
//! - [`chart`]: draws the member count of each front over time as an SVG file.
//! - [`addresses`]: reserves the loopback addresses of a run.

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
