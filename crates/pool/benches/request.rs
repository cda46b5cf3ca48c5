//! What a pool adds to a request: arrival, one attempt, its end, at several numbers of members; and a route.

use criterion::Criterion;
use fernslip_pool::{Action, AttemptOutcome, Event, Pool, Routes, Spec};
use fernslip_site::Site;
use std::sync::Arc;

fn site(members: usize, limits: &str) -> Site {
    let mut text = String::new();
    for i in 0..members {
        text +=
            &format!("member \"m{i}\" address=\"127.0.0.1:{}\" {{ limits in-flight=64; }}\n", 1 + i % 60_000);
    }
    text += &format!("pool \"p\" {{\n{limits}\n");
    for i in 0..members {
        text += &format!("use \"m{i}\" tier={}\n", i % 3);
    }
    text += "}\nroutes {\n";
    for i in 0..members {
        text += &format!("route \"/class-{i}\" pool=\"p\"\n");
    }
    text += "}\n";
    Site::parse("bench", &text).expect("fine").site
}

fn bench(c: &mut Criterion) {
    for members in [10, 100, 1000] {
        let site = site(members, "limits in-flight=1000");
        let mut pool = Pool::new(Spec::all(&site).remove(0), 1);
        let ids: Vec<Arc<str>> = pool.spec().members.iter().map(|p| p.id.clone()).collect();
        let mut actions: Vec<Action> = Vec::new();
        let mut n = 0;
        c.bench_function(&format!("request/{members}"), |b| {
            b.iter(|| {
                n += 1;
                let (now, id) = (n as f64, ids[n as usize % ids.len()].clone());
                pool.handle(now, Event::Arrived { request: n, wait_until_ms: now + 100.0 }, &mut actions);
                pool.handle(now, Event::AttemptSent { request: n, id: id.clone() }, &mut actions);
                pool.handle(
                    now,
                    Event::AttemptEnded { request: n, id, outcome: AttemptOutcome::Success },
                    &mut actions,
                );
                pool.handle(now, Event::Finished { request: n }, &mut actions);
                actions.clear();
            });
        });
        let routes = Routes::of(&site);
        c.bench_function(&format!("route/{members}"), |b| {
            b.iter(|| routes.route("", "/class-7/7f3a9c21e0b4d655"));
        });
        c.bench_function(&format!("failure/{members}"), |b| {
            b.iter(|| {
                n += 1;
                let (now, id) = (n as f64 * 1e6, ids[0].clone());
                for outcome in [
                    AttemptOutcome::Failure,
                    AttemptOutcome::Failure,
                    AttemptOutcome::Failure,
                    AttemptOutcome::Success,
                ] {
                    pool.handle(now, Event::AttemptSent { request: n, id: id.clone() }, &mut actions);
                    pool.handle(
                        now,
                        Event::AttemptEnded { request: n, id: id.clone(), outcome },
                        &mut actions,
                    );
                    pool.handle(now + 9e5, Event::Tick, &mut actions);
                }
                actions.clear();
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
