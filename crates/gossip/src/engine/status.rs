//! What the host and the operators may read of the state.

use super::Gossip;
use crate::config::{Config, Now};
use crate::event::{Counters, TableSizes};
use crate::member::{MemberState, MemberView};
use crate::message::{CacheNodeKey, FrontId};
use crate::suspicion::Suspicion;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Gossip {
    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The address that others are to reach this front at.
    pub fn advertised_addr(&self) -> SocketAddr {
        self.config.advertise.unwrap_or(self.config.addr)
    }

    /// This front's own id.
    pub fn id(&self) -> FrontId {
        self.id
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// All fronts that are known, this one first.
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

    /// All reports of other fronts that are held.
    pub fn suspicions(&self, now: Now) -> impl Iterator<Item = Suspicion> + '_ {
        self.suspicions.iter(now.mono_ms)
    }

    /// A peer's record of agreeing with this front's own evidence, from 0 to 1.
    pub fn trust(&self, peer: FrontId, now: Now) -> f64 {
        self.trust.trust(peer, now.mono_ms)
    }

    /// The score of a cache node by the other fronts' reports, as given to the host last.
    pub fn hearsay(&self, node: CacheNodeKey) -> f64 {
        self.hearsay.get(&node).copied().unwrap_or(0.0)
    }

    /// All cache nodes whose score is not 0, as given to the host last.
    pub fn all_hearsay(&self) -> impl Iterator<Item = (CacheNodeKey, f64)> + '_ {
        self.hearsay.iter().map(|(node, score)| (*node, *score))
    }

    /// How much is held.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            members: self.members.iter().count(),
            suspicions: self.suspicions.len(),
            own_reports: self.own_reports.len(),
            deliveries: self.deliveries.values().map(BTreeMap::len).sum(),
        }
    }
}
