//! Benchmarks with 10, 100 and 1000 members: the events of one request with one attempt, one route lookup,
//! and the ejection and recovery of a member.

use criterion::Criterion;
use fernslip_pool::{Action, AttemptOutcome, Event, Pool, PoolSpec, Routes};
use fernslip_site::Site;
use std::sync::Arc;

fn site_with_members(members: usize, limits: &str) -> Site {
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
    Site::parse("bench", &text).expect("the site document of the benchmark is valid").site
}

fn bench_pool_and_routes(criterion: &mut Criterion) {
    for members in [10, 100, 1000] {
        let site = site_with_members(members, "limits in-flight=1000");
        let mut pool = Pool::new(PoolSpec::for_all_pools(&site).remove(0), 1);
        let ids: Vec<Arc<str>> = pool.spec().members.iter().map(|p| p.id.clone()).collect();
        let mut actions: Vec<Action> = Vec::new();
        let mut request = 0;
        criterion.bench_function(&format!("request/{members}"), |b| {
            b.iter(|| {
                request += 1;
                let (now, id) = (request as f64, ids[request as usize % ids.len()].clone());
                pool.handle(now, Event::Arrived { request, wait_until_ms: now + 100.0 }, &mut actions);
                pool.handle(now, Event::AttemptSent { request, id: id.clone() }, &mut actions);
                pool.handle(
                    now,
                    Event::AttemptEnded { request, id, outcome: AttemptOutcome::Success },
                    &mut actions,
                );
                pool.handle(now, Event::Finished { request }, &mut actions);
                actions.clear();
            });
        });
        let routes = Routes::from_site(&site);
        criterion.bench_function(&format!("route/{members}"), |b| {
            b.iter(|| routes.route("", "/class-7/7f3a9c21e0b4d655"));
        });
        criterion.bench_function(&format!("failure/{members}"), |b| {
            b.iter(|| {
                request += 1;
                let (now, id) = (request as f64 * 1e6, ids[0].clone());
                for outcome in [
                    AttemptOutcome::Failure,
                    AttemptOutcome::Failure,
                    AttemptOutcome::Failure,
                    AttemptOutcome::Success,
                ] {
                    pool.handle(now, Event::AttemptSent { request, id: id.clone() }, &mut actions);
                    pool.handle(now, Event::AttemptEnded { request, id: id.clone(), outcome }, &mut actions);
                    pool.handle(now + 9e5, Event::Tick, &mut actions);
                }
                actions.clear();
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_pool_and_routes(&mut criterion);
    criterion.final_summary();
}
