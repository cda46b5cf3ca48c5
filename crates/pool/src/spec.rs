//! The specification of a pool: its settings from the site document, with every default filled in.

use fernslip_site::{Pool, Site, State};
use std::collections::HashMap;
use std::sync::Arc;

/// The specification of one member of a pool: the member's own settings merged with those of the pool's `use`
/// node.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSpec {
    /// The member's id.
    pub id: Arc<str>,
    /// The member's weight relative to the other members (no unit; 1.0 by default).
    pub weight: f64,
    /// The administrative state: the stricter of the member's own and that of the `use` node.
    pub state: State,
    /// The failover tier (0 by default); the lowest tier with a usable member serves.
    pub tier: u64,
    /// The failover group: if a tier has no usable member, members of its groups in the next tier serve
    /// first.
    pub group: Option<Arc<str>>,
    /// The id of the member that replaces this one while it is unusable.
    pub instead: Option<Arc<str>>,
    /// The limit of requests in flight, or the connection limit if that is lower, since a connection carries
    /// at least one request; `None` for no limit.
    pub in_flight: Option<u64>,
}

/// A pool's specification, in the units that [`crate::Pool`] uses (milliseconds, counts).
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// The name of the pool.
    pub name: String,
    /// The members in the order of the document; each id occurs once.
    pub members: Vec<MemberSpec>,
    /// The limit of requests in flight in the pool, or the connection limit if that is lower; `None` for no
    /// limit.
    pub in_flight: Option<u64>,
    /// The longest wait of a request in the queue, in milliseconds (KDL key `wait-ms`).
    pub max_queue_wait_ms: f64,
    /// The greatest number of requests in the queue (KDL key `waiting`).
    pub max_queued: usize,
    /// The greatest number of attempts at a request, the first included (KDL key `attempts`).
    pub max_attempts: u64,
    /// The number of retries, usually a fraction, that each arriving request adds to the retry budget (KDL
    /// key `budget`).
    pub retry_budget: f64,
    /// The greatest number of retries that the retry budget can accumulate (KDL key `burst`).
    pub retry_burst: f64,
    /// Consecutive failures after which a member is ejected, at least 1 (KDL key `failures`).
    pub eject_after_failures: u64,
    /// The backoff from ejection to the first half-open probe, in milliseconds (KDL key `first-ms`).
    pub first_backoff_ms: f64,
    /// The longest backoff before a half-open probe, in milliseconds (KDL key `most-ms`).
    pub max_backoff_ms: f64,
}

impl PoolSpec {
    /// The specification of one pool of a parsed and checked site. Members that the site does not define are
    /// skipped.
    pub fn for_pool(site: &Site, pool: &Pool) -> PoolSpec {
        let one = Site { pools: vec![pool.clone()], routes: Vec::new(), ..site.clone() };
        PoolSpec::for_all_pools(&one).remove(0)
    }

    /// The specifications of all pools of a site, in the order of the document.
    pub fn for_all_pools(site: &Site) -> Vec<PoolSpec> {
        let site = site.with_defaults();
        let members: HashMap<&str, &fernslip_site::Member> =
            site.members.iter().map(|m| (m.id.as_str(), m)).collect();
        site.pools
            .iter()
            .map(|p| PoolSpec {
                name: p.name.clone(),
                members: p
                    .members
                    .iter()
                    .filter_map(|u| {
                        let m = members.get(u.member.as_str())?;
                        Some(MemberSpec {
                            id: u.member.as_str().into(),
                            weight: u.weight.or(m.weight).unwrap_or(1.0),
                            state: u.state.unwrap_or(m.state).stricter(m.state),
                            tier: u.tier.unwrap_or(0),
                            group: u.group.as_deref().map(Arc::from),
                            instead: u.instead.as_deref().map(Arc::from),
                            in_flight: [m.limits.in_flight, m.limits.connections].into_iter().flatten().min(),
                        })
                    })
                    .collect(),
                // A connection carries at least one request, so a connection limit bounds the requests too.
                in_flight: [p.limits.in_flight, p.limits.connections].into_iter().flatten().min(),
                max_queue_wait_ms: p.limits.wait_ms.unwrap_or(0) as f64,
                max_queued: p.limits.waiting.unwrap_or(0) as usize,
                max_attempts: p.retry.attempts.unwrap_or(1),
                retry_budget: p.retry.budget.unwrap_or(0.0),
                retry_burst: p.retry.burst.unwrap_or(0) as f64,
                eject_after_failures: p.recovery.failures.unwrap_or(1).max(1),
                first_backoff_ms: p.recovery.first_backoff_ms.unwrap_or(0) as f64,
                max_backoff_ms: p.recovery.max_backoff_ms.unwrap_or(0) as f64,
            })
            .collect()
    }
}
