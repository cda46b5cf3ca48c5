//! Adapter between the simulator and the decision logic. It reads events as JSON lines from standard input,
//! passes them to one [`Router`] for each instance, and writes the routers' actions as JSON lines to standard
//! output. A line that cannot be used is reported on standard error with its number, and skipped.

mod wire;

use fernslip::json::{self, Names};
use fernslip::{Action, Event, ListKind, Router};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

/// A router of the simulator, and the names that its messages use.
struct Instance {
    router: Router,
    names: Names,
}

/// State of the adapter between the simulator's messages and the routers.
struct Adapter<W: Write> {
    out: W,
    instances: BTreeMap<i64, Instance>,
    /// Rows of endpoint lists, by the buffer number with which later events refer to them.
    endpoint_rows: BTreeMap<u64, Value>,
    /// Time of the current batch, in milliseconds.
    now_ms: f64,
    actions: Vec<Action>,
}

impl<W: Write> Adapter<W> {
    fn new(out: W) -> Adapter<W> {
        let (instances, endpoint_rows) = (BTreeMap::new(), BTreeMap::new());
        Adapter { out, instances, endpoint_rows, now_ms: 0.0, actions: Vec::new() }
    }

    /// Handles one line of input; `number` counts the lines from 1. Returns only errors of the output.
    fn handle_line(&mut self, number: usize, line: &str) -> io::Result<()> {
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
                Some(wall_ms) => self.now_ms = wall_ms,
                None => eprintln!("line {number}: wall_ms of BEGIN_BATCH is missing or not a number"),
            },
            "COMMIT" => {
                self.out.write_all(b"{\"cmd\":\"ACK\"}\n")?;
                self.out.flush()?;
            }
            "BORN" => self.start_instance(number, instance, &message)?,
            "DOWN" => drop(self.instances.remove(&instance)),
            "ROSTER" => {
                let buffer = message["buffer"].as_u64().unwrap_or(0);
                self.endpoint_rows.insert(buffer, message["rows_in"].clone());
            }
            command => self.handle_event(number, instance, command, &message)?,
        }
        Ok(())
    }

    /// Starts an instance. If a setting is invalid, the simulator receives a `PANIC` that names its field.
    fn start_instance(&mut self, number: usize, instance: i64, message: &Value) -> io::Result<()> {
        match new_instance(message) {
            Ok(started) => {
                self.instances.insert(instance, started);
            }
            Err(e) => {
                eprintln!("line {number}: {e}");
                write_message(&mut self.out, &json!({"cmd": "PANIC", "i": instance, "words": e}))?;
            }
        }
        Ok(())
    }

    /// Passes an event to the router of its instance, and writes the resulting actions.
    fn handle_event(
        &mut self,
        number: usize,
        instance: i64,
        command: &str,
        message: &Value,
    ) -> io::Result<()> {
        let Some(Instance { router, names }) = self.instances.get_mut(&instance) else {
            eprintln!("line {number}: command {command:?} refers to the unknown instance {instance}");
            return Ok(());
        };
        let buffer = message["buffer"].as_u64().unwrap_or(0);
        let rows = self.endpoint_rows.get(&buffer).unwrap_or(&Value::Null);
        let event = match wire::parse_event(command, message, rows, names) {
            Ok(event) => event,
            Err(e) => {
                eprintln!("line {number}: {e}");
                return Ok(());
            }
        };
        if is_empty_endpoint_event(&event) {
            eprintln!("line {number}: the endpoint event has no entries");
        }
        router.handle(self.now_ms, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_message(&mut self.out, &wire::encode_action(instance, action))?;
        }
        Ok(())
    }
}

fn new_instance(message: &Value) -> Result<Instance, String> {
    let (settings, names) = json::parse_settings(&message["info"]).map_err(|e| e.to_string())?;
    let router = Router::new(settings, wire::parse_seed(message)).map_err(|e| e.to_string())?;
    Ok(Instance { router, names })
}

fn is_empty_endpoint_event(event: &Event) -> bool {
    matches!(event, Event::Endpoints { kind, entries } if *kind != ListKind::Failed && entries.is_empty())
}

fn write_message(out: &mut impl Write, message: &Value) -> io::Result<()> {
    serde_json::to_writer(&mut *out, message)?;
    out.write_all(b"\n")
}

fn main() -> io::Result<()> {
    let mut adapter = Adapter::new(io::BufWriter::new(io::stdout().lock()));
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let line = line?;
        if !line.trim().is_empty() {
            adapter.handle_line(index + 1, &line)?;
        }
    }
    Ok(())
}
