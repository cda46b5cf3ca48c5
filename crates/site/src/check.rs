//! What only the whole document shows: names that nobody has, addresses that are none, pools that can't serve.

use crate::fields::{meant, Problems};
use crate::model::*;
use crate::read::Places;
use miette::SourceSpan;
use std::collections::{HashMap, HashSet};

/// A regular expression compiles to this many bytes at the most.
pub const MOST_REGEX_BYTES: usize = 1 << 20;

/// Host and port of an address, if it is one: `host:port`, an IPv6 address in brackets.
pub fn host_port(address: &str) -> Option<(&str, u16)> {
    let (host, port) = address.rsplit_once(':')?;
    let port: u16 = port.parse().ok().filter(|p| *p > 0)?;
    let bare = match host.strip_prefix('[') {
        Some(v6) => {
            let v6 = v6.strip_suffix(']')?;
            v6.parse::<std::net::Ipv6Addr>().ok()?;
            v6
        }
        None => host,
    };
    let name = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    let fine = host.starts_with('[') || !host.is_empty() && host.bytes().all(name);
    fine.then_some((bare, port))
}

fn unknown<V>(
    what: &str,
    name: &str,
    span: SourceSpan,
    all: &HashMap<String, V>,
    problems: &mut Problems<'_>,
) -> bool {
    if all.contains_key(name) {
        return false;
    }
    // A search through all names is for people; a generated file with thousands of such mistakes must not take
    // the square of its length.
    let near = if all.len() <= 1000 { meant(name, all.keys().map(String::as_str)) } else { None };
    problems.error(span, format!("no {what} is called `{name}`"), near);
    true
}

pub(crate) fn check(site: &Site, places: &Places, problems: &mut Problems<'_>) {
    zones(site, places, problems);
    for (m, span) in site.members.iter().zip(&places.addresses) {
        if !m.address.is_empty() && host_port(&m.address).is_none() {
            let hint = Some("write host:port, an IPv6 address in brackets".to_string());
            problems.error(*span, format!("`{}` is no address", m.address), hint);
        }
    }
    for c in site.classes.iter().filter(|c| c.deadline_ms < c.aim_ms) {
        if let Some(span) = places.classes.get(&c.name) {
            problems.error(*span, format!("`{}` is wanted after clients give up", c.name), None);
        }
    }
    let members: HashMap<&str, &Member> = site.members.iter().map(|m| (m.id.as_str(), m)).collect();
    for (p, uses) in site.pools.iter().zip(&places.uses) {
        pool(p, uses, &members, places, problems);
    }
    let mut hosts: HashMap<&str, usize> = HashMap::new();
    let mut open = 0;
    for (i, set) in site.routes.iter().enumerate() {
        let span = places.sets[i];
        open += usize::from(set.hosts.is_empty());
        if set.hosts.is_empty() && open == 2 {
            let hint = Some("put all rules for it into one, or name hosts".to_string());
            problems.error(span, "two `routes` stand for every other host", hint);
        }
        for host in &set.hosts {
            if hosts.insert(host, i).is_some_and(|j| j != i) {
                problems.error(span, format!("host `{host}` has two `routes`"), None);
            }
        }
        for (rule, at) in set.rules.iter().zip(&places.rules[i]) {
            route(rule, *at, places, problems);
        }
        shadowed(set, &places.rules[i], problems);
    }
}

fn zones(site: &Site, places: &Places, problems: &mut Problems<'_>) {
    let members = site.members.iter().zip(&places.member_zones).map(|(m, span)| (m.zone.as_ref(), *span));
    let front = (site.front.as_ref().and_then(|f| f.zone.as_ref()), places.front_zone);
    for (zone, span) in members.chain([front]) {
        if let (Some(zone), Some(span)) = (zone, span) {
            unknown("zone", zone, span, &places.zones, problems);
        }
    }
}

