//! A request is open; another client sends its id with another object and leaves at once.
#[path = "../stand-2/common.rs"]
mod common;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 6;
const SLACK_MS: u64 = 550;

fn main() {
    limit_time(110);
    let record = Record::create();
    // Every read takes 700 ms at its cache node, every write 900 ms.
    let nodes = Nodes::new(
        &record,
        Arc::new(|ask: &Ask| match ask.field("cls") {
            "contribution-change" => Deed::Served { after_ms: 900, body: 200, tell: "fill" },
            _ => Deed::Served { after_ms: 700, body: 20_000, tell: "warm" },
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
    write_config(&config, listen, bus.addr, &members, &Settings::default());
    let front = Front::start("front", &config, &tmp, None);
    front.await_ready();
    let (mut lost, mut sent) = (0, 0);
    for round in 0..ROUNDS {
        let class = if round % 3 == 2 { "contribution-change" } else { "statement-docs" };
        let patience = 3000;
        let mut usual = Client::connect(listen).unwrap_or_else(|e| stop(2, &e.to_string()));
        let call = Call::new(1, class, new_id(), new_id(), patience);
        usual.send(&call.encode());
        let written = Instant::now();
        sent += 1;
        record.line(&format!("usual client sends {} {} entity {}", call.class, call.trace, call.entity));
        std::thread::sleep(Duration::from_millis(250));
        // The bad client: with the disruption it uses the id of the open request, without it an id of its own.
        let trace = if trouble() { call.trace.clone() } else { new_id() };
        let bad = Call::new(1, "statement-docs", trace, new_id(), patience);
        let mut other = Client::connect(listen).unwrap_or_else(|e| stop(2, &e.to_string()));
        other.send(&bad.encode());
        record.line(&format!(
            "other client sends {} {} entity {} and closes",
            bad.class, bad.trace, bad.entity
        ));
        drop(other);
        let answer = usual.next(written + Duration::from_millis(patience + SLACK_MS));
        match &answer {
            Some(a) => record.line(&format!(
                "usual client got {} after {} ms",
                a.word,
                written.elapsed().as_millis()
            )),
            None => {
                lost += 1;
                let ran = nodes.asks.lock().unwrap().iter().filter(|a| a.id == call.trace).count();
                record.say(&format!(
                    "LOST: {class} {} has no answer {} ms after it was written (patience {patience}); it was sent to a cache node {ran} times; connection {:?}",
                    call.trace, written.elapsed().as_millis(), usual.ended
                ));
            }
        }
        drop(usual);
    }
    let log = front.log_text();
    record.line(&format!("front's log, violations: {}", log.matches("violation").count()));
    record.say(&format!("{lost} of {sent} requests of the usual client got no final answer"));
    let _ = std::fs::remove_dir_all(&tmp);
    stop(i32::from(lost > 0), "done");
}
