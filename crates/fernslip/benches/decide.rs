//! Measures the time of router events with many caches: a request and its successful outcome, a change of one
//! cache in the endpoint list, a purge, and a timer with many open requests. The location has 5 to 2,000
//! caches; `FERNSLIP_BENCH_LARGE=1` adds 10,000, where one decision takes seconds if the router needs
//! quadratic time.
//!
//!     cargo bench -p fernslip --bench decide

#[path = "../tests/common/mod.rs"]
mod common;

use common::{entry, first_sent_attempt, settings, wide_fleet, Rig};
use criterion::{BenchmarkId, Criterion};
use fernslip::{Ending, Event, ObjectId, Phase};
use std::hint::black_box;
use std::time::Duration;

/// A router with `caches` cache nodes in its location, and two parents and an origin at the hub.
fn rig_with_caches(caches: usize, max_in_flight: u32) -> Rig {
    let mut s = settings();
    s.max_in_flight = max_in_flight;
    let mut rig = Rig::with_settings(s);
    rig.update_endpoints(wide_fleet(caches, 0, 0.0));
    rig
}

/// A router like that of [`rig_with_caches`], where a tenth of the caches (at least one) started a second
/// ago.
fn rig_with_slow_start(caches: usize) -> Rig {
    let mut rig = Rig::with_settings(settings());
    let started_ms = rig.now - 1000.0;
    rig.update_endpoints(wide_fleet(caches, caches.div_ceil(10), started_ms));
    rig
}

/// Handles one request and its successful outcome, which is the usual path through the router.
fn serve_request(rig: &mut Rig, object: u64) {
    rig.now += 1.0;
    let Some(attempt) = first_sent_attempt(&rig.request(object)) else { return };
    rig.now += 1.0;
    black_box(rig.end_attempt(&attempt, 0, Ending::Completed, 1));
}

/// Handles one request and its successful outcome, where one cache answers slowly. Time advances by `step_ms`
/// before each event; in the slow-start case it is so small that the caches that have just started stay in
/// slow start for the whole run.
fn serve_request_with_slow_cache(rig: &mut Rig, object: u64, step_ms: f64) {
    rig.now += step_ms;
    let Some(attempt) = first_sent_attempt(&rig.request(object)) else { return };
    rig.now += step_ms;
    let elapsed_ms = if attempt.cache == "c0:1" { 900.0 } else { 50.0 };
    black_box(rig.end_attempt_after(&attempt, 0, (Ending::Completed, 1), elapsed_ms));
}

/// Numbers of caches to measure.
fn cache_counts() -> Vec<usize> {
    let mut all = vec![5, 20, 100, 500, 2000];
    if std::env::var_os("FERNSLIP_BENCH_LARGE").is_some() {
        all.push(10_000);
    }
    all
}

fn run_benchmarks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for caches in cache_counts() {
        let mut rig = rig_with_caches(caches, 1000);
        (0..200).for_each(|n| serve_request(&mut rig, n % 500));
        let mut n = 0;
        group.bench_with_input(BenchmarkId::new("no failures", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                serve_request(&mut rig, n % 500);
            });
        });
    }
    for caches in cache_counts() {
        let mut rig = rig_with_caches(caches, 1000);
        (0..200).for_each(|n| serve_request_with_slow_cache(&mut rig, n % 500, 1.0));
        let mut n = 0;
        group.bench_with_input(BenchmarkId::new("one slow cache", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                serve_request_with_slow_cache(&mut rig, n % 500, 1.0);
            });
        });
    }
    for caches in cache_counts() {
        let mut rig = rig_with_slow_start(caches);
        let mut n = 0;
        group.bench_with_input(BenchmarkId::new("10% of caches in slow start", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                serve_request_with_slow_cache(&mut rig, n % 500, 0.001);
            });
        });
    }
    group.finish();

    let mut group = criterion.benchmark_group("delta");
    for caches in cache_counts() {
        let mut rig = rig_with_caches(caches, 1000);
        let mut draining = false;
        group.bench_with_input(BenchmarkId::new("one cache", caches), &caches, |b, _| {
            b.iter(|| {
                draining = !draining;
                let phase = if draining { Phase::Draining } else { Phase::In };
                rig.now += 1.0;
                black_box(rig.update_endpoint(fernslip::Entry { phase, ..entry("c0:1", 1, 0) }));
            });
        });
    }
    group.finish();

    let mut group = criterion.benchmark_group("purge");
    for caches in [20, 2000] {
        let mut rig = rig_with_caches(caches, 1000);
        // Exceeds the limit on retained purges, where each new purge searches for the oldest one.
        for n in 0..5000 {
            rig.handle(Event::Purged { object: Some(ObjectId(n)), group: 3, age_ms: 0.0 });
        }
        let mut n = 5000;
        group.bench_with_input(BenchmarkId::new("object", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                rig.now += 0.1;
                black_box(rig.handle(Event::Purged { object: Some(ObjectId(n)), group: 3, age_ms: 0.0 }));
            });
        });
    }
    group.finish();

    let mut group = criterion.benchmark_group("silence check");
    for open in [10, 1000, 100_000] {
        let mut rig = rig_with_caches(20, 200_000);
        (0..open).for_each(|n| drop(rig.request(n)));
        // The router may retain fewer requests than were sent, because it rejects those above its own limits.
        let retained = rig.router.retained().requests;
        eprintln!("silence check: of {open} requests sent, the router retains {retained} as open");
        group.bench_with_input(BenchmarkId::new("timer event, by requests sent", open), &open, |b, _| {
            b.iter(|| {
                rig.now += 0.01;
                black_box(rig.handle(Event::Timer { token: 0 }));
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    run_benchmarks(&mut criterion);
    criterion.final_summary();
}
