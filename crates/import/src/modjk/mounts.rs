//! Mounts, which assign paths to workers.

use super::syntax::record_lines;
use crate::error::ImportError;
use crate::ledger::{Item, Ledger};
use crate::params::NamedParam;
use crate::text::{Expanded, Line};
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;

/// A path mounted onto a worker, or excluded from it.
#[derive(Clone, Debug)]
pub(crate) struct Mount {
    pub item: Item,
    pub pattern: String,
    pub worker: String,
    /// Whether the path is excluded from the worker instead.
    pub exclude: bool,
    pub attributes: Vec<NamedParam>,
}

impl Mount {
    /// Splits a pattern with `|` into two mounts: `/a|/*` stands for `/a` and `/a/*`. Returns no mount if a
    /// path does not begin with `/`.
    pub fn split_alternatives(self, ledger: &mut Ledger) -> Vec<Mount> {
        let patterns = match self.pattern.split_once('|') {
            Some((stem, suffix)) => vec![stem.to_string(), format!("{stem}{suffix}")],
            None => vec![self.pattern.clone()],
        };
        if patterns.iter().any(|p| !p.starts_with('/')) {
            ledger.report_omitted(self.item, "the path of a mount must begin with `/`");
            self.omit_attributes(ledger, "the attribute's mount is omitted");
            return Vec::new();
        }
        patterns.into_iter().map(|pattern| Mount { pattern, ..self.clone() }).collect()
    }

    pub(super) fn omit_attributes(&self, ledger: &mut Ledger, reason: &str) {
        for attribute in &self.attributes {
            ledger.report_omitted(attribute.item, reason);
        }
    }
}

/// Reads a mounts file. Its lines are `PATH=WORKER;NAME=VALUE…`, where a path that begins with `!` is
/// excluded and one that begins with `-` is disabled, or they set variables.
pub(crate) fn read_mounts_file(
    ledger: &mut Ledger,
    path: &Path,
    bytes: &[u8],
) -> Result<Vec<Mount>, ImportError> {
    let file: Arc<str> = path.display().to_string().into();
    let mut mounts = Vec::new();
    let mut variables: HashMap<String, String> = HashMap::new();
    for line in record_lines(ledger, &file, bytes)? {
        let item = line.item;
        let expanded = line.expand(&variables)?;
        let Some((name, value)) = expanded.text.split_once('=') else {
            ledger.report_omitted(item, "the line is not of the form `path=worker`");
            continue;
        };
        let attributes = read_attributes(ledger, &file, &line.line, &expanded);
        let name = name.trim();
        if !name.starts_with(['/', '!', '-']) {
            // The line sets a variable that later lines of the file can use.
            variables.insert(name.to_string(), value.trim().to_string());
            ledger.report_mapped(item, "its value, where it is used");
            continue;
        }
        let worker = value.split(';').next().unwrap_or("").trim().to_string();
        let (exclude, pattern) = name.strip_prefix('!').map_or((false, name), |p| (true, p));
        let mount = Mount { item, pattern: pattern.to_string(), worker, exclude, attributes };
        if name.starts_with('-') {
            ledger.report_omitted(item, "the mount is disabled by the `-` before its path");
            mount.omit_attributes(ledger, "the attribute's mount is disabled");
            continue;
        }
        mounts.extend(mount.split_alternatives(ledger));
    }
    Ok(mounts)
}

/// Reads the attributes after the worker's name, and records each at its position in the file.
fn read_attributes(
    ledger: &mut Ledger,
    file: &Arc<str>,
    line: &Line,
    expanded: &Expanded,
) -> Vec<NamedParam> {
    let Some((name, value)) = expanded.text.split_once('=') else { return Vec::new() };
    let mut pieces = value.split(';');
    let worker = pieces.next().unwrap_or("");
    let mut offset = name.trim().len() + 1 + worker.len() + 1;
    let mut attributes = Vec::new();
    for piece in pieces {
        let (name, value) = piece.split_once('=').unwrap_or((piece, ""));
        let name = name.trim();
        let blanks = piece.len() - piece.trim_start().len();
        if !name.is_empty() {
            let source_offset = expanded.source_offset((offset + blanks).min(expanded.text.len()));
            let item = ledger.record(&line.location(file, source_offset), format!("mount {name}"));
            attributes.push(NamedParam { name: name.to_string(), value: value.trim().to_string(), item });
        }
        offset += piece.len() + 1;
    }
    attributes
}
