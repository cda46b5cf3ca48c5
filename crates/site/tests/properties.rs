//! Property tests: any model that a document can describe is unchanged after printing and parsing, and any
//! text is parsed or rejected without a panic.

use fernslip_site::*;
use proptest::prelude::*;

/// Values of the strategy, or `None`.
fn optional<T: Clone + std::fmt::Debug>(
    values: impl Strategy<Value = T>,
) -> impl Strategy<Value = Option<T>> {
    proptest::option::of(values)
}

fn any_keyword<K: Keyword + std::fmt::Debug>() -> impl Strategy<Value = K> {
    (0..K::KEYWORDS.len()).prop_map(|i| K::KEYWORDS[i].1)
}

fn positive_number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(1.0), Just(0.1), (1e-6..1e6f64), (1u64..1000).prop_map(|n| n as f64)]
}

fn milliseconds() -> impl Strategy<Value = u64> {
    0..=86_400_000u64
}

fn members_with_unique_ids() -> impl Strategy<Value = Vec<Member>> {
    let member = (
        // An id may contain any characters but must not be empty.
        ("\\PC{1,8}|[\\x00-\\x7f]{1,6}", "[a-z0-9.-]{1,12}", 1u16..),
        (
            optional(any_keyword()),
            optional("/\\PC{0,6}"),
            optional(any_keyword()),
            optional(positive_number()),
            any_keyword(),
        ),
        (
            optional(1u64..1 << 24),
            optional(1u64..1 << 24),
            optional(milliseconds()),
            optional(milliseconds()),
            optional(milliseconds()),
        ),
    );
    let member = member.prop_map(|((id, host, port), (protocol, path, kind, weight, state), l)| Member {
        id,
        address: format!("{host}:{port}"),
        protocol,
        path,
        kind,
        weight,
        state,
        zone: Some("z".into()),
        link_kb_per_s: weight,
        limits: MemberLimits {
            connections: l.0,
            in_flight: l.1,
            connect_ms: l.2,
            answer_ms: l.3,
            idle_ms: l.4,
        },
    });
    proptest::collection::vec(member, 1..6).prop_map(|mut all| {
        let mut seen = std::collections::HashSet::new();
        all.retain(|m| seen.insert(m.id.clone()));
        all
    })
}

fn pool_of(members: Vec<String>) -> impl Strategy<Value = Pool> {
    let uses = members.into_iter().map(|member| {
        (
            optional(positive_number()),
            optional(any_keyword()),
            optional(0..=u64::from(u32::MAX)),
            optional("\\PC{0,5}"),
        )
            .prop_map(move |(weight, state, tier, group)| Use {
                member: member.clone(),
                weight,
                state,
                tier,
                group,
                instead: None,
            })
    });
    let limits = (
        optional(1u64..1 << 24),
        optional(1u64..1 << 24),
        optional(milliseconds()),
        optional(0u64..1 << 20),
        optional(milliseconds()),
    );
    let retry_and_recovery = (
        optional(1u64..=1000),
        optional(0.0..10.0f64),
        optional(0u64..100_000),
        optional(1u64..1000),
        optional(milliseconds()),
    );
    let codes = proptest::collection::vec(100u16..600, 0..4);
    (uses.collect::<Vec<_>>(), limits, retry_and_recovery, codes).prop_map(|(members, l, r, fail_on)| Pool {
        name: "p".into(),
        members,
        limits: PoolLimits { in_flight: l.0, connections: l.1, wait_ms: l.2, waiting: l.3, answer_ms: l.4 },
        retry: Retry { attempts: r.0, budget: r.1, burst: r.2 },
        recovery: Recovery { failures: r.3, first_backoff_ms: r.4, max_backoff_ms: None, fail_on },
    })
}

fn any_route_set() -> impl Strategy<Value = RouteSet> {
    let target = prop_oneof![
        Just(Target::Pool("p".into())),
        Just(Target::Exclude(None)),
        Just(Target::Exclude(Some("p".into())))
    ];
    let matching = optional(prop_oneof![Just(Match::Prefix), Just(Match::Exact), Just(Match::Wildcard)]);
    let rule = ("/\\PC{0,8}", matching, target, optional("\\PC{0,5}"))
        .prop_map(|(pattern, matching, target, rewrite)| Route { pattern, matching, target, rewrite });
    (proptest::collection::vec(rule, 0..5), optional(any_keyword()), optional(any::<bool>()))
        .prop_map(|(rules, order, inherit)| RouteSet { hosts: vec!["*.x".into()], order, inherit, rules })
}

