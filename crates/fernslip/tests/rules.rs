//! The five rules and the mechanism, through the public interface.
mod common;
use common::*;
use fernslip::*;

#[test]
fn every_request_gets_one_answer_and_nothing_after_it() {
    let mut r = Rig::new();
    let s = sent(&r.request(1)).unwrap();
    r.now += 10.0;
    r.event(Event::Cancelled { id: s.id });
    let after = r.end(&s, 0, Ending::Errored, 0);
    assert!(
        after.iter().all(|a| !matches!(a, Action::Forward { .. })),
        "nothing is sent for a withdrawn request"
    );
    assert!(!rejected(&after) && !failed(&after));
}

#[test]
fn attempts_end_before_the_deadline_and_a_late_failure_is_answered_at_once() {
    let mut r = Rig::new();
    let s = sent(&r.request(1)).unwrap();
    assert!(s.until_ms <= r.now + 5000.0);
    r.now += 4990.0;
    let after = r.end(&s, 0, Ending::Errored, 0);
    assert!(
        sent(&after).is_none() && rejected(&after),
        "no time for another try: refused at once, {after:?}"
    );
}

#[test]
fn draining_and_removed_caches_get_nothing_as_target_or_source() {
    let mut r = Rig::new();
    let objects: Vec<u64> = (0..60).collect();
    for &o in &objects {
        r.serve(o, 1);
    }
    for (name, phase) in [("c1:1", Phase::Draining), ("p1:1", Phase::Out)] {
        let kind = usize::from(name.starts_with('p'));
        r.delta(Entry { phase, ..entry(name, 1 - kind, kind) });
    }
    for &o in &objects {
        let s = r.serve(o, 2);
        assert!(s.cache != "c1:1" && s.source != "c1:1" && s.source != "p1:1", "{s:?}");
    }
    let left: Vec<Entry> = fleet().into_iter().filter(|e| &*e.cache.0 != "c2:1").collect();
    r.update_endpoints(left);
    for o in 100..140 {
        assert_ne!(r.serve(o, 2).cache, "c2:1", "absent from a full list means removed");
    }
}

#[test]
fn a_lost_cache_moves_only_its_own_share() {
    let mut r = Rig::new();
    let before: Vec<String> = (0..200).map(|o| r.serve(o, 2).cache).collect();
    r.delta(Entry { phase: Phase::Out, ..entry("c1:1", 1, 0) });
    for (o, home) in before.iter().enumerate() {
        let now = r.serve(o as u64, 2).cache;
        assert!(home == "c1:1" || *home == now, "{o} moved from {home} to {now}");
    }
}

#[test]
fn a_cache_in_slow_start_gets_no_more_than_its_budget_in_a_burst() {
    let mut r = Rig::new();
    r.delta(Entry { started_ms: r.now, ..entry("c1:1", 1, 0) });
    // 0.2 of weight 10, times 4, for 1 s: 8 s of sending at the most, at 0.1 s each; attempts stay open.
    let n = (0..2000).filter_map(|o| sent(&r.request(o))).filter(|s| s.cache == "c1:1").count();
    assert!(n as f64 * 0.1 <= 8.0, "{n} attempts");
}

#[test]
fn a_parent_in_slow_start_is_spared_also_by_rejected_fills() {
    let mut r = Rig::new();
    r.delta(Entry { started_ms: r.now, ..entry("p1:1", 0, 1) });
    // 0.1 of weight 10, times 2, for 1 s, shared by two routers: 1 s of sending, ten fills.
    let (mut to_warming_up, mut to_other) = (0, 0);
    for o in 0..300 {
        if let Some(s) = sent(&r.request(o)) {
            to_warming_up += usize::from(s.source == "p1:1");
            to_other += usize::from(s.source == "p2:1");
            r.end(&s, 0, Ending::Saturated, 6);
        }
    }
    assert!(to_warming_up > 0 && to_warming_up <= 10 && to_other > 0, "{to_warming_up} {to_other}");
}

