//! Routing of requests to pools by host and path.

use fernslip_site::{Match, Order, Route, RouteSet, Site, Target, MAX_REGEX_BYTES};
use regex::{Regex, RegexBuilder};
use std::collections::HashMap;

/// The result of routing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// The request goes to the pool of this index among the site's pools.
    Pool(usize),
    /// A rule excludes the request from routing.
    Excluded,
    /// No rule matches the request.
    Unrouted,
}

/// What a rule does with a request that matches it. Pools are given by their index.
#[derive(Clone, Copy, Debug)]
enum RuleTarget {
    Pool(usize),
    Excluded,
    /// A request that another rule would route to this pool is excluded; others are not affected.
    ExcludedFromPool(usize),
}

/// A rule's target and its position in the order in which the rules of its set apply.
#[derive(Clone, Copy, Debug)]
struct RankedTarget {
    position: usize,
    target: RuleTarget,
}

#[derive(Debug)]
enum Pattern {
    Regex(Regex),
    Wildcard(Vec<char>),
}

#[derive(Debug)]
struct RuleSet {
    /// Whether a request that no rule of the set matches is routed by the default set.
    inherit: bool,
    /// The rules for an exact path, by path.
    exact: HashMap<String, Vec<RankedTarget>>,
    /// The rules for a path and all paths below it, by path.
    prefix: HashMap<String, Vec<RankedTarget>>,
    /// The wildcard and regular-expression rules, which no table can look up: each of them is tried on every
    /// path.
    scanned: Vec<(Pattern, RankedTarget)>,
}

/// The result so far of looking up the rules that match one path.
#[derive(Default)]
struct MatchedRules {
    first: Option<RankedTarget>,
    excluded_pools: Vec<usize>,
}

impl MatchedRules {
    fn add_rule(&mut self, rule: RankedTarget) {
        match rule.target {
            RuleTarget::ExcludedFromPool(pool) => self.excluded_pools.push(pool),
            _ if self.first.is_none_or(|first| rule.position < first.position) => self.first = Some(rule),
            _ => {}
        }
    }

    fn add_rules(&mut self, rules: Option<&Vec<RankedTarget>>) {
        rules.into_iter().flatten().for_each(|rule| self.add_rule(*rule));
    }

    fn decide_route(&self) -> RouteDecision {
        match self.first.map(|first| first.target) {
            None => RouteDecision::Unrouted,
            Some(RuleTarget::Pool(pool)) if !self.excluded_pools.contains(&pool) => RouteDecision::Pool(pool),
            Some(_) => RouteDecision::Excluded,
        }
    }
}

/// The routing rules of a site, in tables for fast lookup.
#[derive(Debug)]
pub struct Routes {
    sets: Vec<RuleSet>,
    /// The index in `sets` of a host's rule set, by the host's lower-case name.
    hosts: HashMap<String, usize>,
    /// The index in `sets` for a wildcard host (`*.example.com`), by the domain that follows `*.`.
    wildcard_hosts: HashMap<String, usize>,
    /// The index in `sets` of the rule set without hosts, which applies to every other host.
    default_set: Option<usize>,
}

/// Whether a text matches a wildcard pattern, where `*` stands for any text and `?` for one character. The
/// time is bounded by the product of the two lengths; it is not exponential in the number of stars.
fn wildcard_matches(pattern: &[char], text: &[char]) -> bool {
    let (mut p, mut t, mut star) = (0, 0, None);
    while t < text.len() {
        match pattern.get(p) {
            Some('*') => {
                star = Some((p, t));
                p += 1;
            }
            Some(c) if *c == '?' || *c == text[t] => (p, t) = (p + 1, t + 1),
            _ => match star {
                Some((at, from)) => {
                    star = Some((at, from + 1));
                    (p, t) = (at + 1, from + 1);
                }
                None => return false,
            },
        }
    }
    pattern[p..].iter().all(|c| *c == '*')
}

/// Removes empty and dot segments from a path, so that a rule for a folder can't be bypassed by `/a/../b` or
/// `//b`.
fn normalize_path(path: &str) -> String {
    let mut segments: Vec<&str> = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            other => segments.push(other),
        }
    }
    let end = if path.ends_with('/') && !segments.is_empty() { "/" } else { "" };
    format!("/{}{end}", segments.join("/"))
}

/// The prefix patterns that match a path, the shortest first: for `/a/b` these are `/`, `/a`, `/a/` and
/// `/a/b`.
fn prefixes_of(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.char_indices().filter(|(_, c)| *c == '/');
    let ancestors = slashes.flat_map(|(i, _)| [&path[..i], &path[..=i]]).chain([path]);
    let mut previous = None;
    ancestors.filter(|p| !p.is_empty()).filter(move |prefix| previous.replace(*prefix) != Some(*prefix))
}

impl RuleSet {
    fn from_route_set(set: &RouteSet, pools: &HashMap<&str, usize>) -> RuleSet {
        let mut rule_set = RuleSet {
            inherit: set.inherit == Some(true),
            exact: HashMap::new(),
            prefix: HashMap::new(),
            scanned: Vec::new(),
        };
        for (position, rule) in rules_in_order(set).into_iter().enumerate() {
            if let Some(target) = RuleTarget::from_route(rule, pools) {
                rule_set.insert(rule, RankedTarget { position, target });
            }
        }
        rule_set
    }

