//! Read access to the state, for the host and for operators.

use super::Gossip;
use crate::config::{Config, Now};
use crate::event::{Counters, TableSizes};
use crate::member::{MemberState, MemberView};
use crate::message::{CacheNodeKey, FrontId};
use crate::suspicion::Suspicion;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Gossip {
    /// Returns the settings that the front was created with.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the address that other fronts use to reach this front.
    pub fn advertised_addr(&self) -> SocketAddr {
        self.config.advertise.unwrap_or(self.config.addr)
    }

    /// Returns this front's own id.
    pub fn id(&self) -> FrontId {
        self.id
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns all known fronts, starting with this one.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        let own = MemberView {
            id: self.id,
            name: self.config.name.clone(),
            addr: self.advertised_addr(),
            incarnation: self.incarnation,
            state: if self.has_departed { MemberState::Departed } else { MemberState::Alive },
        };
        std::iter::once(own).chain(self.members.iter().map(|m| m.view.clone()))
    }

    /// Returns all stored reports of other fronts.
    pub fn suspicions(&self, now: Now) -> impl Iterator<Item = Suspicion> + '_ {
        self.suspicions.iter(now.mono_ms)
    }

    /// Returns a peer's record of agreeing with this front's own evidence, from 0 to 1.
    pub fn trust(&self, peer: FrontId, now: Now) -> f64 {
        self.trust.trust(peer, now.mono_ms)
    }

    /// Returns the score of a cache node as last given to the host; 0 if there is none.
    pub fn peer_score(&self, node: CacheNodeKey) -> f64 {
        self.peer_scores.get(&node).copied().unwrap_or(0.0)
    }

    /// Returns all cache nodes with a score other than 0, as last given to the host.
    pub fn peer_scores(&self) -> impl Iterator<Item = (CacheNodeKey, f64)> + '_ {
        self.peer_scores.iter().map(|(node, score)| (*node, *score))
    }

    /// Returns the number of entries in each table.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            members: self.members.iter().count(),
            suspicions: self.suspicions.len(),
            own_reports: self.own_reports.len(),
            deliveries: self.deliveries.values().map(BTreeMap::len).sum(),
        }
    }
}
