//! A pool as the operators wrote it, with every default filled in.

use fernslip_site::{Pool, Site, State};
use std::collections::HashMap;
use std::sync::Arc;

/// A member's part.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The member.
    pub id: Arc<str>,
    /// Its share, compared with the others'.
    pub weight: f64,
    /// What the operators want of it.
    pub state: State,
    /// The lowest tier with a usable member serves.
    pub tier: u64,
    /// Who stands in for whom first.
    pub group: Option<Arc<str>>,
    /// The member that takes its place.
    pub instead: Option<Arc<str>>,
    /// Requests at it at the same time; connections carry one each at least, so their limit is one too.
    pub in_flight: Option<u64>,
}

/// A pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// Its members, in their order; each id once.
    pub parts: Vec<Part>,
    /// Requests in it at the same time; its members' connections together count as that too.
    pub in_flight: Option<u64>,
    /// How long a request may wait for a place, in milliseconds.
    pub wait_ms: f64,
    /// How many may wait.
    pub waiting: usize,
    /// Attempts at a request.
    pub attempts: u64,
    /// Further attempts that each request earns for all.
    pub retry_budget: f64,
    /// Further attempts that can be saved up.
    pub retry_burst: f64,
    /// Failures in a row after which a member counts as failed.
    pub failures: u64,
    /// From then to its first trial, in milliseconds.
    pub first_backoff_ms: f64,
    /// The longest wait for a trial, in milliseconds.
    pub max_backoff_ms: f64,
}

impl Spec {
    /// From a pool of a site that was read and checked. Members that the site does not have are passed over.
    pub fn of(site: &Site, pool: &Pool) -> Spec {
        let one = Site { pools: vec![pool.clone()], routes: Vec::new(), ..site.clone() };
        Spec::all(&one).remove(0)
    }

    /// Every pool of a site.
    pub fn all(site: &Site) -> Vec<Spec> {
        let site = site.effective();
        let members: HashMap<&str, &fernslip_site::Member> =
            site.members.iter().map(|m| (m.id.as_str(), m)).collect();
        site.pools
            .iter()
            .map(|p| Spec {
                name: p.name.clone(),
                parts: p
                    .members
                    .iter()
                    .filter_map(|u| {
                        let m = members.get(u.member.as_str())?;
                        Some(Part {
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
                wait_ms: p.limits.wait_ms.unwrap_or(0) as f64,
                waiting: p.limits.waiting.unwrap_or(0) as usize,
                attempts: p.retry.attempts.unwrap_or(1),
                retry_budget: p.retry.budget.unwrap_or(0.0),
                retry_burst: p.retry.burst.unwrap_or(0) as f64,
                failures: p.recovery.failures.unwrap_or(1).max(1),
                first_backoff_ms: p.recovery.first_ms.unwrap_or(0) as f64,
                max_backoff_ms: p.recovery.most_ms.unwrap_or(0) as f64,
            })
            .collect()
    }
}