#[test]
fn purged_copies_are_excluded() {
    let mut r = Rig::new();
    r.serve(5, 1);
    r.event(Event::Purged { object: Some(ObjectId(5)), group: 3, age_ms: 80.0 });
    r.now += 500.0;
    let s = r.serve(5, 3);
    assert!(s.age_ms > 0.0 && s.age_ms < 580.0, "{s:?}");
    assert_eq!(r.serve(6, 2).age_ms, 0.0, "another object has no bound");
    r.event(Event::Purged { object: None, group: 3, age_ms: 0.0 });
    let s = sent(&r.request(6)).unwrap();
    assert!(s.age_ms > 0.0, "a bound even in the instant of the purge: {s:?}");
}

#[test]
fn a_keyed_write_is_resent_in_its_window_only_and_never_cached() {
    for (wait, resent) in [(500.0, true), (3001.0, false)] {
        let mut set = settings();
        set.classes = vec![Class { effect: Effect::Deduplicated, write: true, ..class() }];
        let mut r = Rig::with(set);
        r.update_endpoints(fleet());
        let s = sent(&r.request(1)).unwrap();
        assert!(s.rank == 0 && !s.join && (s.source.starts_with('o') || s.source.starts_with('p')));
        r.now += wait;
        let after = r.end(&s, 0, Ending::Errored, 0);
        assert_eq!(sent(&after).is_some(), resent);
        assert_eq!(rejected(&after), !resent, "the group is all: a refusal is allowed");
    }
}

#[test]
fn a_write_that_may_have_run_stays_in_its_group_and_an_unsafe_one_is_not_repeated() {
    for (effect, scope) in [(Effect::Deduplicated, DedupScope::Cell), (Effect::AtMostOnce, DedupScope::All)] {
        let mut set = settings();
        set.classes = vec![Class { effect, scope, write: true, ..class() }];
        let mut r = Rig::with(set);
        let mut list = fleet();
        list.iter_mut().enumerate().for_each(|(n, e)| e.cell = n as i64);
        r.update_endpoints(list);
        let s = sent(&r.request(1)).unwrap();
        let after = r.end(&s, 0, Ending::Errored, 0);
        match effect {
            Effect::AtMostOnce => assert!(sent(&after).is_none() && failed(&after) && !rejected(&after)),
            _ => assert_eq!(sent(&after).unwrap().cache, s.cache, "each cell is a cache of its own here"),
        }
        let s = sent(&r.request(2)).unwrap();
        assert!(
            sent(&r.end(&s, 0, Ending::ConnectionRefused, 0)).is_some(),
            "it never ran: free to go elsewhere"
        );
    }
}

#[test]
fn home_fills_from_the_sibling_that_shows_it_and_a_wrong_filter_costs_one_attempt() {
    let mut r = Rig::new();
    let home = r.serve(1, 2).cache;
    r.delta(Entry { phase: Phase::Out, ..entry(&home, 1, 0) });
    let second = r.serve(1, 2).cache;
    r.delta(entry(&home, 1, 0));
    let s = sent(&r.request(1)).unwrap();
    assert_eq!((&s.cache, &s.source), (&home, &second), "home came back empty; its sibling shows the object");
    let after = r.end(&s, 0, Ending::Saturated, 8);
    let again = sent(&after).unwrap();
    assert!(again.cache == home && again.source.starts_with('p'), "the next try uses the parent: {again:?}");
    r.end(&again, 1, Ending::Errored, 6);
}

#[test]
fn a_restarted_cache_is_empty() {
    let mut r = Rig::new();
    let home = r.serve(1, 2).cache;
    r.now += 100.0;
    r.delta(Entry { started_ms: r.now, ..entry(&home, 1, 0) });
    r.now += 20_000.0;
    let s = r.serve(1, 1);
    assert!(s.source.starts_with('p'));
}

