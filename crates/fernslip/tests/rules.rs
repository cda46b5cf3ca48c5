//! The five rules that a router's actions keep, and how it places, fills and purges objects, through the
//! public interface.
mod common;
use common::*;
use fernslip::*;

#[test]
fn a_cancelled_request_gets_no_further_attempt_and_no_answer() {
    let mut rig = Rig::new();
    let s = first_sent_attempt(&rig.request(1)).unwrap();
    rig.now += 10.0;
    rig.handle(Event::Cancelled { id: s.id });
    let after = rig.end_attempt(&s, 0, Ending::Errored, 0);
    assert!(
        after.iter().all(|a| !matches!(a, Action::Forward { .. })),
        "no attempt is sent for a cancelled request"
    );
    assert!(!contains_rejection(&after) && !contains_failure(&after), "a cancelled request gets no answer");
}

#[test]
fn attempts_end_before_the_deadline_and_a_late_failure_is_answered_at_once() {
    let mut rig = Rig::new();
    let s = first_sent_attempt(&rig.request(1)).unwrap();
    assert!(s.until_ms <= rig.now + 5000.0);
    rig.now += 4990.0;
    let after = rig.end_attempt(&s, 0, Ending::Errored, 0);
    assert!(
        first_sent_attempt(&after).is_none() && contains_rejection(&after),
        "a request without time for a retry is rejected at once: {after:?}"
    );
}

#[test]
fn draining_and_removed_caches_get_nothing_as_target_or_source() {
    let mut rig = Rig::new();
    let objects: Vec<u64> = (0..60).collect();
    for &o in &objects {
        rig.serve(o, 1);
    }
    for (name, phase) in [("c1:1", Phase::Draining), ("p1:1", Phase::Out)] {
        let kind = usize::from(name.starts_with('p'));
        rig.update_endpoint(Entry { phase, ..entry(name, 1 - kind, kind) });
    }
    for &o in &objects {
        let s = rig.serve(o, 2);
        assert!(s.cache != "c1:1" && s.source != "c1:1" && s.source != "p1:1", "{s:?}");
    }
    let left: Vec<Entry> = endpoints().into_iter().filter(|e| &*e.cache.0 != "c2:1").collect();
    rig.update_endpoints(left);
    for o in 100..140 {
        assert_ne!(rig.serve(o, 2).cache, "c2:1", "a cache that a full list lacks is removed");
    }
}

#[test]
fn removal_of_a_cache_moves_only_the_objects_homed_there() {
    let mut rig = Rig::new();
    let before: Vec<String> = (0..200).map(|o| rig.serve(o, 2).cache).collect();
    rig.update_endpoint(Entry { phase: Phase::Out, ..entry("c1:1", 1, 0) });
    for (o, home) in before.iter().enumerate() {
        let now = rig.serve(o as u64, 2).cache;
        assert!(
            home == "c1:1" || *home == now,
            "object {o} moved from {home} to {now}, though {home} is in service"
        );
    }
}

#[test]
fn a_cache_in_slow_start_gets_no_more_than_its_budget_in_a_burst() {
    let mut rig = Rig::new();
    rig.update_endpoint(Entry { started_ms: rig.now, ..entry("c1:1", 1, 0) });
    // The budget is the initial fraction 0.2 of the weight 10, times the slow-start multiple 4, for the
    // window of 1 s: 8 s of sending. A request takes 0.1 s; attempts stay open.
    let n =
        (0..2000).filter_map(|o| first_sent_attempt(&rig.request(o))).filter(|s| s.cache == "c1:1").count();
    assert!(n as f64 * 0.1 <= 8.0, "{n} attempts are sent to the cache in slow start, at most 80 allowed");
}

#[test]
fn rejected_fills_also_use_the_budget_of_a_parent_in_slow_start() {
    let mut rig = Rig::new();
    rig.update_endpoint(Entry { started_ms: rig.now, ..entry("p1:1", 0, 1) });
    // The budget is the initial fraction 0.1 of the weight 10, times the slow-start multiple 2, for the
    // window of 1 s, divided between two routers: 1 s of sending, or ten fills of 0.1 s.
    let (mut to_warming_up, mut to_other) = (0, 0);
    for o in 0..300 {
        if let Some(s) = first_sent_attempt(&rig.request(o)) {
            to_warming_up += usize::from(s.source == "p1:1");
            to_other += usize::from(s.source == "p2:1");
            rig.end_attempt(&s, 0, Ending::Saturated, 6);
        }
    }
    assert!(
        to_warming_up > 0 && to_warming_up <= 10 && to_other > 0,
        "{to_warming_up} fills from the parent in slow start, {to_other} from the other"
    );
}

