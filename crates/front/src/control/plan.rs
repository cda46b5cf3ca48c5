//! A site document as a front can serve from it: addresses, kinds and zones resolved, pools and routes taken over, or
//! every reason why it can't be.

use crate::upstream::connection_pool::Timeouts;
use fernslip::json::Names;
use fernslip::Settings;
use fernslip_pool::{Routes, Spec};
use fernslip_site::{
    Kind, Member, MembersFrom, Pool, PoolLimits, Protocol, Recovery, Retry, Site, State, Use,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of the pool of a site that describes none; it has all caches of the site.
const DEFAULT_POOL: &str = "default";

/// A member of the document, as a front serves from it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMember {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Index of its zone in the settings.
    pub zone: Option<usize>,
    /// Index of its kind in the settings.
    pub kind: Option<usize>,
    /// Bandwidth of its link, in answers at the settings' stream rate.
    pub link: f64,
    /// Its weight where no pool says otherwise.
    pub weight: f64,
    /// Its own timeouts.
    pub timeouts: Timeouts,
    /// Its state as the operators set it.
    pub state: State,
    /// Whether it is a parent or the origin, from which every pool fills.
    pub is_source: bool,
}

/// The longest times that answers may take in a pool, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerTimeouts {
    /// Of every member.
    pub pool: Option<u64>,
    /// Of single members, by id.
    pub members: HashMap<Arc<str>, u64>,
}

impl AnswerTimeouts {
    /// How long an answer of that member may take, in milliseconds; `None`: as long as the request allows.
    pub fn of_member_ms(&self, id: &str) -> Option<u64> {
        [self.pool, self.members.get(id).copied()].into_iter().flatten().min()
    }

    /// The timeouts of each pool of a site.
    fn by_pool(site: &Site) -> Vec<AnswerTimeouts> {
        let limited = site.members.iter().filter_map(|m| Some((m.id.as_str(), m.limits.answer_ms?)));
        let limited: HashMap<&str, u64> = limited.collect();
        let of_pool = |p: &Pool| {
            let of_use = |u: &Use| Some((Arc::from(u.member.as_str()), *limited.get(u.member.as_str())?));
            AnswerTimeouts {
                pool: p.limits.answer_ms,
                members: p.members.iter().filter_map(of_use).collect(),
            }
        };
        site.pools.iter().map(of_pool).collect()
    }
}

/// A timeout given in milliseconds; at least 1 ms.
fn timeout(ms: Option<u64>) -> Option<Duration> {
    ms.map(|ms| Duration::from_millis(ms.max(1)))
}

/// What a front serves from.
#[derive(Debug)]
pub struct Plan {
    /// Whether the members are those of the document, not of the discovery watch.
    pub from_file: bool,
    /// The members by id; empty where the discovery watch has them.
    pub members: BTreeMap<Arc<str>, PlannedMember>,
    /// The pools, in the order of the document.
    pub pools: Vec<Spec>,
    /// The routes to `pools`.
    pub routes: Routes,
    /// The answer timeouts of each of `pools`.
    pub answers: Vec<AnswerTimeouts>,
    /// In how many pools the most used cache is.
    pub max_pools_per_cache: u32,
}

impl Plan {
    /// Makes a plan of a site document, for a front with these settings.
    ///
    /// # Errors
    /// Every reason why a front can't serve from the document.
    pub fn of(site: &Site, names: &Names, settings: &Settings) -> Result<Plan, Vec<String>> {
        let from_file = site.members_from == Some(MembersFrom::File);
        let mut site = site.effective();
        if from_file && site.pools.is_empty() {
            site.pools.push(default_pool(&site));
        }
        let mut errors = Vec::new();
        let mut members = BTreeMap::new();
        for member in site.members.iter().filter(|_| from_file) {
            if let Some(planned) = planned_member(member, names, settings, &mut errors) {
                members.insert(Arc::from(member.id.as_str()), planned);
            }
        }
        let max_pools_per_cache = max_pools_per_cache(&site, &members, &mut errors);
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Plan {
            from_file,
            max_pools_per_cache,
            answers: AnswerTimeouts::by_pool(&site),
            pools: Spec::all(&site),
            routes: Routes::of(&site),
            members,
        })
    }
}

