//! Checks that need the complete document: undefined names, invalid addresses, duplicates and pools that
//! can't serve.

use crate::model::*;
use crate::problems::{suggest_similar, Problems};
use crate::spans::{RouteSpans, SourceSpans, UseSpans};
use miette::SourceSpan;
use std::collections::{HashMap, HashSet};

/// The greatest size of a compiled regular expression in a route pattern, in bytes.
pub const MAX_REGEX_BYTES: usize = 1 << 20;

/// Splits a valid `host:port` into the host, without brackets, and the port (1 to 65535); `None` if it is
/// invalid. The host is a name of letters, digits, `.`, `-` and `_`, an IPv4 address, or an IPv6 address in
/// brackets; it is not resolved.
pub fn split_host_port(address: &str) -> Option<(&str, u16)> {
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
    let in_host_name = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    let is_host = host.starts_with('[') || !host.is_empty() && host.bytes().all(in_host_name);
    is_host.then_some((bare, port))
}

/// Reports a reference to an undefined name; `kind` is the kind of object that is named, such as `pool`.
fn check_reference<V>(
    kind: &str,
    name: &str,
    span: SourceSpan,
    defined: &HashMap<String, V>,
    problems: &mut Problems<'_>,
) {
    if defined.contains_key(name) {
        return;
    }
    // Suggestions are for documents written by hand. In a generated document with thousands of undefined
    // names they would take time quadratic in its length.
    let hint =
        if defined.len() <= 1000 { suggest_similar(name, defined.keys().map(String::as_str)) } else { None };
    problems.add_error(span, format!("no {kind} is called `{name}`"), hint);
}

/// Runs all checks that need the complete document, and adds the mistakes and warnings to `problems`.
pub(crate) fn check_document(site: &Site, spans: &SourceSpans, problems: &mut Problems<'_>) {
    check_zones(site, spans, problems);
    check_addresses(site, spans, problems);
    check_classes(site, spans, problems);
    let members: HashMap<&str, &Member> = site.members.iter().map(|m| (m.id.as_str(), m)).collect();
    for (pool, uses) in site.pools.iter().zip(&spans.uses) {
        check_memberships(pool, uses, spans, problems);
        check_pool(pool, &members, spans, problems);
    }
    check_route_sets(site, spans, problems);
}

fn check_zones(site: &Site, spans: &SourceSpans, problems: &mut Problems<'_>) {
    let members = site.members.iter().zip(&spans.member_zones).map(|(m, span)| (m.zone.as_ref(), *span));
    let front = (site.front.as_ref().and_then(|f| f.zone.as_ref()), spans.front_zone);
    for (zone, span) in members.chain([front]) {
        if let (Some(zone), Some(span)) = (zone, span) {
            check_reference("zone", zone, span, &spans.zones, problems);
        }
    }
}

fn check_addresses(site: &Site, spans: &SourceSpans, problems: &mut Problems<'_>) {
    for (m, span) in site.members.iter().zip(&spans.addresses) {
        if !m.address.is_empty() && split_host_port(&m.address).is_none() {
            let hint = Some(
                "write host:port with a port from 1 to 65535; put an IPv6 address in brackets".to_string(),
            );
            problems.add_error(*span, format!("`{}` is not a valid address", m.address), hint);
        }
    }
}

fn check_classes(site: &Site, spans: &SourceSpans, problems: &mut Problems<'_>) {
    for c in site.classes.iter().filter(|c| c.deadline_ms < c.latency_objective_ms) {
        if let Some(span) = spans.classes.get(&c.name) {
            let (objective, deadline) = (c.latency_objective_ms, c.deadline_ms);
            let message = format!("class `{}`: aim-ms={objective} exceeds deadline-ms={deadline}", c.name);
            problems.add_error(*span, message, None);
        }
    }
}

/// Checks that the `use` nodes of a pool name defined members, each once, and replacements from the same
/// pool.
fn check_memberships(pool: &Pool, uses: &[UseSpans], spans: &SourceSpans, problems: &mut Problems<'_>) {
    let member_ids: HashSet<&str> = pool.members.iter().map(|u| u.member.as_str()).collect();
    let mut seen = HashSet::new();
    for (u, at) in pool.members.iter().zip(uses) {
        if !u.member.is_empty() {
            check_reference("member", &u.member, at.member, &spans.members, problems);
        }
        if !seen.insert(&u.member) {
            problems.add_error(
                at.member,
                format!("member `{}` is used more than once in pool `{}`", u.member, pool.name),
                None,
            );
        }
        if let (Some(name), Some(span)) = (&u.instead, at.instead) {
            if *name == u.member {
                problems.add_error(span, format!("member `{name}` can't be its own replacement"), None);
            } else if !member_ids.contains(name.as_str()) {
                let hint = Some(format!("add it to the pool with: use \"{name}\" state=\"standby\""));
                problems.add_error(
                    span,
                    format!("replacement `{name}` is not a member of pool `{}`", pool.name),
                    hint,
                );
            }
        }
    }
}

