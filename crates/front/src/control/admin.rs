//! The admin interface: a TCP listener that accepts one command line per connection and answers it. Each
//! connection is served on a separate thread, so that the request path never waits for it.
//!
//! | command | answer |
//! | --- | --- |
//! | `readyz` | `200 ready` once the process serves requests and is not draining; else `400 not ready` |
//! | `telemetry` | `200 telemetry`, the metrics as `name=value` lines, then `EOF` |
//! | `exclude ID` | `200 excluded ID`: node ID gets no more requests; `400 unknown ID` if it is not listed |
//! | `include ID` | `200 included ID`: its exclusion ends; `400 unknown ID` if neither listed nor excluded |
//! | `evacuate` | `200 evacuating`: the front is no longer ready and closes connections as they become idle |
//! | `activate` | `200 active`: the drain has ended |
//!
//! Any other line is answered with `400` and the reason. The number of connections served at once is limited
//! to `callers` in the front's [budget](crate::budget::Budget). The connection of a caller that sends no
//! complete line within [`LINE_TIMEOUT`] is closed; a line that is too long is answered with `400` at once.
//! Manual exclusions are [stored](crate::manual_exclusion), so that a process that replaces this one starts
//! with them.

mod answer;
mod command;
mod exclusions;

pub use answer::execute_command;
pub use command::{parse_command, AdminCommand};
pub use exclusions::{follow_manual_exclusions, restore_manual_exclusions};

use crate::shared::SharedState;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The environment variable with the admin interface's listen address; it takes precedence over the
/// configuration key `ops`.
pub const ADDRESS_VARIABLE: &str = "RELAY_OPS";
/// The maximum length of a command line in bytes, which bounds the memory used for a caller that never ends
/// its line.
pub const MAX_LINE_BYTES: usize = 512;
/// The timeout for a caller to send its complete command line, after which the connection is closed.
pub const LINE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The timeout for a caller to close the connection after it was answered. If the front closed it while bytes
/// from the caller were unread, the connection would be reset and the answer lost.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The timeout for writing the answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Binds the admin interface to `at` and serves it on a separate thread until the process ends; returns the
/// bound address. Connections beyond `max_connections` at a time are closed at once, so that idle callers
/// cannot use up all threads and file descriptors.
///
/// # Errors
/// Returns an error if the address cannot be bound or no thread can be started.
pub fn bind_and_serve(
    front: Arc<SharedState>,
    at: SocketAddr,
    max_connections: usize,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let bound = listener.local_addr()?;
    let connections = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new().name("ops".into()).spawn(move || {
        for connection in listener.incoming() {
            let Ok(stream) = connection else {
                // Out of file descriptors, or the caller disconnected at once; the next connection may
                // succeed.
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
                let reason = serve_connection(&front, stream);
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
/// Returns the reason to log if no line could be read: `stalled`, `peer_closed`, `reset`, `malformed` or
/// `too_long`.
fn read_command_line(stream: &mut TcpStream) -> Result<String, &'static str> {
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

/// Serves one connection: reads its command, answers it, and waits for the caller to close. Returns the
/// reason to log for the end of the connection.
fn serve_connection(front: &SharedState, mut stream: TcpStream) -> &'static str {
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let answer = match read_command_line(&mut stream) {
        Ok(line) => match parse_command(line.trim_end_matches('\r')) {
            Ok(command) => execute_command(front, command),
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

/// Shuts down the write half and discards input until the caller closes the connection or [`CLOSE_TIMEOUT`]
/// passes.
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
