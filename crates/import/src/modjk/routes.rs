//! Converts mounts to routes, and builds the separate pools that the attributes of a mount require.

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

/// The attributes that require a separate pool for the mount, in the order in which they are applied. If two
/// lists name the same member, the later and stricter state takes effect.
const POOL_ATTRIBUTES: [&str; 5] = ["active", "disabled", "stopped", "reply_timeout", "fail_on_status"];

impl ModJk {
    /// Builds the route of a mount. If the mount is omitted, reports the omission and returns `None`.
    pub fn build_route(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        mount: &Mount,
    ) -> Option<Route> {
        report_attributes(ledger, mount);
        let target = match mount.exclude {
            true => self.exclusion_target(ledger, builder, mount)?,
            false => self.mount_target(ledger, builder, mount),
        };
        let is_wildcard = mount.pattern.contains(['*', '?']);
        let matching = Some(if is_wildcard { Match::Wildcard } else { Match::Exact });
        Some(Route { pattern: mount.pattern.clone(), matching, target, rewrite: None })
    }

    fn exclusion_target(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        mount: &Mount,
    ) -> Option<Target> {
        if mount.worker == "*" {
            ledger.report_mapped(mount.item, "route exclude");
            return Some(Target::Exclude(None));
        }
        match self.worker_pool(ledger, builder, &mount.worker) {
            Ok(pool) => {
                ledger.report_mapped(mount.item, format!("route exclude pool=\"{pool}\""));
                Some(Target::Exclude(Some(pool)))
            }
            Err(reason) => {
                ledger.report_omitted(mount.item, format!("the exclusion has no effect: {reason}"));
                None
            }
        }
    }

    fn mount_target(&mut self, ledger: &mut Ledger, builder: &mut SiteBuilder, mount: &Mount) -> Target {
        match self.mount_pool(ledger, builder, mount) {
            Ok(pool) => {
                ledger.report_mapped(mount.item, format!("route pool=\"{pool}\""));
                Target::Pool(pool)
            }
            Err(reason) => {
                // mod_jk would answer these requests with an error, so no other route may match them instead.
                mount.omit_attributes(ledger, "the attribute's mount has no pool");
                let reason = format!("{reason}: the path is excluded from other routes");
                ledger.report_approximated(mount.item, "route exclude", reason);
                Target::Exclude(None)
            }
        }
    }

    /// Returns the name of a mount's pool: the pool of its worker, or a copy of it that the attributes of the
    /// mount change.
    fn mount_pool(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        mount: &Mount,
    ) -> Result<String, String> {
        let base = self.worker_pool(ledger, builder, &mount.worker)?;
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
                    ledger.report_approximated(
                        item,
                        format!("{target} limits answer-ms"),
                        "limits the whole answer",
                    );
                }
                None => ledger.report_omitted(item, "not a duration of at most one day"),
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
                    true => ledger.report_mapped(item, target),
                    false => {
                        let reason =
                            format!("not applied to {}: not a member of the pool", missing.join(", "));
                        ledger.report_approximated(item, target, reason);
                    }
                }
            }
        }
    }

    /// Sets the state of the members of these workers in a pool. Returns the workers that have no member in
    /// it.
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

    /// Adds the pools of listed workers and balancers that no path is mounted onto, and reports the workers
    /// that are not used.
    pub fn add_unmounted(&mut self, ledger: &mut Ledger, builder: &mut SiteBuilder) {
        for name in self.listed.clone() {
            let _ = self.worker_pool(ledger, builder, &name);
        }
        for name in self.worker_order.clone() {
            let is_balancer =
                self.resolve_worker(ledger, &name).is_some_and(|w| w.value("type") == Some("lb"));
            if is_balancer && !self.pool_by_worker.contains_key(&name) {
                let _ = self.worker_pool(ledger, builder, &name);
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
                let otherwise = "the worker is neither listed nor used by a balancer";
                ledger.report_mapped_if(is_template, param.item, "the workers that refer to it", otherwise);
            }
        }
    }
}

/// A key for the attributes by which a mount changes its worker's pool. It does not depend on their order.
/// `None` if the mount has no such attribute.
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

/// Sets the verdicts of attributes that do not affect the pool.
fn report_attributes(ledger: &mut Ledger, mount: &Mount) {
    for attribute in &mount.attributes {
        match coverage::find_row(JK_MOUNT_ATTRIBUTES, &attribute.name) {
            Some(row) if row.verdict == Verdict::Omitted => {
                ledger.report_omitted(attribute.item, row.outcome);
            }
            Some(_) if mount.exclude => {
                ledger.report_omitted(attribute.item, "an exclusion has no attributes");
            }
            Some(_) => {}
            None => ledger.report_omitted(attribute.item, "not supported by the importer"),
        }
    }
}