#[test]
fn a_purge_bounds_the_age_of_the_copies_that_may_be_served() {
    let mut rig = Rig::new();
    rig.serve(5, 1);
    rig.handle(Event::Purged { object: Some(ObjectId(5)), group: 3, age_ms: 80.0 });
    rig.now += 500.0;
    let s = rig.serve(5, 3);
    assert!(s.age_ms > 0.0 && s.age_ms < 580.0, "only copies made after the purge may be served: {s:?}");
    assert_eq!(rig.serve(6, 2).age_ms, 0.0, "copies of another object may have any age");
    rig.handle(Event::Purged { object: None, group: 3, age_ms: 0.0 });
    let s = first_sent_attempt(&rig.request(6)).unwrap();
    assert!(s.age_ms > 0.0, "the age is bounded even at the time of the purge: {s:?}");
}

#[test]
fn a_keyed_write_is_retried_only_within_its_window_and_never_cached() {
    for (wait, retried) in [(500.0, true), (3001.0, false)] {
        let mut set = settings();
        set.classes = vec![Class { effect: Effect::Deduplicated, write: true, ..class() }];
        let mut rig = Rig::with_settings(set);
        rig.update_endpoints(endpoints());
        let s = first_sent_attempt(&rig.request(1)).unwrap();
        assert!(s.rank == 0 && !s.join && (s.source.starts_with('o') || s.source.starts_with('p')));
        rig.now += wait;
        let after = rig.end_attempt(&s, 0, Ending::Errored, 0);
        assert_eq!(first_sent_attempt(&after).is_some(), retried);
        assert_eq!(
            contains_rejection(&after),
            !retried,
            "a request that all caches deduplicate may be rejected"
        );
    }
}

#[test]
fn a_write_that_may_have_run_is_retried_only_where_repeats_are_dropped() {
    for (effect, scope) in [(Effect::Deduplicated, DedupScope::Cell), (Effect::AtMostOnce, DedupScope::All)] {
        let mut set = settings();
        set.classes = vec![Class { effect, scope, write: true, ..class() }];
        let mut rig = Rig::with_settings(set);
        let mut list = endpoints();
        list.iter_mut().enumerate().for_each(|(n, e)| e.cell = n as i64);
        rig.update_endpoints(list);
        let s = first_sent_attempt(&rig.request(1)).unwrap();
        let after = rig.end_attempt(&s, 0, Ending::Errored, 0);
        match effect {
            Effect::AtMostOnce => {
                assert!(
                    first_sent_attempt(&after).is_none()
                        && contains_failure(&after)
                        && !contains_rejection(&after)
                );
            }
            _ => assert_eq!(
                first_sent_attempt(&after).unwrap().cache,
                s.cache,
                "the write is retried at the same cache, the only one of its cell"
            ),
        }
        let s = first_sent_attempt(&rig.request(2)).unwrap();
        assert!(
            first_sent_attempt(&rig.end_attempt(&s, 0, Ending::ConnectionRefused, 0)).is_some(),
            "a write that never ran is retried at any cache"
        );
    }
}

#[test]
fn a_home_fills_from_the_sibling_in_its_filter_and_after_a_failure_from_a_parent() {
    let mut rig = Rig::new();
    let home = rig.serve(1, 2).cache;
    rig.update_endpoint(Entry { phase: Phase::Out, ..entry(&home, 1, 0) });
    let second = rig.serve(1, 2).cache;
    rig.update_endpoint(entry(&home, 1, 0));
    let s = first_sent_attempt(&rig.request(1)).unwrap();
    assert_eq!(
        (&s.cache, &s.source),
        (&home, &second),
        "the home cache came back without copies and fills from the sibling that has the object"
    );
    let after = rig.end_attempt(&s, 0, Ending::Saturated, 8);
    let again = first_sent_attempt(&after).unwrap();
    assert!(again.cache == home && again.source.starts_with('p'), "the retry fills from a parent: {again:?}");
    rig.end_attempt(&again, 1, Ending::Errored, 6);
}

