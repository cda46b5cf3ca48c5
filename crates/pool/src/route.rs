//! From a host and a path to a pool.

use fernslip_site::{Match, Order, Route, RouteSet, Site, Target, MAX_REGEX_BYTES};
use regex::{Regex, RegexBuilder};
use std::collections::HashMap;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routed {
    /// To the pool of that index among the site's pools.
    Pool(usize),
    /// A rule excludes it.
    Excluded,
    /// No rule matches it.
    Unrouted,
}

/// What a rule does with a request that matches it; pools go by their index.
#[derive(Clone, Copy, Debug)]
enum RuleTarget {
    Pool(usize),
    Nowhere,
    /// What another rule would route to that pool is excluded.
    ExcludeFrom(usize),
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
    /// What no rule of the set matches goes on to the default set.
    inherit: bool,
    /// Rules on an exact path, by path.
    exact: HashMap<String, Vec<RankedTarget>>,
    /// Rules on a path and all below it, by path.
    prefix: HashMap<String, Vec<RankedTarget>>,
    /// Rules that no table can look up: each is matched, in their order.
    scanned: Vec<(Pattern, RankedTarget)>,
}

/// The rules that match one path, as far as they have been looked up.
#[derive(Default)]
struct Matched {
    first: Option<RankedTarget>,
    excluded_pools: Vec<usize>,
}

impl Matched {
    fn add(&mut self, rule: RankedTarget) {
        match rule.target {
            RuleTarget::ExcludeFrom(pool) => self.excluded_pools.push(pool),
            _ if self.first.is_none_or(|first| rule.position < first.position) => self.first = Some(rule),
            _ => {}
        }
    }

    fn add_all(&mut self, rules: Option<&Vec<RankedTarget>>) {
        rules.into_iter().flatten().for_each(|rule| self.add(*rule));
    }

    fn routed(&self) -> Routed {
        match self.first.map(|first| first.target) {
            None => Routed::Unrouted,
            Some(RuleTarget::Pool(pool)) if !self.excluded_pools.contains(&pool) => Routed::Pool(pool),
            Some(_) => Routed::Excluded,
        }
    }
}

/// The routing rules of a site, in tables for the lookup.
#[derive(Debug)]
pub struct Routes {
    sets: Vec<RuleSet>,
    /// Index of a host's set, by its lower-case name.
    hosts: HashMap<String, usize>,
    /// Sets of wildcard hosts (`*.example.com`), by what follows `*.`.
    wildcard_hosts: HashMap<String, usize>,
    /// The set without hosts.
    default_set: Option<usize>,
}

/// Whether a text matches a wildcard pattern, `*` standing for any text and `?` for one character. The cost is bounded
/// by the product of the lengths, not by a power.
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

/// A path without empty and dot segments. Guards rules on a folder against ways round it: `/a/../b`, `//b`.
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

/// The prefixes under which rules that match a path stand, the shortest first: `/a/b` is below `/`, `/a`, `/a/` and
/// `/a/b`.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.char_indices().filter(|(_, c)| *c == '/');
    let ancestors = slashes.flat_map(|(i, _)| [&path[..i], &path[..=i]]).chain([path]);
    let mut previous = None;
    ancestors.filter(|p| !p.is_empty()).filter(move |prefix| previous.replace(*prefix) != Some(*prefix))
}

impl RuleSet {
    fn of(set: &RouteSet, pools: &HashMap<&str, usize>) -> RuleSet {
        let mut out = RuleSet {
            inherit: set.inherit == Some(true),
            exact: HashMap::new(),
            prefix: HashMap::new(),
            scanned: Vec::new(),
        };
        for (position, rule) in in_order(set).into_iter().enumerate() {
            if let Some(target) = RuleTarget::of(rule, pools) {
                out.insert(rule, RankedTarget { position, target });
            }
        }
        out
    }