#[test]
fn one_parent_serves_an_object_and_the_second_only_while_it_fails() {
    let mut r = Rig::new();
    let mut other = Rig::with(Settings { zone: 2, slot: 1, ..settings() });
    other.update_endpoints(fleet());
    let mut seen = std::collections::BTreeSet::new();
    for o in 0..40 {
        let (a, b) = (r.serve(o, 2), other.serve(o, 2));
        assert_eq!(a.source, b.source, "all locations meet at one parent");
        seen.insert(a.source);
    }
    assert_eq!(seen.len(), 2, "both parents are used");
    let s = sent(&r.request(999)).unwrap();
    let again = sent(&r.end(&s, 0, Ending::Saturated, 7)).unwrap();
    assert!(again.cache == s.cache && again.source != s.source && again.source.starts_with('p'));
    let last = sent(&r.end(&again, 1, Ending::Saturated, 7)).unwrap();
    assert_eq!(last.source, "o1:1", "the origin serves when no parent does");
}

/// Routers 0 and 1 of one location, 2 of another: each message reaches its receivers.
fn exchange(rigs: &mut [Rig], from: u32, actions: Vec<Action>, lost: bool) -> Vec<(u32, Vec<u8>)> {
    let mut messages = Vec::new();
    for a in actions {
        let (to, data) = match a {
            Action::SendToPeer { to, data } => (vec![to], data),
            Action::SendToAllPeers { data } => {
                ((0..rigs.len() as u32).filter(|&i| i != from).collect(), data)
            }
            _ => continue,
        };
        assert!(data.len() <= 256);
        for i in to {
            messages.push((i, data.clone()));
            if !lost {
                let answer = rigs[i as usize].event(Event::PeerMessage { from, data: data.clone() });
                messages.extend(exchange(rigs, i, answer, false));
            }
        }
    }
    messages
}

fn router(slot: u32, zone: usize) -> Rig {
    Rig::with(Settings { zone, slot, zone_routers: vec![0, 2, 1], routers: 3, ..settings() })
}

/// The three with their lists read and their greetings sent, or lost.
fn three_routers(lost: bool) -> Vec<Rig> {
    let mut rigs = vec![router(0, 1), router(1, 1), router(2, 2)];
    for i in 0..rigs.len() {
        let acts = rigs[i].update_endpoints(fleet());
        exchange(&mut rigs, i as u32, acts, lost);
    }
    rigs
}

/// Serves new objects at router 0; what it says meanwhile.
fn work(rigs: &mut [Rig], objects: std::ops::Range<u64>) -> Vec<(u32, Vec<u8>)> {
    let mut messages = Vec::new();
    for o in objects {
        let mut acts = rigs[0].request(o);
        let s = sent(&acts).unwrap();
        acts.extend(rigs[0].end(&s, 0, Ending::Completed, 2));
        messages.extend(exchange(rigs, 0, acts, false));
    }
    messages
}

/// A new cache takes a share of the homes; how many of its fills come from siblings that are shown to hold them.
fn fills_from_siblings(r: &mut Rig, zone: usize, objects: std::ops::Range<u64>) -> usize {
    r.delta(entry("c4:1", zone, 0));
    r.delta(entry("c5:1", zone, 0));
    objects.filter_map(|o| sent(&r.request(o))).filter(|s| s.source.starts_with('c')).count()
}

#[test]
fn changes_go_to_the_own_locations_routers_only() {
    let mut rigs = three_routers(false);
    let messages = work(&mut rigs, 0..100);
    assert!(!messages.is_empty() && messages.iter().all(|(to, _)| *to == 1), "only to its mate");
    assert!(fills_from_siblings(&mut rigs[1], 1, 0..90) > 0, "it knows what router 0 saw");
    assert_eq!(fills_from_siblings(&mut rigs[2], 2, 0..90), 0, "another location's filters are not its own");
    let mut deaf = three_routers(true);
    assert_eq!(fills_from_siblings(&mut deaf[1], 1, 0..90), 0, "nor does it know without being told");
    let off = Settings { peers: false, zone_routers: vec![0, 2, 1], routers: 3, ..settings() };
    let answer = Rig::with(off).event(Event::PeerMessage { from: 1, data: vec![2, 1, 1] });
    assert!(answer.is_empty(), "no answer where messages are not allowed: {answer:?}");
}