/// Checks that a pool has a member that may serve, and that its recovery settings and its limits are
/// consistent.
fn check_pool(
    pool: &Pool,
    members: &HashMap<&str, &Member>,
    spans: &SourceSpans,
    problems: &mut Problems<'_>,
) {
    let Some(span) = spans.pools.get(&pool.name).copied() else { return };
    let name = &pool.name;
    let may_serve = |u: &Use| {
        let state = u.effective_state(members.get(u.member.as_str()).copied());
        matches!(state, State::Ready | State::Standby | State::Spare)
    };
    if !pool.members.is_empty() && !pool.members.iter().any(may_serve) {
        let message =
            format!("every member of pool `{name}` is draining or stopped: the pool rejects all requests");
        problems.add_warning(span, message, None);
    } else if pool.members.is_empty() {
        problems.add_warning(span, format!("pool `{name}` has no members: it rejects all requests"), None);
    }
    if let (Some(first), Some(max)) = (pool.recovery.first_backoff_ms, pool.recovery.max_backoff_ms) {
        if first > max {
            problems.add_error(span, format!("pool `{name}`: first-ms={first} exceeds most-ms={max}"), None);
        }
    }
    let queue_is_set = pool.limits.wait_ms.is_some() || pool.limits.waiting.is_some();
    if queue_is_set && !pool.is_bounded(members) {
        let hint = Some("set in-flight, or remove wait-ms and waiting".to_string());
        let message = format!(
            "wait-ms and waiting have no effect in pool `{name}`: neither it nor its members have limits"
        );
        problems.add_warning(span, message, hint);
    }
}

fn check_route_sets(site: &Site, spans: &SourceSpans, problems: &mut Problems<'_>) {
    let mut set_of_host: HashMap<&str, usize> = HashMap::new();
    let mut sets_without_hosts = 0;
    for (i, set) in site.routes.iter().enumerate() {
        let span = spans.route_sets[i];
        sets_without_hosts += usize::from(set.hosts.is_empty());
        if set.hosts.is_empty() && sets_without_hosts == 2 {
            let hint = Some("merge these `routes` nodes into one, or give each of them a `host`".to_string());
            problems.add_error(span, "more than one `routes` node has no `host`", hint);
        }
        for host in &set.hosts {
            if set_of_host.insert(host, i).is_some_and(|earlier| earlier != i) {
                problems.add_error(
                    span,
                    format!("host `{host}` is named by more than one `routes` node"),
                    None,
                );
            }
        }
        for (rule, at) in set.rules.iter().zip(&spans.routes[i]) {
            check_route(rule, *at, spans, problems);
        }
        warn_about_shadowed_rules(set, &spans.routes[i], problems);
    }
}

fn check_route(rule: &Route, at: RouteSpans, spans: &SourceSpans, problems: &mut Problems<'_>) {
    match rule.matching {
        Some(Match::Regex) => {
            if let Err(e) = regex::RegexBuilder::new(&rule.pattern).size_limit(MAX_REGEX_BYTES).build() {
                let message = e.to_string();
                let last = message.lines().last().unwrap_or("it does not compile").trim();
                problems.add_error(
                    at.pattern,
                    format!("invalid regular expression `{}`: {last}", rule.pattern),
                    None,
                );
            }
        }
        _ if !rule.pattern.starts_with('/') => {
            let hint = Some("a path begins with `/`; for a regular expression, add match=\"regex\"".into());
            problems.add_error(at.pattern, format!("route pattern `{}` is not a path", rule.pattern), hint);
        }
        _ => {}
    }
    if let Target::Pool(name) | Target::Exclude(Some(name)) = &rule.target {
        check_reference("pool", name, at.target, &spans.pools, problems);
    }
}

/// Warns about rules that never apply, because an earlier prefix rule matches all their paths.
fn warn_about_shadowed_rules(set: &RouteSet, spans: &[RouteSpans], problems: &mut Problems<'_>) {
    if set.order == Some(Order::Longest) {
        return;
    }
    // Each rule looks up only its own ancestor paths among the earlier prefixes, so that the time is not
    // quadratic in the number of rules.
    let mut prefixes: HashSet<&str> = HashSet::new();
    for (rule, at) in set.rules.iter().zip(spans) {
        if matches!(rule.matching, None | Some(Match::Prefix | Match::Exact)) {
            let path = rule.pattern.as_str();
            let ancestors =
                path.char_indices().filter(|(_, c)| *c == '/').flat_map(|(i, _)| [&path[..i], &path[..=i]]);
            if let Some(earlier) = ancestors.chain([path]).find(|a| prefixes.contains(a)) {
                let message = format!(
                    "route `{path}` is never reached: the earlier route `{earlier}` matches its paths"
                );
                problems.add_warning(
                    at.pattern,
                    message,
                    Some("put the route with the longer path first".into()),
                );
            }
        }
        let is_prefix = matches!(rule.matching, None | Some(Match::Prefix));
        if is_prefix && !matches!(rule.target, Target::Exclude(Some(_))) {
            prefixes.insert(&rule.pattern);
        }
    }
}
