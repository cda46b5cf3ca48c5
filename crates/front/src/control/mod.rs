//! The front's control plane: its configuration, the discovery watch on the event bus, its peers and the gossip among
//! them, the view of the fleet, the admin interface, manual exclusions and the snapshot kept on disk, and SIGHUP reload.

pub mod admin;
pub mod config;
pub mod discovery_watch;
pub mod evidence;
pub mod gossip;
pub mod keyfile;
pub mod manual_exclusion;
pub mod node_starts;
pub mod peers;
pub mod plan;
pub mod reload;
pub mod snapshot;
pub mod standalone;
pub mod view;
pub mod watch_event;
pub mod watch_history;
