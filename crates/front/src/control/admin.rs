//! The operators' door: one address, one call a connection, one line each way, answered on threads of its own.
//!
//! | call | answer |
//! | --- | --- |
//! | `readyz` | `200 ready` once the process serves and is not being emptied; else `400 not ready` |
//! | `telemetry` | `200 telemetry`, the figures as `name=value` lines, then `EOF` |
//! | `exclude ID` | `200 excluded ID`: nothing more goes to cache node ID; `400 unknown ID` where none is listed |
//! | `include ID` | `200 included ID`: it is back; `400 unknown ID` |
//! | `evacuate` | `200 evacuating`: readiness turns no, connections close as they fall idle |
//! | `activate` | `200 active`: the end of it |
//!
//! Anything else is answered `400` and the reason. The door never waits on the serving path: a caller has a thread
//! of its own, at most `callers` of the front's [budget](crate::budget::Budget) of them, and one that says nothing, half a line or too long a line is
//! closed after [`LINE_TIMEOUT`] or answered `400` at once. Nodes out by hand are [kept](crate::manual_exclusion) for a process that
//! replaces this one.

use crate::tally::figure;
use crate::Shared;
use fernslip::CacheId;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The variable that names the door's address, before the configuration's `ops`.
pub const ADDRESS_VARIABLE: &str = "RELAY_OPS";
/// A call is one line of at most so many bytes; guards the door against callers that never end a line.
pub const MAX_LINE_BYTES: usize = 512;
/// A caller ends its line within this time, or is closed; callers wait 1 s for their answer.
pub const LINE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Between two looks at what another process of this front has out by hand; a call holds 1 s after it at the latest.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// After its answer a caller closes within this time, or is closed: a close over bytes that were not read would reset the
/// connection, and the answer with it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time to write an answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a call asks.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether the process serves.
    Ready,
    /// The figures.
    Telemetry,
    /// A node out.
    Exclude(String),
    /// A node back.
    Include(String),
    /// Empty the front.
    Evacuate,
    /// The end of the drain.
    Activate,
}

/// Reads one line; why it is no call.
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

/// Opens the door; calls are served on threads of their own until the process ends. Of more than `most` callers at once
/// the rest are closed at once, so that those who hold a connection and say nothing can't take all threads and
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

/// Reads a line within the time; what came, or why nothing did.
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

/// Shuts the sending half and reads on, within bounds, until the caller closes.
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

/// Carries a call out; the answer's lines.
pub fn answer(front: &Shared, call: AdminCommand) -> String {
    let lanes = front.lanes.all();
    match call {
        AdminCommand::Ready if front.is_well() => "200 ready\n".into(),
        AdminCommand::Ready => "400 not ready\n".into(),
        AdminCommand::Telemetry => {
            let (listed, avoided) = lanes.first().map_or((0, 0), |l| l.dispatcher.listed());
            let view = front.fleet.as_ref().map_or(String::new(), |f| f.lines());
            let figures = front.figures.lines(listed, avoided);
            let (violations, reasons) = (front.invariants.lines(), front.tally.lines());
            let given_up = given_up(front);
            format!("200 telemetry\n{figures}{violations}{reasons}{given_up}{view}EOF\n")
        }
        AdminCommand::Exclude(id) | AdminCommand::Include(id) if lanes.is_empty() => {
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

/// What the decisions gave up, by reason: one line each, `relay.given_up.REASON=COUNT`.
fn given_up(front: &Shared) -> String {
    let mut all: BTreeMap<&'static str, u64> = BTreeMap::new();
    for (reason, n) in front.lanes.all().iter().flat_map(|l| l.dispatcher.given_up()) {
        *all.entry(reason).or_default() += n;
    }
    all.iter().map(|(reason, n)| format!("relay.given_up.{}={n}\n", figure(reason))).collect()
}

/// Takes a node out by hand, or puts it back, in every lane. What is answered with yes is kept for a process that replaces
/// this one; where it can't be kept nothing changes, and the answer is no.
fn set_manual_exclusion(front: &Shared, id: &str, out: bool) -> String {
    let (lanes, cache) = (front.lanes.all(), CacheId::from(id));
    let _one_at_a_time = front.excluded.change();
    let mut set = manually_excluded(front);
    let listed = lanes.iter().any(|l| l.dispatcher.is_listed(&cache));
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

/// The nodes out by hand in any lane.
fn manually_excluded(front: &Shared) -> BTreeSet<CacheId> {
    front.lanes.all().iter().flat_map(|l| l.dispatcher.excluded()).collect()
}

/// Makes the nodes out by hand those of the set.
fn apply_manual_exclusions(front: &Shared, set: &BTreeSet<CacheId>) {
    for lane in front.lanes.all() {
        let now = front.clock.now();
        let dispatcher = &lane.dispatcher;
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

/// Takes the set kept by an earlier process up; a file that can't be used is reported with its place and left.
pub fn restore_manual_exclusions(front: &Shared) {
    front.excluded.tidy();
    match front.excluded.load_at_start() {
        Ok(ids) if ids.is_empty() => {}
        Ok(ids) => {
            tracing::info!(nodes = ids.len(), "admin: out by hand, as an earlier process left them");
            for lane in front.lanes.all() {
                lane.dispatcher.restore(ids.iter().cloned());
            }
        }
        Err(e) => tracing::warn!("admin: {e}; no node is out by hand"),
    }
}

/// Follows what another process of this front does to the set, while one replaces the other, on a thread of its own: a call
/// at either holds at both.
///
/// # Errors
/// No thread can be had.
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
