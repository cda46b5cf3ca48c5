//! `BalancerMember`, `ProxySet`, `ProxyPass` and `ProxyPassMatch`.

use super::model::{Directive, ProxyRule, ProxyTarget, Scope};
use super::url::{groups_of, rewrite_of, without_groups, BalancerUrl};
use super::HttpdReader;
use fernslip_site::Match;

impl HttpdReader<'_> {
    /// The URL of the `<Proxy>` around this place.
    fn enclosing_proxy(&self) -> Option<String> {
        self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Proxy { url } => Some(url.clone()),
            _ => None,
        })
    }

    /// Sets parameters, from the argument `from` on, of the balancer or worker at that URL.
    fn set_params(&mut self, url: &str, d: &Directive, from: usize) {
        let new = self.params(d, from);
        let server = &mut self.servers[self.current_server];
        let params = match BalancerUrl::parse(url) {
            Some(balancer) => &mut server.balancer(&balancer.name).params,
            None => &mut server.worker(url).params,
        };
        for param in new {
            params.set(&mut self.ledger, param);
        }
    }

    /// Omits the parameters from the argument `from` on.
    fn omit_params(&mut self, d: &Directive, from: usize, reason: &str) {
        for param in self.params(d, from) {
            self.ledger.omitted(param.item, reason);
        }
    }

    /// BalancerMember adds a member to the balancer it names, else to the one around it.
    pub(super) fn balancer_member(&mut self, d: &Directive) {
        let (balancer, url_at) = match BalancerUrl::parse(d.argument(0).unwrap_or("")) {
            Some(named) => (Some(named), 1),
            None => (self.enclosing_proxy().and_then(|url| BalancerUrl::parse(&url)), 0),
        };
        let (Some(balancer), Some(url)) = (balancer, d.argument(url_at)) else {
            self.ledger.omitted(d.item, "stands in no balancer");
            return self.omit_params(d, url_at + 1, "of a member of no balancer");
        };
        let params = self.params(d, url_at + 1);
        let member = self.servers[self.current_server].balancer(&balancer.name).member(url);
        if !member.items.contains(&d.item) {
            member.items.push(d.item);
        }
        for param in params {
            member.params.set(&mut self.ledger, param);
        }
    }

    /// ProxySet changes the balancer or worker that it names, else the one around it, also one that came before.
    pub(super) fn proxy_set(&mut self, d: &Directive) {
        let named = d
            .argument(0)
            .filter(|a| a.contains("://") && !a.split("://").next().unwrap_or("").contains('='))
            .map(String::from);
        let (url, from) = match (named, self.enclosing_proxy()) {
            (Some(url), _) => (url, 1),
            (None, Some(url)) => (url, 0),
            (None, None) => {
                self.ledger.omitted(d.item, "of no balancer or machine");
                return self.omit_params(d, 0, "of no balancer or machine");
            }
        };
        self.ledger.mapped(d.item, "its parameters");
        self.set_params(&url, d, from);
    }

    pub(super) fn proxy_pass(&mut self, d: &Directive, is_match: bool) {
        let location = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Location { path, regex } => Some((path.clone(), *regex)),
            _ => None,
        });
        let in_location = location.is_some();
        let (path, regex, target_at) = match location {
            Some((path, regex)) => (path, regex || is_match, 0),
            None => (d.argument(0).unwrap_or("").to_string(), is_match, 1),
        };
        let target = d.argument(target_at).unwrap_or("").to_string();
        let params_from = target_at + 1;
        let (target, rewrite) = match (target.as_str(), BalancerUrl::parse(&target)) {
            ("!", _) => {
                self.omit_params(d, params_from, "of an exclusion");
                (ProxyTarget::Excluded, None)
            }
            (url, Some(balancer)) => {
                self.set_params(url, d, params_from);
                (ProxyTarget::Balancer(balancer.name), rewrite_of(&path, &balancer.path, regex))
            }
            (url, None) => {
                let worker = without_groups(url);
                self.set_params(&worker, d, params_from);
                let rewrite = if regex { groups_of(url) } else { rewrite_of(&path, "", false) };
                (ProxyTarget::Worker(worker), rewrite)
            }
        };
        let matching = if regex { Match::Regex } else { Match::Prefix };
        let rule = ProxyRule { item: d.item, pattern: path, matching, target, rewrite };
        let server = self.server();
        if in_location {
            server.location_rules.insert(0, rule);
        } else {
            server.rules.push(rule);
        }
    }
}
