//! Replays recorded transcripts against the program over sockets.
//!
//! A transcript in `talks/` is a text file with one step in each line:
//!
//! | step | meaning |
//! | --- | --- |
//! | `client> JSON` | one MessagePack message; a text `b:…` is bytes |
//! | `client> hex …` | these bytes, unchanged |
//! | `client<` | the next message that the front sends |
//! | `client!` | closes the connection; the next step opens a new one |
//! | `NODE> ID WORD FIELDS BODY`, `NODE> raw …` | a RESP array of these words, or these bytes unchanged |
//! | `NODE<` | the next RESP array that the front sends |
//! | `NODE!` | closes all connections to the node |
//! | `bus<`, `bus> LINE`, `bus!` | the same for the event bus, with text lines |
//! | `peer<`, `peer> hex …` | the same for a peer, with datagrams |
//! | `log TEXT` | waits for a log line that contains the text |
//! | `reload BUS` | writes a configuration with that bus (an empty file if there is none) and sends SIGHUP |
//! | `term`, `exit` | sends SIGTERM; waits until the program exits |
//!
//! What the front sends is appended to its step, and the result is compared with a snapshot. Values that
//! differ from run to run (remaining times, addresses) are masked.

mod common;

use common::scripted::{ScriptedFront, STEP_TIMEOUT};
use serde_json::{json, Value as Json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

fn replay_transcript(name: &str) {
    let file = format!("{}/tests/talks/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let script = std::fs::read_to_string(&file).expect("the transcript can be read");
    let mut front = ScriptedFront::start(name);
    let mut replayed = String::new();
    for line in script.lines() {
        println!("{line}"); // shown if a step fails
        replayed += line;
        if let Some(head) = line.split(' ').next().filter(|h| !h.is_empty() && !h.starts_with('#')) {
            let counterpart = head.trim_end_matches(['>', '<', '!']);
            let received =
                front.step(counterpart, &head[counterpart.len()..], line[head.len()..].trim_start());
            if !received.is_empty() {
                replayed += &format!(" {received}");
            }
        }
        replayed += "\n";
    }
    insta::assert_snapshot!(name, replayed);
}

/// Defines a test for each transcript, which compares what the front sends with the snapshot.
macro_rules! transcripts {
    ($($name:ident)*) => {
        mod the_front_reproduces_the_transcript {
            $(#[test] fn $name() { super::replay_transcript(stringify!($name)); })*
        }
    };
}

transcripts! { read write trouble silent spoilt forget malformed bus peers reload term }

/// Writes that a full socket interrupts are continued when the client reads again, and no other client waits
/// for them.
#[test]
fn a_client_that_does_not_read_does_not_block_others() {
    let mut front = ScriptedFront::start("slow");
    let body = "x".repeat(240_000);
    let serve = |front: &mut ScriptedFront, call: u32, body: &str| {
        let trace = format!("{call:016x}");
        let fields = json!({"trace": trace, "patience": "60000", "entity": "00000000000000a1", "slice": "0",
                             "set": "1", "size": "40"});
        front.step("client", ">", &json!([0, call, "statement-docs", [fields, "b:"]]).to_string());
        assert!(front.step("a", "<", "").starts_with(&format!("ASK {trace}")));
        front.step("a", ">", &format!("{trace} served tell=fill {body}"));
    };
    // More than the socket buffers hold, so that most of the data waits in the front.
    (1..=32).for_each(|call| serve(&mut front, call, &body));
    let slow = front.client.take();
    serve(&mut front, 33, "quick");
    assert_eq!(front.step("client", "<", ""), r#"[1,33,null,["b:quick",{}]]"#);
    front.client = slow;
    let mut calls: Vec<u64> = (1..=32)
        .map(|_| {
            let answer: Json =
                serde_json::from_str(&front.step("client", "<", "")).expect("the front sends an answer");
            assert_eq!(
                answer[3][0].as_str().map(str::len),
                Some(body.len() + 2),
                "the body of the answer is complete"
            );
            answer[1].as_u64().expect("the answer has a call number")
        })
        .collect();
    calls.sort_unstable();
    assert!(calls.into_iter().eq(1..=32), "each call is answered exactly once");
}

/// Connections that send nothing, or only half a call, must not use up the connection slots for clients: they
/// are closed soon. A connection with an open call stays open.
#[test]
fn connections_without_a_complete_call_are_closed_to_free_their_slots() {
    let mut front = ScriptedFront::start_with("connection-slots", |c| c["limits"]["sockets"] = 24.into());
    let connect = |addr: &str| {
        let s = TcpStream::connect(addr).expect("the front accepts the connection");
        s.set_read_timeout(Some(STEP_TIMEOUT)).expect("the socket option can be set");
        s
    };
    front.step("client", ">", r#"[0,1,"isWell",[{}]]"#);
    front.step("client", "<", "");
    let fields = json!({"trace": "0000000000000001", "patience": "60000", "entity": "00000000000000a1",
                        "slice": "0", "set": "1", "size": "40"});
    // A write is never retried on another node, however long its cache node does not answer.
    front.step("client", ">", &json!([0, 2, "contribution-change", [fields, "b:"]]).to_string());
    front.step("a", "<", "");
    let addr = front.addr.clone();
    let mut silent: Vec<TcpStream> = (0..40).map(|_| connect(&addr)).collect();
    silent.extend((0..10).map(|_| {
        let mut s = connect(&addr);
        let _ = s.write_all(&[0x94, 0, 1]); // the first bytes of a call
        s
    }));
    for mut s in silent {
        assert!(matches!(s.read(&mut [0]), Ok(0) | Err(_)), "a connection without a complete call is closed");
    }
    front.step("a", ">", "0000000000000001 served tell=fill still there");
    assert_eq!(front.step("client", "<", ""), r#"[1,2,null,["b:still there",{}]]"#);
    assert!(front.wait_for_log("reason=no_request").contains("kind=client"));
}

#[test]
fn a_bad_configuration_is_one_line_and_a_failure() {
    let dir = std::env::temp_dir().join(format!("fernslip-{}-bad", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be created");
    let good = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json"));
    let good = good.expect("the example file can be read");
    let mut seen = String::new();
    for (name, text) in [
        ("no JSON", "{".to_string()),
        ("no seed", good.replace("8c1f30d27a5be964", "x")),
        ("no address", good.replace("127.0.0.1:4222", "bus.example")),
        ("impossible", good.replace("\"max_attempts\": 6", "\"max_attempts\": 0")),
        ("foreign", good.replace("\"listen\": \"127.0.0.1:4100\"", "\"listen\": \"203.0.113.9:1\"")),
    ] {
        let file = dir.join("config.json");
        std::fs::write(&file, text).expect("the temporary file can be written");
        let out = Command::new(env!("CARGO_BIN_EXE_fernslip")).env("RELAY_CONFIG", &file).output();
        let out = out.expect("the program can be started");
        seen += &format!("{name}: {:?} {}", out.status.code(), String::from_utf8_lossy(&out.stderr));
    }
    let out = Command::new(env!("CARGO_BIN_EXE_fernslip"))
        .env_remove("RELAY_CONFIG")
        .output()
        .expect("the program can be started");
    seen += &format!("none: {:?} {}", out.status.code(), String::from_utf8_lossy(&out.stderr));
    let _ = std::fs::remove_dir_all(dir);
    insta::assert_snapshot!(seen);
}
