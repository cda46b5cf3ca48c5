//! Workers files, and workers with what their templates give them.

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

/// How many templates a worker may refer to, one through the other.
const MAX_REFERENCES: usize = 20;

/// A worker's properties.
pub(super) struct Worker {
    /// Its own lines, which get verdicts.
    pub own: Params,
    /// Those of its templates.
    inherited: BTreeMap<String, String>,
}

impl Worker {
    /// A property of its own, else of its templates.
    pub fn value(&self, name: &str) -> Option<&str> {
        let own = self.own.get(name).map(|p| p.value.as_str());
        own.or_else(|| self.inherited.get(name).map(String::as_str))
    }

    /// The first of several properties that has a value: a new name takes precedence over an old one.
    pub fn first_value(&self, names: &[&str]) -> Option<&str> {
        names.iter().find_map(|name| self.value(name))
    }

    /// Whether a property is there and says yes.
    pub fn is_set(&self, name: &str) -> bool {
        self.value(name).and_then(parse_flag).unwrap_or(false)
    }

    /// Its type, in lower case.
    pub fn worker_type(&self) -> String {
        self.value("type").unwrap_or("ajp13").to_ascii_lowercase()
    }
}

/// The name of the worker that a `reference` names.
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
            self.property(ledger, &expanded.text, line.item);
        }
        Ok(())
    }

    /// Reads one line, `NAME=VALUE`, its variables expanded.
    pub fn property(&mut self, ledger: &mut Ledger, line: &str, item: Item) {
        let Some((name, value)) = line.split_once('=') else {
            return ledger.omitted(item, "no `name=value`");
        };
        let (name, value) = (name.trim(), value.trim());
        self.variables.insert(name.to_string(), value.to_string());
        if name == "worker.list" {
            for worker in split_list(value) {
                if !self.listed.contains(&worker) {
                    self.listed.push(worker);
                }
            }
            return ledger.mapped(item, "which workers can be mounted");
        }
        if let Some(row) = coverage::find(JK_GLOBAL_PROPERTIES, name) {
            return ledger.omitted(item, row.outcome);
        }
        let worker_and_property = name.strip_prefix("worker.").and_then(|n| n.rsplit_once('.'));
        match worker_and_property.filter(|(worker, _)| !worker.is_empty()) {
            Some((worker, property)) => self.worker_property(ledger, worker, property, value, item),
            // A variable of the file's own, for lines below.
            None => ledger.mapped(item, "its value, where it is used"),
        }
    }

    fn worker_property(
        &mut self,
        ledger: &mut Ledger,
        worker: &str,
        property: &str,
        value: &str,
        item: Item,
    ) {
        if coverage::find(JK_WORKER_PROPERTIES, property).is_none() {
            return ledger.omitted(item, "not known to the importer");
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
            self.mounts.extend(mount.alternatives(ledger));
        }
    }

    /// A worker with what its templates give it; `None`: no worker has this name.
    pub(super) fn worker(&self, ledger: &mut Ledger, name: &str) -> Option<Worker> {
        let own = self.workers.get(name)?.clone();
        let own_reference = own.get("reference").cloned();
        let mut inherited = BTreeMap::new();
        if let Some(reference) = &own_reference {
            self.inherit(ledger, name, reference, &mut inherited);
        }
        inherited.remove("reference");
        if let Some(reference) = own_reference {
            ledger.mapped(reference.item, "the template's properties");
        }
        Some(Worker { own, inherited })
    }

    /// Follows the templates from a worker's own `reference`, the nearest first, whose properties take precedence.
    fn inherit(
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
                return ledger.omitted(own_reference.item, format!("no worker is called `{template}`"));
            };
            if !seen.insert(template) || seen.len() - 1 > MAX_REFERENCES {
                let reason = format!("`{template}` refers back to itself, or too far");
                return ledger.omitted(own_reference.item, reason);
            }
            for (property, param) in &properties.0 {
                inherited.entry(property.clone()).or_insert_with(|| param.value.clone());
            }
            next = properties.get("reference");
        }
    }
}
