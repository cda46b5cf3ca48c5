//! Sections: where they open and close, and what they mean for the directives inside.

use super::model::{Directive, Scope, Section, Server};
use super::url::BalancerUrl;
use super::{HttpdReader, MAX_DEPTH};
use crate::coverage::{self, HTTPD_DIRECTIVES, NOT_ROUTING};
use crate::error::ImportError;
use crate::location::Location;

/// The scope of a section that was opened, and why nothing in it takes effect, if so.
struct Opened {
    scope: Scope,
    skip_reason: Option<String>,
}

impl Opened {
    fn with(scope: Scope) -> Opened {
        Opened { scope, skip_reason: None }
    }

    fn skipped(reason: String) -> Opened {
        Opened { scope: Scope::Other, skip_reason: Some(reason) }
    }
}

impl HttpdReader<'_> {
    /// Closes the innermost section, which must have this name and must have opened in the same file.
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
                Some(s) => format!("</{name}> closes <{}> of line {}", s.name, s.location.line),
                None => format!("</{name}> closes nothing"),
            };
            return Err(ImportError::Section { location, message });
        }
        if let Some(Section { scope: Scope::VirtualHost { outer }, .. }) = self.sections.pop() {
            self.current_server = outer;
        }
        Ok(())
    }

    pub(super) fn open_section(&mut self, d: Directive, skip: bool) -> Result<(), ImportError> {
        if self.sections.len() >= MAX_DEPTH {
            let subject = "sections within sections";
            return Err(ImportError::LimitExceeded { location: d.location, subject, limit: MAX_DEPTH });
        }
        let Opened { scope, skip_reason } = match skip {
            true => self.open_skipped(&d),
            false => self.open_effective(&d),
        };
        self.sections.push(Section { name: d.name, scope, location: d.location, skip_reason });
        Ok(())
    }

    fn open_skipped(&mut self, d: &Directive) -> Opened {
        let reason = self.skip_reason().unwrap_or("inside of what is not taken").to_string();
        self.ledger.omitted(d.item, reason.clone());
        Opened::skipped(reason)
    }

    fn open_effective(&mut self, d: &Directive) -> Opened {
        match d.name.to_ascii_lowercase().as_str() {
            "virtualhost" => self.open_virtual_host(d),
            "location" | "locationmatch" => self.open_location(d),
            "proxy" => self.open_proxy(d),
            "ifdefine" | "ifmodule" => self.open_condition(d),
            _ => self.open_other(d),
        }
    }

    fn open_virtual_host(&mut self, d: &Directive) -> Opened {
        let scope = Scope::VirtualHost { outer: self.current_server };
        self.servers.push(Server::default());
        self.current_server = self.servers.len() - 1;
        let any_address =
            d.arguments.iter().all(|a| a.text.starts_with('*') || a.text.starts_with("_default_"));
        match any_address {
            true => self.ledger.mapped(d.item, "routes"),
            false => {
                let reason = "hosts tell sets of routes apart, addresses and ports don't";
                self.ledger.approximated(d.item, "routes", reason);
            }
        }
        Opened::with(scope)
    }

    fn open_location(&mut self, d: &Directive) -> Opened {
        let has_tilde = d.argument(0) == Some("~");
        let regex = has_tilde || d.is("locationmatch");
        let path = d.argument(usize::from(has_tilde)).unwrap_or("").to_string();
        if !regex && (path.contains(['*', '?', '[']) || !path.starts_with('/')) {
            let reason = "a <Location> with wildcards or without a path has no equal";
            self.ledger.omitted(d.item, reason);
            return Opened::skipped(format!("inside of <{} {path}>: {reason}", d.name));
        }
        self.ledger.mapped(d.item, "path of the routes inside");
        Opened::with(Scope::Location { path, regex })
    }

    fn open_proxy(&mut self, d: &Directive) -> Opened {
        let url = match d.argument(0) {
            Some(url) if url.contains("://") && !url.contains('*') => url.to_string(),
            _ => {
                self.ledger.omitted(d.item, "settings for machines by pattern have no equal");
                return Opened::with(Scope::Other);
            }
        };
        let server = self.server();
        match BalancerUrl::parse(&url) {
            Some(balancer) => server.balancer(&balancer.name).items.push(d.item),
            None => server.worker(&url).items.push(d.item),
        }
        Opened::with(Scope::Proxy { url })
    }

    /// `<IfDefine>` and `<IfModule>`.
    fn open_condition(&mut self, d: &Directive) -> Opened {
        let argument = d.argument(0).unwrap_or("");
        let (negated, name) = argument.strip_prefix('!').map_or((false, argument), |n| (true, n));
        let holds = if d.is("ifdefine") {
            self.defines.contains_key(name)
        } else {
            let bare = name.strip_prefix("mod_").unwrap_or(name);
            let bare = bare.strip_suffix(".c").or(bare.strip_suffix("_module")).unwrap_or(bare);
            self.modules.contains(bare)
        };
        let takes_effect = holds != negated;
        self.ledger.mapped(d.item, if takes_effect { "taken" } else { "not taken" });
        match takes_effect {
            true => Opened::with(Scope::Other),
            false => Opened::skipped(format!("inside of <{} {argument}>, which is not taken", d.name)),
        }
    }

    fn open_other(&mut self, d: &Directive) -> Opened {
        let label = format!("<{}>", d.name);
        match coverage::find(HTTPD_DIRECTIVES, &label) {
            Some(row) => {
                self.ledger.omitted(d.item, row.outcome);
                Opened::skipped(format!("inside of {label}: {}", row.outcome))
            }
            // A section of another kind has no routes of its own, but may contain sections that do.
            None => {
                self.ledger.omitted(d.item, NOT_ROUTING);
                Opened::with(Scope::Other)
            }
        }
    }
}
