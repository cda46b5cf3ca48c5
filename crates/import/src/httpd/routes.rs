//! Converts `ProxyPass` rules to routes.

use super::model::{ProxyRule, ProxyTarget, Server};
use super::pools::PoolNames;
use crate::builder::SourcedRoute;
use crate::ledger::Ledger;
use fernslip_site::{Match, Route, Target, MAX_REGEX_BYTES};

/// The routes of the server at `index`. Those from `<Location>` sections come first.
pub(crate) fn proxy_routes(
    ledger: &mut Ledger,
    server: &Server,
    index: usize,
    pools: &PoolNames,
) -> Vec<SourcedRoute> {
    let rules = server.location_rules.iter().chain(&server.rules);
    let route_of = |rule: &ProxyRule| {
        proxy_route(ledger, rule, server, index, pools).map(|route| SourcedRoute { route, item: rule.item })
    };
    rules.filter_map(route_of).collect()
}

fn proxy_route(
    ledger: &mut Ledger,
    rule: &ProxyRule,
    server: &Server,
    index: usize,
    pools: &PoolNames,
) -> Option<Route> {
    let is_regex = rule.matching == Match::Regex;
    if is_regex && regex::RegexBuilder::new(&rule.pattern).size_limit(MAX_REGEX_BYTES).build().is_err() {
        let reason = "the regular expression is too large, invalid, or uses look-around or back-references";
        ledger.report_omitted(rule.item, reason);
        return None;
    }
    if !is_regex && !rule.pattern.starts_with('/') {
        ledger.report_omitted(rule.item, "the path does not begin with `/`");
        return None;
    }
    let route = |target, rewrite| Route {
        pattern: rule.pattern.clone(),
        matching: is_regex.then_some(Match::Regex),
        target,
        rewrite,
    };
    let pool = match &rule.target {
        ProxyTarget::Excluded => {
            ledger.report_mapped(rule.item, "route exclude");
            return Some(route(Target::Exclude(None), None));
        }
        ProxyTarget::Balancer(name) => {
            pools.balancer_pool(index, name, server.inherits_balancers.unwrap_or(true))
        }
        ProxyTarget::Worker(url) => pools.worker_pool(index, url),
    };
    match pool {
        Ok(pool) => {
            ledger.report_mapped(rule.item, format!("route pool=\"{pool}\""));
            Some(route(Target::Pool(pool), rule.rewrite.clone()))
        }
        Err(reason) => {
            // httpd would answer these requests with an error, so no later route may match them instead.
            let reason = format!("{reason}: the path is excluded from other routes");
            ledger.report_approximated(rule.item, "route exclude", reason);
            Some(route(Target::Exclude(None), None))
        }
    }
}