#[test]
fn a_router_that_restarts_or_was_unknown_is_discovered_again() {
    let mut rigs = three_routers(true);
    assert!(work(&mut rigs, 0..60).is_empty(), "its greeting was lost: it knows of nobody");
    rigs[0].now += 10_001.0;
    assert!(!work(&mut rigs, 100..160).is_empty(), "it greets again after a generation");
    rigs[1] = router(1, 1);
    rigs[1].now = rigs[0].now;
    let acts = rigs[1].update_endpoints(fleet());
    let messages = exchange(&mut rigs, 1, acts, false);
    assert!(messages.iter().any(|(to, _)| *to == 1), "its mate answers the one that restarted");
    work(&mut rigs, 200..300);
    assert!(fills_from_siblings(&mut rigs[1], 1, 200..290) > 0);
}

/// Lost, repeated, reordered, foreign, truncated and hostile messages: a wrong guess at the most.
#[test]
fn malformed_messages_do_no_harm() {
    let mut rigs = three_routers(false);
    let messages = work(&mut rigs, 0..100);
    let r = &mut rigs[1];
    for (_, d) in messages.iter().rev() {
        for data in
            [d.clone(), d[..d.len() / 2].to_vec(), d[..2].to_vec(), [d.as_slice(), &[255; 40]].concat()]
        {
            for from in [0, 1, 2, 9, u32::MAX] {
                r.event(Event::PeerMessage { from, data: data.clone() });
            }
        }
    }
    for data in [vec![], vec![99; 40], vec![2], vec![2, 1], vec![2, 200, 1], vec![2; 4000]] {
        r.event(Event::PeerMessage { from: 0, data });
    }
    let noise = r.event(Event::PeerMessage { from: 9, data: vec![2, 1, 1] });
    assert!(noise.is_empty(), "a number beyond the stated ones gets no answer: {noise:?}");
    let odd = r.router.malformed_messages();
    assert!(odd > 6, "{odd} were counted");
    r.event(Event::PeerMessage { from: 0, data: vec![99; 40] });
    r.event(Event::PeerMessage { from: 99, data: vec![2, 1, 1] });
    assert_eq!(r.router.malformed_messages(), odd + 2);
    for o in 0..50 {
        let s = r.serve(o, 3);
        assert!(s.cache.starts_with('c') && s.cache != s.source);
    }
}

#[test]
fn a_failed_list_brings_nothing() {
    let mut r = Rig::new();
    r.event(Event::Endpoints { kind: ListKind::Failed, entries: vec![entry("c9:1", 1, 0)] });
    assert!((0..60).all(|o| r.serve(o, 2).cache != "c9:1"));
}

#[test]
fn odd_input_has_a_defined_result() {
    let mut r = Rig::with(settings());
    assert!(rejected(&r.request(1)), "no list yet: refused");
    r.update_endpoints(Vec::new());
    assert!(rejected(&r.request(2)), "an empty list: refused");
    r.update_endpoints(vec![entry("p1:1", 0, 1), entry("o1:1", 0, 2)]);
    assert!(rejected(&r.request(3)), "a location without caches: refused");
    r.update_endpoints(vec![entry("c1:1", 1, 0), entry("o1:1", 0, 2)]);
    assert_eq!(r.serve(4, 3).source, "o1:1", "a site without parents: the origin");
    r.update_endpoints(vec![
        Entry { weight: 0.0, ..entry("c1:1", 1, 0) },
        Entry { weight: f64::NAN, ..entry("p1:1", 0, 1) },
    ]);
    assert_eq!(r.serve(5, 2).cache, "c1:1", "a zero weight counts as one");
    let ghost = Sent { id: RequestId(999_999), ..r.serve(6, 2) };
    assert!(r.end(&ghost, 0, Ending::Errored, 0).is_empty(), "an unknown request");
    assert!(r.end(&ghost, 77, Ending::Completed, 1).is_empty(), "an unknown attempt");
    r.now = f64::NAN;
    r.event(Event::Purged { object: None, group: 0, age_ms: f64::INFINITY });
    r.event(Event::Endpoints { kind: ListKind::Failed, entries: Vec::new() });
}

