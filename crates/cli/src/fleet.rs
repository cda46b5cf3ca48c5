//! The sub-command `fleet`: queries a front's view of the fleet over its control socket and prints it for
//! operators.

use crate::args::FleetCommand;
use crate::output::{fail, print};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// How long a read from the control socket may take.
const CONTROL_SOCKET_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two queries of `fleet watch`.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The exit code of `fleet members` if the view has not settled.
const EXIT_UNSETTLED: u8 = 4;

/// Sends one command to a front's control socket and reads the answer until the front closes the connection.
fn send_command(socket: &Path, command: &str) -> io::Result<String> {
    let mut front = UnixStream::connect(socket)?;
    front.set_read_timeout(Some(CONTROL_SOCKET_READ_TIMEOUT))?;
    front.write_all(format!("{command}\n").as_bytes())?;
    let mut text = String::new();
    front.read_to_string(&mut text)?;
    Ok(text)
}

/// Sends a command and parses its JSON answer. An answer with the key `error` is returned as an error.
fn query(socket: &Path, command: &str) -> Result<Value, String> {
    let text = send_command(socket, command).map_err(|e| format!("{}: {e}", socket.display()))?;
    let v: Value = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", socket.display()))?;
    match v["error"].as_str() {
        Some(error) => Err(format!("{}: {error}", socket.display())),
        None => Ok(v),
    }
}

/// Runs one `fleet` sub-command.
pub fn run(command: &FleetCommand) -> ExitCode {
    match command {
        FleetCommand::Members { socket, json } => match query(socket, "members") {
            Ok(v) => {
                let code = print(&if *json { format!("{v}\n") } else { render_members(&v) });
                match v["settled"] == true {
                    true => code,
                    false => ExitCode::from(EXIT_UNSETTLED),
                }
            }
            Err(error) => fail(error),
        },
        FleetCommand::Watch { socket, json } => watch(socket, *json),
        FleetCommand::Explain { socket, name, json } => match query(socket, &format!("explain {name}")) {
            Ok(v) => print(&if *json { format!("{v}\n") } else { render_explanation(&v) }),
            Err(error) => fail(error),
        },
        FleetCommand::Metrics { socket } => match send_command(socket, "metrics") {
            Ok(text) => print(&text),
            Err(error) => fail(format!("{}: {error}", socket.display())),
        },
    }
}

/// Prints the view at the start and whenever its digest, its settled flag or the state of a member changes.
fn watch(socket: &Path, json: bool) -> ExitCode {
    let mut last = None;
    loop {
        let v = match query(socket, "members") {
            Ok(v) => v,
            Err(error) => return fail(error),
        };
        let states: Vec<String> =
            v["members"].as_array().into_iter().flatten().map(|m| m["state"].to_string()).collect();
        let now = (v["digest"].clone(), v["settled"].clone(), states);
        if last.as_ref() != Some(&now) {
            last = Some(now);
            let text = if json { format!("{v}\n") } else { render_members(&v) + "\n" };
            // A closed pipe on standard output ends the command without an error.
            if io::stdout().lock().write_all(text.as_bytes()).is_err() {
                return ExitCode::SUCCESS;
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Formats a JSON string without its quotes, and any other value as JSON.
fn format_scalar(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_string)
}

/// Formats the elements of an array, separated by commas.
fn format_list(v: &Value) -> String {
    v.as_array().into_iter().flatten().map(format_scalar).collect::<Vec<_>>().join(", ")
}

/// Formats a duration, given in milliseconds, in seconds, minutes or hours, depending on its size.
fn format_duration(v: &Value) -> String {
    match v.as_u64().unwrap_or(0) {
        ms if ms < 10_000 => format!("{:.1} s", ms as f64 / 1000.0),
        ms if ms < 600_000 => format!("{} s", ms / 1000),
        ms if ms < 36_000_000 => format!("{} min", ms / 60_000),
        ms => format!("{} h", ms / 3_600_000),
    }
}

/// Formats rows as left-aligned columns, each as wide as its widest cell.
fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(|t| t.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(t, w)| format!("{t:w$}"));
        let _ = writeln!(out, "{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    out
}

/// Formats a view as `fleet members` prints it: a summary line and a table of the members.
fn render_members(v: &Value) -> String {
    let mut out = format!(
        "front {}: view {}, {} fronts, ",
        format_scalar(&v["front"]),
        format_scalar(&v["digest"]),
        v["count"]
    );
    match v["settled"] == true {
        true => {
            let _ = writeln!(out, "settled for {}", format_duration(&v["settled_for_ms"]));
        }
        false => {
            let missing = format_list(&v["missing"]);
            let reason = if missing.is_empty() {
                "in doubt".into()
            } else {
                format!("not heard to hold it: {missing}")
            };
            let _ = writeln!(out, "not settled; {reason}");
        }
    }
    if let Some(other) = v["other_process"].as_str() {
        let _ = writeln!(out, "another process serves under this front's name at {other}");
    }
    let head = ["NAME", "STATE", "FOR", "ADDRESS", "LOCATION", "PROGRAM", "CONFIG", "SUSPECTED BY"];
    let mut rows = vec![head.map(String::from).to_vec()];
    for m in v["members"].as_array().into_iter().flatten() {
        rows.push(vec![
            format_scalar(&m["name"]),
            format_scalar(&m["state"]),
            format_duration(&m["for_ms"]),
            format_scalar(&m["address"]),
            format_scalar(&m["location"]),
            format_scalar(&m["program"]),
            format_scalar(&m["configuration"]),
            format_list(&m["suspected_by"]),
        ]);
    }
    out + &format_table(&rows)
}

/// Formats the explanation of one member's state: a summary line and a table of the recorded state changes.
fn render_explanation(v: &Value) -> String {
    let m = &v["member"];
    let mut out = format!(
        "{} is {} for {}: {} in `{}`, generation {}, incarnation {}\n",
        format_scalar(&m["name"]),
        format_scalar(&m["state"]),
        format_duration(&m["for_ms"]),
        format_scalar(&m["address"]),
        format_scalar(&m["location"]),
        m["generation"],
        m["incarnation"]
    );
    let mut rows = Vec::new();
    for t in v["story"].as_array().into_iter().flatten() {
        let by = match t["by"].as_str() {
            None | Some("") => "this front".into(),
            Some(by) => by.to_string(),
        };
        rows.push(vec![
            format!("{} ago", format_duration(&t["ago_ms"])),
            format_scalar(&t["what"]),
            format!("told by {by}"),
        ]);
    }
    out += &format_table(&rows);
    out
}

#[cfg(test)]
mod tests;
