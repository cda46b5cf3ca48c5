//! Converts an httpd balancer to a pool.

use super::member::{endpoint_of, read_settings, set_pool_times, MemberSettings};
use super::model::{Balancer, Worker};
use crate::builder::SiteBuilder;
use crate::coverage::{self, BALANCER_PARAMS, PROXY_PASS_KEYWORDS};
use crate::ledger::Ledger;
use crate::params::{parse_flag, parse_time_ms, Param};
use fernslip_site::{parse_status_code, Pool, State, Use};
use std::collections::HashMap;

/// Adds the pool of a balancer to the site, and returns the pool's name.
pub(super) fn build_balancer_pool(
    ledger: &mut Ledger,
    builder: &mut SiteBuilder,
    balancer: Balancer,
    timeout_ms: Option<u64>,
) -> String {
    let mut pool = BalancerPool::new(builder.new_pool(&balancer.name));
    for item in &balancer.items {
        ledger.report_mapped(*item, pool.target.clone());
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

/// The pool of a balancer while it is being built.
struct BalancerPool {
    pool: Pool,
    /// The pool's name as it is shown in the report.
    target: String,
    /// The position of each member in the pool, keyed by member id.
    positions: HashMap<String, usize>,
    /// Member ids, keyed by the value of the `route` parameter.
    by_route: HashMap<String, String>,
    redirects: Vec<Redirect>,
    settings: Vec<MemberSettings>,
}

/// The `redirect` parameter of the member at `position` in the pool.
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
        let param_reason = |reason: &str| format!("the parameter's member is omitted: {reason}");
        let Ok(endpoint) = endpoint_of(ledger, &worker, param_reason) else { return };
        let Worker { url, items, params } = worker;
        let settings = read_settings(ledger, params, timeout_ms, &url);
        let id = builder.get_or_add_member(&endpoint, settings.limits.clone());
        let target = format!("{} use \"{id}\"", self.target);
        for item in &items {
            ledger.report_mapped(*item, target.clone());
        }
        if let Some(route) = &settings.route {
            self.by_route.entry(route.clone()).or_insert(id.clone());
        }
        if let Some(param) = &settings.redirect {
            self.redirects.push(Redirect { position: self.pool.members.len(), param: param.clone() });
        }
        let membership = settings.membership(&id);
        self.settings.push(settings);
        // URLs that differ only in a trailing slash, for example, have the same endpoint and become one
        // member.
        match self.positions.get(&id) {
            Some(position) => {
                let state_of = |u: &Use| u.state.unwrap_or(State::Ready);
                let earlier = &mut self.pool.members[*position];
                let state = state_of(earlier).stricter(state_of(&membership));
                earlier.state = Some(state).filter(|s| *s != State::Ready);
                for item in &items {
                    let reason =
                        "the balancer already has a member with this address: both become one member";
                    ledger.report_approximated(*item, target.clone(), reason);
                }
            }
            None => {
                self.positions.insert(id, self.pool.members.len());
                self.pool.members.push(membership);
            }
        }
    }

    /// Sets the member that replaces each member with a `redirect`, which names the `route` of another
    /// member.
    fn resolve_redirects(&mut self, ledger: &mut Ledger) {
        for Redirect { position, param } in std::mem::take(&mut self.redirects) {
            let id = self
                .by_route
                .get(&param.value)
                .filter(|id| self.pool.members.get(position).is_some_and(|u| u.member != **id));
            match id {
                Some(id) => {
                    let target = format!("{} use instead=\"{id}\"", self.target);
                    ledger.report_approximated(
                        param.item,
                        target,
                        "applies to all requests, not only to those of a session",
                    );
                    self.pool.members[position].instead = Some(id.clone());
                }
                None => {
                    let reason = format!("no other member of the balancer has the route `{}`", param.value);
                    ledger.report_omitted(param.item, reason);
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
                let reason =
                    "a member's weight sets its share of the objects; requests are not sent in rotation";
                ledger.report_approximated(item, target("use weight"), reason);
            }
            other => ledger.report_omitted(
                item,
                format!("`{other}` is not supported: a member's share is set by its weight"),
            ),
        },
        "maxattempts" => {
            let retries = value.parse::<u64>().ok().filter(|n| *n < 1000);
            if let Some(retries) = retries {
                pool.retry.attempts = Some(retries + 1);
            }
            ledger.report_mapped_if(
                retries.is_some(),
                item,
                target("retry attempts"),
                "not a whole number of attempts below 1000",
            );
        }
        "failonstatus" => {
            let codes: Option<Vec<u16>> =
                value.split(',').map(|code| parse_status_code(code.trim())).collect();
            ledger.report_mapped_if(
                codes.is_some(),
                item,
                target("recovery fail-on"),
                "not a list of status codes",
            );
            if let Some(codes) = codes {
                pool.recovery.fail_on = codes;
            }
        }
        "timeout" => match parse_time_ms(value, 1000) {
            Some(ms) => {
                pool.limits.wait_ms = Some(ms);
                ledger.report_approximated(
                    item,
                    target("limits wait-ms"),
                    "limits how long a request waits for a free member",
                );
            }
            None => ledger.report_omitted(item, "not a duration of at most one day"),
        },
        "failontimeout" => {
            let reason = "a member that does not answer in time always counts as failed";
            match parse_flag(value) {
                Some(true) => ledger.report_approximated(item, target("recovery"), reason),
                _ => ledger.report_omitted(item, reason),
            }
        }
        _ => {
            let row = coverage::find_row(BALANCER_PARAMS, name)
                .or_else(|| coverage::find_row(PROXY_PASS_KEYWORDS, name));
            ledger.report_omitted(item, row.map_or("not supported by the importer", |r| r.outcome));
        }
    }
}
