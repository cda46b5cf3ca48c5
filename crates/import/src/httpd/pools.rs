//! The pools of all servers: of their balancers, and of workers outside of balancers.

use super::balancer::balancer_pool;
use super::member::{endpoint_of, read_settings, set_pool_times};
use super::model::{Balancer, Server, Worker};
use crate::builder::SiteBuilder;
use crate::ledger::Ledger;
use std::collections::HashMap;

/// The pools that rules can lead to, by the index of the server.
#[derive(Default)]
pub(crate) struct Pools {
    /// By the balancer's name.
    balancers: HashMap<(usize, String), String>,
    /// By the worker's URL; or why it has none.
    workers: HashMap<(usize, String), Result<String, String>>,
}

impl Pools {
    /// The pool of a balancer as a server knows it: its own, or the main server's where it inherits these.
    pub(super) fn of_balancer(&self, server: usize, name: &str, inherits: bool) -> Result<String, String> {
        let own = self.balancers.get(&(server, name.to_string()));
        let main = || self.balancers.get(&(0, name.to_string())).filter(|_| inherits);
        own.or_else(main).cloned().ok_or_else(|| format!("no balancer `{name}` has members"))
    }

    /// The pool of a worker that a server names.
    pub(super) fn of_worker(&self, server: usize, url: &str) -> Result<String, String> {
        let pool = self.workers.get(&(server, url.to_string())).cloned();
        pool.unwrap_or_else(|| Err("leads nowhere".to_string()))
    }
}

/// Makes every pool.
pub(crate) fn build_pools(ledger: &mut Ledger, builder: &mut SiteBuilder, servers: &mut [Server]) -> Pools {
    let mut pools = Pools::default();
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
            let pool = balancer_pool(ledger, builder, balancer, timeout_ms);
            pools.balancers.insert((index, name), pool);
        }
        for worker in std::mem::take(&mut server.workers) {
            let url = worker.url.clone();
            let pool = worker_pool(ledger, builder, worker, timeout_ms);
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

/// A balancer without members may be the main server's, with settings of a virtual host's own.
fn report_empty_balancer(ledger: &mut Ledger, balancer: Balancer, inherited: Option<&String>) {
    for item in &balancer.items {
        match inherited {
            Some(pool) => ledger.mapped(*item, format!("pool \"{pool}\"")),
            None => ledger.omitted(*item, "a balancer without members"),
        }
    }
    for (name, param) in balancer.params.0 {
        let reason = match inherited {
            Some(pool) => format!("a virtual host's own `{name}` for the pool \"{pool}\" of all"),
            None => "of a balancer that has no members".into(),
        };
        ledger.omitted(param.item, reason);
    }
}

/// Makes the pool, with one member, of a worker outside of balancers; its name, or why it has none.
fn worker_pool(
    ledger: &mut Ledger,
    builder: &mut SiteBuilder,
    worker: Worker,
    timeout_ms: Option<u64>,
) -> Result<String, String> {
    let endpoint = endpoint_of(ledger, &worker, str::to_string)?;
    let settings = read_settings(ledger, worker.params, timeout_ms, &worker.url);
    let id = builder.member(&endpoint, settings.limits.clone());
    let mut pool = builder.pool(&id);
    let target = format!("pool \"{}\"", pool.name);
    for item in &worker.items {
        ledger.mapped(*item, target.clone());
    }
    pool.members.push(settings.membership(&id));
    if let Some(redirect) = &settings.redirect {
        ledger.omitted(redirect.item, "a single machine has no other to stand in for it");
    }
    set_pool_times(ledger, &mut pool, &[settings], &target);
    let name = pool.name.clone();
    builder.site.pools.push(pool);
    Ok(name)
}
