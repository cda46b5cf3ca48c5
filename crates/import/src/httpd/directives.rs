//! Directives for variables, modules, host names, time-outs and inheritance, and the dispatch of all
//! directives.

use super::model::{Directive, ProxyTimeout};
use super::HttpdReader;
use crate::coverage::{self, HTTPD_DIRECTIVES, NOT_ROUTING, PROXY_PASS_KEYWORDS};
use crate::error::ImportError;
use crate::params::{parse_flag, parse_time_ms, NamedParam};
use std::path::PathBuf;

/// The directives that take `NAME=VALUE` parameters, in lower case.
const DIRECTIVES_WITH_PARAMS: [&str; 4] = ["balancermember", "proxypass", "proxypassmatch", "proxyset"];

impl HttpdReader<'_> {
    pub(super) fn read_directive(&mut self, directive: &Directive) -> Result<(), ImportError> {
        match directive.name.to_ascii_lowercase().as_str() {
            "include" => self.include_files(directive, false)?,
            "includeoptional" => self.include_files(directive, true)?,
            "define" => self.define_variable(directive),
            "undefine" => {
                self.defines.remove(directive.argument(0).unwrap_or(""));
                self.ledger.report_mapped(directive.item, "its value, where it is used");
            }
            "loadmodule" => {
                let name = directive.argument(0).unwrap_or("");
                self.modules.insert(name.strip_suffix("_module").unwrap_or(name).to_string());
                self.ledger
                    .report_omitted(directive.item, "only decides which <IfModule> sections are included");
            }
            "serverroot" => self.set_server_root(directive),
            "servername" | "serveralias" => self.add_host_names(directive),
            "proxytimeout" => self.set_proxy_timeout(directive),
            "proxypassinherit" | "balancerinherit" => self.set_inheritance(directive),
            "balancermember" => self.add_balancer_member(directive),
            "proxyset" => self.apply_proxy_set(directive),
            "proxypass" => self.add_proxy_pass(directive, false),
            "proxypassmatch" => self.add_proxy_pass(directive, true),
            name if name.starts_with("jk") => self.read_jk_directive(directive)?,
            _ => {
                let row = coverage::find_row(HTTPD_DIRECTIVES, &directive.name);
                self.ledger.report_omitted(directive.item, row.map_or(NOT_ROUTING, |r| r.outcome));
            }
        }
        Ok(())
    }

    /// Records the `NAME=VALUE` parameters and keywords among the arguments from the index `from` on, and
    /// returns them.
    pub(super) fn record_params(&mut self, directive: &Directive, from: usize) -> Vec<NamedParam> {
        let has_params = DIRECTIVES_WITH_PARAMS.contains(&directive.name.to_ascii_lowercase().as_str());
        let mut out = Vec::new();
        for a in directive.arguments.iter().skip(from).filter(|_| has_params) {
            let keyword = coverage::find_row(PROXY_PASS_KEYWORDS, &a.text).map(|r| r.name);
            let (name, value) = match (a.text.split_once('='), keyword) {
                (Some((n, v)), _) if !n.contains(['/', ':', '^', '(']) => (n.to_ascii_lowercase(), v),
                (_, Some(keyword)) => (keyword.to_string(), ""),
                _ if from > 0 => (a.text.clone(), ""),
                _ => continue,
            };
            let item = self.ledger.record(&a.location, format!("{} {name}", directive.name));
            out.push(NamedParam { name, value: value.to_string(), item });
        }
        out
    }

    fn define_variable(&mut self, directive: &Directive) {
        match directive.argument(0) {
            Some(name) if !name.contains(':') => {
                let value = directive.argument(1).unwrap_or("").to_string();
                self.defines.insert(name.to_string(), value);
                self.ledger.report_mapped(directive.item, "its value, where it is used");
            }
            _ => self
                .ledger
                .report_omitted(directive.item, "not a valid variable name: it is missing or contains `:`"),
        }
    }

    fn set_server_root(&mut self, directive: &Directive) {
        let root = PathBuf::from(directive.argument(0).unwrap_or(""));
        // The files may have been copied from another machine, on which this directory exists. Names then
        // start from the directory of the first file.
        if !self.files.matching(&root.display().to_string()).is_empty() {
            self.root = Some(root);
            return self.ledger.report_mapped(directive.item, "where names of files begin");
        }
        let reason =
            "the directory does not exist here: file names start from the first file's directory or --root";
        self.ledger.report_approximated(directive.item, "where names of files begin", reason);
    }

    /// Adds the host names of `ServerName` and `ServerAlias` to the current server.
    fn add_host_names(&mut self, directive: &Directive) {
        let mut usable = 0;
        for a in &directive.arguments {
            let name = a.text.split_once("://").map_or(a.text.as_str(), |n| n.1);
            let name = name.rsplit_once(':').filter(|(_, p)| p.parse::<u16>().is_ok()).map_or(name, |n| n.0);
            let name = name.to_ascii_lowercase();
            let domain = name.strip_prefix("*.").unwrap_or(&name);
            if !domain.is_empty() && !domain.contains(['*', '?']) {
                usable += 1;
                self.server().hosts.push(name);
            }
        }
        if self.current_server == 0 {
            return self.ledger.report_omitted(
                directive.item,
                "the main server's routes apply to every host without routes of its own",
            );
        }
        let reason = "`*` is accepted only as the whole first label of a host name";
        match directive.arguments.len() - usable {
            _ if usable == 0 => self.ledger.report_omitted(directive.item, reason),
            0 => self.ledger.report_mapped(directive.item, "host"),
            unusable => self.ledger.report_approximated(
                directive.item,
                "host",
                format!("{unusable} of the names omitted: {reason}"),
            ),
        }
    }

    fn set_proxy_timeout(&mut self, directive: &Directive) {
        let Some(ms) = directive.argument(0).and_then(|t| parse_time_ms(t, 1000)) else {
            return self.ledger.report_omitted(directive.item, "not a duration of at most one day");
        };
        let item = directive.item;
        if let Some(earlier) = self.server().timeout.replace(ProxyTimeout { ms, item }) {
            self.ledger.report_overridden(earlier.item, item);
        }
        self.ledger.report_approximated(item, "limits answer-ms", "limits the whole answer, not each read");
    }

    /// Sets what `ProxyPassInherit` and `BalancerInherit` say about the current server.
    fn set_inheritance(&mut self, directive: &Directive) {
        match directive.argument(0).and_then(parse_flag) {
            Some(on) if directive.is_named("proxypassinherit") => {
                self.server().inherits_routes = Some(on);
                self.ledger.report_mapped(directive.item, "routes inherit");
            }
            Some(on) => {
                self.server().inherits_balancers = Some(on);
                self.ledger.report_mapped(directive.item, "which pools the routes know");
            }
            None => self.ledger.report_omitted(directive.item, "the value must be On or Off"),
        }
    }
}
