//! What the decisions cost at many caches: one request and its served outcome, a list delta of one cache, a purge,
//! and the timers with many requests open; at 5 to 2,000 caches in the location (10,000 with
//! `FERNSLIP_BENCH_LARGE=1`: on a quadratic module one decision there takes seconds).
//!
//!     cargo bench -p fernslip --bench decide

#[path = "../tests/common/mod.rs"]
mod common;

use common::{entry, sent, settings, wide_fleet, Rig};
use criterion::{BenchmarkId, Criterion};
use fernslip::{Ending, Event, ObjectId, Phase};
use std::hint::black_box;
use std::time::Duration;

/// Caches of the location, and two parents and an origin at the hub.
fn rig(caches: usize, open_most: u32) -> Rig {
    let mut s = settings();
    s.max_in_flight = open_most;
    let mut rig = Rig::with(s);
    rig.update_endpoints(wide_fleet(caches, 0, 0.0));
    rig
}

/// As [`rig`], with a tenth of the caches (at least one) started a second ago.
fn slow_start_rig(caches: usize) -> Rig {
    let mut rig = Rig::with(settings());
    let started_ms = rig.now - 1000.0;
    rig.update_endpoints(wide_fleet(caches, caches.div_ceil(10), started_ms));
    rig
}

/// One request, served: the module's whole ordinary path.
fn decision(rig: &mut Rig, object: u64) {
    rig.now += 1.0;
    let Some(s) = sent(&rig.request(object)) else { return };
    rig.now += 1.0;
    black_box(rig.end(&s, 0, Ending::Completed, 1));
}

/// One request, served, where one cache answers slowly, and time moves by `step_ms` a call: small enough in the
/// cold case that caches started just before stay cold through the run.
fn decision_with(rig: &mut Rig, object: u64, step_ms: f64) {
    rig.now += step_ms;
    let Some(s) = sent(&rig.request(object)) else { return };
    rig.now += step_ms;
    let elapsed_ms = if s.cache == "c0:1" { 900.0 } else { 50.0 };
    black_box(rig.end_after(&s, 0, (Ending::Completed, 1), elapsed_ms));
}

fn sizes() -> Vec<usize> {
    let mut all = vec![5, 20, 100, 500, 2000];
    if std::env::var_os("FERNSLIP_BENCH_LARGE").is_some() {
        all.push(10_000);
    }
    all
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for caches in sizes() {
        let mut rig = rig(caches, 1000);
        (0..200).for_each(|n| decision(&mut rig, n % 500));
        let mut n = 0;
        group.bench_with_input(BenchmarkId::new("calm", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                decision(&mut rig, n % 500);
            });
        });
    }
    for caches in sizes() {
        let mut rig = rig(caches, 1000);
        (0..200).for_each(|n| decision_with(&mut rig, n % 500, 1.0));
        let mut n = 0;
        group.bench_with_input(BenchmarkId::new("one slow", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                decision_with(&mut rig, n % 500, 1.0);
            });
        });
    }
    for caches in sizes() {
        let mut rig = slow_start_rig(caches);
        let mut n = 0;
        group.bench_with_input(BenchmarkId::new("a tenth cold", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                decision_with(&mut rig, n % 500, 0.001);
            });
        });
    }
    group.finish();

    let mut group = c.benchmark_group("delta");
    for caches in sizes() {
        let mut rig = rig(caches, 1000);
        let mut draining = false;
        group.bench_with_input(BenchmarkId::new("one cache", caches), &caches, |b, _| {
            b.iter(|| {
                draining = !draining;
                let phase = if draining { Phase::Draining } else { Phase::In };
                rig.now += 1.0;
                black_box(rig.delta(fernslip::Entry { phase, ..entry("c0:1", 1, 0) }));
            });
        });
    }
    group.finish();

    let mut group = c.benchmark_group("purge");
    for caches in [20, 2000] {
        let mut rig = rig(caches, 1000);
        // Past the bound on purges that are kept, where each new one looks for the oldest.
        for n in 0..5000 {
            rig.event(Event::Purged { object: Some(ObjectId(n)), group: 3, age_ms: 0.0 });
        }
        let mut n = 5000;
        group.bench_with_input(BenchmarkId::new("object", caches), &caches, |b, _| {
            b.iter(|| {
                n += 1;
                rig.now += 0.1;
                black_box(rig.event(Event::Purged { object: Some(ObjectId(n)), group: 3, age_ms: 0.0 }));
            });
        });
    }
    group.finish();

    let mut group = c.benchmark_group("watch");
    for open in [10, 1000, 100_000] {
        let mut rig = rig(20, 200_000);
        (0..open).for_each(|n| drop(rig.request(n)));
        // What the module holds may be fewer than were asked: it refuses past its own bounds.
        let retained = rig.router.retained().requests;
        eprintln!("watch: {open} asked, {retained} held open");
        group.bench_with_input(BenchmarkId::new("timer, requests asked", open), &open, |b, _| {
            b.iter(|| {
                rig.now += 0.01;
                black_box(rig.event(Event::Timer { token: 0 }));
            });
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    bench(&mut c);
    c.final_summary();
}
