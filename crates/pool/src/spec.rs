//! A pool's specification as the operators wrote it in the site document, with every default filled in.

use fernslip_site::{Pool, Site, State};
use std::collections::HashMap;
use std::sync::Arc;

/// One member of a pool as the pool specification has it: the member's own settings merged with the pool's `use`.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSpec {
    /// The member.
    pub id: Arc<str>,
    /// Its weight relative to the other members' (no unit; 1.0 by default).
    pub weight: f64,
    /// Its administrative state: the stricter of the member's and the pool's `use`.
    pub state: State,
    /// Its tier; the lowest tier with a usable member serves.
    pub tier: u64,
    /// Its failover group: members of a lost tier's groups stand in first.
    pub group: Option<Arc<str>>,
    /// The id of the member that stands in for it when it is unusable.
    pub instead: Option<Arc<str>>,
    /// Its in-flight request limit; a connection carries one request at least, so a connection limit counts too.
    pub in_flight: Option<u64>,
}

/// A pool's specification, in the units that [`crate::Pool`] uses (milliseconds, counts).
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// Its members, in their order; each id once.
    pub members: Vec<MemberSpec>,
    /// Its in-flight request limit; a connection limit counts too.
    pub in_flight: Option<u64>,
    /// How long a request may wait in the queue for capacity, in milliseconds (KDL key `wait-ms`).
    pub max_queue_wait_ms: f64,
    /// How many requests may wait in the queue (KDL key `waiting`).
    pub max_queued: usize,
    /// The most attempts at a request, the first included (KDL key `attempts`).
    pub max_attempts: u64,
    /// Retries that each arriving request adds to the pool's retry budget.
    pub retry_budget: f64,
    /// The most retries that the budget can save up.
    pub retry_burst: f64,
    /// Consecutive failures after which a member is ejected, at least 1 (KDL key `failures`).
    pub eject_after_failures: u64,
    /// The backoff from ejection to the first half-open probe, in milliseconds (KDL key `first-ms`).
    pub first_backoff_ms: f64,
    /// The longest backoff before a half-open probe, in milliseconds (KDL key `most-ms`).
    pub max_backoff_ms: f64,
}

impl Spec {
    /// The specification of one pool of a site that was read and checked. Members that the site does not have are
    /// skipped.
    pub fn of(site: &Site, pool: &Pool) -> Spec {
        let one = Site { pools: vec![pool.clone()], routes: Vec::new(), ..site.clone() };
        Spec::all(&one).remove(0)
    }

    /// The specifications of every pool of a site, in the site's order.
    pub fn all(site: &Site) -> Vec<Spec> {
        let site = site.effective();
        let members: HashMap<&str, &fernslip_site::Member> =
            site.members.iter().map(|m| (m.id.as_str(), m)).collect();
        site.pools
            .iter()
            .map(|p| Spec {
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
                // A connection carries one request at least.
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
