//! The interface between the decision logic and its caller: settings, events and actions.
//!
//! Times are `f64` milliseconds on a single monotonic clock, which the caller supplies.

mod actions;
mod endpoints;
mod errors;
mod events;
mod settings;
mod settings_check;

pub use actions::{Action, Sign};
pub use endpoints::{Entry, ListKind, Phase};
pub use errors::SettingsError;
pub use events::{Ending, Event, Outcome, Request};
pub use settings::{Class, DedupScope, DetailLevel, Effect, Neighbours, Settings};

use std::sync::Arc;

/// Identifies a cache, parent or origin by its address in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheId(pub Arc<str>);

impl From<&str> for CacheId {
    fn from(address: &str) -> Self {
        CacheId(Arc::from(address))
    }
}

/// Identifies one request of a client. Clients choose the ids and are expected to use a new one for each
/// request, also for a retry. A faulty client may send the id of another client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an object, which may have several parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