fn any_site() -> impl Strategy<Value = Site> {
    (
        members_with_unique_ids(),
        "\\PC{0,9}",
        optional(any_keyword()),
        any_route_set(),
        optional(positive_number()),
    )
        .prop_flat_map(|(members, name, members_from, routes, link)| {
            let ids = members.iter().map(|m| m.id.clone()).collect();
            pool_of(ids).prop_map(move |p| Site {
                name: name.clone(),
                members_from,
                front: Some(Front {
                    name: "n".into(),
                    listen: "127.0.0.1:1".into(),
                    zone: Some("z".into()),
                    memory_mb: None,
                    sockets: Some(64),
                    stream_kb_per_s: link,
                }),
                zones: vec![Zone { name: "z".into(), link_in_kb_per_s: link, fronts: Some(2) }],
                classes: vec![Class {
                    name: "c".into(),
                    latency_objective_ms: 5,
                    objective_stretch: link,
                    deadline_ms: 9,
                    priority_weight: None,
                    late_weight: None,
                    effect: Some(Effect::AtMostOnce),
                    write: Some(true),
                    fresh_ms: None,
                    grace_ms: Some(0),
                }],
                members: members.clone(),
                pools: vec![p],
                routes: vec![routes.clone()],
                gossip: (!name.is_empty()).then(|| Gossip {
                    listen: "127.0.0.1:1".into(),
                    key_file: name.clone(),
                    control: Some(name.clone()),
                    seeds: vec!["[::1]:2".into()],
                    fronts: vec![name.clone(); 2],
                    bytes_per_s: Some(512),
                    burst_bytes: None,
                    skew_ms: Some(0),
                    advertise: Some("127.0.0.1:3".into()),
                    peers: Some(GossipPeers::View),
                }),
                view: (!name.is_empty()).then(|| FleetView {
                    listen: "127.0.0.1:1".into(),
                    advertise: Some("127.0.0.1:2".into()),
                    key_file: name.clone(),
                    control: Some(name.clone()),
                    store: Some("n1.store".into()),
                    seeds: vec!["[::1]:2".into()],
                    watchers: Some(2),
                    bytes_per_s: None,
                    burst_bytes: Some(8192),
                }),
            })
        })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    #[test]
    fn a_printed_site_parses_to_the_same_site(mut site in any_site()) {
        if let Some(c) = site.classes[0].objective_stretch.as_mut() { *c = c.min(1000.0); }
        let text = site.to_kdl();
        let parsed = Site::parse("site.kdl", &text).map_err(|e| TestCaseError::fail(format!("{e}\n{text}")))?;
        prop_assert_eq!(&parsed.site, &site, "{}", text);
        let effective = site.with_defaults();
        let again = Site::parse("e", &effective.to_kdl()).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(&again.site, &effective, "the effective site must parse to itself when printed");
        prop_assert_eq!(
            effective.with_defaults(),
            effective,
            "filling in defaults twice must change nothing"
        );
    }

    #[test]
    fn any_text_is_parsed_or_rejected(text in "\\PC{0,200}") {
        let _ = Site::parse("x", &text);
    }

    /// Random sequences of tokens come closer to valid documents than arbitrary characters do.
    #[test]
    fn any_sequence_of_tokens_is_parsed_or_rejected(tokens in proptest::collection::vec(prop_oneof![
        Just("member"), Just("pool"), Just("use"), Just("routes"), Just("{"), Just("}"), Just("\n"),
        Just(";"), Just("\"a\""), Just("address="), Just("\"a:1\""), Just("weight="), Just("-1"),
        Just("1e400"), Just("#inf"), Just("/*"), Just("*/"), Just("/-"), Just("("), Just("#\""),
        Just("\\"), Just("é"), Just("=")], 0..40)) {
        if let Err(e) = Site::parse("x", &tokens.join(" ")) {
            prop_assert!(!e.problems().is_empty(), "a rejected text must have at least one mistake");
            let positive = e.problems().iter().all(|p| p.line > 0 && p.column > 0);
            prop_assert!(positive, "lines and columns must be counted from 1");
        }
    }
}