#[test]
fn a_restarted_cache_is_taken_to_be_empty() {
    let mut rig = Rig::new();
    let home = rig.serve(1, 2).cache;
    rig.now += 100.0;
    rig.update_endpoint(Entry { started_ms: rig.now, ..entry(&home, 1, 0) });
    rig.now += 20_000.0;
    let s = rig.serve(1, 1);
    assert!(s.source.starts_with('p'), "an empty cache fills from a parent");
}

#[test]
fn an_object_is_filled_from_one_parent_and_from_the_second_only_after_a_failure() {
    let mut rig = Rig::new();
    let mut other = Rig::with_settings(Settings { zone: 2, slot: 1, ..settings() });
    other.update_endpoints(endpoints());
    let mut seen = std::collections::BTreeSet::new();
    for o in 0..40 {
        let (a, b) = (rig.serve(o, 2), other.serve(o, 2));
        assert_eq!(a.source, b.source, "routers of all locations fill an object from the same parent");
        seen.insert(a.source);
    }
    assert_eq!(seen.len(), 2, "different objects use both parents");
    let s = first_sent_attempt(&rig.request(999)).unwrap();
    let again = first_sent_attempt(&rig.end_attempt(&s, 0, Ending::Saturated, 7)).unwrap();
    assert!(again.cache == s.cache && again.source != s.source && again.source.starts_with('p'));
    let last = first_sent_attempt(&rig.end_attempt(&again, 1, Ending::Saturated, 7)).unwrap();
    assert_eq!(last.source, "o1:1", "the origin is the source after both parents failed");
}

/// Delivers the peer messages in the actions of router `from`, and the answers to them, unless `lost` is
/// true; returns the receiver and the bytes of each message.
fn exchange_messages(rigs: &mut [Rig], from: u32, actions: Vec<Action>, lost: bool) -> Vec<(u32, Vec<u8>)> {
    let mut messages = Vec::new();
    for a in actions {
        let (to, data) = match a {
            Action::SendToPeer { to, data } => (vec![to], data),
            Action::SendToAllPeers { data } => {
                ((0..rigs.len() as u32).filter(|&i| i != from).collect(), data)
            }
            _ => continue,
        };
        assert!(data.len() <= 256, "a peer message has at most 256 bytes");
        for i in to {
            messages.push((i, data.clone()));
            if !lost {
                let answer = rigs[i as usize].handle(Event::PeerMessage { from, data: data.clone() });
                messages.extend(exchange_messages(rigs, i, answer, false));
            }
        }
    }
    messages
}

/// Creates a router without an endpoint list. Location 1 has two routers, location 2 has one.
fn new_rig(slot: u32, zone: usize) -> Rig {
    Rig::with_settings(Settings { zone, slot, zone_routers: vec![0, 2, 1], routers: 3, ..settings() })
}

/// Creates routers 0 and 1 at one location and router 2 at another, each with its endpoint list; if `lost` is
/// true, their greetings are lost.
fn three_routers(lost: bool) -> Vec<Rig> {
    let mut rigs = vec![new_rig(0, 1), new_rig(1, 1), new_rig(2, 2)];
    for i in 0..rigs.len() {
        let actions = rigs[i].update_endpoints(endpoints());
        exchange_messages(&mut rigs, i as u32, actions, lost);
    }
    rigs
}

/// Serves the objects at router 0; returns all peer messages that follow, answers included.
fn serve_at_first_router(rigs: &mut [Rig], objects: std::ops::Range<u64>) -> Vec<(u32, Vec<u8>)> {
    let mut messages = Vec::new();
    for o in objects {
        let mut actions = rigs[0].request(o);
        let s = first_sent_attempt(&actions).unwrap();
        actions.extend(rigs[0].end_attempt(&s, 0, Ending::Completed, 2));
        messages.extend(exchange_messages(rigs, 0, actions, false));
    }
    messages
}

/// Adds two caches, which become homes of some of the objects; returns how many requests name a sibling cache
/// as their source.
fn count_fills_from_siblings(rig: &mut Rig, zone: usize, objects: std::ops::Range<u64>) -> usize {
    rig.update_endpoint(entry("c4:1", zone, 0));
    rig.update_endpoint(entry("c5:1", zone, 0));
    objects.filter_map(|o| first_sent_attempt(&rig.request(o))).filter(|s| s.source.starts_with('c')).count()
}

