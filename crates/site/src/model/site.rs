//! The model of a complete site and of its zones.

use super::class::Class;
use super::front::{FleetView, Front, Gossip};
use super::keyword::MembersFrom;
use super::member::Member;
use super::pool::Pool;
use super::route::RouteSet;
use serde::Serialize;

/// The model of a complete site document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Site {
    /// The name of the site.
    pub name: String,
    /// Where a front gets the list of members from; the default is the discovery bus.
    pub members_from: Option<MembersFrom>,
    /// The settings of the front that serves from this document; `None` if a separate configuration describes
    /// the front.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub front: Option<Front>,
    /// The zones that fronts and members can be in.
    pub zones: Vec<Zone>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The cache nodes, parents and origins.
    pub members: Vec<Member>,
    /// The groups of interchangeable members.
    pub pools: Vec<Pool>,
    /// The routing rules that map requests to pools, one set for each group of virtual hosts.
    pub routes: Vec<RouteSet>,
    /// The gossip by which fronts exchange suspicions; `None` if they do not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gossip: Option<Gossip>,
    /// The membership view that fronts maintain; `None` if they maintain none.
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

/// A zone: a location with fronts and members (KDL node `zone`).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Zone {
    /// The name of the zone, unique in the site.
    pub name: String,
    /// The bandwidth of the zone's incoming link for fills, in KB per second; `None` if it is not known.
    pub link_in_kb_per_s: Option<f64>,
    /// The number of fronts that serve the zone.
    pub fronts: Option<u64>,
}
