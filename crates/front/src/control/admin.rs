//! The admin interface: a TCP listener that takes one command per connection, one line each way, and serves each
//! connection on a thread of its own so that the request path never waits on it.
//!
//! | command | answer |
//! | --- | --- |
//! | `readyz` | `200 ready` once the process serves and is not being emptied; else `400 not ready` |
//! | `telemetry` | `200 telemetry`, the figures as `name=value` lines, then `EOF` |
//! | `exclude ID` | `200 excluded ID`: nothing more goes to cache node ID; `400 unknown ID` where none is listed |
//! | `include ID` | `200 included ID`: it is back; `400 unknown ID` |
//! | `evacuate` | `200 evacuating`: readiness turns no, connections close as they fall idle |
//! | `activate` | `200 active`: the end of it |
//!
//! Anything else is answered `400` and the reason. At most `callers` of the front's [budget](crate::budget::Budget)
//! connections are served at once; a caller that sends nothing or half a line is closed after [`LINE_TIMEOUT`], one that
//! sends too long a line is answered `400` at once. Manual exclusions are [stored](crate::manual_exclusion) so that a
//! process that replaces this one starts with them.

mod answer;
mod command;
mod exclusions;

pub use answer::answer;
pub use command::{parse, AdminCommand};
pub use exclusions::{follow as follow_manual_exclusions, restore as restore_manual_exclusions};

use crate::shared::Shared;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Environment variable with the admin interface's listen address; it takes precedence over the configuration's `ops`.
pub const ADDRESS_VARIABLE: &str = "RELAY_OPS";
/// Longest command line accepted, in bytes; bounds the memory a caller that never ends its line can take.
pub const MAX_LINE_BYTES: usize = 512;
/// Time a caller has to send its whole command line before the connection is closed.
pub const LINE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time a caller has to close after its answer: closing while unread bytes remain would reset the connection and lose
/// the answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Write timeout for an answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Binds the admin interface at `at` and serves it on a thread of its own until the process ends; returns the bound
/// address. Connections beyond `max_connections` at a time are closed at once, so that idle callers can't take all threads and file
/// descriptors.
///
/// # Errors
/// The address can't be bound.
pub fn open(front: Arc<Shared>, at: SocketAddr, max_connections: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let bound = listener.local_addr()?;
    let connections = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new().name("ops".into()).spawn(move || {
        for connection in listener.incoming() {
            let Ok(stream) = connection else {
                // Out of descriptors, or a caller that disconnected at once: the next may be fine.
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            if connections.fetch_add(1, Ordering::AcqRel) >= max_connections {
                connections.fetch_sub(1, Ordering::AcqRel);
                tracing::info!(kind = %"ops", reason = %"too_many", "end");
                continue;
            }
            let (front, served_connections) = (front.clone(), connections.clone());
            let spawned = std::thread::Builder::new().name("ops-call".into()).spawn(move || {
                let reason = serve(&front, stream);
                served_connections.fetch_sub(1, Ordering::AcqRel);
                tracing::info!(kind = %"ops", reason = %reason, "end");
            });
            if spawned.is_err() {
                connections.fetch_sub(1, Ordering::AcqRel);
            }
        }
    })?;
    Ok(bound)
}

/// Reads one command line within [`LINE_TIMEOUT`].
///
/// # Errors
/// The log reason why there is no line: `stalled`, `peer_closed`, `reset`, `malformed` or `too_long`.
fn read_line(stream: &mut TcpStream) -> Result<String, &'static str> {
    let deadline = Instant::now() + LINE_TIMEOUT;
    let mut line = Vec::with_capacity(64);
    let mut received = [0; MAX_LINE_BYTES];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return Err("stalled");
        }
        match stream.read(&mut received) {
            Ok(0) => return Err("peer_closed"),
            Ok(n) => line.extend_from_slice(&received[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err("stalled")
            }
            Err(_) => return Err("reset"),
        }
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            return String::from_utf8(line).map_err(|_| "malformed");
        }
        if line.len() > MAX_LINE_BYTES {
            return Err("too_long");
        }
    }
}

/// Serves one connection: reads its command, answers it, and waits for the caller to close. Returns the log reason of the
/// connection's end.
fn serve(front: &Shared, mut stream: TcpStream) -> &'static str {
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let answer = match read_line(&mut stream) {
        Ok(line) => match parse(line.trim_end_matches('\r')) {
            Ok(command) => answer(front, command),
            Err(reason) => format!("400 {reason}\n"),
        },
        Err(reason @ ("too_long" | "malformed")) => format!("400 {}\n", reason.replace('_', " ")),
        Err(reason) => return reason,
    };
    if stream.write_all(answer.as_bytes()).is_err() {
        return "slow_reader";
    }
    read_until_closed(&mut stream);
    "answered"
}

/// Shuts down the write half and discards input until the caller closes or [`CLOSE_TIMEOUT`] passes.
fn read_until_closed(stream: &mut TcpStream) {
    let (deadline, mut discarded) = (Instant::now() + CLOSE_TIMEOUT, [0; MAX_LINE_BYTES]);
    let _ = stream.shutdown(Shutdown::Write);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return;
        }
        match stream.read(&mut discarded) {
            Ok(1..) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => return,
        }
    }
}

#[cfg(test)]
mod tests;
