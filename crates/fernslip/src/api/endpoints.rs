//! The endpoint list, as received from discovery.

use super::CacheId;

/// Service state of a node in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The node is in service.
    #[default]
    In,
    /// The node is draining: it finishes its work and gets no new attempts.
    Draining,
    /// The node was removed from the list.
    Out,
}

/// One node of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Address of the node.
    pub cache: CacheId,
    /// Capacity of the node's link, in transfers at [`crate::Settings::stream_kb_per_s`]. Above 0; 1 for all
    /// nodes if no capacity is known.
    pub weight: f64,
    /// Index of the node's zone in [`crate::Settings::zones`]; `None` if the settings do not list the zone.
    pub zone: Option<usize>,
    /// Index of the node's kind, below [`crate::Settings::kinds`]; `None` if the settings do not list the
    /// kind.
    pub kind: Option<usize>,
    /// Number of the node's cell, a group of nodes for [`crate::DedupScope::Cell`].
    pub cell: i64,
    /// Time at which the node last started, in milliseconds on the events' clock; 0: long ago.
    pub started_ms: f64,
    /// Service state of the node.
    pub phase: Phase,
}

/// Kind of an endpoint event: whether its entries are a complete list or only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// The complete current list.
    Full,
    /// A complete list from a local cache, which may be out of date.
    Cached,
    /// The request for a list failed: there are no entries, and known nodes are kept.
    Failed,
}
