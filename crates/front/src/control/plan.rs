//! Turns a site document into the plan that a front serves from: resolves addresses, kinds and zones, and
//! takes over pools and routes. Reports every reason why a front cannot serve from the document.

use crate::upstream::connection_pool::NodeTimeouts;
use fernslip::json::Names;
use fernslip::Settings;
use fernslip_pool::{PoolSpec, Routes};
use fernslip_site::{
    Kind, Member, MembersFrom, Pool, PoolLimits, Protocol, Recovery, Retry, Site, State, Use,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The name of the pool that a site without pools gets; it contains all caches of the site.
const DEFAULT_POOL: &str = "default";

/// A member of the site document, resolved so that a front can serve from it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMember {
    /// The address on which the member listens.
    pub addr: SocketAddr,
    /// The index of the member's zone in the settings.
    pub zone: Option<usize>,
    /// The index of the member's kind in the settings.
    pub kind: Option<usize>,
    /// The bandwidth of the member's link, as the number of answers it can carry at the settings' rate per
    /// stream.
    pub link_capacity: f64,
    /// The member's weight, unless a pool sets another one.
    pub weight: f64,
    /// The timeouts that the site document sets for the member.
    pub timeouts: NodeTimeouts,
    /// The member's state as operators set it in the site document.
    pub state: State,
    /// Whether the member is a source: a parent or the origin, from which every pool fills.
    pub is_source: bool,
}

/// The maximum durations of answers in a pool, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerTimeouts {
    /// The maximum duration of an answer from any member. `None` if the pool sets none.
    pub pool: Option<u64>,
    /// The maximum durations of answers from single members, by member id.
    pub members: HashMap<Arc<str>, u64>,
}

impl AnswerTimeouts {
    /// Returns the maximum duration of an answer from the member `id` in milliseconds. `None` if only the
    /// request's deadline limits it.
    pub fn member_timeout_ms(&self, id: &str) -> Option<u64> {
        [self.pool, self.members.get(id).copied()].into_iter().flatten().min()
    }

    /// Returns the answer timeouts of each pool of a site, in the order of its pools.
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

/// Converts a timeout in milliseconds to a duration of at least 1 ms.
fn timeout_from_millis(ms: Option<u64>) -> Option<Duration> {
    ms.map(|ms| Duration::from_millis(ms.max(1)))
}

/// The members, pools and routes that a front serves from.
#[derive(Debug)]
pub struct Plan {
    /// Whether the members come from the site document; if false, they come from the discovery watch.
    pub from_file: bool,
    /// The members by id; empty if the members come from the discovery watch.
    pub members: BTreeMap<Arc<str>, PlannedMember>,
    /// The pools, in the order of the site document.
    pub pools: Vec<PoolSpec>,
    /// The routes that lead requests to `pools`.
    pub routes: Routes,
    /// The answer timeouts of each of `pools`, in the same order.
    pub answer_timeouts: Vec<AnswerTimeouts>,
    /// The maximum number of pools that any one cache belongs to; at least 1.
    pub max_pools_per_cache: u32,
}

impl Plan {
    /// Makes a plan from a site document for a front with these settings.
    ///
    /// # Errors
    /// Returns every reason why a front cannot serve from the document.
    pub fn from_document(site: &Site, names: &Names, settings: &Settings) -> Result<Plan, Vec<String>> {
        let from_file = site.members_from == Some(MembersFrom::File);
        let mut site = site.with_defaults();
        if from_file && site.pools.is_empty() {
            site.pools.push(default_pool(&site));
        }
        let mut errors = Vec::new();
        let mut members = BTreeMap::new();
        for member in site.members.iter().filter(|_| from_file) {
            if let Some(planned) = plan_member(member, names, settings, &mut errors) {
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
            answer_timeouts: AnswerTimeouts::by_pool(&site),
            pools: PoolSpec::for_all_pools(&site),
            routes: Routes::from_site(&site),
            members,
        })
    }
}

/// Resolves a member of the site document. Adds to `errors` every reason why a front cannot serve from it.
/// `None` if the member's address is invalid.
fn plan_member(
    member: &Member,
    names: &Names,
    settings: &Settings,
    errors: &mut Vec<String>,
) -> Option<PlannedMember> {
    let id = &member.id;
    if let Some(p) = member.protocol.filter(|p| !p.is_supported()) {
        let spoken = Protocol::Resp;
        errors.push(format!("member \"{id}\" speaks {p}, but this front supports only {spoken} to members"));
    }
    let zone = match member.zone.as_deref() {
        None => Some(settings.zone),
        Some(name) => {
            let index = names.zones.iter().position(|n| n == name);
            if index.is_none() {
                errors.push(format!("member \"{id}\": zone \"{name}\" is not in the front's settings"));
            }
            index
        }
    };
    let kind = kind_index(member.kind.unwrap_or(Kind::Cache), settings);
    if kind.is_none() {
        errors.push(format!("member \"{id}\": the front's settings have no node kind for this member"));
    }
    let Ok(addr) = member.address.parse() else {
        let address = &member.address;
        errors.push(format!(
            "member \"{id}\": `{address}` is not an IP address and port; a front does not resolve host names"
        ));
        return None;
    };
    let link_kb_per_s = member.link_kb_per_s.unwrap_or(fernslip_site::defaults::MEMBER_LINK_KB_PER_S);
    Some(PlannedMember {
        addr,
        zone,
        kind,
        link_capacity: link_kb_per_s / settings.stream_kb_per_s,
        weight: member.weight.unwrap_or(1.0),
        timeouts: NodeTimeouts {
            connect: timeout_from_millis(member.limits.connect_ms),
            idle: timeout_from_millis(member.limits.idle_ms),
        },
        state: member.state,
        is_source: member.kind.is_some_and(|k| k != Kind::Cache),
    })
}

/// Returns the settings' index for a member kind. A cache gets the first kind that is neither the parent's
/// nor the origin's. `None` if the settings have no such kind.
fn kind_index(kind: Kind, settings: &Settings) -> Option<usize> {
    let sources = [settings.parent_kind, settings.origin_kind];
    match kind {
        Kind::Parent => settings.parent_kind,
        Kind::Origin => settings.origin_kind,
        Kind::Cache => (0..settings.kinds).find(|k| !sources.contains(&Some(*k))),
    }
}

/// Returns the maximum number of pools that any one cache belongs to, at least 1. Adds an error to `errors`
/// for each source that a pool uses as a cache.
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
                    "pool \"{pool}\" uses \"{id}\", which is a source, not a cache: sources serve all pools"
                ));
            }
        }
    }
    uses.values().copied().max().unwrap_or(1)
}

/// Builds the pool for a site without pools: it contains all caches of the site, with their own weights and
/// states.
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
    let filled = Site { pools: vec![pool], ..site.clone() }.with_defaults();
    filled.pools.into_iter().next().unwrap_or_else(|| unreachable!("the site was given exactly one pool"))
}

/// Returns the part of a site document that is the same for all fronts: without this front's own name,
/// addresses and files.
pub fn common_to_all_fronts(site: &Site) -> Site {
    Site { front: None, gossip: None, view: None, ..site.clone() }
}

#[cfg(test)]
mod tests;
