//! The site under construction: members that several pools share, unique names, sets of routes.

use crate::endpoint::Endpoint;
use crate::ledger::{Item, Ledger};
use fernslip_site::{
    Match, Member, MemberLimits, MembersFrom, Order, Pool, PoolLimits, Recovery, Retry, Route, RouteSet,
    Site, State, Target,
};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Names, each assigned once.
#[derive(Default)]
pub(crate) struct UniqueNames(HashSet<String>);

impl UniqueNames {
    /// The name, with a number appended where it is taken already.
    pub fn assign(&mut self, wanted: &str) -> String {
        let wanted = if wanted.is_empty() { "unnamed" } else { wanted };
        let mut name = wanted.to_string();
        let mut n = 1;
        while !self.0.insert(name.clone()) {
            n += 1;
            name = format!("{wanted}#{n}");
        }
        name
    }
}

/// A set of routes under construction.
#[derive(Default)]
pub(crate) struct RouteRules {
    pub hosts: Vec<String>,
    pub inherit: bool,
    /// Rules of which the first that matches wins.
    pub first_match: Vec<SourcedRoute>,
    /// Rules of which the longest that matches wins.
    pub longest_match: Vec<SourcedRoute>,
}

/// A rule, and the directive that it comes from.
#[derive(Clone, Debug)]
pub(crate) struct SourcedRoute {
    pub route: Route,
    pub item: Item,
}

/// The site under construction.
#[derive(Default)]
pub(crate) struct SiteBuilder {
    pub site: Site,
    pub member_names: UniqueNames,
    pub pool_names: UniqueNames,
    members: HashMap<(Endpoint, String), String>,
}

impl SiteBuilder {
    pub fn new(name: &str) -> SiteBuilder {
        let site = Site { name: name.into(), members_from: Some(MembersFrom::File), ..Site::default() };
        SiteBuilder { site, ..SiteBuilder::default() }
    }

    /// The id of the member for an endpoint with these limits; balancers that agree on both share it.
    pub fn member(&mut self, endpoint: &Endpoint, limits: MemberLimits) -> String {
        let key = (endpoint.clone(), format!("{limits:?}"));
        if let Some(id) = self.members.get(&key) {
            return id.clone();
        }
        let id = self.named_member(&endpoint.id(), endpoint, limits);
        self.members.insert(key, id.clone());
        id
    }

    /// A new member of that name, or of one derived from it; its id.
    pub fn named_member(&mut self, name: &str, endpoint: &Endpoint, limits: MemberLimits) -> String {
        let id = self.member_names.assign(name);
        self.site.members.push(Member {
            id: id.clone(),
            address: endpoint.address.clone(),
            protocol: Some(endpoint.protocol),
            path: endpoint.path.clone(),
            kind: None,
            weight: None,
            state: State::Ready,
            zone: None,
            link_kb_per_s: None,
            limits,
        });
        id
    }

    /// An empty pool.
    pub fn pool(&mut self, name: &str) -> Pool {
        Pool {
            name: self.pool_names.assign(name),
            members: Vec::new(),
            limits: PoolLimits::default(),
            retry: Retry::default(),
            recovery: Recovery::default(),
        }
    }

    /// Adds the sets of routes. Sets that share a host are merged, since a site tells them apart by hosts alone.
    pub fn add_routes(&mut self, ledger: &mut Ledger, sets: Vec<RouteRules>) {
        // A host that a set gained by merging may stand in a third: the first set keeps it.
        let mut assigned = HashSet::new();
        for set in merge_sets(ledger, sets) {
            let hosts: Vec<String> =
                set.hosts.iter().filter(|h| assigned.insert((*h).clone())).cloned().collect();
            if hosts.is_empty() && !set.hosts.is_empty() {
                for rule in set.first_match.iter().chain(&set.longest_match) {
                    ledger.omitted(rule.item, "its hosts have other routes already");
                }
                continue;
            }
            self.site.routes.push(route_set(ledger, hosts, set));
        }
    }
}

/// Merges the sets that share a host, and those without hosts; empty sets are dropped.
fn merge_sets(ledger: &mut Ledger, sets: Vec<RouteRules>) -> Vec<RouteRules> {
    let mut merged: Vec<RouteRules> = Vec::new();
    for mut set in sets.into_iter().filter(|s| !s.first_match.is_empty() || !s.longest_match.is_empty()) {
        set.hosts.sort();
        set.hosts.dedup();
        let shares_host = |earlier: &&mut RouteRules| {
            earlier.hosts.is_empty() && set.hosts.is_empty()
                || earlier.hosts.iter().any(|h| set.hosts.contains(h))
        };
        let Some(into) = merged.iter_mut().find(shares_host) else {
            merged.push(set);
            continue;
        };
        for host in set.hosts {
            if !into.hosts.contains(&host) {
                into.hosts.push(host);
            }
        }
        into.inherit |= set.inherit;
        merge_rules(ledger, &mut into.first_match, set.first_match);
        merge_rules(ledger, &mut into.longest_match, set.longest_match);
    }
    merged
}

fn merge_rules(ledger: &mut Ledger, into: &mut Vec<SourcedRoute>, more: Vec<SourcedRoute>) {
    let key_of = |r: &Route| (r.pattern.clone(), r.matching);
    let mut targets: HashMap<(String, Option<Match>), Target> =
        into.iter().map(|r| (key_of(&r.route), r.route.target.clone())).collect();
    for rule in more {
        let key = key_of(&rule.route);
        let target = &rule.route.target;
        match targets.get(&key) {
            Some(earlier) if earlier == target => {}
            Some(_) if !matches!(target, Target::Exclude(Some(_))) => {
                let reason = "the same host has this path already, on another address, leading elsewhere";
                ledger.omitted(rule.item, reason);
            }
            _ => {
                targets.insert(key, target.clone());
                into.push(rule);
            }
        }
    }
}

/// One set. Where rules of both orders meet, those of the longest match are sorted by length and follow the others, so
/// that the first match among them is the longest.
fn route_set(ledger: &mut Ledger, hosts: Vec<String>, set: RouteRules) -> RouteSet {
    let inherit = (!hosts.is_empty() && set.inherit).then_some(true);
    let (order, rules) = match (set.first_match.is_empty(), set.longest_match.is_empty()) {
        (true, _) => (Order::Longest, set.longest_match),
        (_, true) => (Order::First, set.first_match),
        _ => {
            let mut rules = set.first_match;
            let mut longest = set.longest_match;
            longest.sort_by_key(|SourcedRoute { route, .. }| {
                let is_wildcard = route.matching == Some(Match::Wildcard);
                (matches!(route.target, Target::Pool(_)), Reverse(route.pattern.len()), is_wildcard)
            });
            for rule in &longest {
                let target = format!("route \"{}\"", rule.route.pattern);
                ledger.approximated(rule.item, target, "asked after every ProxyPass of its host");
            }
            rules.extend(longest);
            (Order::First, rules)
        }
    };
    RouteSet { hosts, order: Some(order), inherit, rules: rules.into_iter().map(|r| r.route).collect() }
}
