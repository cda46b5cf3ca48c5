//! Mounts to routes, and the pools that a mount's attributes make.

use super::mounts::Mount;
use super::syntax::{parse_activation, split_list, StatusCodes};
use super::workers::template_name;
use super::ModJk;
use crate::builder::SiteBuilder;
use crate::coverage::{self, JK_MOUNT_ATTRIBUTES};
use crate::ledger::Ledger;
use crate::params::{parse_time_ms, NamedParam};
use crate::report::Verdict;
use fernslip_site::{Match, Pool, Route, State, Target};
use std::collections::HashSet;

/// Attributes that make a pool of the mount's own, in the order in which they are applied: of a member that two lists
/// name, the later and stricter state takes effect.
const POOL_ATTRIBUTES: [&str; 5] = ["active", "disabled", "stopped", "reply_timeout", "fail_on_status"];

impl ModJk {
    /// The route of a mount; `None`: it has none, which the report says.
    pub fn route(&mut self, ledger: &mut Ledger, builder: &mut SiteBuilder, mount: &Mount) -> Option<Route> {
        report_attributes(ledger, mount);
        let target = match mount.exclude {
            true => self.excluded(ledger, builder, mount)?,
            false => self.mounted(ledger, builder, mount),
        };
        let is_wildcard = mount.pattern.contains(['*', '?']);
        let matching = Some(if is_wildcard { Match::Wildcard } else { Match::Exact });
        Some(Route { pattern: mount.pattern.clone(), matching, target, rewrite: None })
    }

    fn excluded(&mut self, ledger: &mut Ledger, builder: &mut SiteBuilder, mount: &Mount) -> Option<Target> {
        if mount.worker == "*" {
            ledger.mapped(mount.item, "route exclude");
            return Some(Target::Exclude(None));
        }
        match self.pool(ledger, builder, &mount.worker) {
            Ok(pool) => {
                ledger.mapped(mount.item, format!("route exclude pool=\"{pool}\""));
                Some(Target::Exclude(Some(pool)))
            }
            Err(reason) => {
                ledger.omitted(mount.item, format!("keeps nothing back: {reason}"));
                None
            }
        }
    }

    fn mounted(&mut self, ledger: &mut Ledger, builder: &mut SiteBuilder, mount: &Mount) -> Target {
        match self.mount_pool(ledger, builder, mount) {
            Ok(pool) => {
                ledger.mapped(mount.item, format!("route pool=\"{pool}\""));
                Target::Pool(pool)
            }
            Err(reason) => {
                // mod_jk would fail these requests; another route must not take them instead.
                mount.omit_attributes(ledger, "of a mount that leads nowhere");
                let reason = format!("{reason}: the path is kept from other routes");
                ledger.approximated(mount.item, "route exclude", reason);
                Target::Exclude(None)
            }
        }
    }

    /// The pool of a mount: its worker's, or a variation of that by the mount's attributes.
    fn mount_pool(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        mount: &Mount,
    ) -> Result<String, String> {
        let base = self.pool(ledger, builder, &mount.worker)?;
        let Some(variation) = variation_key(mount) else { return Ok(base) };
        let Some(mut pool) = builder.site.pools.iter().find(|p| p.name == base).cloned() else {
            return Ok(base);
        };
        let key = (base.clone(), variation);
        let existing = self.pool_by_variation.get(&key).cloned();
        let is_new = existing.is_none();
        pool.name = existing.unwrap_or_else(|| builder.pool_names.assign(&base));
        for name in POOL_ATTRIBUTES {
            for attribute in mount.attributes.iter().filter(|a| a.name == name) {
                self.apply_attribute(ledger, &mut pool, attribute);
            }
        }
        let name = pool.name.clone();
        if is_new {
            builder.site.pools.push(pool);
            self.pool_by_variation.insert(key, name.clone());
        }
        Ok(name)
    }