#[test]
fn impossible_settings_name_the_field() {
    let field = |s: Settings| Router::new(s, 1).err().map(|e| e.field).unwrap_or_default();
    assert_eq!(field(settings()), "");
    assert_eq!(field(Settings { zone: 9, ..settings() }), "zone");
    assert_eq!(field(Settings { purge_done_ms: -1.0, ..settings() }), "purge_done_ms");
    assert_eq!(field(Settings { parent_kind: Some(8), ..settings() }), "parent_kind");
    let c = Class { deadline_ms: 0.0, ..class() };
    assert_eq!(field(Settings { classes: vec![c], ..settings() }), "classes[0].deadline_ms");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut r = Rig::new();
        let mut all = Vec::new();
        for o in 0..500u64 {
            r.now += 7.0;
            let acts = r.request(o % 37);
            if let Some(s) = sent(&acts) {
                let how = if o % 11 == 0 { Ending::Errored } else { Ending::Completed };
                all.extend(r.end(&s, 0, how, if o % 11 == 0 { 0 } else { 2 }));
            }
            all.extend(acts);
        }
        all
    };
    assert_eq!(run(), run());
}

/// A cold parent shared by many routers: more than nothing, and within its budget over every window.
#[test]
fn a_parent_in_slow_start_gets_its_part_and_no_more_from_many_routers() {
    for routers in [3u32, 60, 300] {
        let set = Settings {
            routers,
            zone_routers: vec![0, routers, 0],
            slow_start_window_ms: 3000.0,
            parent_slow_start_from: 0.1,
            parent_slow_start_ms: 20_000.0,
            ..settings()
        };
        let started = 100_000.0;
        let mut all: Vec<Rig> = (0..routers)
            .map(|slot| {
                let mut r = Rig::with(Settings { slot, ..set.clone() });
                let in_slow_start =
                    |e: Entry| if &*e.cache.0 == "p1:1" { Entry { started_ms: started, ..e } } else { e };
                r.update_endpoints(fleet().into_iter().map(in_slow_start).collect());
                r
            })
            .collect();
        // Work of 100 ms each; far more is asked than the parent may be sent.
        let mut sends: Vec<f64> = Vec::new();
        for step in 0..12_000u64 {
            let now = started + step as f64;
            let r = &mut all[(step.wrapping_mul(7) % u64::from(routers)) as usize];
            r.now = now;
            if let Some(s) = sent(&r.request(step)) {
                if s.source == "p1:1" {
                    sends.push(now);
                }
                r.end(&s, 0, Ending::Completed, 3);
            }
        }
        // The whole budget of these 12 s is 888 sends.
        assert!(sends.len() >= 220, "{routers} routers: only {} sends in 12 s", sends.len());
        for (i, &from) in sends.iter().enumerate() {
            let work = 100.0 * sends[i..].iter().filter(|&&t| t < from + 3000.0).count() as f64;
            // Its mean over the window, as it warms in a line.
            let capacity_fraction = 0.1 + 0.9 * (from + 1500.0 - started) / 20_000.0;
            let budget = 2.0 * 10.0 * capacity_fraction * 3000.0;
            assert!(work <= budget, "{routers} routers: {work} ms of {budget} at {}", from - started);
        }
    }
}
