//! Pools of workers that paths are mounted onto.

use super::syntax::{split_list, StatusCodes};
use super::workers::Worker;
use super::ModJk;
use crate::builder::SiteBuilder;
use crate::coverage::{self, JK_WORKER_PROPERTIES};
use crate::ledger::Ledger;
use crate::params::{parse_flag, parse_time_ms};
use crate::report::Verdict;
use fernslip_site::Pool;
use std::collections::{HashMap, HashSet};

/// A worker's member in a pool.
struct PoolMember {
    worker: String,
    id: String,
}

impl ModJk {
    /// The name of the pool of a worker, made where it is not there yet; or why it has none.
    pub(super) fn pool(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        name: &str,
    ) -> Result<String, String> {
        if let Some(pool) = self.pool_by_worker.get(name) {
            return Ok(pool.clone());
        }
        let worker = self.worker(ledger, name).ok_or_else(|| format!("no worker is called `{name}`"))?;
        let is_balancer = match worker.worker_type().as_str() {
            "lb" => true,
            "ajp13" | "ajp14" => false,
            other => {
                for param in worker.own.0.values() {
                    ledger.omitted(param.item, format!("a worker of the type `{other}` has no equal"));
                }
                return Err(format!("`{name}` is of the type `{other}`, which has no equal"));
            }
        };
        let names = if is_balancer { balanced_workers(&worker) } else { vec![name.to_string()] };
        let mut pool = builder.pool(name);
        let failures = self.add_members(ledger, builder, &mut pool, &names);
        for member in &names {
            if let Some(worker) = self.worker(ledger, member) {
                set_pool_properties(ledger, &worker, &mut pool, false);
            }
        }
        if is_balancer {
            set_pool_properties(ledger, &worker, &mut pool, true);
            report_balancer_properties(ledger, &worker, &pool, &failures);
        }
        let pool_name = pool.name.clone();
        builder.site.pools.push(pool);
        self.pool_by_worker.insert(name.to_string(), pool_name.clone());
        Ok(pool_name)
    }

    /// Adds the members of these workers; why some have none.
    fn add_members(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        pool: &mut Pool,
        names: &[String],
    ) -> Vec<String> {
        let mut failures = Vec::new();
        let mut members: Vec<PoolMember> = Vec::new();
        for name in names {
            match self.member(ledger, builder, name) {
                Ok(id) => {
                    pool.members.push(self.membership(ledger, name, &id, &pool.name));
                    members.push(PoolMember { worker: name.clone(), id });
                }
                Err(reason) => failures.push(reason),
            }
        }
        self.set_redirects(ledger, pool, &members);
        failures
    }

    /// Sets the members that replace others. `members` are the pool's, in its order.
    fn set_redirects(&self, ledger: &mut Ledger, pool: &mut Pool, members: &[PoolMember]) {
        let workers: Vec<Option<Worker>> = members.iter().map(|m| self.worker(ledger, &m.worker)).collect();
        // A redirect names a route, which is the worker's name where it sets no other.
        let mut id_by_route: HashMap<&str, &str> = HashMap::new();
        for (worker, member) in workers.iter().zip(members) {
            let route = worker.as_ref().and_then(|w| w.first_value(&["route", "jvm_route"]));
            id_by_route.entry(route.unwrap_or(&member.worker)).or_insert(&member.id);
        }
        for (worker, membership) in workers.iter().zip(&mut pool.members) {
            let Some(worker) = worker else { continue };
            let Some(route) = worker.value("redirect") else { continue };
            let replacement = id_by_route.get(route).filter(|id| **id != membership.member);
            membership.instead = replacement.map(ToString::to_string);
            let Some(param) = worker.own.get("redirect") else { continue };
            match &membership.instead {
                Some(id) => {
                    let target = format!("pool \"{}\" use instead=\"{id}\"", pool.name);
                    ledger.approximated(param.item, target, "for all requests, not a session's");
                }
                None => {
                    let reason = format!("no other member of its balancer has the route `{route}`");
                    ledger.omitted(param.item, reason);
                }
            }
        }
    }
}

/// The workers that a balancer names, each once.
fn balanced_workers(balancer: &Worker) -> Vec<String> {
    let values = ["balance_workers", "balanced_workers"].into_iter().filter_map(|key| balancer.value(key));
    let mut seen = HashSet::new();
    values.flat_map(split_list).filter(|name| seen.insert(name.clone())).collect()
}

/// Lowers a limit to the value, if there is one.
fn lower(limit: &mut Option<u64>, value: Option<u64>) {
    *limit = match (*limit, value) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    };
}

