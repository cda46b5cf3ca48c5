//! Reads batches of events as JSON lines on standard input and writes the module's actions.
//! One [`Router`] an instance; nothing is decided here.

mod wire;

use fernslip::json::{self, Names};
use fernslip::{Action, Event, ListKind, Router};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

fn write_action(out: &mut impl Write, i: i64, a: Action) -> io::Result<()> {
    serde_json::to_writer(&mut *out, &wire::action(i, a))?;
    out.write_all(b"\n")
}

fn main() -> io::Result<()> {
    let mut routers: BTreeMap<i64, (Router, Names)> = BTreeMap::new();
    let mut rosters: BTreeMap<u64, Value> = BTreeMap::new();
    let mut now = 0.0;
    let stdout = io::stdout();
    let mut out = io::BufWriter::new(stdout.lock());
    let mut actions = Vec::new();
    for (at, line) in io::stdin().lock().lines().enumerate() {
        let (line, at) = (line?, at + 1);
        if line.trim().is_empty() {
            continue;
        }
        let v: Value = match serde_json::from_str(&line) {
            Ok(v) => v,
            Err(e) => {
                eprintln!("line {at}: not JSON: {e}");
                continue;
            }
        };
        let i = v["i"].as_i64().unwrap_or(-1);
        match v["cmd"].as_str().unwrap_or("") {
            "BEGIN_BATCH" => match v["wall_ms"].as_f64() {
                Some(t) => now = t,
                None => eprintln!("line {at}: wall_ms is missing"),
            },
            "COMMIT" => {
                out.write_all(b"{\"cmd\":\"ACK\"}\n")?;
                out.flush()?;
            }
            "BORN" => match json::settings(&v["info"])
                .map_err(|e| e.to_string())
                .and_then(|(s, n)| Ok((Router::new(s, wire::seed(&v)).map_err(|e| e.to_string())?, n)))
            {
                Ok(r) => {
                    routers.insert(i, r);
                }
                Err(e) => {
                    eprintln!("line {at}: {e}");
                    serde_json::to_writer(
                        &mut out,
                        &serde_json::json!({"cmd": "PANIC", "i": i, "words": e}),
                    )?;
                    out.write_all(b"\n")?;
                }
            },
            "DOWN" => {
                routers.remove(&i);
            }
            "ROSTER" => {
                rosters.insert(v["buffer"].as_u64().unwrap_or(0), v["rows_in"].clone());
            }
            cmd => {
                let Some((router, names)) = routers.get_mut(&i) else {
                    eprintln!("line {at}: {cmd:?} for the unknown instance {i}");
                    continue;
                };
                let rows = rosters.get(&v["buffer"].as_u64().unwrap_or(0)).unwrap_or(&Value::Null);
                match wire::event(cmd, &v, rows, names) {
                    Ok(event) => {
                        let empty = matches!(&event, Event::Endpoints { kind, entries }
                            if *kind != ListKind::Failed && entries.is_empty());
                        if empty {
                            eprintln!("line {at}: an empty list");
                        }
                        router.handle(now, event, &mut actions);
                        for a in actions.drain(..) {
                            write_action(&mut out, i, a)?;
                        }
                    }
                    Err(e) => eprintln!("line {at}: {e}"),
                }
            }
        }
    }
    Ok(())
}
