//! The endpoint list, as discovery gives it.

use super::CacheId;

/// State of a list entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// In service.
    #[default]
    In,
    /// Draining: nothing new.
    Draining,
    /// Removed.
    Out,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Which cache node.
    pub cache: CacheId,
    /// What its link carries, in transfers at full pace, beside the others'; above 0, 1 where nothing is known.
    pub weight: f64,
    /// Its zone; `None` where the settings do not know it.
    pub zone: Option<usize>,
    /// Its kind.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: i64,
    /// When it last started, in milliseconds on the events' clock; 0: long ago.
    pub started_ms: f64,
    /// Its state.
    pub phase: Phase,
}

/// What an endpoint event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last cached, perhaps old.
    Cached,
    /// The request for a list failed; no entries.
    Failed,
}