    fn insert(&mut self, rule: &Route, ranked: RankedTarget) {
        match rule.matching.unwrap_or(Match::Prefix) {
            Match::Exact => self.exact.entry(rule.pattern.clone()).or_default().push(ranked),
            Match::Prefix => self.prefix.entry(rule.pattern.clone()).or_default().push(ranked),
            Match::Wildcard => {
                self.scanned.push((Pattern::Wildcard(rule.pattern.chars().collect()), ranked));
            }
            Match::Regex => {
                // A checked site has none that does not compile; one that does not matches nothing.
                let regex = RegexBuilder::new(&rule.pattern).size_limit(MAX_REGEX_BYTES).build();
                self.scanned.extend(regex.ok().map(|r| (Pattern::Regex(r), ranked)));
            }
        }
    }

    /// Where the rules send a normalized path.
    fn route(&self, path: &str) -> Routed {
        let mut matched = Matched::default();
        matched.add_all(self.exact.get(path));
        if !self.prefix.is_empty() {
            for prefix in prefixes(path) {
                matched.add_all(self.prefix.get(prefix));
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
                    matched.add(*rule);
                }
            }
        }
        matched.routed()
    }
}

impl RuleTarget {
    /// `None`: the rule excludes from a pool that the site does not have, which is nothing.
    fn of(rule: &Route, pools: &HashMap<&str, usize>) -> Option<RuleTarget> {
        let index = |name: &String| pools.get(name.as_str()).copied();
        match &rule.target {
            Target::Pool(name) => Some(index(name).map_or(RuleTarget::Nowhere, RuleTarget::Pool)),
            Target::Exclude(None) => Some(RuleTarget::Nowhere),
            Target::Exclude(Some(name)) => index(name).map(RuleTarget::ExcludeFrom),
        }
    }
}

/// The rules of a set in the order in which they apply, the first that matches deciding. Sorted once, the longest order
/// is such an order too; exclusions stand before what they exclude.
fn in_order(set: &RouteSet) -> Vec<&Route> {
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
    /// The rules of a site that was read and checked.
    pub fn of(site: &Site) -> Routes {
        let pools: HashMap<&str, usize> =
            site.pools.iter().enumerate().map(|(i, p)| (p.name.as_str(), i)).collect();
        let mut out = Routes {
            sets: Vec::new(),
            hosts: HashMap::new(),
            wildcard_hosts: HashMap::new(),
            default_set: None,
        };
        for set in &site.routes {
            let index = out.sets.len();
            out.sets.push(RuleSet::of(set, &pools));
            if set.hosts.is_empty() {
                out.default_set.get_or_insert(index);
            }
            for host in &set.hosts {
                let host = host.to_ascii_lowercase();
                match host.strip_prefix("*.") {
                    Some(domain) => out.wildcard_hosts.entry(domain.to_string()).or_insert(index),
                    None => out.hosts.entry(host).or_insert(index),
                };
            }
        }
        out
    }

    /// Whether there are no rules at all.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    /// Where a request for a path of a host goes; the host may have a port, and any case. The host's own rule set
    /// applies, else that of the longest wildcard host that matches, else the one without hosts.
    pub fn route(&self, host: &str, path: &str) -> Routed {
        let path = normalize_path(path);
        let host = host
            .rsplit_once(':')
            .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let domains = host.match_indices('.').map(|(i, _)| &host[i + 1..]);
        let wildcard = || domains.filter_map(|d| self.wildcard_hosts.get(d)).next();
        let own_set = self.hosts.get(&host).or_else(wildcard).map(|index| &self.sets[*index]);
        let routed = own_set.map_or(Routed::Unrouted, |set| set.route(&path));
        let inherits = own_set.is_none_or(|set| set.inherit);
        match (routed, self.default_set.filter(|_| inherits)) {
            (Routed::Unrouted, Some(default_set)) => self.sets[default_set].route(&path),
            (routed, _) => routed,
        }
    }
}