/// What a balancer or a member says that is a pool's matter here. Of several values the least takes effect.
fn set_pool_properties(ledger: &mut Ledger, worker: &Worker, pool: &mut Pool, is_balancer: bool) {
    let number = |name: &str| {
        worker.value(name).and_then(|v| v.parse::<u64>().ok()).filter(|n| (1..=1000).contains(n))
    };
    let time = |name: &str, unit_ms| worker.value(name).and_then(|v| parse_time_ms(v, unit_ms));
    lower(&mut pool.recovery.first_backoff_ms, time("recover_time", 1000));
    lower(&mut pool.retry.attempts, number("retries"));
    lower(&mut pool.recovery.failures, number("max_reply_timeouts"));
    lower(&mut pool.limits.wait_ms, time("connection_acquire_timeout", 1));
    if let Some(value) = worker.value("fail_on_status") {
        let status = StatusCodes::parse(value);
        for code in &status.codes {
            if !pool.recovery.fail_on.contains(code) {
                pool.recovery.fail_on.push(*code);
            }
        }
        if let Some(param) = worker.own.get("fail_on_status") {
            status.report(ledger, param.item, format!("pool \"{}\" recovery fail-on", pool.name));
        }
    }
    let whose = if is_balancer { "" } else { "the least of the pool's members'; " };
    for property in PoolProperty::all(pool) {
        let Some(param) = worker.own.get(property.name) else { continue };
        match property.value {
            Some(_) => {
                let target = format!("pool \"{}\" {}", pool.name, property.target);
                ledger.approximated(param.item, target, format!("{whose}{}", property.difference));
            }
            None => ledger.omitted(param.item, "no number of its range"),
        }
    }
}

/// A property that sets a value of the pool.
struct PoolProperty {
    name: &'static str,
    target: &'static str,
    /// The value that takes effect.
    value: Option<u64>,
    difference: &'static str,
}

impl PoolProperty {
    fn all(pool: &Pool) -> [PoolProperty; 4] {
        [
            PoolProperty {
                name: "recover_time",
                target: "recovery first-ms",
                value: pool.recovery.first_backoff_ms,
                difference: "it grows with each failed trial",
            },
            PoolProperty {
                name: "retries",
                target: "retry attempts",
                value: pool.retry.attempts,
                difference: "at any members, not at the same one",
            },
            PoolProperty {
                name: "max_reply_timeouts",
                target: "recovery failures",
                value: pool.recovery.failures,
                difference: "failures of any kind, in a row",
            },
            PoolProperty {
                name: "connection_acquire_timeout",
                target: "limits wait-ms",
                value: pool.limits.wait_ms,
                difference: "for a free member",
            },
        ]
    }
}

/// Properties of a balancer whose verdicts are set elsewhere.
const REPORTED_WITH_THE_POOL: [&str; 6] = [
    "reference",
    "recover_time",
    "retries",
    "max_reply_timeouts",
    "fail_on_status",
    "connection_acquire_timeout",
];

/// Sets the verdicts of a balancer's own lines. `failures` are why some of its workers have no member.
fn report_balancer_properties(ledger: &mut Ledger, worker: &Worker, pool: &Pool, failures: &[String]) {
    let target = |what: &str| format!("pool \"{}\"{what}", pool.name);
    for (name, param) in &worker.own.0 {
        let item = param.item;
        match name.as_str() {
            "type" => match worker.value("sticky_session").and_then(parse_flag) {
                Some(false) => ledger.mapped(item, target("")),
                _ => {
                    let reason = "sessions don't stick to members, which mod_jk's do unless told otherwise";
                    ledger.approximated(item, target(""), reason);
                }
            },
            "balance_workers" | "balanced_workers" => match failures.is_empty() {
                true => ledger.mapped(item, target(" use")),
                false => ledger.approximated(item, target(" use"), failures.join("; ")),
            },
            "sticky_session" if parse_flag(&param.value) == Some(false) => {
                ledger.mapped(item, "nothing sticks anyway");
            }
            "method" => match param.value.to_ascii_uppercase().starts_with('R') {
                true => {
                    let reason = "a member's share is its weight, by the objects' homes, not in turn";
                    ledger.approximated(item, target(" use weight"), reason);
                }
                false => ledger.omitted(item, "only counting requests has a near equal"),
            },
            name if REPORTED_WITH_THE_POOL.contains(&name) => {}
            _ => {
                let reason = match coverage::find(JK_WORKER_PROPERTIES, name) {
                    Some(row) if row.verdict != Verdict::Omitted => "of a machine; a balancer has none",
                    Some(row) => row.outcome,
                    None => "not known to the importer",
                };
                ledger.omitted(item, reason);
            }
        }
    }
}
