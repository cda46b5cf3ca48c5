//! Reads batches of events as JSON lines on standard input and writes the decision crate's actions as JSON lines on
//! standard output. One [`Router`] an instance; nothing is decided here. A line that can't be used is reported on
//! standard error by its number, and the next one is read.

mod wire;

use fernslip::json::{self, Names};
use fernslip::{Action, Event, ListKind, Router};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

/// A router and the names that its messages use.
struct Instance {
    router: Router,
    names: Names,
}

/// The adapter between the simulator's lines and the routers.
struct Adapter<W: Write> {
    out: W,
    instances: BTreeMap<i64, Instance>,
    /// Endpoint lists by their buffer's number; later events refer to them.
    rosters: BTreeMap<u64, Value>,
    /// The clock of the batch, in milliseconds.
    now_ms: f64,
    actions: Vec<Action>,
}

impl<W: Write> Adapter<W> {
    fn new(out: W) -> Adapter<W> {
        let (instances, rosters) = (BTreeMap::new(), BTreeMap::new());
        Adapter { out, instances, rosters, now_ms: 0.0, actions: Vec::new() }
    }

    /// Takes one line; `number` counts from 1. Errors are those of the output.
    fn line(&mut self, number: usize, line: &str) -> io::Result<()> {
        let message: Value = match serde_json::from_str(line) {
            Ok(message) => message,
            Err(e) => {
                eprintln!("line {number}: not JSON: {e}");
                return Ok(());
            }
        };
        let instance = message["i"].as_i64().unwrap_or(-1);
        match message["cmd"].as_str().unwrap_or("") {
            "BEGIN_BATCH" => match message["wall_ms"].as_f64() {
                Some(t) => self.now_ms = t,
                None => eprintln!("line {number}: wall_ms is missing"),
            },
            "COMMIT" => {
                self.out.write_all(b"{\"cmd\":\"ACK\"}\n")?;
                self.out.flush()?;
            }
            "BORN" => self.start(number, instance, &message)?,
            "DOWN" => drop(self.instances.remove(&instance)),
            "ROSTER" => {
                let buffer = message["buffer"].as_u64().unwrap_or(0);
                self.rosters.insert(buffer, message["rows_in"].clone());
            }
            command => self.event(number, instance, command, &message)?,
        }
        Ok(())
    }

    /// Starts an instance; with impossible settings the simulator gets a `PANIC` that names the field.
    fn start(&mut self, number: usize, instance: i64, message: &Value) -> io::Result<()> {
        match new_instance(message) {
            Ok(started) => {
                self.instances.insert(instance, started);
            }
            Err(e) => {
                eprintln!("line {number}: {e}");
                write_line(&mut self.out, &json!({"cmd": "PANIC", "i": instance, "words": e}))?;
            }
        }
        Ok(())
    }

    /// Hands an event to its instance and writes the actions.
    fn event(&mut self, number: usize, instance: i64, command: &str, message: &Value) -> io::Result<()> {
        let Some(Instance { router, names }) = self.instances.get_mut(&instance) else {
            eprintln!("line {number}: {command:?} for the unknown instance {instance}");
            return Ok(());
        };
        let buffer = message["buffer"].as_u64().unwrap_or(0);
        let rows = self.rosters.get(&buffer).unwrap_or(&Value::Null);
        let event = match wire::event(command, message, rows, names) {
            Ok(event) => event,
            Err(e) => {
                eprintln!("line {number}: {e}");
                return Ok(());
            }
        };
        if is_empty_list(&event) {
            eprintln!("line {number}: an empty list");
        }
        router.handle(self.now_ms, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_line(&mut self.out, &wire::action(instance, action))?;
        }
        Ok(())
    }
}

fn new_instance(message: &Value) -> Result<Instance, String> {
    let (settings, names) = json::settings(&message["info"]).map_err(|e| e.to_string())?;
    let router = Router::new(settings, wire::seed(message)).map_err(|e| e.to_string())?;
    Ok(Instance { router, names })
}

fn is_empty_list(event: &Event) -> bool {
    matches!(event, Event::Endpoints { kind, entries } if *kind != ListKind::Failed && entries.is_empty())
}

fn write_line(out: &mut impl Write, message: &Value) -> io::Result<()> {
    serde_json::to_writer(&mut *out, message)?;
    out.write_all(b"\n")
}

fn main() -> io::Result<()> {
    let mut adapter = Adapter::new(io::BufWriter::new(io::stdout().lock()));
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let line = line?;
        if !line.trim().is_empty() {
            adapter.line(index + 1, &line)?;
        }
    }
    Ok(())
}
