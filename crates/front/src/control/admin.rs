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

use crate::reason_counts::figure;
use crate::Shared;
use fernslip::CacheId;
use std::collections::{BTreeMap, BTreeSet};
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
/// Interval between two checks of the manual exclusion file for changes made by another process of this front; a
/// command takes effect at both within 1 s.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Time a caller has to close after its answer: closing while unread bytes remain would reset the connection and lose
/// the answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Write timeout for an answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A parsed admin command.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// `readyz`: whether the process is serving.
    Ready,
    /// `telemetry`: the metrics.
    Telemetry,
    /// `exclude ID`: manually exclude a cache node.
    Exclude(String),
    /// `include ID`: end the manual exclusion of a cache node.
    Include(String),
    /// `evacuate`: start draining the front.
    Evacuate,
    /// `activate`: end the drain.
    Activate,
}

/// Parses one command line.
///
/// # Errors
/// The reason the line is no command; it is sent to the caller after `400 `.
pub fn parse(line: &str) -> Result<AdminCommand, &'static str> {
    let mut words = line.split_ascii_whitespace();
    let call = match (words.next(), words.next()) {
        (Some("readyz"), None) => AdminCommand::Ready,
        (Some("telemetry"), None) => AdminCommand::Telemetry,
        (Some("evacuate"), None) => AdminCommand::Evacuate,
        (Some("activate"), None) => AdminCommand::Activate,
        (Some("exclude"), Some(id)) => AdminCommand::Exclude(id.into()),
        (Some("include"), Some(id)) => AdminCommand::Include(id.into()),
        (Some("exclude" | "include"), None) => return Err("an id is wanted"),
        (None, _) => return Err("empty line"),
        _ => return Err("unknown call"),
    };
    match words.next() {
        Some(_) => Err("too many words"),
        None => Ok(call),
    }
}

/// Binds the admin interface at `at` and serves it on a thread of its own until the process ends; returns the bound
/// address. Connections beyond `most` at once are closed at once, so that idle callers can't take all threads and file
/// descriptors.
///
/// # Errors
/// The address can't be bound.
pub fn open(front: Arc<Shared>, at: SocketAddr, most: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let bound = listener.local_addr()?;
    let callers = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new().name("ops".into()).spawn(move || {
        for caller in listener.incoming() {
            let Ok(caller) = caller else {
                // Out of descriptors, or a caller that left at once: the next may be fine.
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            if callers.fetch_add(1, Ordering::AcqRel) >= most {
                callers.fetch_sub(1, Ordering::AcqRel);
                tracing::info!(kind = %"ops", reason = %"too_many", "end");
                continue;
            }
            let (front, mine) = (front.clone(), callers.clone());
            let served = std::thread::Builder::new().name("ops-call".into()).spawn(move || {
                let why = serve(&front, caller);
                mine.fetch_sub(1, Ordering::AcqRel);
                tracing::info!(kind = %"ops", reason = %why, "end");
            });
            if served.is_err() {
                callers.fetch_sub(1, Ordering::AcqRel);
            }
        }
    })?;
    Ok(bound)
}

/// Reads one command line within [`LINE_TIMEOUT`].
///
/// # Errors
/// The log reason why no line came: `stalled`, `peer_closed`, `reset`, `malformed` or `too_long`.
fn read_line(caller: &mut TcpStream) -> Result<String, &'static str> {
    let until = Instant::now() + LINE_TIMEOUT;
    let mut line = Vec::with_capacity(64);
    let mut byte = [0; MAX_LINE_BYTES];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || caller.set_read_timeout(Some(left)).is_err() {
            return Err("stalled");
        }
        match caller.read(&mut byte) {
            Ok(0) => return Err("peer_closed"),
            Ok(n) => line.extend_from_slice(&byte[..n]),
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

fn serve(front: &Shared, mut caller: TcpStream) -> &'static str {
    let _ = caller.set_write_timeout(Some(WRITE_TIMEOUT));
    let answer = match read_line(&mut caller) {
        Ok(line) => match parse(line.trim_end_matches('\r')) {
            Ok(call) => answer(front, call),
            Err(why) => format!("400 {why}\n"),
        },
        Err(why @ ("too_long" | "malformed")) => format!("400 {}\n", why.replace('_', " ")),
        Err(why) => return why,
    };
    if caller.write_all(answer.as_bytes()).is_err() {
        return "slow_reader";
    }
    read_until_closed(&mut caller);
    "answered"
}

/// Shuts down the write half and discards input until the caller closes or [`CLOSE_TIMEOUT`] passes.
fn read_until_closed(caller: &mut TcpStream) {
    let (until, mut dropped) = (Instant::now() + CLOSE_TIMEOUT, [0; MAX_LINE_BYTES]);
    let _ = caller.shutdown(Shutdown::Write);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || caller.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match caller.read(&mut dropped) {
            Ok(1..) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => return,
        }
    }
}

