//! From a host and a path to a pool.

use fernslip_site::{Match, Order, Route, RouteSet, Site, Target, MOST_REGEX_BYTES};
use regex::{Regex, RegexBuilder};
use std::collections::HashMap;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routed {
    /// To the pool at that place of the site's pools.
    Pool(usize),
    /// A rule keeps it back.
    Excluded,
    /// No rule is about it.
    Unrouted,
}

#[derive(Clone, Copy, Debug)]
enum RuleTarget {
    Pool(usize),
    Nowhere,
    /// What would go to that pool goes nowhere.
    Without(usize),
}

#[derive(Debug)]
enum Pattern {
    Regex(Regex),
    Wildcard(Vec<char>),
}

#[derive(Debug)]
struct RuleSet {
    inherit: bool,
    /// Rules of the first order by their patterns: the place of the first with it.
    exact: HashMap<String, Vec<(usize, RuleTarget)>>,
    prefix: HashMap<String, Vec<(usize, RuleTarget)>>,
    /// Those that only a look at each one tells, in the order in which they are asked.
    others: Vec<(usize, Pattern, RuleTarget)>,
}

/// The rules of a site.
#[derive(Debug)]
pub struct Routes {
    sets: Vec<RuleSet>,
    hosts: HashMap<String, usize>,
    /// Sets of wildcard hosts (`*.example.com`), by what follows `*.`.
    wildcard_hosts: HashMap<String, usize>,
    default_set: Option<usize>,
}

/// Whether a text is as a pattern says, `*` standing for any text and `?` for one character. Its cost is bounded by
/// the product of the lengths, not by a power.
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

/// A path without empty and dot parts. Guards rules on a folder against ways round it: `/a/../b`, `//b`.
fn normalize_path(path: &str) -> String {
    let mut parts: Vec<&str> = Vec::new();
    for part in path.split('/') {
        match part {
            "" | "." => {}
            ".." => {
                parts.pop();
            }
            other => parts.push(other),
        }
    }
    let end = if path.ends_with('/') && !parts.is_empty() { "/" } else { "" };
    format!("/{}{end}", parts.join("/"))
}

impl RuleSet {
    fn of(set: &RouteSet, pools: &HashMap<&str, usize>) -> RuleSet {
        let mut rules: Vec<(usize, &Route)> = set.rules.iter().enumerate().collect();
        if set.order == Some(Order::Longest) {
            // Sorted, the longest order is a first order too; what keeps back stands before what it keeps back.
            let rank = |r: &Route| {
                let exact = r.matching != Some(Match::Exact);
                (matches!(r.target, Target::Pool(_)), std::cmp::Reverse(r.pattern.chars().count()), exact)
            };
            rules.sort_by_key(|(_, r)| rank(r));
        }
        let mut out = RuleSet {
            inherit: set.inherit == Some(true),
            exact: HashMap::new(),
            prefix: HashMap::new(),
            others: Vec::new(),
        };
        for (place, (_, rule)) in rules.into_iter().enumerate() {
            let named = |p: &String| pools.get(p.as_str()).copied();
            let to = match &rule.target {
                Target::Pool(p) => named(p).map_or(RuleTarget::Nowhere, RuleTarget::Pool),
                Target::Exclude(None) => RuleTarget::Nowhere,
                Target::Exclude(Some(p)) => match named(p) {
                    Some(p) => RuleTarget::Without(p),
                    None => continue,
                },
            };
            match rule.matching.unwrap_or(Match::Prefix) {
                Match::Exact => out.exact.entry(rule.pattern.clone()).or_default().push((place, to)),
                Match::Prefix => out.prefix.entry(rule.pattern.clone()).or_default().push((place, to)),
                Match::Wildcard => {
                    let pattern = Pattern::Wildcard(rule.pattern.chars().collect());
                    out.others.push((place, pattern, to));
                }
                Match::Regex => {
                    // A checked site has none that does not compile; one that does not matches nothing.
                    let regex = RegexBuilder::new(&rule.pattern).size_limit(MOST_REGEX_BYTES).build();
                    out.others.extend(regex.ok().map(|r| (place, Pattern::Regex(r), to)));
                }
            }
        }
        out
    }

    fn route(&self, path: &str) -> Routed {
        let mut best: Option<(usize, RuleTarget)> = None;
        let mut kept: Vec<usize> = Vec::new();
        let mut take = |place: usize, to: RuleTarget| match to {
            RuleTarget::Without(pool) => kept.push(pool),
            _ if best.is_none_or(|b| place < b.0) => best = Some((place, to)),
            _ => {}
        };
        for (place, to) in self.exact.get(path).into_iter().flatten() {
            take(*place, *to);
        }
        if !self.prefix.is_empty() {
            // `/a/b` is below `/`, `/a`, `/a/` and `/a/b`.
            let cuts = path.char_indices().filter(|(_, c)| *c == '/');
            let above = cuts.flat_map(|(i, _)| [&path[..i], &path[..=i]]).chain([path]);
            let mut last = None;
            for prefix in above.filter(|p| !p.is_empty()) {
                if last.replace(prefix) == Some(prefix) {
                    continue;
                }
                for (place, to) in self.prefix.get(prefix).into_iter().flatten() {
                    take(*place, *to);
                }
            }
        }
        if !self.others.is_empty() {
            let chars: Vec<char> = path.chars().collect();
            for (place, pattern, to) in &self.others {
                let matches = match pattern {
                    Pattern::Regex(r) => r.is_match(path),
                    Pattern::Wildcard(w) => wildcard_matches(w, &chars),
                };
                if matches {
                    take(*place, *to);
                }
            }
        }
        match best {
            None => Routed::Unrouted,
            Some((_, RuleTarget::Pool(p))) if !kept.contains(&p) => Routed::Pool(p),
            Some(_) => Routed::Excluded,
        }
    }
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
            let at = out.sets.len();
            out.sets.push(RuleSet::of(set, &pools));
            if set.hosts.is_empty() {
                out.default_set.get_or_insert(at);
            }
            for host in &set.hosts {
                let host = host.to_ascii_lowercase();
                match host.strip_prefix("*.") {
                    Some(family) => out.wildcard_hosts.entry(family.to_string()).or_insert(at),
                    None => out.hosts.entry(host).or_insert(at),
                };
            }
        }
        out
    }

    /// Whether there are no rules at all.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    /// Where a request for that path of that host goes. A port behind the host is passed over; so is its case. The
    /// set of the host itself is asked, else that of the longest family above it, else the one without hosts.
    pub fn route(&self, host: &str, path: &str) -> Routed {
        let path = normalize_path(path);
        let host = host
            .rsplit_once(':')
            .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |h| h.0);
        let host = host.to_ascii_lowercase();
        let above = host.match_indices('.').map(|(i, _)| &host[i + 1..]);
        let family = || above.filter_map(|f| self.wildcard_hosts.get(f)).next();
        let own = self.hosts.get(&host).or_else(family).copied();
        let found = own.map_or(Routed::Unrouted, |at| self.sets[at].route(&path));
        let goes_on = own.is_none_or(|at| self.sets[at].inherit);
        match (found, self.default_set.filter(|_| goes_on)) {
            (Routed::Unrouted, Some(default_set)) => self.sets[default_set].route(&path),
            (found, _) => found,
        }
    }
}
