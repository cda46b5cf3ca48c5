//! Builds the site: shares members among pools, assigns unique names, and merges sets of routes.

use crate::endpoint::Endpoint;
use crate::ledger::{Item, Ledger};
use fernslip_site::{
    Match, Member, MemberLimits, MembersFrom, Order, Pool, PoolLimits, Recovery, Retry, Route, RouteSet,
    Site, State, Target,
};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// The names that have been assigned, each only once.
#[derive(Default)]
pub(crate) struct AssignedNames(HashSet<String>);

impl AssignedNames {
    /// Assigns the wanted name, or `NAME#2`, `NAME#3` and so on if it is already taken. An empty name becomes
    /// `unnamed`.
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

/// The rules of a set of routes, before sets that share hosts are merged.
#[derive(Default)]
pub(crate) struct RouteRules {
    /// The hosts of the set; empty for the hosts that no other set names.
    pub hosts: Vec<String>,
    /// Whether the main server's rules apply after these.
    pub inherit: bool,
    /// Rules from `ProxyPass`, of which the first that matches is used.
    pub first_match: Vec<SourcedRoute>,
    /// Rules from mod_jk mounts, of which the longest that matches is used.
    pub longest_match: Vec<SourcedRoute>,
}

/// A route, and the directive that it was made from.
#[derive(Clone, Debug)]
pub(crate) struct SourcedRoute {
    pub route: Route,
    pub item: Item,
}

/// The site while it is being built, and the names and members that are already in it.
#[derive(Default)]
pub(crate) struct SiteBuilder {
    pub site: Site,
    pub member_names: AssignedNames,
    pub pool_names: AssignedNames,
    members: HashMap<(Endpoint, String), String>,
}

impl SiteBuilder {
    pub fn new(name: &str) -> SiteBuilder {
        let site = Site { name: name.into(), members_from: Some(MembersFrom::File), ..Site::default() };
        SiteBuilder { site, ..SiteBuilder::default() }
    }

    /// Returns the id of the member with this endpoint and these limits, and adds the member if there is none
    /// yet. Balancers with the same endpoint and limits share the member.
    pub fn get_or_add_member(&mut self, endpoint: &Endpoint, limits: MemberLimits) -> String {
        let key = (endpoint.clone(), format!("{limits:?}"));
        if let Some(id) = self.members.get(&key) {
            return id.clone();
        }
        let id = self.add_member(&endpoint.id(), endpoint, limits);
        self.members.insert(key, id.clone());
        id
    }

    /// Adds a member with this name, or with a numbered one if the name is taken, and returns its id.
    pub fn add_member(&mut self, name: &str, endpoint: &Endpoint, limits: MemberLimits) -> String {
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

    /// Returns an empty pool with this name, or with a numbered one if the name is taken. The pool is not
    /// added to the site.
    pub fn new_pool(&mut self, name: &str) -> Pool {
        Pool {
            name: self.pool_names.assign(name),
            members: Vec::new(),
            limits: PoolLimits::default(),
            retry: Retry::default(),
            recovery: Recovery::default(),
        }
    }

    /// Adds the sets of routes to the site. Sets that share a host are merged, because a site selects a set
    /// by host only.
    pub fn add_routes(&mut self, ledger: &mut Ledger, sets: Vec<RouteRules>) {
        // Merging adds hosts to a set, so several merged sets may name the same host. The first of them keeps
        // it.
        let mut assigned = HashSet::new();
        for set in merge_sets(ledger, sets) {
            let hosts: Vec<String> =
                set.hosts.iter().filter(|h| assigned.insert((*h).clone())).cloned().collect();
            if hosts.is_empty() && !set.hosts.is_empty() {
                for rule in set.first_match.iter().chain(&set.longest_match) {
                    ledger.report_omitted(
                        rule.item,
                        "the hosts of this route already have another set of routes",
                    );
                }
                continue;
            }
            self.site.routes.push(build_route_set(ledger, hosts, set));
        }
    }
}

/// Merges the sets that share a host, and all sets without hosts. Sets without rules are dropped.
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

/// Appends rules to a set. A path that the set already has is kept, and a rule for another target is reported
/// as omitted.
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
                let reason =
                    "another virtual host with this host name already routes the path to another target";
                ledger.report_omitted(rule.item, reason);
            }
            _ => {
                targets.insert(key, target.clone());
                into.push(rule);
            }
        }
    }
}

/// Builds a set of routes. If it has rules of both orders, those of the longest match are sorted by
/// decreasing length and placed after the others, so that the first match among them is the longest.
fn build_route_set(ledger: &mut Ledger, hosts: Vec<String>, set: RouteRules) -> RouteSet {
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
                ledger.report_approximated(
                    rule.item,
                    target,
                    "matched only after every ProxyPass of its host",
                );
            }
            rules.extend(longest);
            (Order::First, rules)
        }
    };
    RouteSet { hosts, order: Some(order), inherit, rules: rules.into_iter().map(|r| r.route).collect() }
}
