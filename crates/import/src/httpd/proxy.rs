//! The directives `BalancerMember`, `ProxySet`, `ProxyPass` and `ProxyPassMatch`.

use super::model::{Directive, ProxyRule, ProxyTarget, Scope};
use super::url::{before_first_group, from_first_group, rewrite_of, BalancerUrl};
use super::HttpdReader;
use fernslip_site::Match;

impl HttpdReader<'_> {
    /// The URL of the innermost open `<Proxy>` section.
    fn enclosing_proxy(&self) -> Option<String> {
        self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Proxy { url } => Some(url.clone()),
            _ => None,
        })
    }

    /// Sets the parameters of the balancer or worker with this URL from the arguments at index `from` and
    /// after.
    fn set_params(&mut self, url: &str, directive: &Directive, from: usize) {
        let new = self.record_params(directive, from);
        let server = &mut self.servers[self.current_server];
        let params = match BalancerUrl::parse(url) {
            Some(balancer) => &mut server.balancer(&balancer.name).params,
            None => &mut server.worker(url).params,
        };
        for param in new {
            params.set(&mut self.ledger, param);
        }
    }

    /// Reports the parameters among the arguments at index `from` and after as omitted.
    fn omit_params(&mut self, directive: &Directive, from: usize, reason: &str) {
        for param in self.record_params(directive, from) {
            self.ledger.report_omitted(param.item, reason);
        }
    }

    /// Adds the member of a `BalancerMember` to the balancer that it names, or to that of the enclosing
    /// `<Proxy>`.
    pub(super) fn add_balancer_member(&mut self, directive: &Directive) {
        let (balancer, url_at) = match BalancerUrl::parse(directive.argument(0).unwrap_or("")) {
            Some(named) => (Some(named), 1),
            None => (self.enclosing_proxy().and_then(|url| BalancerUrl::parse(&url)), 0),
        };
        let (Some(balancer), Some(url)) = (balancer, directive.argument(url_at)) else {
            self.ledger
                .report_omitted(directive.item, "the directive neither names a balancer nor is inside one");
            return self.omit_params(directive, url_at + 1, "the parameter's member belongs to no balancer");
        };
        let params = self.record_params(directive, url_at + 1);
        let member = self.servers[self.current_server].balancer(&balancer.name).member(url);
        if !member.items.contains(&directive.item) {
            member.items.push(directive.item);
        }
        for param in params {
            member.params.set(&mut self.ledger, param);
        }
    }

    /// Sets the parameters of the balancer or worker that a `ProxySet` names, or of the enclosing `<Proxy>`.
    /// It may be defined earlier in the file.
    pub(super) fn apply_proxy_set(&mut self, directive: &Directive) {
        let named = directive
            .argument(0)
            .filter(|a| a.contains("://") && !a.split("://").next().unwrap_or("").contains('='))
            .map(String::from);
        let (url, from) = match (named, self.enclosing_proxy()) {
            (Some(url), _) => (url, 1),
            (None, Some(url)) => (url, 0),
            (None, None) => {
                let reason = "the directive neither names a balancer or backend server nor is inside one";
                self.ledger.report_omitted(directive.item, reason);
                return self.omit_params(directive, 0, reason);
            }
        };
        self.ledger.report_mapped(directive.item, "its parameters");
        self.set_params(&url, directive, from);
    }

    pub(super) fn add_proxy_pass(&mut self, directive: &Directive, is_match: bool) {
        let location = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Location { path, regex } => Some((path.clone(), *regex)),
            _ => None,
        });
        let in_location = location.is_some();
        let (path, regex, target_at) = match location {
            Some((path, regex)) => (path, regex || is_match, 0),
            None => (directive.argument(0).unwrap_or("").to_string(), is_match, 1),
        };
        let target = directive.argument(target_at).unwrap_or("").to_string();
        let params_from = target_at + 1;
        let (target, rewrite) = match (target.as_str(), BalancerUrl::parse(&target)) {
            ("!", _) => {
                self.omit_params(directive, params_from, "an exclusion has no parameters");
                (ProxyTarget::Excluded, None)
            }
            (url, Some(balancer)) => {
                self.set_params(url, directive, params_from);
                (ProxyTarget::Balancer(balancer.name), rewrite_of(&path, &balancer.path, regex))
            }
            (url, None) => {
                let worker = before_first_group(url);
                self.set_params(&worker, directive, params_from);
                let rewrite = if regex { from_first_group(url) } else { rewrite_of(&path, "", false) };
                (ProxyTarget::Worker(worker), rewrite)
            }
        };
        let matching = if regex { Match::Regex } else { Match::Prefix };
        let rule = ProxyRule { item: directive.item, pattern: path, matching, target, rewrite };
        let server = self.server();
        if in_location {
            server.location_rules.insert(0, rule);
        } else {
            server.rules.push(rule);
        }
    }
}