#[test]
fn filter_changes_are_sent_only_to_routers_of_the_same_location() {
    let mut rigs = three_routers(false);
    let messages = serve_at_first_router(&mut rigs, 0..100);
    assert!(
        !messages.is_empty() && messages.iter().all(|(to, _)| *to == 1),
        "filter changes go only to the other router of the location"
    );
    assert!(
        count_fills_from_siblings(&mut rigs[1], 1, 0..90) > 0,
        "router 1 has the filter changes of router 0"
    );
    assert_eq!(
        count_fills_from_siblings(&mut rigs[2], 2, 0..90),
        0,
        "a router of another location does not get the filter changes"
    );
    let mut isolated = three_routers(true);
    assert_eq!(
        count_fills_from_siblings(&mut isolated[1], 1, 0..90),
        0,
        "a router without messages does not know the changes"
    );
    let off = Settings { peers: false, zone_routers: vec![0, 2, 1], routers: 3, ..settings() };
    let answer = Rig::with_settings(off).handle(Event::PeerMessage { from: 1, data: vec![2, 1, 1] });
    assert!(answer.is_empty(), "a router that may not send peer messages does not answer one: {answer:?}");
}

#[test]
fn a_router_is_discovered_after_a_lost_greeting_or_a_restart() {
    let mut rigs = three_routers(true);
    assert!(
        serve_at_first_router(&mut rigs, 0..60).is_empty(),
        "a router whose greeting was lost knows no peer"
    );
    rigs[0].now += 10_001.0;
    assert!(
        !serve_at_first_router(&mut rigs, 100..160).is_empty(),
        "a router greets its peers again after a filter generation"
    );
    rigs[1] = new_rig(1, 1);
    rigs[1].now = rigs[0].now;
    let actions = rigs[1].update_endpoints(endpoints());
    let messages = exchange_messages(&mut rigs, 1, actions, false);
    assert!(messages.iter().any(|(to, _)| *to == 1), "the peer answers the greeting of the restarted router");
    serve_at_first_router(&mut rigs, 200..300);
    assert!(count_fills_from_siblings(&mut rigs[1], 1, 200..290) > 0);
}

/// Lost, repeated, reordered, foreign, truncated and hostile messages cause a wrong choice of source at most.
#[test]
fn malformed_messages_are_counted_and_every_request_is_still_served() {
    let mut rigs = three_routers(false);
    let messages = serve_at_first_router(&mut rigs, 0..100);
    let rig = &mut rigs[1];
    for (_, d) in messages.iter().rev() {
        for data in
            [d.clone(), d[..d.len() / 2].to_vec(), d[..2].to_vec(), [d.as_slice(), &[255; 40]].concat()]
        {
            for from in [0, 1, 2, 9, u32::MAX] {
                rig.handle(Event::PeerMessage { from, data: data.clone() });
            }
        }
    }
    for data in [vec![], vec![99; 40], vec![2], vec![2, 1], vec![2, 200, 1], vec![2; 4000]] {
        rig.handle(Event::PeerMessage { from: 0, data });
    }
    let noise = rig.handle(Event::PeerMessage { from: 9, data: vec![2, 1, 1] });
    assert!(noise.is_empty(), "a message from a router number beyond the settings gets no answer: {noise:?}");
    let malformed = rig.router.malformed_messages();
    assert!(malformed > 6, "more than 6 messages are counted as malformed: {malformed}");
    rig.handle(Event::PeerMessage { from: 0, data: vec![99; 40] });
    rig.handle(Event::PeerMessage { from: 99, data: vec![2, 1, 1] });
    assert_eq!(rig.router.malformed_messages(), malformed + 2);
    for o in 0..50 {
        let s = rig.serve(o, 3);
        assert!(s.cache.starts_with('c') && s.cache != s.source);
    }
}

#[test]
fn entries_of_a_failed_list_are_ignored() {
    let mut rig = Rig::new();
    rig.handle(Event::Endpoints { kind: ListKind::Failed, entries: vec![entry("c9:1", 1, 0)] });
    assert!((0..60).all(|o| rig.serve(o, 2).cache != "c9:1"));
}