fn pool(
    p: &Pool,
    spans: &[(SourceSpan, Option<SourceSpan>)],
    members: &HashMap<&str, &Member>,
    places: &Places,
    problems: &mut Problems<'_>,
) {
    let used: HashSet<&str> = p.members.iter().map(|u| u.member.as_str()).collect();
    let mut seen = HashSet::new();
    for (u, (span, instead)) in p.members.iter().zip(spans) {
        if !u.member.is_empty() {
            unknown("member", &u.member, *span, &places.members, problems);
        }
        if !seen.insert(&u.member) {
            problems.error(*span, format!("`{}` is used twice in `{}`", u.member, p.name), None);
        }
        if let (Some(name), Some(span)) = (&u.instead, instead) {
            if *name == u.member {
                problems.error(*span, format!("`{name}` can't stand in for itself"), None);
            } else if !used.contains(name.as_str()) {
                let hint = Some(format!("add it with: use \"{name}\" state=\"standby\""));
                problems.error(*span, format!("`{name}` is not in `{}`", p.name), hint);
            }
        }
    }
    let Some(at) = places.pools.get(&p.name) else { return };
    let state = |u: &Use| {
        let own = members.get(u.member.as_str()).map_or(State::Ready, |m| m.state);
        u.state.map_or(own, |s| s.stricter(own))
    };
    let may_serve = |u: &Use| matches!(state(u), State::Ready | State::Standby | State::Spare);
    if !p.members.is_empty() && !p.members.iter().any(may_serve) {
        let message = format!("every member of `{}` drains or is stopped: it refuses all", p.name);
        problems.warn(*at, message, None);
    } else if p.members.is_empty() {
        problems.warn(*at, format!("`{}` has no member: it refuses all", p.name), None);
    }
    if let (Some(first), Some(most)) = (p.recovery.first_ms, p.recovery.most_ms) {
        if first > most {
            problems.error(*at, format!("`{}`: first-ms is above most-ms", p.name), None);
        }
    }
    let limits = |u: &Use| members.get(u.member.as_str()).is_some_and(|m| m.limits.is_bounded());
    let bounded = p.limits.in_flight.or(p.limits.connections).is_some() || p.members.iter().any(limits);
    if !bounded && (p.limits.wait_ms.is_some() || p.limits.waiting.is_some()) {
        let hint = Some("set in-flight, or leave wait-ms and waiting out".to_string());
        problems.warn(
            *at,
            format!("nothing waits in `{}`: neither it nor its members have limits", p.name),
            hint,
        );
    }
}

fn route(rule: &Route, at: (SourceSpan, SourceSpan), places: &Places, problems: &mut Problems<'_>) {
    let (span, target) = at;
    match rule.matching {
        Some(Match::Regex) => {
            if let Err(e) = regex::RegexBuilder::new(&rule.pattern).size_limit(MOST_REGEX_BYTES).build() {
                let why = e.to_string();
                let last = why.lines().last().unwrap_or("no regular expression").trim();
                problems.error(span, format!("`{}`: {last}", rule.pattern), None);
            }
        }
        _ if !rule.pattern.starts_with('/') => {
            let hint = Some("a path begins with `/`; for a regular expression write match=\"regex\"".into());
            problems.error(span, format!("`{}` is no path", rule.pattern), hint);
        }
        _ => {}
    }
    if let Target::Pool(name) | Target::Exclude(Some(name)) = &rule.target {
        unknown("pool", name, target, &places.pools, problems);
    }
}

/// Warns of rules that an earlier one takes everything from.
fn shadowed(set: &RouteSet, spans: &[(SourceSpan, SourceSpan)], problems: &mut Problems<'_>) {
    if set.order == Some(Order::Longest) {
        return;
    }
    // The prefixes so far; each rule asks only for its own ancestors, so that many rules stay cheap.
    let mut earlier: HashSet<&str> = HashSet::new();
    for (rule, at) in set.rules.iter().zip(spans) {
        let simple = matches!(rule.matching, None | Some(Match::Prefix | Match::Exact));
        if simple {
            let path = rule.pattern.as_str();
            let above =
                path.char_indices().filter(|(_, c)| *c == '/').flat_map(|(i, _)| [&path[..i], &path[..=i]]);
            if let Some(by) = above.chain([path]).find(|a| earlier.contains(a)) {
                let message = format!("`{path}` is never reached: `{by}` comes before it");
                problems.warn(at.0, message, Some("put the longer path first".into()));
            }
        }
        if matches!(rule.matching, None | Some(Match::Prefix))
            && !matches!(rule.target, Target::Exclude(Some(_)))
        {
            earlier.insert(&rule.pattern);
        }
    }
}
