//! Builds the pools of balancer workers, and of single workers that paths are mounted onto.

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

/// A member of a pool, and the name of its worker.
struct PoolMember {
    worker: String,
    id: String,
}

impl ModJk {
    /// Returns the name of a worker's pool, which is added to the site if it is new, or the reason why the
    /// worker has no pool.
    pub(super) fn worker_pool(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        name: &str,
    ) -> Result<String, String> {
        if let Some(pool) = self.pool_by_worker.get(name) {
            return Ok(pool.clone());
        }
        let worker =
            self.resolve_worker(ledger, name).ok_or_else(|| format!("there is no worker `{name}`"))?;
        let is_balancer = match worker.worker_type().as_str() {
            "lb" => true,
            "ajp13" | "ajp14" => false,
            other => {
                for param in worker.own.0.values() {
                    ledger.report_omitted(
                        param.item,
                        format!("workers of the type `{other}` are not supported"),
                    );
                }
                return Err(format!("`{name}` has the type `{other}`, which is not supported"));
            }
        };
        let names = if is_balancer { balanced_workers(&worker) } else { vec![name.to_string()] };
        let mut pool = builder.new_pool(name);
        let failures = self.add_members(ledger, builder, &mut pool, &names);
        for member in &names {
            if let Some(worker) = self.resolve_worker(ledger, member) {
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

    /// Adds the members of these workers to the pool. Returns the reasons why some workers have no member.
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
            match self.worker_member(ledger, builder, name) {
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

    /// Sets the member that replaces each member with a `redirect`. `members` lists the pool's members in the
    /// same order.
    fn set_redirects(&self, ledger: &mut Ledger, pool: &mut Pool, members: &[PoolMember]) {
        let workers: Vec<Option<Worker>> =
            members.iter().map(|m| self.resolve_worker(ledger, &m.worker)).collect();
        // A redirect names the route of another worker, which is the worker's name unless it sets another
        // route.
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
                    ledger.report_approximated(
                        param.item,
                        target,
                        "applies to all requests, not only to those of a session",
                    );
                }
                None => {
                    let reason = format!("no other member of the balancer has the route `{route}`");
                    ledger.report_omitted(param.item, reason);
                }
            }
        }
    }
}

/// The names of a balancer's workers, without duplicates.
fn balanced_workers(balancer: &Worker) -> Vec<String> {
    let values = ["balance_workers", "balanced_workers"].into_iter().filter_map(|key| balancer.value(key));
    let mut seen = HashSet::new();
    values.flat_map(split_list).filter(|name| seen.insert(name.clone())).collect()
}

/// Sets a limit to the lower of its current value and `value`; where only one of them is set, to that one.
fn lower_to(limit: &mut Option<u64>, value: Option<u64>) {
    *limit = match (*limit, value) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    };
}

/// Sets the pool's values for those properties that mod_jk defines for a balancer or its members. The lowest
/// value takes effect.
fn set_pool_properties(ledger: &mut Ledger, worker: &Worker, pool: &mut Pool, is_balancer: bool) {
    let number = |name: &str| {
        worker.value(name).and_then(|v| v.parse::<u64>().ok()).filter(|n| (1..=1000).contains(n))
    };
    let time = |name: &str, unit_ms| worker.value(name).and_then(|v| parse_time_ms(v, unit_ms));
    lower_to(&mut pool.recovery.first_backoff_ms, time("recover_time", 1000));
    lower_to(&mut pool.retry.attempts, number("retries"));
    lower_to(&mut pool.recovery.failures, number("max_reply_timeouts"));
    lower_to(&mut pool.limits.wait_ms, time("connection_acquire_timeout", 1));
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
    let scope = if is_balancer { "" } else { "the lowest value of the pool's members; " };
    for property in PoolProperty::from_pool(pool) {
        let Some(param) = worker.own.get(property.name) else { continue };
        match property.value {
            Some(_) => {
                let target = format!("pool \"{}\" {}", pool.name, property.target);
                ledger.report_approximated(param.item, target, format!("{scope}{}", property.difference));
            }
            None => ledger.report_omitted(param.item, "the value is not a number in the accepted range"),
        }
    }
}

/// A worker property that sets a value of the pool.
struct PoolProperty {
    name: &'static str,
    /// The pool's value as it is named in the report.
    target: &'static str,
    /// The value of the pool; `None` if no worker sets a valid one.
    value: Option<u64>,
    /// How the pool's value differs from the property.
    difference: &'static str,
}

impl PoolProperty {
    fn from_pool(pool: &Pool) -> [PoolProperty; 4] {
        [
            PoolProperty {
                name: "recover_time",
                target: "recovery first-ms",
                value: pool.recovery.first_backoff_ms,
                difference: "it grows with each failed attempt",
            },
            PoolProperty {
                name: "retries",
                target: "retry attempts",
                value: pool.retry.attempts,
                difference: "attempts go to any member, not only to the same one",
            },
            PoolProperty {
                name: "max_reply_timeouts",
                target: "recovery failures",
                value: pool.recovery.failures,
                difference: "counts consecutive failures of any kind",
            },
            PoolProperty {
                name: "connection_acquire_timeout",
                target: "limits wait-ms",
                value: pool.limits.wait_ms,
                difference: "limits how long a request waits for a free member",
            },
        ]
    }
}

/// The properties of a balancer whose verdicts are set by other functions.
const REPORTED_ELSEWHERE: [&str; 6] = [
    "reference",
    "recover_time",
    "retries",
    "max_reply_timeouts",
    "fail_on_status",
    "connection_acquire_timeout",
];

/// Sets the verdicts of the balancer's own properties. `failures` are the reasons why some of its workers
/// have no member.
fn report_balancer_properties(ledger: &mut Ledger, worker: &Worker, pool: &Pool, failures: &[String]) {
    let target = |what: &str| format!("pool \"{}\"{what}", pool.name);
    for (name, param) in &worker.own.0 {
        let item = param.item;
        match name.as_str() {
            "type" => match worker.value("sticky_session").and_then(parse_flag) {
                Some(false) => ledger.report_mapped(item, target("")),
                _ => {
                    let reason = "sticky sessions, which are mod_jk's default, are not supported";
                    ledger.report_approximated(item, target(""), reason);
                }
            },
            "balance_workers" | "balanced_workers" => match failures.is_empty() {
                true => ledger.report_mapped(item, target(" use")),
                false => ledger.report_approximated(item, target(" use"), failures.join("; ")),
            },
            "sticky_session" if parse_flag(&param.value) == Some(false) => {
                ledger.report_mapped(item, "nothing sticks anyway");
            }
            "method" => match param.value.to_ascii_uppercase().starts_with('R') {
                true => {
                    let reason =
                        "a member's weight sets its share of the objects; requests are not sent in rotation";
                    ledger.report_approximated(item, target(" use weight"), reason);
                }
                false => ledger.report_omitted(item, "only the method Request can be approximated"),
            },
            name if REPORTED_ELSEWHERE.contains(&name) => {}
            _ => {
                let reason = match coverage::find_row(JK_WORKER_PROPERTIES, name) {
                    Some(row) if row.verdict != Verdict::Omitted => {
                        "a property of backend servers, which has no effect on a balancer"
                    }
                    Some(row) => row.outcome,
                    None => "not supported by the importer",
                };
                ledger.report_omitted(item, reason);
            }
        }
    }
}
