//! Opens and closes sections, and determines their effect on the directives inside.

use super::model::{Directive, Scope, Section, Server};
use super::url::BalancerUrl;
use super::{HttpdReader, MAX_NESTING_DEPTH};
use crate::coverage::{self, HTTPD_DIRECTIVES, NOT_ROUTING};
use crate::error::ImportError;
use crate::location::Location;

/// The scope of a section that was just opened, and the reason why its directives are skipped, if they are.
struct OpenedSection {
    scope: Scope,
    skip_reason: Option<String>,
}

impl OpenedSection {
    fn effective(scope: Scope) -> OpenedSection {
        OpenedSection { scope, skip_reason: None }
    }

    fn skipped(reason: String) -> OpenedSection {
        OpenedSection { scope: Scope::Other, skip_reason: Some(reason) }
    }
}

impl HttpdReader<'_> {
    /// Closes the innermost section, which must have this name and be opened in the same file. `depth` is the
    /// number of sections that were open at the start of the file.
    pub(super) fn close_section(
        &mut self,
        name: &str,
        location: Location,
        depth: usize,
    ) -> Result<(), ImportError> {
        let matches = self.sections.len() > depth
            && self.sections.last().is_some_and(|s| s.name.eq_ignore_ascii_case(name));
        if !matches {
            let innermost = self.sections.get(depth..).and_then(|s| s.last());
            let message = match innermost {
                Some(s) => {
                    format!("</{name}> does not match <{}>, opened on line {}", s.name, s.location.line)
                }
                None => format!("</{name}> has no opening <{name}> in this file"),
            };
            return Err(ImportError::Section { location, message });
        }
        if let Some(Section { scope: Scope::VirtualHost { outer }, .. }) = self.sections.pop() {
            self.current_server = outer;
        }
        Ok(())
    }

    pub(super) fn open_section(&mut self, directive: Directive, skip: bool) -> Result<(), ImportError> {
        if self.sections.len() >= MAX_NESTING_DEPTH {
            let subject = "levels of nested sections";
            return Err(ImportError::LimitExceeded {
                location: directive.location,
                subject,
                limit: MAX_NESTING_DEPTH,
            });
        }
        let OpenedSection { scope, skip_reason } = match skip {
            true => self.open_skipped_section(&directive),
            false => self.open_effective_section(&directive),
        };
        self.sections.push(Section {
            name: directive.name,
            scope,
            location: directive.location,
            skip_reason,
        });
        Ok(())
    }

    fn open_skipped_section(&mut self, directive: &Directive) -> OpenedSection {
        let reason = self.skip_reason().unwrap_or("inside a section that is not included").to_string();
        self.ledger.report_omitted(directive.item, reason.clone());
        OpenedSection::skipped(reason)
    }

    fn open_effective_section(&mut self, directive: &Directive) -> OpenedSection {
        match directive.name.to_ascii_lowercase().as_str() {
            "virtualhost" => self.open_virtual_host(directive),
            "location" | "locationmatch" => self.open_location(directive),
            "proxy" => self.open_proxy(directive),
            "ifdefine" | "ifmodule" => self.open_condition(directive),
            _ => self.open_other(directive),
        }
    }

    fn open_virtual_host(&mut self, directive: &Directive) -> OpenedSection {
        let scope = Scope::VirtualHost { outer: self.current_server };
        self.servers.push(Server::default());
        self.current_server = self.servers.len() - 1;
        let any_address =
            directive.arguments.iter().all(|a| a.text.starts_with('*') || a.text.starts_with("_default_"));
        match any_address {
            true => self.ledger.report_mapped(directive.item, "routes"),
            false => {
                let reason = "a set of routes is selected by host name, not by address and port";
                self.ledger.report_approximated(directive.item, "routes", reason);
            }
        }
        OpenedSection::effective(scope)
    }

    fn open_location(&mut self, directive: &Directive) -> OpenedSection {
        let has_tilde = directive.argument(0) == Some("~");
        let regex = has_tilde || directive.is_named("locationmatch");
        let path = directive.argument(usize::from(has_tilde)).unwrap_or("").to_string();
        if !regex && (path.contains(['*', '?', '[']) || !path.starts_with('/')) {
            let reason = "a <Location> needs a path without wildcards that begins with `/`";
            self.ledger.report_omitted(directive.item, reason);
            return OpenedSection::skipped(format!(
                "inside <{} {path}>, which is omitted: {reason}",
                directive.name
            ));
        }
        self.ledger.report_mapped(directive.item, "path of the routes inside");
        OpenedSection::effective(Scope::Location { path, regex })
    }

    fn open_proxy(&mut self, directive: &Directive) -> OpenedSection {
        let url = match directive.argument(0) {
            Some(url) if url.contains("://") && !url.contains('*') => url.to_string(),
            _ => {
                self.ledger.report_omitted(
                    directive.item,
                    "settings for backend servers that match a pattern cannot be expressed",
                );
                return OpenedSection::effective(Scope::Other);
            }
        };
        let server = self.server();
        match BalancerUrl::parse(&url) {
            Some(balancer) => server.balancer(&balancer.name).items.push(directive.item),
            None => server.worker(&url).items.push(directive.item),
        }
        OpenedSection::effective(Scope::Proxy { url })
    }

    /// Opens an `<IfDefine>` or `<IfModule>`, and skips its directives if the condition does not hold.
    fn open_condition(&mut self, directive: &Directive) -> OpenedSection {
        let argument = directive.argument(0).unwrap_or("");
        let (negated, name) = argument.strip_prefix('!').map_or((false, argument), |n| (true, n));
        let holds = if directive.is_named("ifdefine") {
            self.defines.contains_key(name)
        } else {
            let bare = name.strip_prefix("mod_").unwrap_or(name);
            let bare = bare.strip_suffix(".c").or(bare.strip_suffix("_module")).unwrap_or(bare);
            self.modules.contains(bare)
        };
        let takes_effect = holds != negated;
        self.ledger.report_mapped(directive.item, if takes_effect { "taken" } else { "not taken" });
        match takes_effect {
            true => OpenedSection::effective(Scope::Other),
            false => OpenedSection::skipped(format!(
                "inside <{} {argument}>, whose condition does not hold",
                directive.name
            )),
        }
    }

    fn open_other(&mut self, directive: &Directive) -> OpenedSection {
        let label = format!("<{}>", directive.name);
        match coverage::find_row(HTTPD_DIRECTIVES, &label) {
            Some(row) => {
                self.ledger.report_omitted(directive.item, row.outcome);
                OpenedSection::skipped(format!("inside {label}, which is omitted: {}", row.outcome))
            }
            // A section of any other kind does not affect routing, but may contain sections and directives
            // that do.
            None => {
                self.ledger.report_omitted(directive.item, NOT_ROUTING);
                OpenedSection::effective(Scope::Other)
            }
        }
    }
}
