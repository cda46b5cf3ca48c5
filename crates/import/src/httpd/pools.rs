//! Builds the pools of all servers, one for each balancer and for each worker that belongs to no balancer.

use super::balancer::build_balancer_pool;
use super::member::{endpoint_of, read_settings, set_pool_times};
use super::model::{Balancer, Server, Worker};
use crate::builder::SiteBuilder;
use crate::ledger::Ledger;
use std::collections::HashMap;

/// The pool names that rules can refer to, keyed by the index of the server.
#[derive(Default)]
pub(crate) struct PoolNames {
    /// The names of the pools of balancers, keyed by server index and balancer name.
    balancers: HashMap<(usize, String), String>,
    /// The names of the pools of workers, or the reason why a worker has no pool, keyed by server index and
    /// URL.
    workers: HashMap<(usize, String), Result<String, String>>,
}

impl PoolNames {
    /// The pool of the balancer with this name in a server, or in the main server if `inherits` is set.
    pub(super) fn balancer_pool(&self, server: usize, name: &str, inherits: bool) -> Result<String, String> {
        let own = self.balancers.get(&(server, name.to_string()));
        let main = || self.balancers.get(&(0, name.to_string())).filter(|_| inherits);
        own.or_else(main).cloned().ok_or_else(|| format!("there is no balancer `{name}` with members"))
    }

    /// The pool of the worker with this URL in a server.
    pub(super) fn worker_pool(&self, server: usize, url: &str) -> Result<String, String> {
        let pool = self.workers.get(&(server, url.to_string())).cloned();
        pool.unwrap_or_else(|| Err("no backend server has this URL".to_string()))
    }
}

/// Adds the pools of all servers to the site, and returns their names.
pub(crate) fn build_pools(
    ledger: &mut Ledger,
    builder: &mut SiteBuilder,
    servers: &mut [Server],
) -> PoolNames {
    let mut pools = PoolNames::default();
    let main_timeout_ms = servers[0].timeout.map(|t| t.ms);
    let mut empty: Vec<(usize, Balancer)> = Vec::new();
    for (index, server) in servers.iter_mut().enumerate() {
        let timeout_ms = server.timeout.map(|t| t.ms).or(main_timeout_ms);
        for balancer in std::mem::take(&mut server.balancers) {
            if balancer.members.is_empty() {
                empty.push((index, balancer));
                continue;
            }
            let name = balancer.name.clone();
            let pool = build_balancer_pool(ledger, builder, balancer, timeout_ms);
            pools.balancers.insert((index, name), pool);
        }
        for worker in std::mem::take(&mut server.workers) {
            let url = worker.url.clone();
            let pool = build_worker_pool(ledger, builder, worker, timeout_ms);
            pools.workers.insert((index, url), pool);
        }
    }
    for (index, balancer) in empty {
        let inherits = index > 0 && servers[index].inherits_balancers.unwrap_or(true);
        let inherited = pools.balancers.get(&(0, balancer.name.clone())).filter(|_| inherits);
        report_empty_balancer(ledger, balancer, inherited);
    }
    pools
}

/// Reports a balancer without members. In a virtual host, it may stand for the main server's balancer of that
/// name, whose pool is then `inherited`; its parameters are omitted in either case.
fn report_empty_balancer(ledger: &mut Ledger, balancer: Balancer, inherited: Option<&String>) {
    for item in &balancer.items {
        match inherited {
            Some(pool) => ledger.report_mapped(*item, format!("pool \"{pool}\"")),
            None => ledger.report_omitted(*item, "the balancer has no members"),
        }
    }
    for (name, param) in balancer.params.0 {
        let reason = match inherited {
            Some(pool) => {
                format!("a virtual host cannot set its own `{name}` for the shared pool \"{pool}\"")
            }
            None => "the parameter's balancer has no members".into(),
        };
        ledger.report_omitted(param.item, reason);
    }
}

/// Adds a pool with one member for a worker that belongs to no balancer. Returns the pool's name, or the
/// reason why there is none.
fn build_worker_pool(
    ledger: &mut Ledger,
    builder: &mut SiteBuilder,
    worker: Worker,
    timeout_ms: Option<u64>,
) -> Result<String, String> {
    let endpoint = endpoint_of(ledger, &worker, str::to_string)?;
    let settings = read_settings(ledger, worker.params, timeout_ms, &worker.url);
    let id = builder.get_or_add_member(&endpoint, settings.limits.clone());
    let mut pool = builder.new_pool(&id);
    let target = format!("pool \"{}\"", pool.name);
    for item in &worker.items {
        ledger.report_mapped(*item, target.clone());
    }
    pool.members.push(settings.membership(&id));
    if let Some(redirect) = &settings.redirect {
        ledger.report_omitted(redirect.item, "the pool has no other member that could replace this one");
    }
    set_pool_times(ledger, &mut pool, &[settings], &target);
    let name = pool.name.clone();
    builder.site.pools.push(pool);
    Ok(name)
}
