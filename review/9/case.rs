//! The process is replaced while it serves; during the overlap operators take out one cache node at the old process's
//! door and another at the new one's.
#[path = "../stand-2/common.rs"]
mod common;
use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The rule's grace, its slack on sockets, and a margin for the stand-in's own scheduling.
const GRACE_MS: f64 = 500.0 + 50.0 + 100.0;

fn main() {
    limit_time(110);
    let record = Record::create();
    let nodes =
        Nodes::new(&record, Arc::new(|_: &Ask| Deed::Served { after_ms: 5, body: 2000, tell: "warm" }));
    let bus = Bus::start(&record, 1);
    let tmp = temp_folder();
    let config = tmp.join("config.json");
    // The platform holds the clients' listening socket.
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

    // Clients: a read every 12 ms, each on a connection of its own.
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
    sleep_ms(1500);
    let used = |id: &str, from: f64| {
        nodes
            .asks
            .lock()
            .unwrap()
            .iter()
            .filter(|a| a.at_ms >= from && (a.node == id || a.field("via") == id))
            .count()
    };
    record.line(&format!("before: c1 was sent {}, c2 {}", used("c1", 0.0), used("c2", 0.0)));

    let new = trouble().then(|| {
        let new = Front::start("new", &config, &tmp, Some(&socket));
        new.await_ready();
        record.line("the new process says yes");
        new
    });
    sleep_ms(400);
    let second_door = new.as_ref().map_or(old.ops, |f| f.ops);
    // Two operators at the same time, each at one door.
    let calls: Vec<_> = [(old.ops, "c1"), (second_door, "c2")]
        .into_iter()
        .map(|(door, id)| {
            let record = record.clone();
            std::thread::spawn(move || {
                let answer = operator_call(door, &format!("exclude {id}")).unwrap_or_default();
                record.line(&format!("operator: exclude {id} at {door}: {answer}"));
                if !answer.starts_with("200") {
                    stop(2, "a call of an operator was not answered with yes");
                }
                (id, record.ms())
            })
        })
        .collect();
    let excluded: Vec<(&str, f64)> = calls.into_iter().map(|c| c.join().unwrap()).collect();
    if new.is_some() {
        // SIGTERM to the old process as after every yes.
        sleep_ms(1000);
        record.line("SIGTERM to the old process");
        old.signal(SIGTERM);
        let _ = old.child.wait();
        record.line("the old process has ended");
    }
    sleep_ms(6000);
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let mut late = 0;
    for (id, yes) in &excluded {
        let sent = used(id, yes + GRACE_MS);
        record.say(&format!(
            "{id}: {sent} requests came to it, or named it as source, later than {GRACE_MS} ms after the yes"
        ));
        late += sent;
    }
    record.line(&format!("clients' answers: {:?}", tally(words.lock().unwrap().iter().map(|w| w.as_str()))));
    for front in [Some(&old), new.as_ref()].into_iter().flatten() {
        for line in front.log_text().lines().filter(|l| l.contains("admin") || l.contains("exclusion")) {
            record.line(&format!("log of {}: {line}", front.log.file_stem().unwrap().to_string_lossy()));
        }
    }
    let _ = std::fs::remove_dir_all(&tmp);
    record.say(&format!("{late} requests in all reached cache nodes that operators had taken out"));
    stop(i32::from(late > 0), "done");
}
