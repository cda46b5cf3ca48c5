//! The directives of mod_jk in httpd's configuration files.

use super::model::{Directive, Scope};
use super::HttpdReader;
use crate::coverage::{self, JK_DIRECTIVES};
use crate::error::ImportError;
use crate::modjk::{read_mounts_file, Mount};

impl HttpdReader<'_> {
    pub(super) fn read_jk_directive(&mut self, directive: &Directive) -> Result<(), ImportError> {
        match directive.name.to_ascii_lowercase().as_str() {
            name @ ("jkmount" | "jkunmount") => self.add_jk_mount(directive, name == "jkunmount"),
            "jkmountfile" | "jkworkersfile" => self.read_jk_file(directive)?,
            "jkworkerproperty" => {
                let line = directive.arguments.iter().map(|a| a.text.as_str()).collect::<Vec<_>>().join(" ");
                self.modjk.read_property(&mut self.ledger, &line, directive.item);
            }
            "jkmountcopy" => self.set_mount_copy(directive),
            name => {
                let reason = coverage::outcome_of(JK_DIRECTIVES, &directive.name);
                self.ledger.report_omitted(directive.item, reason);
                for a in directive.arguments.iter().filter(|_| name == "jkoptions") {
                    let item = self.ledger.record(&a.location, format!("{} {}", directive.name, a.text));
                    self.ledger.report_omitted(item, reason);
                }
            }
        }
        Ok(())
    }

    fn add_jk_mount(&mut self, directive: &Directive, exclude: bool) {
        let location = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Location { path, regex: false } => Some(path.clone()),
            _ => None,
        });
        let (pattern, worker) = match (directive.argument(0), directive.argument(1), location) {
            (Some(path), Some(worker), _) => (path.to_string(), worker.to_string()),
            (Some(worker), None, Some(path)) => {
                (format!("{}/*", path.trim_end_matches('/')), worker.to_string())
            }
            _ => return self.ledger.report_omitted(directive.item, "a mount needs a path and a worker"),
        };
        let mount = Mount { item: directive.item, pattern, worker, exclude, attributes: Vec::new() };
        let mounts = mount.split_alternatives(&mut self.ledger);
        self.server().mounts.extend(mounts);
    }

    /// Reads the file that a `JkMountFile` or `JkWorkersFile` names.
    fn read_jk_file(&mut self, directive: &Directive) -> Result<(), ImportError> {
        let path = self.resolve(directive.argument(0).unwrap_or(""));
        let bytes = self.read_referenced(&path, &directive.location)?;
        self.ledger.report_mapped(directive.item, "that file's lines");
        if directive.is_named("jkworkersfile") {
            return self.modjk.read_workers_file(&mut self.ledger, &path, &bytes);
        }
        let mounts = read_mounts_file(&mut self.ledger, &path, &bytes)?;
        self.server().mounts.extend(mounts);
        Ok(())
    }

    fn set_mount_copy(&mut self, directive: &Directive) {
        let value = directive.argument(0).unwrap_or("").to_ascii_lowercase();
        let copies = match (value.as_str(), self.current_server) {
            ("all", 0) => true,
            ("on", n) if n > 0 => true,
            ("off", _) => false,
            _ => {
                let reason =
                    "the value must be On or Off in a virtual host, and All or Off in the main server";
                return self.ledger.report_omitted(directive.item, reason);
            }
        };
        self.server().copies_mounts = copies;
        self.ledger.report_mapped(directive.item, "routes inherit");
    }
}
