//! Tests of routing: random rule sets against a simple reference implementation, and examples of both rule
//! orders.

use fernslip_pool::{RouteDecision, Routes};
use fernslip_site::{Match, Order, Pool, Recovery, Retry, Route, RouteSet, Site, Target};
use proptest::prelude::*;

fn site_with_routes(sets: Vec<RouteSet>) -> Site {
    let pool = |n: usize| Pool {
        name: format!("p{n}"),
        members: Vec::new(),
        limits: Default::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    Site { pools: (0..4).map(pool).collect(), routes: sets, ..Site::default() }
}

fn rule_matches(rule: &Route, path: &str) -> bool {
    let pattern = rule.pattern.as_str();
    match rule.matching {
        Some(Match::Exact) => path == pattern,
        Some(Match::Wildcard) => wildcard_matches(pattern, path),
        _ => path == pattern || path.starts_with(&format!("{}/", pattern.trim_end_matches('/'))),
    }
}

fn wildcard_matches(pattern: &str, text: &str) -> bool {
    let Some(c) = pattern.chars().next() else { return text.is_empty() };
    let tail_pattern = &pattern[c.len_utf8()..];
    let tails = || text.char_indices().map(|(i, _)| &text[i..]).chain([""]);
    match (c, text.chars().next()) {
        ('*', _) => tails().any(|tail| wildcard_matches(tail_pattern, tail)),
        (_, None) => false,
        (c, Some(d)) => (c == '?' || c == d) && wildcard_matches(tail_pattern, &text[d.len_utf8()..]),
    }
}

fn pool_index(name: &str) -> usize {
    name[1..].parse().expect("a pool's name is `p` and its index")
}

/// The reference implementation. Among the rules that match, the first one decides, or in longest order the
/// longest one, with an exact rule before a wildcard of the same length. In longest order any matching rule
/// that excludes everything wins; in both orders a rule can exclude what would go to one pool.
fn reference_route(set: &RouteSet, path: &str) -> RouteDecision {
    let mut matching: Vec<&Route> = set.rules.iter().filter(|r| rule_matches(r, path)).collect();
    let excluded_pools: Vec<usize> = matching
        .iter()
        .filter_map(|r| if let Target::Exclude(Some(p)) = &r.target { Some(pool_index(p)) } else { None })
        .collect();
    matching.retain(|r| !matches!(r.target, Target::Exclude(Some(_))));
    if set.order == Some(Order::Longest) {
        if matching.iter().any(|r| r.target == Target::Exclude(None)) {
            return RouteDecision::Excluded;
        }
        let rank = |r: &&Route| (r.pattern.chars().count(), r.matching == Some(Match::Exact));
        // Reversed around the stable sort, so that among equal rules the first one stays first.
        matching.reverse();
        matching.sort_by_key(rank);
        matching.reverse();
    }
    match matching.first().map(|r| &r.target) {
        None => RouteDecision::Unrouted,
        Some(Target::Pool(p)) if !excluded_pools.contains(&pool_index(p)) => {
            RouteDecision::Pool(pool_index(p))
        }
        Some(_) => RouteDecision::Excluded,
    }
}

fn any_rule() -> impl Strategy<Value = Route> {
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
    fn routing_agrees_with_the_reference_implementation(
        rules in proptest::collection::vec(any_rule(), 0..8),
        longest in any::<bool>(),
        parts in proptest::collection::vec(prop_oneof![Just("a"), Just("b"), Just("ab"), Just("c")], 0..4),
        end in any::<bool>(),
    ) {
        let order = Some(if longest { Order::Longest } else { Order::First });
        let set = RouteSet { hosts: Vec::new(), order, inherit: None, rules };
        let path = format!("/{}{}", parts.join("/"), if end && !parts.is_empty() { "/" } else { "" });
        let routes = Routes::from_site(&site_with_routes(vec![set.clone()]));
        prop_assert_eq!(routes.route("any", &path), reference_route(&set, &path), "{}", path);
    }
}

fn parse_routes(text: &str) -> Routes {
    let pools = "pool \"p0\"\npool \"p1\"\npool \"p2\"\n";
    Routes::from_site(
        &Site::parse("site.kdl", &format!("{pools}{text}")).expect("the test's site document is valid").site,
    )
}

#[test]
fn the_same_rules_route_differently_in_first_and_longest_order() {
    let rules = r#"
        route "/docs" pool="p0"
        route "/docs/old" pool="p1"
        route "/docs/old/x" match="exact" pool="p2"
        route "/docs/img/*" match="wildcard" pool="p0" exclude=#true
    }"#;
    let first = parse_routes(&format!("routes order=\"first\" {{ {rules}"));
    let longest = parse_routes(&format!("routes order=\"longest\" {{ {rules}"));
    for (path, by_first, by_longest) in [
        ("/docs", RouteDecision::Pool(0), RouteDecision::Pool(0)),
        ("/docsx", RouteDecision::Unrouted, RouteDecision::Unrouted),
        ("/docs/old/y", RouteDecision::Pool(0), RouteDecision::Pool(1)),
        ("/docs/old/x", RouteDecision::Pool(0), RouteDecision::Pool(2)),
        ("/docs/img/1", RouteDecision::Excluded, RouteDecision::Excluded),
        // Empty and dot segments must not bypass a rule.
        ("//docs/./img//1", RouteDecision::Excluded, RouteDecision::Excluded),
        ("/docs/x/../img/1", RouteDecision::Excluded, RouteDecision::Excluded),
        ("/../docs", RouteDecision::Pool(0), RouteDecision::Pool(0)),
    ] {
        assert_eq!((first.route("h", path), longest.route("h", path)), (by_first, by_longest), "{path}");
    }
}

#[test]
fn hosts_and_wildcard_hosts_are_routed_by_their_own_rule_sets() {
    let routes = parse_routes(
        r#"
        routes { route "/" pool="p0"; route "/open" pool="p0"; }
        routes inherit=#true { host "a.example" "*.b.example"; route "/x" pool="p1"; }
        routes { host "deep.b.example" "*.c.b.example"; route "^/(x|y)$" match="regex" pool="p2"; }
        "#,
    );
    for (host, path, expected) in [
        ("a.example", "/x", RouteDecision::Pool(1)),
        ("A.Example:8080", "/x/y", RouteDecision::Pool(1)),
        ("a.example", "/other", RouteDecision::Pool(0)),
        ("x.b.example", "/x", RouteDecision::Pool(1)),
        ("b.example", "/x", RouteDecision::Pool(0)),
        ("deep.b.example", "/y", RouteDecision::Pool(2)),
        ("deep.b.example", "/other", RouteDecision::Unrouted),
        ("1.c.b.example", "/x", RouteDecision::Pool(2)),
        ("", "/x", RouteDecision::Pool(0)),
    ] {
        assert_eq!(routes.route(host, path), expected, "{host}{path}");
    }
}

/// Guards against a matcher that tries every combination of positions for the stars of a pattern, which would
/// take exponential time.
#[test]
fn a_pattern_with_many_stars_is_matched_in_polynomial_time() {
    let text = format!("routes {{ route \"/{}b\" match=\"wildcard\" pool=\"p0\"; }}", "a*".repeat(40));
    let routes = parse_routes(&text);
    assert_eq!(routes.route("", &format!("/{}", "a".repeat(5000))), RouteDecision::Unrouted);
}