    fn insert(&mut self, rule: &Route, ranked: RankedTarget) {
        match rule.matching.unwrap_or(Match::Prefix) {
            Match::Exact => self.exact.entry(rule.pattern.clone()).or_default().push(ranked),
            Match::Prefix => self.prefix.entry(rule.pattern.clone()).or_default().push(ranked),
            Match::Wildcard => {
                self.scanned.push((Pattern::Wildcard(rule.pattern.chars().collect()), ranked));
            }
            Match::Regex => {
                // A checked site has only regular expressions that compile; any other would match nothing.
                let regex = RegexBuilder::new(&rule.pattern).size_limit(MAX_REGEX_BYTES).build();
                self.scanned.extend(regex.ok().map(|r| (Pattern::Regex(r), ranked)));
            }
        }
    }

    /// Routes a normalized path by the rules of this set.
    fn route(&self, path: &str) -> RouteDecision {
        let mut matched = MatchedRules::default();
        matched.add_rules(self.exact.get(path));
        if !self.prefix.is_empty() {
            for prefix in prefixes_of(path) {
                matched.add_rules(self.prefix.get(prefix));
            }
        }
        if !self.scanned.is_empty() {
            let chars: Vec<char> = path.chars().collect();
            for (pattern, rule) in &self.scanned {
                let applies = match pattern {
                    Pattern::Regex(r) => r.is_match(path),
                    Pattern::Wildcard(w) => wildcard_matches(w, &chars),
                };
                if applies {
                    matched.add_rule(*rule);
                }
            }
        }
        matched.decide_route()
    }
}

impl RuleTarget {
    /// Returns the target of a rule, or `None` if the rule excludes requests from a pool that the site does
    /// not have and therefore has no effect.
    fn from_route(rule: &Route, pools: &HashMap<&str, usize>) -> Option<RuleTarget> {
        let index = |name: &String| pools.get(name.as_str()).copied();
        match &rule.target {
            Target::Pool(name) => Some(index(name).map_or(RuleTarget::Excluded, RuleTarget::Pool)),
            Target::Exclude(None) => Some(RuleTarget::Excluded),
            Target::Exclude(Some(name)) => index(name).map(RuleTarget::ExcludedFromPool),
        }
    }
}

/// The rules of a set in the order in which they apply: the first one that matches decides. For
/// `order="longest"` the rules are sorted by length once, with the exclusions before all rules that route to
/// a pool.
fn rules_in_order(set: &RouteSet) -> Vec<&Route> {
    let mut rules: Vec<&Route> = set.rules.iter().collect();
    if set.order == Some(Order::Longest) {
        rules.sort_by_key(|rule| {
            let is_inexact = rule.matching != Some(Match::Exact);
            let length = rule.pattern.chars().count();
            (matches!(rule.target, Target::Pool(_)), std::cmp::Reverse(length), is_inexact)
        });
    }
    rules
}

impl Routes {
    /// Builds the routing tables from a site that was parsed and checked.
    pub fn from_site(site: &Site) -> Routes {
        let pools: HashMap<&str, usize> =
            site.pools.iter().enumerate().map(|(i, p)| (p.name.as_str(), i)).collect();
        let mut routes = Routes {
            sets: Vec::new(),
            hosts: HashMap::new(),
            wildcard_hosts: HashMap::new(),
            default_set: None,
        };
        for set in &site.routes {
            let index = routes.sets.len();
            routes.sets.push(RuleSet::from_route_set(set, &pools));
            if set.hosts.is_empty() {
                routes.default_set.get_or_insert(index);
            }
            for host in &set.hosts {
                let host = host.to_ascii_lowercase();
                match host.strip_prefix("*.") {
                    Some(domain) => routes.wildcard_hosts.entry(domain.to_string()).or_insert(index),
                    None => routes.hosts.entry(host).or_insert(index),
                };
            }
        }
        routes
    }

    /// Whether the site has no rule sets.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    /// Routes a request by its host, in any case and with or without a port, and its path. The rule set of
    /// the host applies, else that of the longest matching wildcard host, else the one without hosts.
    pub fn route(&self, host: &str, path: &str) -> RouteDecision {
        let path = normalize_path(path);
        let host = host
            .rsplit_once(':')
            .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let domains = host.match_indices('.').map(|(i, _)| &host[i + 1..]);
        let wildcard = || domains.filter_map(|d| self.wildcard_hosts.get(d)).next();
        let own_set = self.hosts.get(&host).or_else(wildcard).map(|index| &self.sets[*index]);
        let routed = own_set.map_or(RouteDecision::Unrouted, |set| set.route(&path));
        let inherits = own_set.is_none_or(|set| set.inherit);
        match (routed, self.default_set.filter(|_| inherits)) {
            (RouteDecision::Unrouted, Some(default_set)) => self.sets[default_set].route(&path),
            (routed, _) => routed,
        }
    }
}