    fn apply_attribute(&self, ledger: &mut Ledger, pool: &mut Pool, attribute: &NamedParam) {
        let NamedParam { name, value, item } = attribute;
        let item = *item;
        let target = format!("pool \"{}\"", pool.name);
        match name.as_str() {
            "reply_timeout" => match parse_time_ms(value, 1) {
                Some(ms) => {
                    pool.limits.answer_ms = Some(ms).filter(|ms| *ms > 0);
                    ledger.approximated(item, format!("{target} limits answer-ms"), "of the whole answer");
                }
                None => ledger.omitted(item, "no time of a day or less"),
            },
            "fail_on_status" => {
                let status = StatusCodes::parse(value);
                status.report(ledger, item, format!("{target} recovery fail-on"));
                pool.recovery.fail_on = status.codes;
            }
            activation => {
                let state = parse_activation(activation).unwrap_or(State::Draining);
                let missing = self.set_states(pool, value, state);
                let target = format!("{target} use state");
                match missing.is_empty() {
                    true => ledger.mapped(item, target),
                    false => {
                        let reason = format!("without {}: no member of it", missing.join(", "));
                        ledger.approximated(item, target, reason);
                    }
                }
            }
        }
    }

    /// Sets the state of these workers' members in a pool; the workers that have none in it.
    fn set_states(&self, pool: &mut Pool, workers: &str, state: State) -> Vec<String> {
        let mut missing = Vec::new();
        for name in split_list(workers) {
            let id = self.member_by_worker.get(&name);
            match id.and_then(|id| pool.members.iter_mut().find(|u| u.member == *id)) {
                Some(membership) => membership.state = Some(state).filter(|s| *s != State::Ready),
                None => missing.push(format!("`{name}`")),
            }
        }
        missing
    }

    /// Makes the pools of listed workers and of balancers that no path is mounted onto, and reports which workers are
    /// unused.
    pub fn add_unmounted(&mut self, ledger: &mut Ledger, builder: &mut SiteBuilder) {
        for name in self.listed.clone() {
            let _ = self.pool(ledger, builder, &name);
        }
        for name in self.worker_order.clone() {
            let is_balancer = self.worker(ledger, &name).is_some_and(|w| w.value("type") == Some("lb"));
            if is_balancer && !self.pool_by_worker.contains_key(&name) {
                let _ = self.pool(ledger, builder, &name);
            }
        }
        let references = self.workers.values().filter_map(|properties| properties.get("reference"));
        let templates: HashSet<&str> = references.map(template_name).collect();
        for name in &self.worker_order {
            if self.member_by_worker.contains_key(name) || self.pool_by_worker.contains_key(name) {
                continue;
            }
            let is_template = templates.contains(name.as_str());
            for param in self.workers.get(name).into_iter().flat_map(|properties| properties.0.values()) {
                let otherwise = "of a worker that is in no list and no balancer";
                ledger.mapped_if(is_template, param.item, "the workers that refer to it", otherwise);
            }
        }
    }
}

/// What a mount varies its worker's pool by, the same for the same attributes in any order; `None`: nothing.
fn variation_key(mount: &Mount) -> Option<String> {
    let mut varied: Vec<String> = mount
        .attributes
        .iter()
        .filter(|a| POOL_ATTRIBUTES.contains(&a.name.as_str()))
        .map(|a| format!("{}={}", a.name, a.value))
        .collect();
    varied.sort();
    (!varied.is_empty()).then(|| varied.join(";"))
}

/// Sets the verdicts of attributes that make no difference to the pool.
fn report_attributes(ledger: &mut Ledger, mount: &Mount) {
    for attribute in &mount.attributes {
        match coverage::find(JK_MOUNT_ATTRIBUTES, &attribute.name) {
            Some(row) if row.verdict == Verdict::Omitted => ledger.omitted(attribute.item, row.outcome),
            Some(_) if mount.exclude => ledger.omitted(attribute.item, "of an exclusion"),
            Some(_) => {}
            None => ledger.omitted(attribute.item, "not known to the importer"),
        }
    }
}
