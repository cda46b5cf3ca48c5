//! The process is replaced while the event bus is down; a cache node was set to draining before that.
#[path = "../stand-2/common.rs"]
mod common;
use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// News of the event bus bind from 2 s after the yes; then the grace of drains, the slack on sockets, and a margin for
/// the stand-in's own scheduling.
const BINDS_MS: f64 = 2000.0 + 500.0 + 50.0 + 100.0;
/// How long the event bus is down.
const DOWN_MS: u64 = 5000;

fn main() {
    limit_time(110);
    let record = Record::create();
    let nodes =
        Nodes::new(&record, Arc::new(|_: &Ask| Deed::Served { after_ms: 5, body: 2000, tell: "warm" }));
    let bus = Bus::start(&record, 1);
    let tmp = temp_folder();
    let config = tmp.join("config.json");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = socket.local_addr().unwrap();
    let names = [
        ("c1", "edge-1", "standard"),
        ("c2", "edge-1", "standard"),
        ("c3", "edge-1", "standard"),
        ("c4", "edge-1", "standard"),
        ("c5", "edge-1", "standard"),
        ("p1", "north", "parent"),
        ("p2", "north", "parent"),
        ("o1", "north", "origin"),
    ];
    let members: Vec<Member> =
        names.iter().map(|(id, zone, kind)| Member { id, addr: nodes.start(id), zone, kind }).collect();
    write_config(&config, listen, bus.addr, &members, &Settings::default());
    let mut old = Front::start("old", &config, &tmp, Some(&socket));
    old.await_ready();
    record.line("the old process is ready");
    let (done, words) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (done, words) = (done.clone(), words.clone());
            std::thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let word = Client::connect(listen).ok().and_then(|mut c| {
                        c.send(&Call::new(1, "account-pages", new_id(), new_id(), 1500).encode());
                        c.next(Instant::now() + Duration::from_millis(1600))
                    });
                    words.lock().unwrap().push(word.map_or("none".into(), |w| w.word));
                    sleep_ms(48);
                }
            })
        })
        .collect();
    sleep_ms(1000);
    let sent = |from: f64, to: f64| {
        let asks = nodes.asks.lock().unwrap();
        asks.iter()
            .filter(|a| a.at_ms >= from && a.at_ms < to && (a.node == "c1" || a.field("via") == "c1"))
            .count()
    };
    let drain = record.ms();
    bus.push(
        1,
        &format!(
            "\"topology\":{{\"version\":2,\"full\":false,\"servers\":[{}]}}",
            member_json(&members[0], "Terminating")
        ),
    );
    sleep_ms(4000);
    record.say(&format!(
        "the old process sent c1 {} requests before the drain, and {} later than 650 ms after it",
        sent(0.0, drain),
        sent(drain + 650.0, record.ms())
    ));
    if trouble() {
        bus.set_down(true);
        sleep_ms(500);
    }
    let down = Instant::now();
    let new = Front::start("new", &config, &tmp, Some(&socket));
    new.await_ready();
    let yes = record.ms();
    record.line("the new process says yes; SIGTERM to the old process");
    old.signal(SIGTERM);
    let _ = old.child.wait();
    record.line("the old process has ended");
    sleep_ms(DOWN_MS.saturating_sub(down.elapsed().as_millis() as u64));
    let up = record.ms();
    if trouble() {
        bus.set_down(false);
    }
    sleep_ms(2500);
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let late = sent(yes + BINDS_MS, f64::INFINITY);
    record.say(&format!("after the yes c1 was sent {} requests; {late} of them later than {BINDS_MS} ms after it; the bus was up again {:.0} ms after it", sent(yes, f64::INFINITY), up - yes));
    record.line(&format!("clients' answers: {:?}", tally(words.lock().unwrap().iter().map(|w| w.as_str()))));
    let _ = std::fs::remove_dir_all(&tmp);
    stop(i32::from(late > 0), "done");
}
