//! Suspicion that other fronts gossip about a cache: it may move homes away from the cache and lower the
//! number of failures that eject it, but by itself it neither ejects a cache nor rejects a request.
mod common;
use common::*;
use fernslip::*;

/// Notifies the router that the peers' suspicion of a cache is `amount`.
fn set_suspicion(rig: &mut Rig, cache: &str, amount: f64) -> Vec<Action> {
    rig.handle(Event::PeerSuspicion { cache: cache.into(), amount })
}

/// Serves 300 objects and returns how many have their home at each of the location's caches.
fn objects_per_home_cache(rig: &mut Rig, first: u64) -> [usize; 3] {
    let mut at = [0; 3];
    for o in first..first + 300 {
        let s = rig.serve(o, 2);
        let n = ["c1:1", "c2:1", "c3:1"]
            .iter()
            .position(|c| *c == s.cache)
            .expect("the home is a cache of the location");
        at[n] += 1;
    }
    at
}

/// False gossip does not harm healthy caches: whatever the amount of suspicion, all caches are used and
/// nothing is rejected.
#[test]
fn gossip_alone_neither_ejects_nor_rejects() {
    let mut rig = Rig::new();
    for amount in [1.0, f64::MAX, f64::INFINITY, f64::NAN] {
        set_suspicion(&mut rig, "c1:1", amount);
        let [c1, c2, c3] = objects_per_home_cache(&mut rig, 1000);
        assert!(
            c1 > 10 && c1 < c2 / 2 && c1 < c3 / 2,
            "a suspected cache has fewer homes, but some: {c1} {c2} {c3}"
        );
    }
    for c in ["c1:1", "c2:1", "c3:1", "p1:1", "p2:1", "o1:1", "nobody:1"] {
        set_suspicion(&mut rig, c, 1.0);
    }
    let [c1, c2, c3] = objects_per_home_cache(&mut rig, 5000);
    assert!(c1.min(c2).min(c3) > 60, "suspicion of all nodes moves no homes: {c1} {c2} {c3}");
    set_suspicion(&mut rig, "c1:1", 0.0);
    assert!(
        objects_per_home_cache(&mut rig, 9000)[0] > objects_per_home_cache(&mut rig, 20_000)[1],
        "a cache that is no longer suspected has its homes back"
    );
}

/// How many failures of `c1:1` in a row eject it at the given suspicion.
fn failures_until_ejected(suspicion: f64) -> usize {
    let mut rig = Rig::new();
    set_suspicion(&mut rig, "c1:1", suspicion);
    let mut failures = 0;
    for o in 0.. {
        let s = first_sent_attempt(&rig.request(o)).expect("the request is sent");
        rig.now += 20.0;
        if s.cache != "c1:1" {
            rig.end_attempt(&s, 0, Ending::Completed, 2);
            continue;
        }
        failures += 1;
        let after = rig.end_attempt(&s, 0, Ending::ConnectionRefused, 0);
        if let Some(again) = first_sent_attempt(&after) {
            rig.end_attempt(&again, 1, Ending::Completed, 2);
        }
        if after.iter().any(|a| matches!(a, Action::Log(l) if l.contains("trials only"))) {
            return failures;
        }
    }
    unreachable!("the loop ends when the cache is ejected")
}

#[test]
fn a_suspected_cache_is_ejected_after_one_failure() {
    assert_eq!(failures_until_ejected(0.0), 2);
    assert_eq!(failures_until_ejected(0.8), 1);
    assert_eq!(
        failures_until_ejected(-0.8),
        2,
        "gossip that a failing cache is well does not keep it in use"
    );
}

/// An ejected cache is probed at once when other fronts report that it is well.
#[test]
fn gossip_of_good_health_makes_the_next_probe_due_at_once() {
    let is_probed = |good_gossip: bool| {
        let mut rig = Rig::new();
        let home = rig.serve(1, 2).cache;
        let mut failures = 0;
        // The cache fails until it is ejected.
        while first_sent_attempt(&rig.request(1)).expect("the request is sent").cache == home {
            let s = first_sent_attempt(&rig.request(1)).expect("the request is sent");
            rig.now += 20.0;
            rig.end_attempt(&s, 0, Ending::ConnectionRefused, 0);
            failures += 1;
            assert!(failures < 20, "the cache is ejected after fewer than 20 failures");
        }
        if good_gossip {
            set_suspicion(&mut rig, &home, -0.8);
        }
        first_sent_attempt(&rig.request(1)).expect("the request is sent").cache == home
    };
    assert!(!is_probed(false), "without gossip that the cache is well no probe is due yet");
    assert!(is_probed(true), "with gossip that the cache is well a probe is due at once");
}

#[test]
fn a_restarted_cache_is_no_longer_suspected() {
    let mut rig = Rig::new();
    set_suspicion(&mut rig, "c1:1", 0.8);
    let suspected = objects_per_home_cache(&mut rig, 1000)[0];
    rig.update_endpoint(Entry { started_ms: rig.now - 60_000.0, ..entry("c1:1", 1, 0) });
    assert!(objects_per_home_cache(&mut rig, 1000)[0] > 2 * suspected);
}

/// The signs in the evidence that the actions report, and whether each strength is above 0 and at most 1.
fn signs_reported(actions: &[Action]) -> Vec<(Sign, bool)> {
    let of = |a: &Action| match a {
        Action::Evidence { sign, strength, .. } => Some((*sign, *strength > 0.0 && *strength <= 1.0)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

#[test]
fn evidence_is_reported_only_where_it_is_enabled() {
    for enabled in [false, true] {
        let mut rig = Rig::new();
        if enabled {
            rig.router.enable_evidence();
        }
        let home = rig.serve(1, 2).cache;
        let mut evidence = Vec::new();
        for _ in 0..2 {
            let s = first_sent_attempt(&rig.request(1)).expect("the request is sent");
            rig.now += 20.0;
            let after = rig.end_attempt(&s, 0, Ending::ConnectionRefused, 0);
            evidence.extend(signs_reported(&after));
        }
        set_suspicion(&mut rig, &home, -0.8);
        rig.now += 1000.0;
        let s = first_sent_attempt(&rig.request(1)).expect("the request is sent");
        assert_eq!(s.cache, home, "the request is a probe of the ejected cache");
        evidence.extend(signs_reported(&rig.end_attempt(&s, 0, Ending::Completed, 1)));
        let expected = [(Sign::Failing, true), (Sign::Failing, true), (Sign::Well, true)];
        assert_eq!(evidence, if enabled { &expected[..] } else { &[] });
    }
}

#[test]
fn a_silent_cache_is_reported_as_evidence() {
    let mut rig = Rig::new();
    rig.router.enable_evidence();
    first_sent_attempt(&rig.request(1)).expect("the request is sent");
    let mut evidence = Vec::new();
    while evidence.is_empty() && rig.now < 110_000.0 {
        rig.now += 50.0;
        evidence = signs_reported(&rig.handle(Event::Timer { token: 0 }));
    }
    assert_eq!(evidence, [(Sign::Silent, true)]);
}
