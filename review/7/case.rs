//! Some clients read at most 1 MB a second; each has 32 requests for the largest objects open on one connection.
#[path = "../stand-2/common.rs"]
mod common;
use common::*;
use std::io::Read;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The largest object.
const OBJECT: usize = 240_000;
/// Clients, and requests open on the one connection of each.
const CLIENTS: u64 = 8;
const CALLS: u32 = 32;
/// Time between two clients, which send their requests at once: 167 requests a second in all.
const GAP_MS: u64 = 192;
const PATIENCE_MS: u64 = 5000;
/// A slow client's speed in bytes a second.
const SPEED: f64 = 1_000_000.0;

fn main() {
    limit_time(110);
    let record = Record::create();
    let nodes = Nodes::new(
        &record,
        Arc::new(|ask: &Ask| match ask.field("cls") {
            "contribution-change" => Deed::Served { after_ms: 20, body: 0, tell: "fill" },
            _ => Deed::Served { after_ms: 20, body: OBJECT, tell: "warm" },
        }),
    );
    let bus = Bus::start(&record, 1);
    let tmp = temp_folder();
    let (config, listen) = (tmp.join("config.json"), free_port());
    let names = [
        ("c1", "edge-1", "standard"),
        ("c2", "edge-1", "standard"),
        ("c3", "edge-1", "standard"),
        ("c4", "edge-1", "standard"),
        ("p1", "north", "parent"),
        ("p2", "north", "parent"),
        ("o1", "north", "origin"),
    ];
    let members: Vec<Member> =
        names.iter().map(|(id, zone, kind)| Member { id, addr: nodes.start(id), zone, kind }).collect();
    let limits = Settings { memory_mb: 64, sockets: 512 };
    write_config(&config, listen, bus.addr, &members, &limits);
    let front = Front::start("front", &config, &tmp, None);
    front.await_ready();
    let speed = if trouble() { SPEED } else { f64::INFINITY };
    let threads: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                sleep_ms(n * GAP_MS);
                one_client(n, listen, speed, &record)
            })
        })
        .collect();
    let lost: usize = threads.into_iter().map(|t| t.join().unwrap_or(0)).sum();
    for line in front.log_text().lines().filter(|l| l.contains("kind=client")) {
        record.line(&format!("front: {line}"));
    }
    if let Ok(text) = std::fs::read_to_string(format!("/proc/{}/status", front.pid)) {
        let memory = text.lines().filter(|l| l.starts_with("VmHWM")).collect::<Vec<_>>();
        record
            .say(&format!("the front's memory at most, with a limit of {} MB: {memory:?}", limits.memory_mb));
    }
    record.say(&format!("{lost} requests were never answered, on connections that the front ended"));
    let _ = std::fs::remove_dir_all(&tmp);
    stop(i32::from(lost > 0), "done");
}

/// Sends the requests and reads the answers without a pause, at the client's speed. Returns how many requests got no
/// answer; one whose answer had begun is not counted.
fn one_client(n: u64, listen: std::net::SocketAddr, speed: f64, record: &Record) -> usize {
    let mut client = Client::connect(listen).unwrap_or_else(|e| stop(2, &e.to_string()));
    let started = Instant::now();
    let mut bytes = Vec::new();
    for number in 1..=CALLS {
        // The last of a client's requests is a write, 3 of 100 as in service.
        let (class, patience) =
            if number == CALLS { ("contribution-change", 3000) } else { ("statement-docs", PATIENCE_MS) };
        let mut call = Call::new(number, class, new_id(), new_id(), patience);
        call.size = "600".into();
        record.line(&format!("client {n} sends {class} {}", call.trace));
        bytes.extend(call.encode());
    }
    client.send(&bytes);
    if client.ended.is_some() {
        stop(2, "a client could not write its requests");
    }
    record.line(&format!("client {n} has sent {CALLS} requests"));
    let (mut data, mut read, mut chunk) = (Vec::new(), 0_usize, vec![0; 20_000]);
    let (mut served, mut other, mut ended, mut written) = (0, 0, None, false);
    let _ = client.stream.set_read_timeout(Some(Duration::from_millis(PATIENCE_MS + 1000)));
    while served + other < CALLS as usize && ended.is_none() {
        std::thread::sleep(Duration::from_secs_f64(read as f64 / speed).saturating_sub(started.elapsed()));
        match client.stream.read(&mut chunk) {
            Ok(0) => ended = Some("closed".to_string()),
            Ok(count) => {
                read += count;
                data.extend_from_slice(&chunk[..count]);
            }
            Err(e) => ended = Some(e.to_string()),
        }
        let mut at = 0;
        while let Some(value) = decode(&data, &mut at) {
            data.drain(..at);
            at = 0;
            match as_reply(&value) {
                Some(r) if r.number == CALLS => (other, written) = (other + 1, true),
                Some(r) if r.word == "served" && r.body.len() == OBJECT => served += 1,
                Some(_) => other += 1,
                None => {}
            }
        }
    }
    let unanswered = CALLS as usize - served - other;
    let lost = unanswered - usize::from(!data.is_empty() && unanswered > 0);
    record.say(&format!(
        "client {n}: served {served}, other answers {other}, the write answered {written}, without an answer {unanswered} ({lost} of them not begun), read {read} bytes in {} ms, connection {ended:?}",
        started.elapsed().as_millis()
    ));
    lost
}
