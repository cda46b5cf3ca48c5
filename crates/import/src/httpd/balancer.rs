//! A balancer to a pool.

use super::member::{endpoint_of, read_settings, set_pool_times, MemberSettings};
use super::model::{Balancer, Worker};
use crate::builder::SiteBuilder;
use crate::coverage::{self, BALANCER_PARAMS, PROXY_PASS_KEYWORDS};
use crate::ledger::Ledger;
use crate::params::{parse_flag, parse_time_ms, Param};
use fernslip_site::{status_code, Pool, State, Use};
use std::collections::HashMap;

/// Makes the pool of a balancer; its name.
pub(super) fn balancer_pool(
    ledger: &mut Ledger,
    builder: &mut SiteBuilder,
    balancer: Balancer,
    timeout_ms: Option<u64>,
) -> String {
    let mut pool = BalancerPool::new(builder.pool(&balancer.name));
    for item in &balancer.items {
        ledger.mapped(*item, pool.target.clone());
    }
    for worker in balancer.members {
        pool.add_worker(ledger, builder, worker, timeout_ms);
    }
    pool.resolve_redirects(ledger);
    let BalancerPool { mut pool, target, settings, .. } = pool;
    set_pool_times(ledger, &mut pool, &settings, &target);
    for (name, param) in balancer.params.0 {
        set_balancer_param(ledger, &mut pool, &name, &param, &target);
    }
    let name = pool.name.clone();
    builder.site.pools.push(pool);
    name
}

/// The pool of a balancer under construction.
struct BalancerPool {
    pool: Pool,
    /// What the report calls it.
    target: String,
    /// The position in the pool of each member, by its id.
    positions: HashMap<String, usize>,
    /// Ids of members by their `route`.
    by_route: HashMap<String, String>,
    redirects: Vec<Redirect>,
    settings: Vec<MemberSettings>,
}

/// The `redirect` of the member at a position in the pool.
struct Redirect {
    position: usize,
    param: Param,
}

impl BalancerPool {
    fn new(pool: Pool) -> BalancerPool {
        BalancerPool {
            target: format!("pool \"{}\"", pool.name),
            pool,
            positions: HashMap::new(),
            by_route: HashMap::new(),
            redirects: Vec::new(),
            settings: Vec::new(),
        }
    }

    fn add_worker(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        worker: Worker,
        timeout_ms: Option<u64>,
    ) {
        let param_reason = |reason: &str| format!("of a member left out: {reason}");
        let Ok(endpoint) = endpoint_of(ledger, &worker, param_reason) else { return };
        let Worker { url, items, params } = worker;
        let settings = read_settings(ledger, params, timeout_ms, &url);
        let id = builder.member(&endpoint, settings.limits.clone());
        let target = format!("{} use \"{id}\"", self.target);
        for item in &items {
            ledger.mapped(*item, target.clone());
        }
        if let Some(route) = &settings.route {
            self.by_route.entry(route.clone()).or_insert(id.clone());
        }
        if let Some(param) = &settings.redirect {
            self.redirects.push(Redirect { position: self.pool.members.len(), param: param.clone() });
        }
        let membership = settings.membership(&id);
        self.settings.push(settings);
        // Two URLs of one endpoint, such as with and without a closing slash, are one member.
        match self.positions.get(&id) {
            Some(position) => {
                let state_of = |u: &Use| u.state.unwrap_or(State::Ready);
                let earlier = &mut self.pool.members[*position];
                let state = state_of(earlier).stricter(state_of(&membership));
                earlier.state = Some(state).filter(|s| *s != State::Ready);
                for item in &items {
                    let reason = "the same machine is in this balancer already";
                    ledger.approximated(*item, target.clone(), reason);
                }
            }
            None => {
                self.positions.insert(id, self.pool.members.len());
                self.pool.members.push(membership);
            }
        }
    }

    /// A redirect names the route of another member of the balancer.
    fn resolve_redirects(&mut self, ledger: &mut Ledger) {
        for Redirect { position, param } in std::mem::take(&mut self.redirects) {
            let id = self
                .by_route
                .get(&param.value)
                .filter(|id| self.pool.members.get(position).is_some_and(|u| u.member != **id));
            match id {
                Some(id) => {
                    let target = format!("{} use instead=\"{id}\"", self.target);
                    ledger.approximated(param.item, target, "for all requests, not a session's");
                    self.pool.members[position].instead = Some(id.clone());
                }
                None => {
                    let reason = format!("no other member of it has the route `{}`", param.value);
                    ledger.omitted(param.item, reason);
                }
            }
        }
    }
}

fn set_balancer_param(ledger: &mut Ledger, pool: &mut Pool, name: &str, param: &Param, pool_target: &str) {
    let Param { value, item } = param;
    let item = *item;
    let target = |what: &str| format!("{pool_target} {what}");
    match name {
        "lbmethod" => match value.to_ascii_lowercase().as_str() {
            "byrequests" => {
                let reason = "a member's share is its weight, by the objects' homes, not in turn";
                ledger.approximated(item, target("use weight"), reason);
            }
            other => ledger.omitted(item, format!("`{other}` has no equal: shares are weights")),
        },
        "maxattempts" => {
            let retries = value.parse::<u64>().ok().filter(|n| *n < 1000);
            if let Some(retries) = retries {
                pool.retry.attempts = Some(retries + 1);
            }
            ledger.mapped_if(retries.is_some(), item, target("retry attempts"), "no number of attempts");
        }
        "failonstatus" => {
            let codes: Option<Vec<u16>> = value.split(',').map(|code| status_code(code.trim())).collect();
            ledger.mapped_if(codes.is_some(), item, target("recovery fail-on"), "no status codes");
            if let Some(codes) = codes {
                pool.recovery.fail_on = codes;
            }
        }
        "timeout" => match parse_time_ms(value, 1000) {
            Some(ms) => {
                pool.limits.wait_ms = Some(ms);
                ledger.approximated(item, target("limits wait-ms"), "how long for a free member");
            }
            None => ledger.omitted(item, "no time of a day or less"),
        },
        "failontimeout" => {
            let reason = "a member that is silent counts as failed, whatever stands here";
            match parse_flag(value) {
                Some(true) => ledger.approximated(item, target("recovery"), reason),
                _ => ledger.omitted(item, reason),
            }
        }
        _ => {
            let row =
                coverage::find(BALANCER_PARAMS, name).or_else(|| coverage::find(PROXY_PASS_KEYWORDS, name));
            ledger.omitted(item, row.map_or("not known to the importer", |r| r.outcome));
        }
    }
}
