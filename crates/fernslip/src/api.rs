//! The interface between a router and the decision crate: settings, events, actions.
//!
//! Times are milliseconds as `f64` on the caller's one clock, which never runs back.

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
pub use settings::{Class, DedupScope, Effect, Neighbours, NoteLevel, Settings};

use std::sync::Arc;

/// A cache, parent or origin, by the address that the discovery list gives it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheId(pub Arc<str>);

impl From<&str> for CacheId {
    fn from(s: &str) -> Self {
        CacheId(Arc::from(s))
    }
}

/// One request of a client; never reused, not by its retry either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An object with all its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