#[test]
fn unusual_input_has_a_defined_result() {
    let mut rig = Rig::with_settings(settings());
    assert!(contains_rejection(&rig.request(1)), "a request before the first endpoint list is rejected");
    rig.update_endpoints(Vec::new());
    assert!(contains_rejection(&rig.request(2)), "a request with an empty endpoint list is rejected");
    rig.update_endpoints(vec![entry("p1:1", 0, 1), entry("o1:1", 0, 2)]);
    assert!(contains_rejection(&rig.request(3)), "a request at a location without caches is rejected");
    rig.update_endpoints(vec![entry("c1:1", 1, 0), entry("o1:1", 0, 2)]);
    assert_eq!(rig.serve(4, 3).source, "o1:1", "without parents the origin is the source");
    rig.update_endpoints(vec![
        Entry { weight: 0.0, ..entry("c1:1", 1, 0) },
        Entry { weight: f64::NAN, ..entry("p1:1", 0, 1) },
    ]);
    assert_eq!(rig.serve(5, 2).cache, "c1:1", "a weight of zero counts as one");
    let unknown = SentAttempt { id: RequestId(999_999), ..rig.serve(6, 2) };
    assert!(
        rig.end_attempt(&unknown, 0, Ending::Errored, 0).is_empty(),
        "an outcome of an unknown request gives no action"
    );
    assert!(
        rig.end_attempt(&unknown, 77, Ending::Completed, 1).is_empty(),
        "an outcome of an unknown attempt gives no action"
    );
    rig.now = f64::NAN;
    rig.handle(Event::Purged { object: None, group: 0, age_ms: f64::INFINITY });
    rig.handle(Event::Endpoints { kind: ListKind::Failed, entries: Vec::new() });
}

#[test]
fn an_error_in_the_settings_names_the_field() {
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
        let mut rig = Rig::new();
        let mut all = Vec::new();
        for o in 0..500u64 {
            rig.now += 7.0;
            let actions = rig.request(o % 37);
            if let Some(s) = first_sent_attempt(&actions) {
                let how = if o % 11 == 0 { Ending::Errored } else { Ending::Completed };
                all.extend(rig.end_attempt(&s, 0, how, if o % 11 == 0 { 0 } else { 2 }));
            }
            all.extend(actions);
        }
        all
    };
    assert_eq!(run(), run());
}

/// Together, many routers use part of the budget of a parent in slow start and exceed it in no window.
#[test]
fn many_routers_use_and_do_not_exceed_the_budget_of_a_parent_in_slow_start() {
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
                let mut rig = Rig::with_settings(Settings { slot, ..set.clone() });
                let in_slow_start =
                    |e: Entry| if &*e.cache.0 == "p1:1" { Entry { started_ms: started, ..e } } else { e };
                rig.update_endpoints(endpoints().into_iter().map(in_slow_start).collect());
                rig
            })
            .collect();
        // Requests of 100 ms of sending time each, far more of them than the parent may be sent.
        let mut sends: Vec<f64> = Vec::new();
        for step in 0..12_000u64 {
            let now = started + step as f64;
            let rig = &mut all[(step.wrapping_mul(7) % u64::from(routers)) as usize];
            rig.now = now;
            if let Some(s) = first_sent_attempt(&rig.request(step)) {
                if s.source == "p1:1" {
                    sends.push(now);
                }
                rig.end_attempt(&s, 0, Ending::Completed, 3);
            }
        }
        // The mean capacity fraction of the first 12 of 20 s is 0.37. Times the weight 10 and the slow-start
        // multiple 2, for 12 s, this gives 88.8 s of sending, or 888 sends of 0.1 s.
        assert!(
            sends.len() >= 220,
            "{routers} routers make only {} sends in 12 s, at least 220 expected",
            sends.len()
        );
        for (i, &from) in sends.iter().enumerate() {
            let work = 100.0 * sends[i..].iter().filter(|&&t| t < from + 3000.0).count() as f64;
            // The mean capacity over the window; the capacity grows linearly.
            let capacity_fraction = 0.1 + 0.9 * (from + 1500.0 - started) / 20_000.0;
            let budget = 2.0 * 10.0 * capacity_fraction * 3000.0;
            assert!(
                work <= budget,
                "{routers} routers send {work} ms of work, at most {budget} allowed, {} ms after the start",
                from - started
            );
        }
    }
}
