//! A complete site, and its zones.

use super::class::Class;
use super::front::{FleetView, Front, Gossip};
use super::keyword::MembersFrom;
use super::member::Member;
use super::pool::Pool;
use super::route::RouteSet;
use serde::Serialize;

/// A complete site document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// Where the list of members comes from; default: the bus.
    pub members_from: Option<MembersFrom>,
    /// The front that serves from it, where no other configuration describes one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub front: Option<Front>,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Cache nodes, parents and origins.
    pub members: Vec<Member>,
    /// Groups of interchangeable members.
    pub pools: Vec<Pool>,
    /// Which requests go to which pool; one set for each group of virtual hosts.
    pub routes: Vec<RouteSet>,
    /// How fronts share suspicions; `None`: not at all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gossip: Option<Gossip>,
    /// How fronts keep a view of the fleet; `None`: they keep none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub view: Option<FleetView>,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            name: "site".into(),
            members_from: None,
            front: None,
            zones: Vec::new(),
            classes: Vec::new(),
            members: Vec::new(),
            pools: Vec::new(),
            routes: Vec::new(),
            gossip: None,
            view: None,
        }
    }
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Bandwidth of its link for fills, KB a second; `None`: not known.
    pub link_in_kb_per_s: Option<f64>,
    /// How many fronts serve it.
    pub fronts: Option<u64>,
}
