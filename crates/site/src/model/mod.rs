//! The model of a site document. Times are whole milliseconds and rates KB per second; a weight is a multiple
//! of the traffic of a member of weight 1.
//!
//! A field that is `None` was absent from the document; [`Site::with_defaults`] fills in the value from
//! [`defaults`] that then applies. Field names are the keys of `show --format json`, except where a serde
//! attribute gives another key.

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
pub use pool::{parse_status_code, Pool, PoolLimits, Recovery, Retry, Use};
pub use route::{Route, RouteSet, Target};
pub use site::{Site, Zone};