/// A member of the document as a front can serve from it; adds every reason why it can't to `errors`. `None`: its address
/// can't be used.
fn planned_member(
    member: &Member,
    names: &Names,
    settings: &Settings,
    errors: &mut Vec<String>,
) -> Option<PlannedMember> {
    let id = &member.id;
    if let Some(p) = member.protocol.filter(|p| !p.is_supported()) {
        let spoken = Protocol::Resp;
        errors.push(format!("member \"{id}\" speaks {p}: this front speaks {spoken} with its members"));
    }
    let zone = match member.zone.as_deref() {
        None => Some(settings.zone),
        Some(name) => {
            let index = names.zones.iter().position(|n| n == name);
            if index.is_none() {
                errors.push(format!("member \"{id}\": the front's settings know no zone \"{name}\""));
            }
            index
        }
    };
    let kind = kind_index(member.kind.unwrap_or(Kind::Cache), settings);
    if kind.is_none() {
        errors.push(format!("member \"{id}\": the front's settings know no machine of its kind"));
    }
    let Ok(addr) = member.address.parse() else {
        let address = &member.address;
        errors.push(format!(
            "member \"{id}\": `{address}` is a name; a front looks none up: write its IP address"
        ));
        return None;
    };
    let link_kb_per_s = member.link_kb_per_s.unwrap_or(fernslip_site::defaults::MEMBER_KB_PER_S);
    Some(PlannedMember {
        addr,
        zone,
        kind,
        link: link_kb_per_s / settings.stream_kb_per_s,
        weight: member.weight.unwrap_or(1.0),
        timeouts: Timeouts {
            connect: timeout(member.limits.connect_ms),
            idle: timeout(member.limits.idle_ms),
        },
        state: member.state,
        is_source: member.kind.is_some_and(|k| k != Kind::Cache),
    })
}

/// The settings' index of a member kind; a cache is the first kind that is neither the parent's nor the origin's.
fn kind_index(kind: Kind, settings: &Settings) -> Option<usize> {
    let sources = [settings.parent_kind, settings.origin_kind];
    match kind {
        Kind::Parent => settings.parent_kind,
        Kind::Origin => settings.origin_kind,
        Kind::Cache => (0..settings.kinds).find(|k| !sources.contains(&Some(*k))),
    }
}

/// In how many pools the most used cache is; adds to `errors` each pool that uses a source as a cache.
fn max_pools_per_cache(
    site: &Site,
    members: &BTreeMap<Arc<str>, PlannedMember>,
    errors: &mut Vec<String>,
) -> u32 {
    let mut uses: HashMap<&str, u32> = HashMap::new();
    for pool in &site.pools {
        for used in &pool.members {
            *uses.entry(&used.member).or_default() += 1;
            if members.get(used.member.as_str()).is_some_and(|m| m.is_source) {
                let (pool, id) = (&pool.name, &used.member);
                errors.push(format!(
                    "pool \"{pool}\" uses \"{id}\", which is no cache: sources serve all pools"
                ));
            }
        }
    }
    uses.values().copied().max().unwrap_or(1)
}

/// The pool of a site that describes none: all its caches, with their own weights and states.
fn default_pool(site: &Site) -> Pool {
    let caches = site.members.iter().filter(|m| m.kind == Some(Kind::Cache));
    let member_use = |m: &Member| Use {
        member: m.id.clone(),
        weight: m.weight,
        state: Some(m.state),
        tier: None,
        group: None,
        instead: None,
    };
    let pool = Pool {
        name: DEFAULT_POOL.into(),
        members: caches.map(member_use).collect(),
        limits: PoolLimits::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    let filled = Site { pools: vec![pool], ..site.clone() }.effective();
    filled.pools.into_iter().next().unwrap_or_else(|| unreachable!("the site has one pool"))
}

/// The part of a document that is the same for all fronts: without this front's own name, addresses and files.
pub fn common_to_all_fronts(site: &Site) -> Site {
    Site { front: None, gossip: None, view: None, ..site.clone() }
}

#[cfg(test)]
mod tests;
