//! What other fronts say of a cache: it may cost it homes and shorten its own failures' way out, and no more.
mod common;
use common::*;
use fernslip::*;

fn suspect(r: &mut Rig, cache: &str, amount: f64) -> Vec<Action> {
    r.event(Event::PeerSuspicion { cache: cache.into(), amount })
}

/// Homes of many objects, by cache; every one is sent and served.
fn homes(r: &mut Rig, first: u64) -> [usize; 3] {
    let mut at = [0; 3];
    for o in first..first + 300 {
        let s = r.serve(o, 2);
        let n = ["c1:1", "c2:1", "c3:1"].iter().position(|c| *c == s.cache).expect("a cache of the location");
        at[n] += 1;
    }
    at
}

/// Guards healthy boxes against peers that lie: whatever is said, all are used and nothing is refused.
#[test]
fn gossip_alone_neither_ejects_nor_rejects() {
    let mut r = Rig::new();
    for amount in [1.0, f64::MAX, f64::INFINITY, f64::NAN] {
        suspect(&mut r, "c1:1", amount);
        let [c1, c2, c3] = homes(&mut r, 1000);
        assert!(c1 > 10 && c1 < c2 / 2 && c1 < c3 / 2, "fewer homes, not none: {c1} {c2} {c3}");
    }
    for c in ["c1:1", "c2:1", "c3:1", "p1:1", "p2:1", "o1:1", "nobody:1"] {
        suspect(&mut r, c, 1.0);
    }
    let [c1, c2, c3] = homes(&mut r, 5000);
    assert!(c1.min(c2).min(c3) > 60, "said of all, it takes from none: {c1} {c2} {c3}");
    suspect(&mut r, "c1:1", 0.0);
    assert!(homes(&mut r, 9000)[0] > homes(&mut r, 20_000)[1], "what is no longer said is over");
}

/// How many failures in a row of its own bring a cache to trials only.
fn failures_until_ejected(suspicion: f64) -> usize {
    let mut r = Rig::new();
    suspect(&mut r, "c1:1", suspicion);
    let mut failures = 0;
    for o in 0.. {
        let s = sent(&r.request(o)).expect("sent");
        r.now += 20.0;
        if s.cache != "c1:1" {
            r.end(&s, 0, Ending::Completed, 2);
            continue;
        }
        failures += 1;
        let after = r.end(&s, 0, Ending::ConnectionRefused, 0);
        if let Some(again) = sent(&after) {
            r.end(&again, 1, Ending::Completed, 2);
        }
        if after.iter().any(|a| matches!(a, Action::Log(l) if l.contains("trials only"))) {
            return failures;
        }
    }
    unreachable!()
}

#[test]
fn with_gossip_one_own_failure_is_enough_to_eject() {
    assert_eq!(failures_until_ejected(0.0), 2);
    assert_eq!(failures_until_ejected(0.8), 1);
    assert_eq!(failures_until_ejected(-0.8), 2, "praise does not keep a failing cache in use");
}

/// A cache that is out gets its next trial at once when others say that it is well.
#[test]
fn good_gossip_brings_a_probe_sooner() {
    let probe = |praise: bool| {
        let mut r = Rig::new();
        let home = r.serve(1, 2).cache;
        let mut o = 0;
        // Fails until it is out.
        while sent(&r.request(1)).expect("sent").cache == home {
            let s = sent(&r.request(1)).expect("sent");
            r.now += 20.0;
            r.end(&s, 0, Ending::ConnectionRefused, 0);
            o += 1;
            assert!(o < 20);
        }
        if praise {
            suspect(&mut r, &home, -0.8);
        }
        sent(&r.request(1)).expect("sent").cache == home
    };
    assert!(!probe(false));
    assert!(probe(true));
}

#[test]
fn a_cache_that_was_replaced_begins_anew() {
    let mut r = Rig::new();
    suspect(&mut r, "c1:1", 0.8);
    let suspected = homes(&mut r, 1000)[0];
    r.delta(Entry { started_ms: r.now - 60_000.0, ..entry("c1:1", 1, 0) });
    assert!(homes(&mut r, 1000)[0] > 2 * suspected);
}

fn signs(actions: &[Action]) -> Vec<(Sign, bool)> {
    let of = |a: &Action| match a {
        Action::Evidence { sign, strength, .. } => Some((*sign, *strength > 0.0 && *strength <= 1.0)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

#[test]
fn evidence_is_reported_where_it_is_enabled() {
    for enabled in [false, true] {
        let mut r = Rig::new();
        if enabled {
            r.router.enable_evidence();
        }
        let home = r.serve(1, 2).cache;
        let mut evidence = Vec::new();
        for _ in 0..2 {
            let s = sent(&r.request(1)).expect("sent");
            r.now += 20.0;
            let after = r.end(&s, 0, Ending::ConnectionRefused, 0);
            evidence.extend(signs(&after));
        }
        suspect(&mut r, &home, -0.8);
        r.now += 1000.0;
        let s = sent(&r.request(1)).expect("sent");
        assert_eq!(s.cache, home, "a trial");
        evidence.extend(signs(&r.end(&s, 0, Ending::Completed, 1)));
        let expected = [(Sign::Failing, true), (Sign::Failing, true), (Sign::Well, true)];
        assert_eq!(evidence, if enabled { &expected[..] } else { &[] });
    }
}

#[test]
fn silence_is_evidence() {
    let mut r = Rig::new();
    r.router.enable_evidence();
    sent(&r.request(1)).expect("sent");
    let mut evidence = Vec::new();
    while evidence.is_empty() && r.now < 110_000.0 {
        r.now += 50.0;
        evidence = signs(&r.event(Event::Timer { token: 0 }));
    }
    assert_eq!(evidence, [(Sign::Silent, true)]);
}
