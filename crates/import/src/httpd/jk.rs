//! mod_jk's directives in httpd's files.

use super::model::{Directive, Scope};
use super::HttpdReader;
use crate::coverage::{self, JK_DIRECTIVES};
use crate::error::ImportError;
use crate::modjk::{read_mounts_file, Mount};

impl HttpdReader<'_> {
    pub(super) fn jk_directive(&mut self, d: &Directive) -> Result<(), ImportError> {
        match d.name.to_ascii_lowercase().as_str() {
            name @ ("jkmount" | "jkunmount") => self.jk_mount(d, name == "jkunmount"),
            "jkmountfile" | "jkworkersfile" => self.jk_file(d)?,
            "jkworkerproperty" => {
                let line = d.arguments.iter().map(|a| a.text.as_str()).collect::<Vec<_>>().join(" ");
                self.modjk.property(&mut self.ledger, &line, d.item);
            }
            "jkmountcopy" => self.jk_mount_copy(d),
            name => {
                let reason = coverage::outcome(JK_DIRECTIVES, &d.name);
                self.ledger.omitted(d.item, reason);
                for a in d.arguments.iter().filter(|_| name == "jkoptions") {
                    let item = self.ledger.note(&a.location, format!("{} {}", d.name, a.text));
                    self.ledger.omitted(item, reason);
                }
            }
        }
        Ok(())
    }

    fn jk_mount(&mut self, d: &Directive, exclude: bool) {
        let location = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Location { path, regex: false } => Some(path.clone()),
            _ => None,
        });
        let (pattern, worker) = match (d.argument(0), d.argument(1), location) {
            (Some(path), Some(worker), _) => (path.to_string(), worker.to_string()),
            (Some(worker), None, Some(path)) => {
                (format!("{}/*", path.trim_end_matches('/')), worker.to_string())
            }
            _ => return self.ledger.omitted(d.item, "needs a path and a worker"),
        };
        let mount = Mount { item: d.item, pattern, worker, exclude, attributes: Vec::new() };
        let mounts = mount.alternatives(&mut self.ledger);
        self.server().mounts.extend(mounts);
    }

    /// `JkMountFile` and `JkWorkersFile`.
    fn jk_file(&mut self, d: &Directive) -> Result<(), ImportError> {
        let path = self.resolve(d.argument(0).unwrap_or(""));
        let bytes = self.read_referenced(&path, &d.location)?;
        self.ledger.mapped(d.item, "that file's lines");
        if d.is("jkworkersfile") {
            return self.modjk.read_workers_file(&mut self.ledger, &path, &bytes);
        }
        let mounts = read_mounts_file(&mut self.ledger, &path, &bytes)?;
        self.server().mounts.extend(mounts);
        Ok(())
    }

    fn jk_mount_copy(&mut self, d: &Directive) {
        let value = d.argument(0).unwrap_or("").to_ascii_lowercase();
        let copies = match (value.as_str(), self.current_server) {
            ("all", 0) => true,
            ("on", n) if n > 0 => true,
            ("off", _) => false,
            _ => {
                let reason = "On and Off stand in a virtual host, All in the main server";
                return self.ledger.omitted(d.item, reason);
            }
        };
        self.server().copies_mounts = copies;
        self.ledger.mapped(d.item, "routes inherit");
    }
}
