//! Reads workers files, and resolves the properties that workers inherit from templates.

use super::mounts::Mount;
use super::syntax::{record_lines, split_list};
use super::ModJk;
use crate::coverage::{self, JK_GLOBAL_PROPERTIES, JK_WORKER_PROPERTIES};
use crate::error::ImportError;
use crate::ledger::{Item, Ledger};
use crate::params::{parse_flag, NamedParam, Param, Params};
use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::sync::Arc;

/// The greatest length of a chain of templates that refer to each other.
const MAX_TEMPLATE_CHAIN: usize = 20;

/// The properties of a worker.
pub(super) struct Worker {
    /// The worker's own properties, whose verdicts are reported.
    pub own: Params,
    /// The properties of its templates.
    inherited: BTreeMap<String, String>,
}

impl Worker {
    /// The value of a property, from the worker itself or else from its templates.
    pub fn value(&self, name: &str) -> Option<&str> {
        let own = self.own.get(name).map(|p| p.value.as_str());
        own.or_else(|| self.inherited.get(name).map(String::as_str))
    }

    /// The value of the first of these properties that is set, so that a new name takes precedence over an
    /// old one.
    pub fn first_value(&self, names: &[&str]) -> Option<&str> {
        names.iter().find_map(|name| self.value(name))
    }

    /// Whether a property is set to a true value.
    pub fn is_set(&self, name: &str) -> bool {
        self.value(name).and_then(parse_flag).unwrap_or(false)
    }

    /// The worker's type in lower case, `ajp13` by default.
    pub fn worker_type(&self) -> String {
        self.value("type").unwrap_or("ajp13").to_ascii_lowercase()
    }
}

/// The name of the template in a `reference`, without the optional prefix `worker.`.
pub(super) fn template_name(reference: &Param) -> &str {
    reference.value.strip_prefix("worker.").unwrap_or(&reference.value)
}

impl ModJk {
    pub fn read_workers_file(
        &mut self,
        ledger: &mut Ledger,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), ImportError> {
        let file: Arc<str> = path.display().to_string().into();
        for line in record_lines(ledger, &file, bytes)? {
            let expanded = line.expand(&self.variables)?;
            self.read_property(ledger, &expanded.text, line.item);
        }
        Ok(())
    }

    /// Reads one line of the form `NAME=VALUE`, after variable expansion.
    pub fn read_property(&mut self, ledger: &mut Ledger, line: &str, item: Item) {
        let Some((name, value)) = line.split_once('=') else {
            return ledger.report_omitted(item, "the line is not of the form `name=value`");
        };
        let (name, value) = (name.trim(), value.trim());
        self.variables.insert(name.to_string(), value.to_string());
        if name == "worker.list" {
            for worker in split_list(value) {
                if !self.listed.contains(&worker) {
                    self.listed.push(worker);
                }
            }
            return ledger.report_mapped(item, "which workers can be mounted");
        }
        if let Some(row) = coverage::find_row(JK_GLOBAL_PROPERTIES, name) {
            return ledger.report_omitted(item, row.outcome);
        }
        let worker_and_property = name.strip_prefix("worker.").and_then(|n| n.rsplit_once('.'));
        match worker_and_property.filter(|(worker, _)| !worker.is_empty()) {
            Some((worker, property)) => self.set_worker_property(ledger, worker, property, value, item),
            // The line sets a variable that later lines of the file can use.
            None => ledger.report_mapped(item, "its value, where it is used"),
        }
    }

    fn set_worker_property(
        &mut self,
        ledger: &mut Ledger,
        worker: &str,
        property: &str,
        value: &str,
        item: Item,
    ) {
        if coverage::find_row(JK_WORKER_PROPERTIES, property).is_none() {
            return ledger.report_omitted(item, "not supported by the importer");
        }
        if !self.workers.contains_key(worker) {
            self.worker_order.push(worker.to_string());
        }
        let properties = self.workers.entry(worker.to_string()).or_default();
        if property != "mount" {
            let param = NamedParam { name: property.to_string(), value: value.to_string(), item };
            return properties.set(ledger, param);
        }
        for pattern in split_list(value) {
            let mount =
                Mount { item, pattern, worker: worker.to_string(), exclude: false, attributes: Vec::new() };
            self.mounts.extend(mount.split_alternatives(ledger));
        }
    }

    /// The worker with this name and the properties it inherits; `None` if there is no such worker.
    pub(super) fn resolve_worker(&self, ledger: &mut Ledger, name: &str) -> Option<Worker> {
        let own = self.workers.get(name)?.clone();
        let own_reference = own.get("reference").cloned();
        let mut inherited = BTreeMap::new();
        if let Some(reference) = &own_reference {
            self.collect_inherited(ledger, name, reference, &mut inherited);
        }
        inherited.remove("reference");
        if let Some(reference) = own_reference {
            ledger.report_mapped(reference.item, "the template's properties");
        }
        Some(Worker { own, inherited })
    }

    /// Collects the properties of a worker's templates, beginning with its own `reference`. Properties of
    /// nearer templates take precedence.
    fn collect_inherited(
        &self,
        ledger: &mut Ledger,
        name: &str,
        own_reference: &Param,
        inherited: &mut BTreeMap<String, String>,
    ) {
        let mut seen = HashSet::from([name]);
        let mut next = Some(own_reference);
        while let Some(reference) = next {
            let template = template_name(reference);
            let Some(properties) = self.workers.get(template) else {
                return ledger.report_omitted(own_reference.item, format!("there is no worker `{template}`"));
            };
            if !seen.insert(template) || seen.len() - 1 > MAX_TEMPLATE_CHAIN {
                let reason = format!(
                    "the reference to `{template}` closes a cycle or exceeds {MAX_TEMPLATE_CHAIN} templates"
                );
                return ledger.report_omitted(own_reference.item, reason);
            }
            for (property, param) in &properties.0 {
                inherited.entry(property.clone()).or_insert_with(|| param.value.clone());
            }
            next = properties.get("reference");
        }
    }
}