/// Executes a command; returns the answer's lines.
pub fn answer(front: &Shared, call: AdminCommand) -> String {
    let queues = front.queues.all();
    match call {
        AdminCommand::Ready if front.is_well() => "200 ready\n".into(),
        AdminCommand::Ready => "400 not ready\n".into(),
        AdminCommand::Telemetry => {
            let (listed, avoided) = queues.first().map_or((0, 0), |l| l.dispatcher.listed());
            let view = front.fleet.as_ref().map_or(String::new(), |f| f.lines());
            let figures = front.metrics.lines(listed, avoided);
            let (violations, reasons) = (front.invariants.lines(), front.reason_counts.lines());
            let given_up = given_up(front);
            format!("200 telemetry\n{figures}{violations}{reasons}{given_up}{view}EOF\n")
        }
        AdminCommand::Exclude(id) | AdminCommand::Include(id) if queues.is_empty() => {
            format!("400 unknown {id}\n")
        }
        AdminCommand::Exclude(id) => set_manual_exclusion(front, &id, true),
        AdminCommand::Include(id) => set_manual_exclusion(front, &id, false),
        AdminCommand::Evacuate => {
            front.server.evacuate(true);
            tracing::info!("admin: evacuating");
            "200 evacuating\n".into()
        }
        AdminCommand::Activate => {
            front.server.evacuate(false);
            tracing::info!("admin: active");
            "200 active\n".into()
        }
    }
}

/// Requests given up, by reason: one line each, `relay.given_up.REASON=COUNT`.
fn given_up(front: &Shared) -> String {
    let mut all: BTreeMap<&'static str, u64> = BTreeMap::new();
    for (reason, n) in front.queues.all().iter().flat_map(|l| l.dispatcher.given_up()) {
        *all.entry(reason).or_default() += n;
    }
    all.iter().map(|(reason, n)| format!("relay.given_up.{}={n}\n", figure(reason))).collect()
}

/// Manually excludes a cache node (`exclude`), or ends its exclusion, in every queue. The new set is stored before it is
/// applied, so that a process that replaces this one has it; where it can't be stored nothing changes and the answer is
/// `400`.
fn set_manual_exclusion(front: &Shared, id: &str, out: bool) -> String {
    let (queues, cache) = (front.queues.all(), CacheId::from(id));
    let _one_at_a_time = front.excluded.change();
    let mut set = manually_excluded(front);
    let listed = queues.iter().any(|l| l.dispatcher.is_listed(&cache));
    if !listed && (out || !set.contains(&cache)) {
        return format!("400 unknown {id}\n");
    }
    if out {
        set.insert(cache);
    } else {
        set.remove(&cache);
    }
    let ids: Vec<CacheId> = set.iter().cloned().collect();
    if let Err(e) = front.excluded.save(&ids) {
        tracing::warn!(node = %id, "admin: {}: {e}; nothing is changed", front.excluded);
        return format!("400 {id} can't be kept: {e}\n");
    }
    apply_manual_exclusions(front, &set);
    let what = if out { "excluded" } else { "included" };
    tracing::info!(node = %id, "admin: {what}");
    format!("200 {what} {id}\n")
}

/// The cache nodes manually excluded in any queue.
fn manually_excluded(front: &Shared) -> BTreeSet<CacheId> {
    front.queues.all().iter().flat_map(|l| l.dispatcher.excluded()).collect()
}

/// Makes `set` the manually excluded cache nodes of every queue.
fn apply_manual_exclusions(front: &Shared, set: &BTreeSet<CacheId>) {
    for queue in front.queues.all() {
        let now = front.clock.now();
        let dispatcher = &queue.dispatcher;
        let before: BTreeSet<CacheId> = dispatcher.excluded().into_iter().collect();
        for cache in set.difference(&before) {
            // One that is not listed at the moment is out as soon as it is.
            if !dispatcher.exclude(now, cache) {
                dispatcher.restore([cache.clone()]);
            }
        }
        for cache in before.difference(set) {
            dispatcher.include(now, cache);
        }
    }
}

/// Applies the manual exclusions stored by an earlier process; a file that can't be used is logged with its path and
/// left as it is.
pub fn restore_manual_exclusions(front: &Shared) {
    front.excluded.tidy();
    match front.excluded.load_at_start() {
        Ok(ids) if ids.is_empty() => {}
        Ok(ids) => {
            tracing::info!(nodes = ids.len(), "admin: out by hand, as an earlier process left them");
            for queue in front.queues.all() {
                queue.dispatcher.restore(ids.iter().cloned());
            }
        }
        Err(e) => tracing::warn!("admin: {e}; no node is out by hand"),
    }
}

/// Follows, on a thread of its own, the changes another process of this front makes to the manual exclusions while one
/// replaces the other, so that a command at either takes effect at both.
///
/// # Errors
/// The thread can't be spawned.
pub fn follow_manual_exclusions(front: Arc<Shared>) -> io::Result<()> {
    let follower = std::thread::Builder::new().name("excluded".into());
    follower.spawn(move || loop {
        std::thread::sleep(FOLLOW_INTERVAL);
        if !front.excluded.changed() {
            continue;
        }
        let _one_at_a_time = front.excluded.change();
        match front.excluded.load() {
            Ok(ids) => {
                tracing::info!(
                    nodes = ids.len(),
                    "admin: out by hand, as another process of this front has them"
                );
                apply_manual_exclusions(&front, &ids.into_iter().collect());
            }
            Err(e) => tracing::warn!("admin: {e}; the nodes out by hand stay as they are"),
        }
    })?;
    Ok(())
}

#[cfg(test)]
#[path = "admin/tests.rs"]
mod tests;
