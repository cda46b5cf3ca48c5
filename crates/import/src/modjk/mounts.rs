//! Mounts of paths onto workers.

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
    pub exclude: bool,
    pub attributes: Vec<NamedParam>,
}

impl Mount {
    /// The mounts of a line, whose pattern may be two: `/a|/*` is `/a` and `/a/*`.
    pub fn alternatives(self, ledger: &mut Ledger) -> Vec<Mount> {
        let patterns = match self.pattern.split_once('|') {
            Some((stem, suffix)) => vec![stem.to_string(), format!("{stem}{suffix}")],
            None => vec![self.pattern.clone()],
        };
        if patterns.iter().any(|p| !p.starts_with('/')) {
            ledger.omitted(self.item, "a mount's path begins with `/`");
            self.omit_attributes(ledger, "of a mount that is left out");
            return Vec::new();
        }
        patterns.into_iter().map(|pattern| Mount { pattern, ..self.clone() }).collect()
    }

    pub(super) fn omit_attributes(&self, ledger: &mut Ledger, reason: &str) {
        for attribute in &self.attributes {
            ledger.omitted(attribute.item, reason);
        }
    }
}

/// Reads a file of mounts: lines `PATH=WORKER;NAME=VALUE…`, of which a path with `!` is excluded and one with `-` is
/// switched off, and variables.
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
            ledger.omitted(item, "no `path=worker`");
            continue;
        };
        let attributes = read_attributes(ledger, &file, &line.line, &expanded);
        let name = name.trim();
        if !name.starts_with(['/', '!', '-']) {
            // A variable of the file's own, for lines below.
            variables.insert(name.to_string(), value.trim().to_string());
            ledger.mapped(item, "its value, where it is used");
            continue;
        }
        let worker = value.split(';').next().unwrap_or("").trim().to_string();
        let (exclude, pattern) = name.strip_prefix('!').map_or((false, name), |p| (true, p));
        let mount = Mount { item, pattern: pattern.to_string(), worker, exclude, attributes };
        if name.starts_with('-') {
            ledger.omitted(item, "switched off by its `-`");
            mount.omit_attributes(ledger, "of a mount that is switched off");
            continue;
        }
        mounts.extend(mount.alternatives(ledger));
    }
    Ok(mounts)
}

/// The attributes behind the worker of a line, each noted where it stands.
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
            let item = ledger.note(&line.location(file, source_offset), format!("mount {name}"));
            attributes.push(NamedParam { name: name.to_string(), value: value.trim().to_string(), item });
        }
        offset += piece.len() + 1;
    }
    attributes
}
