//! The capacity of a cache's link is learned from its answers; the weight in the endpoint list is a first
//! estimate.
mod common;
use common::*;
use fernslip::*;

/// A location of one cache whose link carries `real` concurrent transfers at full speed.
struct SingleCache {
    rig: Rig,
    real: f64,
}

impl SingleCache {
    /// The endpoint list gives every node the weight `listed`; 1 means that the weight is not known.
    fn new(listed: f64, real: f64) -> SingleCache {
        let mut rig = Rig::with_settings(settings());
        let one = vec![entry("c1:1", 1, 0), entry("p1:1", 0, 1), entry("o1:1", 0, 2)];
        rig.update_endpoints(one.into_iter().map(|e| Entry { weight: listed, ..e }).collect());
        rig.serve(1, 1);
        SingleCache { rig, real }
    }

    /// Requests `count` hits of 300 KB (0.3 s of sending) at once, answered over an evenly shared link;
    /// returns how many were forwarded.
    fn send_burst(&mut self, count: usize) -> usize {
        let open: Vec<SentAttempt> =
            (0..count).filter_map(|_| first_sent_attempt(&self.rig.request_with(1, 0, 300.0))).collect();
        let took = 300.0 * (open.len() as f64 / self.real).max(1.0);
        self.rig.now += took;
        open.iter().for_each(|s| drop(self.rig.end_attempt_after(s, 0, (Ending::Completed, 1), took)));
        self.rig.now += 100.0;
        open.len()
    }
}

/// Regression test: without weights in the endpoint list each cache used to be taken to carry one transfer,
/// and half of all requests were rejected.
#[test]
fn nothing_is_rejected_before_a_link_is_known_to_be_full() {
    let mut w = SingleCache::new(1.0, 50.0);
    assert_eq!((0..10).map(|_| w.send_burst(40)).min(), Some(40));
}

#[test]
fn a_link_known_to_be_full_limits_the_requests_sent() {
    for (listed, real) in [(1.0, 5.0), (1.0, 20.0), (8.0, 20.0), (30.0, 10.0)] {
        let mut w = SingleCache::new(listed, real);
        (0..40).for_each(|_| {
            w.send_burst(200);
        });
        // The objective is 400 ms plus twice the sending time of 300 ms, so 1 s: it is met by up to 3.3
        // transfers per unit of capacity.
        let fit = w.send_burst(200) as f64;
        assert!(
            fit >= 1.2 * real && fit <= 3.4 * real,
            "{fit} requests are sent at once to a cache of listed weight {listed} and capacity {real}, \
             1.2 to 3.4 times the capacity expected"
        );
    }
}

#[test]
fn a_link_that_slows_gets_fewer_requests_until_it_recovers() {
    let mut w = SingleCache::new(1.0, 20.0);
    let mean = |w: &mut SingleCache| (0..60).map(|_| w.send_burst(100)).skip(50).sum::<usize>() / 10;
    let before = mean(&mut w);
    w.real = 4.0;
    let slow = mean(&mut w);
    w.real = 20.0;
    let after = mean(&mut w);
    assert!(
        slow * 3 < before && after * 4 > before * 3,
        "requests sent at once: {before} before, {slow} while slow, {after} after recovery"
    );
}

/// The budget of a cache in slow start follows the learned capacity of warm caches of the same weight.
#[test]
fn a_cache_in_slow_start_is_not_overloaded() {
    let mut rig = Rig::with_settings(settings());
    let unweighted = |e: Entry| Entry { weight: 1.0, ..e };
    rig.update_endpoints(endpoints().into_iter().map(unweighted).collect());
    for o in 0..40 {
        let open: Vec<SentAttempt> =
            (0..60).filter_map(|n| first_sent_attempt(&rig.request(o * 100 + n))).collect();
        let at = |c: &str| open.iter().filter(|s| s.cache == c).count() as f64;
        let took: Vec<f64> = open.iter().map(|s| 100.0 * (at(&s.cache) / 10.0).max(1.0)).collect();
        rig.now += took.iter().copied().fold(100.0, f64::max);
        open.iter().zip(took).for_each(|(s, t)| drop(rig.end_attempt_after(s, 0, (Ending::Completed, 1), t)));
    }
    rig.now += 2_000.0;
    rig.update_endpoint(Entry { weight: 1.0, started_ms: rig.now, ..entry("c1:1", 1, 0) });
    // Links carry 10 transfers. The budget is the initial fraction 0.2 of 10, times the slow-start multiple
    // 4, for the window of 1 s: 8 s of sending, so 80 requests of 0.1 s. Attempts stay open.
    let to_warming_up =
        (0..2000).filter_map(|o| first_sent_attempt(&rig.request(o))).filter(|s| s.cache == "c1:1").count();
    assert!(
        (5..=80).contains(&to_warming_up),
        "{to_warming_up} attempts are sent to the cache in slow start, 5 to 80 expected"
    );
}

/// Regression test: a front that restarted together with all caches of its location knew no capacity. It used
/// to take each cache to carry one transfer, and rejected nearly all requests until the caches were warm.
#[test]
fn a_router_that_knows_nothing_learns_from_caches_in_slow_start() {
    let mut set = settings();
    (set.slow_start_ms, set.slow_start_multiple, set.slow_start_window_ms) = (16_000.0, 2.0, 2_000.0);
    let (from, slow_start_ms, multiple, window) =
        (set.slow_start_from, set.slow_start_ms, set.slow_start_multiple, set.slow_start_window_ms);
    let mut rig = Rig::with_settings(set);
    let started = rig.now;
    rig.update_endpoints(
        endpoints()
            .into_iter()
            .map(|e| Entry { weight: 1.0, started_ms: if e.kind == Some(0) { started } else { 0.0 }, ..e })
            .collect(),
    );
    // Links carry 10 transfers when warm. A request of 200 ms every 20 ms gives each of the three caches 3.3
    // concurrent transfers.
    let (real, work) = (10.0, 200.0);
    let current_capacity = |at: f64| real * (from + (1.0 - from) * ((at - started) / slow_start_ms).min(1.0));
    let mut open: Vec<(f64, SentAttempt)> = Vec::new();
    let (mut sends, mut sent_after_5_s) = (Vec::<(f64, String)>::new(), 0);
    for step in 0..500 {
        rig.now = started + 20.0 * f64::from(step);
        let due: Vec<_> = open.iter().filter(|o| o.0 <= rig.now).cloned().collect();
        open.retain(|o| o.0 > rig.now);
        due.iter().for_each(|(at, s)| {
            drop(rig.end_attempt_after(s, 0, (Ending::Completed, 1), (rig.now - at).max(work)));
        });
        if let Some(s) = first_sent_attempt(&rig.request_with(step as u64 % 40, 0, work)) {
            let there = 1.0 + open.iter().filter(|o| o.1.cache == s.cache).count() as f64;
            open.push((rig.now + work * (there / current_capacity(rig.now)).max(1.0), s.clone()));
            sends.push((rig.now, s.cache));
            sent_after_5_s += u32::from(step >= 250);
        }
    }
    for (n, (at, cache)) in sends.iter().enumerate() {
        let window_sends = sends[n..].iter().take_while(|s| s.0 < at + window).filter(|s| s.1 == *cache);
        let budget = multiple * current_capacity(*at + window) * window;
        let requested = window_sends.count() as f64 * work;
        assert!(
            requested <= budget,
            "{requested} ms of work sent to {cache} from {at}, at most {budget} ms allowed"
        );
    }
    assert!(
        sent_after_5_s > 225,
        "{sent_after_5_s} of 250 requests are forwarded after five seconds, more than 225 expected"
    );
}
