//! The front's control plane: configuration and its reload on SIGHUP, the discovery watch on the event bus,
//! peer datagrams, gossip, the membership view, the admin interface, manual exclusions, and the snapshot on
//! disk.

pub mod admin;
pub mod checkpoint_file;
pub mod checkpoint_service;
pub mod config;
pub mod deployment_files;
pub mod discovery_watch;
pub mod evidence;
pub mod gossip;
pub mod keyfile;
pub mod known_endpoints;
pub mod manual_exclusion;
pub mod node_starts;
pub mod peers;
pub mod plan;
pub mod reload;
pub mod snapshot;
pub mod standalone;
pub mod view;
pub mod watch_checkpoint;
pub mod watch_event;
pub mod watch_history;
pub mod watch_state;
pub mod watch_updates;
