//! Directives outside of balancers: variables, modules, names of hosts, time-outs and inheritance.

use super::model::{Directive, ProxyTimeout};
use super::HttpdReader;
use crate::coverage::{self, HTTPD_DIRECTIVES, NOT_ROUTING, PROXY_PASS_KEYWORDS};
use crate::error::ImportError;
use crate::params::{parse_flag, parse_time_ms, NamedParam};
use std::path::PathBuf;

/// Directives that have `NAME=VALUE` parameters.
const WITH_PARAMS: [&str; 4] = ["balancermember", "proxypass", "proxypassmatch", "proxyset"];

impl HttpdReader<'_> {
    pub(super) fn directive(&mut self, d: &Directive) -> Result<(), ImportError> {
        match d.name.to_ascii_lowercase().as_str() {
            "include" => self.include(d, false)?,
            "includeoptional" => self.include(d, true)?,
            "define" => self.define(d),
            "undefine" => {
                self.defines.remove(d.argument(0).unwrap_or(""));
                self.ledger.mapped(d.item, "its value, where it is used");
            }
            "loadmodule" => {
                let name = d.argument(0).unwrap_or("");
                self.modules.insert(name.strip_suffix("_module").unwrap_or(name).to_string());
                self.ledger.omitted(d.item, "only shows which <IfModule> is taken");
            }
            "serverroot" => self.server_root(d),
            "servername" | "serveralias" => self.host_names(d),
            "proxytimeout" => self.proxy_timeout(d),
            "proxypassinherit" | "balancerinherit" => self.inheritance(d),
            "balancermember" => self.balancer_member(d),
            "proxyset" => self.proxy_set(d),
            "proxypass" => self.proxy_pass(d, false),
            "proxypassmatch" => self.proxy_pass(d, true),
            name if name.starts_with("jk") => self.jk_directive(d)?,
            _ => {
                let row = coverage::find(HTTPD_DIRECTIVES, &d.name);
                self.ledger.omitted(d.item, row.map_or(NOT_ROUTING, |r| r.outcome));
            }
        }
        Ok(())
    }

    /// The `NAME=VALUE` parameters and keywords from the argument `from` on, each noted.
    pub(super) fn params(&mut self, d: &Directive, from: usize) -> Vec<NamedParam> {
        let has_params = WITH_PARAMS.contains(&d.name.to_ascii_lowercase().as_str());
        let mut out = Vec::new();
        for a in d.arguments.iter().skip(from).filter(|_| has_params) {
            let keyword = coverage::find(PROXY_PASS_KEYWORDS, &a.text).map(|r| r.name);
            let (name, value) = match (a.text.split_once('='), keyword) {
                (Some((n, v)), _) if !n.contains(['/', ':', '^', '(']) => (n.to_ascii_lowercase(), v),
                (_, Some(keyword)) => (keyword.to_string(), ""),
                _ if from > 0 => (a.text.clone(), ""),
                _ => continue,
            };
            let item = self.ledger.note(&a.location, format!("{} {name}", d.name));
            out.push(NamedParam { name, value: value.to_string(), item });
        }
        out
    }

    fn define(&mut self, d: &Directive) {
        match d.argument(0) {
            Some(name) if !name.contains(':') => {
                let value = d.argument(1).unwrap_or("").to_string();
                self.defines.insert(name.to_string(), value);
                self.ledger.mapped(d.item, "its value, where it is used");
            }
            _ => self.ledger.omitted(d.item, "no name for a variable"),
        }
    }

    fn server_root(&mut self, d: &Directive) {
        let root = PathBuf::from(d.argument(0).unwrap_or(""));
        // The files may be a copy from another machine: then names begin where the first file lies.
        if !self.files.matching(&root.display().to_string()).is_empty() {
            self.root = Some(root);
            return self.ledger.mapped(d.item, "where names of files begin");
        }
        let reason = "that folder is not here: names of files begin at the first file's folder, or at --root";
        self.ledger.approximated(d.item, "where names of files begin", reason);
    }

    /// `ServerName` and `ServerAlias`.
    fn host_names(&mut self, d: &Directive) {
        let mut usable = 0;
        for a in &d.arguments {
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
            return self.ledger.omitted(d.item, "the main server's routes are for every host that has none");
        }
        let reason = "`*` only stands for a whole first part";
        match d.arguments.len() - usable {
            _ if usable == 0 => self.ledger.omitted(d.item, reason),
            0 => self.ledger.mapped(d.item, "host"),
            unusable => self.ledger.approximated(d.item, "host", format!("{unusable} left out: {reason}")),
        }
    }

    fn proxy_timeout(&mut self, d: &Directive) {
        let Some(ms) = d.argument(0).and_then(|t| parse_time_ms(t, 1000)) else {
            return self.ledger.omitted(d.item, "no time of a day or less");
        };
        let item = d.item;
        if let Some(earlier) = self.server().timeout.replace(ProxyTimeout { ms, item }) {
            self.ledger.overridden(earlier.item, item);
        }
        self.ledger.approximated(item, "limits answer-ms", "of the whole answer, not of each read");
    }

    /// `ProxyPassInherit` and `BalancerInherit`.
    fn inheritance(&mut self, d: &Directive) {
        match d.argument(0).and_then(parse_flag) {
            Some(on) if d.is("proxypassinherit") => {
                self.server().inherits_routes = Some(on);
                self.ledger.mapped(d.item, "routes inherit");
            }
            Some(on) => {
                self.server().inherits_balancers = Some(on);
                self.ledger.mapped(d.item, "which pools the routes know");
            }
            None => self.ledger.omitted(d.item, "neither On nor Off"),
        }
    }
}
