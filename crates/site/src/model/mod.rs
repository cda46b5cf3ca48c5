//! The model of a site. Times are whole milliseconds, rates KB a second, weights multiples of an ordinary member's
//! share.
//!
//! A field that is `None` was absent from the document; [`defaults`] has the value that then takes effect, and
//! [`Site::effective`] fills it in. Field names are the keys of `show --format json`; where a key has an older name, the
//! field carries it as its serde name.

mod class;
pub mod defaults;
mod effective;
mod front;
mod keyword;
mod member;
mod pool;
mod route;
mod site;

pub use class::Class;
pub use front::{FleetView, Front, Gossip};
pub use keyword::{Effect, GossipPeers, Keyword, Kind, Match, MembersFrom, Order, Protocol, State};
pub use member::{Member, MemberLimits};
pub use pool::{status_code, Pool, PoolLimits, Recovery, Retry, Use};
pub use route::{Route, RouteSet, Target};
pub use site::{Site, Zone};
