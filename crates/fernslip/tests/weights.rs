//! What a cache's link carries is learned from its answers; what a list tells is a first guess.
mod common;
use common::*;
use fernslip::*;

/// A location of one cache whose link carries `real` transfers, of which the list tells `told` (1: nothing).
struct SingleCache {
    rig: Rig,
    real: f64,
}

impl SingleCache {
    fn new(listed: f64, real: f64) -> SingleCache {
        let mut rig = Rig::with(settings());
        let one = vec![entry("c1:1", 1, 0), entry("p1:1", 0, 1), entry("o1:1", 0, 2)];
        rig.update_endpoints(one.into_iter().map(|e| Entry { weight: listed, ..e }).collect());
        rig.serve(1, 1);
        SingleCache { rig, real }
    }

    /// `many` hits at once, of 300 KB (0.3 s of sending) each, answered as a link shared evenly does; how many went.
    fn burst(&mut self, many: usize) -> usize {
        let open: Vec<Sent> = (0..many).filter_map(|_| sent(&self.rig.request_with(1, 0, 300.0))).collect();
        let took = 300.0 * (open.len() as f64 / self.real).max(1.0);
        self.rig.now += took;
        open.iter().for_each(|s| drop(self.rig.end_after(s, 0, (Ending::Completed, 1), took)));
        self.rig.now += 100.0;
        open.len()
    }
}

/// Seen where no sizes are told: each cache was taken for a link of one transfer, and half of all was refused.
#[test]
fn nothing_is_rejected_before_a_link_was_seen_full() {
    let mut w = SingleCache::new(1.0, 50.0);
    assert_eq!((0..10).map(|_| w.burst(40)).min(), Some(40));
}

#[test]
fn a_link_seen_full_bounds_what_is_sent() {
    for (listed, real) in [(1.0, 5.0), (1.0, 20.0), (8.0, 20.0), (30.0, 10.0)] {
        let mut w = SingleCache::new(listed, real);
        (0..40).for_each(|_| {
            w.burst(200);
        });
        // Wanted within 400 ms and twice its sending time: in time at 3.3 transfers to each that fits.
        let fit = w.burst(200) as f64;
        assert!(fit >= 1.2 * real && fit <= 3.4 * real, "{listed} told, {real} real: {fit} at once");
    }
}

#[test]
fn a_link_that_slows_is_given_less_and_more_again_when_it_recovers() {
    let mut w = SingleCache::new(1.0, 20.0);
    let mean = |w: &mut SingleCache| (0..60).map(|_| w.burst(100)).skip(50).sum::<usize>() / 10;
    let before = mean(&mut w);
    w.real = 4.0;
    let slow = mean(&mut w);
    w.real = 20.0;
    let after = mean(&mut w);
    assert!(slow * 3 < before && after * 4 > before * 3, "{before}, slow {slow}, after {after}");
}

/// A cold cache's budget goes by what warm ones of like size were seen to carry.
#[test]
fn a_cache_in_slow_start_is_not_overloaded() {
    let mut r = Rig::with(settings());
    let untold = |e: Entry| Entry { weight: 1.0, ..e };
    r.update_endpoints(fleet().into_iter().map(untold).collect());
    for o in 0..40 {
        let open: Vec<Sent> = (0..60).filter_map(|n| sent(&r.request(o * 100 + n))).collect();
        let at = |c: &str| open.iter().filter(|s| s.cache == c).count() as f64;
        let took: Vec<f64> = open.iter().map(|s| 100.0 * (at(&s.cache) / 10.0).max(1.0)).collect();
        r.now += took.iter().copied().fold(100.0, f64::max);
        open.iter().zip(took).for_each(|(s, t)| drop(r.end_after(s, 0, (Ending::Completed, 1), t)));
    }
    r.now += 2_000.0;
    r.delta(Entry { weight: 1.0, started_ms: r.now, ..entry("c1:1", 1, 0) });
    // Links of 10 transfers: what fits in time goes there, and never more than its budget: a fifth of 10, times 4, for
    // 1 s are 8 s of sending, 0.1 s each. Attempts stay open.
    let to_warming_up = (0..2000).filter_map(|o| sent(&r.request(o))).filter(|s| s.cache == "c1:1").count();
    assert!((5..=80).contains(&to_warming_up), "{to_warming_up} attempts");
}

/// Seen at a front that restarts as its location comes back cold: it knows no width, took each box for a link of one
/// transfer, and refused nearly all until they were warm.
#[test]
fn a_router_that_knows_nothing_learns_from_caches_in_slow_start() {
    let mut set = settings();
    (set.slow_start_ms, set.slow_start_multiple, set.slow_start_window_ms) = (16_000.0, 2.0, 2_000.0);
    let (from, slow_start_ms, multiple, window) =
        (set.slow_start_from, set.slow_start_ms, set.slow_start_multiple, set.slow_start_window_ms);
    let mut r = Rig::with(set);
    let started = r.now;
    r.update_endpoints(
        fleet()
            .into_iter()
            .map(|e| Entry { weight: 1.0, started_ms: if e.kind == Some(0) { started } else { 0.0 }, ..e })
            .collect(),
    );
    // Links of 10 transfers when warm. A request of 200 ms of sending every 20 ms: 3.3 transfers each.
    let (real, work) = (10.0, 200.0);
    let now_carries = |at: f64| real * (from + (1.0 - from) * ((at - started) / slow_start_ms).min(1.0));
    let mut open: Vec<(f64, Sent)> = Vec::new();
    let (mut sends, mut served_late) = (Vec::<(f64, String)>::new(), 0);
    for step in 0..500 {
        r.now = started + 20.0 * f64::from(step);
        let due: Vec<_> = open.iter().filter(|o| o.0 <= r.now).cloned().collect();
        open.retain(|o| o.0 > r.now);
        due.iter()
            .for_each(|(at, s)| drop(r.end_after(s, 0, (Ending::Completed, 1), (r.now - at).max(work))));
        if let Some(s) = sent(&r.request_with(step as u64 % 40, 0, work)) {
            let there = 1.0 + open.iter().filter(|o| o.1.cache == s.cache).count() as f64;
            open.push((r.now + work * (there / now_carries(r.now)).max(1.0), s.clone()));
            sends.push((r.now, s.cache));
            served_late += u32::from(step >= 250);
        }
    }
    for (n, (at, cache)) in sends.iter().enumerate() {
        let window_sends = sends[n..].iter().take_while(|s| s.0 < at + window).filter(|s| s.1 == *cache);
        let budget = multiple * now_carries(*at + window) * window;
        let requested = window_sends.count() as f64 * work;
        assert!(requested <= budget, "{requested} ms asked of {cache} from {at}, {budget} at the most");
    }
    assert!(served_late > 225, "{served_late} of 250 after five seconds");
}
