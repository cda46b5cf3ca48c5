//! Routes against their definition, and the orders of both formats by example.

use fernslip_pool::{Routed, Routes};
use fernslip_site::{Match, Order, Pool, Recovery, Retry, Route, RouteSet, Site, Target};
use proptest::prelude::*;

fn site(sets: Vec<RouteSet>) -> Site {
    let pool = |n: usize| Pool {
        name: format!("p{n}"),
        members: Vec::new(),
        limits: Default::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    Site { pools: (0..4).map(pool).collect(), routes: sets, ..Site::default() }
}

fn matches(rule: &Route, path: &str) -> bool {
    let p = rule.pattern.as_str();
    match rule.matching {
        Some(Match::Exact) => path == p,
        Some(Match::Wildcard) => wildcard_matches(p, path),
        _ => path == p || path.starts_with(&format!("{}/", p.trim_end_matches('/'))),
    }
}

fn wildcard_matches(p: &str, t: &str) -> bool {
    let Some(c) = p.chars().next() else { return t.is_empty() };
    let tail_pattern = &p[c.len_utf8()..];
    let tails = || t.char_indices().map(|(i, _)| &t[i..]).chain([""]);
    match (c, t.chars().next()) {
        ('*', _) => tails().any(|tail| wildcard_matches(tail_pattern, tail)),
        (_, None) => false,
        (c, Some(d)) => (c == '?' || c == d) && wildcard_matches(tail_pattern, &t[d.len_utf8()..]),
    }
}

fn pool(name: &str) -> usize {
    name[1..].parse().expect("p and a number")
}

/// The definition: of the rules that match, the first or the longest with the exact one before a wildcard; unless
/// a rule excludes everything, or what goes to that pool.
fn routed_by_definition(set: &RouteSet, path: &str) -> Routed {
    let mut found: Vec<&Route> = set.rules.iter().filter(|r| matches(r, path)).collect();
    let without: Vec<usize> = found
        .iter()
        .filter_map(|r| if let Target::Exclude(Some(p)) = &r.target { Some(pool(p)) } else { None })
        .collect();
    found.retain(|r| !matches!(r.target, Target::Exclude(Some(_))));
    if set.order == Some(Order::Longest) {
        if found.iter().any(|r| r.target == Target::Exclude(None)) {
            return Routed::Excluded;
        }
        let rank = |r: &&Route| (r.pattern.chars().count(), r.matching == Some(Match::Exact));
        // The first of equals.
        found.reverse();
        found.sort_by_key(rank);
        found.reverse();
    }
    match found.first().map(|r| &r.target) {
        None => Routed::Unrouted,
        Some(Target::Pool(p)) if !without.contains(&pool(p)) => Routed::Pool(pool(p)),
        Some(_) => Routed::Excluded,
    }
}

fn rule() -> impl Strategy<Value = Route> {
    let path = proptest::collection::vec(prop_oneof![Just("a"), Just("b"), Just("ab")], 0..3);
    let kind = prop_oneof![Just(None), Just(Some(Match::Exact)), Just(Some(Match::Wildcard))];
    let target = prop_oneof![
        4 => (0usize..4).prop_map(|n| Target::Pool(format!("p{n}"))),
        1 => Just(Target::Exclude(None)),
        1 => (0usize..4).prop_map(|n| Target::Exclude(Some(format!("p{n}"))))
    ];
    (path, kind, target, prop_oneof![Just(""), Just("/"), Just("/*"), Just("*"), Just("?")]).prop_map(
        |(path, matching, target, tail)| {
            let tail = if matching == Some(Match::Wildcard) || tail == "/" { tail } else { "" };
            let stem = if path.is_empty() { String::new() } else { format!("/{}", path.join("/")) };
            let pattern = format!("{stem}{tail}");
            let pattern = if pattern.starts_with('/') { pattern } else { format!("/{pattern}") };
            Route { pattern, matching, target, rewrite: None }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    #[test]
    fn routes_follow_their_definition(
        rules in proptest::collection::vec(rule(), 0..8),
        longest in any::<bool>(),
        parts in proptest::collection::vec(prop_oneof![Just("a"), Just("b"), Just("ab"), Just("c")], 0..4),
        end in any::<bool>(),
    ) {
        let order = Some(if longest { Order::Longest } else { Order::First });
        let set = RouteSet { hosts: Vec::new(), order, inherit: None, rules };
        let path = format!("/{}{}", parts.join("/"), if end && !parts.is_empty() { "/" } else { "" });
        let routes = Routes::of(&site(vec![set.clone()]));
        prop_assert_eq!(routes.route("any", &path), routed_by_definition(&set, &path), "{}", path);
    }
}

fn routes_of(text: &str) -> Routes {
    let pools = "pool \"p0\"\npool \"p1\"\npool \"p2\"\n";
    Routes::of(&Site::parse("site.kdl", &format!("{pools}{text}")).expect("a site").site)
}

#[test]
fn the_same_rules_route_differently_in_first_and_longest_order() {
    let rules = r#"
        route "/docs" pool="p0"
        route "/docs/old" pool="p1"
        route "/docs/old/x" match="exact" pool="p2"
        route "/docs/img/*" match="wildcard" pool="p0" exclude=#true
    }"#;
    let first = routes_of(&format!("routes order=\"first\" {{ {rules}"));
    let longest = routes_of(&format!("routes order=\"longest\" {{ {rules}"));
    for (path, by_first, by_longest) in [
        ("/docs", Routed::Pool(0), Routed::Pool(0)),
        ("/docsx", Routed::Unrouted, Routed::Unrouted),
        ("/docs/old/y", Routed::Pool(0), Routed::Pool(1)),
        ("/docs/old/x", Routed::Pool(0), Routed::Pool(2)),
        ("/docs/img/1", Routed::Excluded, Routed::Excluded),
        // No way round a rule.
        ("//docs/./img//1", Routed::Excluded, Routed::Excluded),
        ("/docs/x/../img/1", Routed::Excluded, Routed::Excluded),
        ("/../docs", Routed::Pool(0), Routed::Pool(0)),
    ] {
        assert_eq!((first.route("h", path), longest.route("h", path)), (by_first, by_longest), "{path}");
    }
}

#[test]
fn hosts_and_wildcard_hosts_have_rule_sets_of_their_own() {
    let r = routes_of(
        r#"
        routes { route "/" pool="p0"; route "/open" pool="p0"; }
        routes inherit=#true { host "a.example" "*.b.example"; route "/x" pool="p1"; }
        routes { host "deep.b.example" "*.c.b.example"; route "^/(x|y)$" match="regex" pool="p2"; }
        "#,
    );
    for (host, path, to) in [
        ("a.example", "/x", Routed::Pool(1)),
        ("A.Example:8080", "/x/y", Routed::Pool(1)),
        ("a.example", "/other", Routed::Pool(0)),
        ("x.b.example", "/x", Routed::Pool(1)),
        ("b.example", "/x", Routed::Pool(0)),
        ("deep.b.example", "/y", Routed::Pool(2)),
        ("deep.b.example", "/other", Routed::Unrouted),
        ("1.c.b.example", "/x", Routed::Pool(2)),
        ("", "/x", Routed::Pool(0)),
    ] {
        assert_eq!(r.route(host, path), to, "{host}{path}");
    }
}

/// Guards against patterns whose stars would be tried in every combination.
#[test]
fn a_pattern_of_many_stars_costs_little() {
    let text = format!("routes {{ route \"/{}b\" match=\"wildcard\" pool=\"p0\"; }}", "a*".repeat(40));
    let r = routes_of(&text);
    assert_eq!(r.route("", &format!("/{}", "a".repeat(5000))), Routed::Unrouted);
}
