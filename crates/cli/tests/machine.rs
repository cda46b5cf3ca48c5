//! Faults of the front's own machine, under the real program: a wall clock that is stepped, system calls that fail for a
//! moment, a folder that can't be written. All rules hold, and what was promised is kept.

mod common;

use common::play::{call, said, Play, PATIENCE};
use fernslip_rig::shim::{Fault, Faults, Shim};
use serde_json::{json, Value as Json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const READ: &str = "statement-docs";
const HOUR_NS: i64 = 3_600_000_000_000;

/// The program under faults that the test sets, none at first.
fn shimmed(name: &str, change: impl Fn(&mut Json)) -> (Play, Shim, Faults) {
    let shim = Shim::build().expect("a C compiler");
    let faults = shim.faults(name, 1).expect("a file");
    let play = Play::start_among(name, Vec::new(), change, |command| {
        command.envs(faults.environment());
    });
    (play, shim, faults)
}

/// The wall clock as the whole machine has it after a step.
fn unix_ms(offset_ns: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    (now + offset_ns / 1_000_000) as u64
}

/// The oldest copy that a request names as good enough, in milliseconds.
fn oldest_named(fields: &str) -> Option<u64> {
    fields.split(',').find_map(|f| f.strip_prefix("fresh=")?.parse().ok())
}

/// The wall clock of all is stepped, or the front's alone; then comes a purge. What the front names as good enough is
/// younger than the purge.
fn purge_after_a_step() {
    for (name, step_ns, everybody) in [
        ("back-hour", -HOUR_NS, true),
        ("back-5s", -5_000_000_000, true),
        ("on-hour", HOUR_NS, true),
        ("on-5s", 5_000_000_000, true),
        ("own-back", -HOUR_NS, false),
        ("own-on", HOUR_NS, false),
        ("own-on-5s", 5_000_000_000, false),
    ] {
        let (mut play, _shim, faults) = shimmed(name, |_| {});
        assert_eq!(play.step("bus", "<", ""), "from 1");
        faults.set(Fault::WallOffsetNs, step_ns).expect("a file");
        // The bus goes on, as it does each second.
        play.step("bus", ">", "1");
        std::thread::sleep(Duration::from_millis(300));
        let purged = Instant::now();
        let ban = json!({"url": "00000000000000a1", "ts": unix_ms(if everybody { step_ns } else { 0 })});
        play.step("bus", ">", &json!({"offset": 2, "ban": ban}).to_string());
        play.log("bus offset=2");
        std::thread::sleep(Duration::from_millis(700));
        let mut client = play.connect();
        client.write_all(&call(1, READ, 1, 15_000, &[])).expect("the front reads");
        let (trace, fields) = play.asked("a");
        let oldest = oldest_named(&fields).unwrap_or_else(|| panic!("{name}: any copy will do: {fields}"));
        assert!(oldest <= purged.elapsed().as_millis() as u64, "{name}: a copy of {oldest} ms will do");
        play.answer("a", &trace, "served tell=fill x");
        assert_eq!(said(&mut client), r#"[1,1,null,["b:x",{}]]"#);
    }
}

fn ask_admin(at: &str, line: &str) -> String {
    let mut caller = TcpStream::connect(at).expect("the admin interface listens");
    caller.set_read_timeout(Some(PATIENCE)).expect("a socket option");
    caller.write_all(line.as_bytes()).expect("it reads");
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer);
    answer
}

/// The program with an admin interface and a folder of its own, which another process of it may share.
fn with_folder(name: &str, folder: &std::path::Path) -> (Play, String) {
    let listen = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let folder = folder.to_path_buf();
    let play = Play::start_among(
        name,
        Vec::new(),
        |c| c["name"] = "kept".into(),
        |command| {
            command.env("TMPDIR", &folder).env("RELAY_OPS", listen.to_string());
        },
    );
    (play, listen.to_string())
}

/// The program on a clients' socket that the platform holds, with that folder.
fn handed(name: &str, folder: &std::path::Path, socket: &std::net::TcpListener) -> (Play, String) {
    use command_fds::{CommandFdExt, FdMapping};
    let admin = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let fd = std::os::fd::OwnedFd::from(socket.try_clone().expect("a copy of the socket"));
    let folder = folder.to_path_buf();
    let play = Play::start_among(
        name,
        Vec::new(),
        |c| {
            c["name"] = "kept".into();
            c["listen"] = socket.local_addr().expect("bound").to_string().into();
        },
        |command| {
            command
                .env("TMPDIR", &folder)
                .env("RELAY_OPS", admin.to_string())
                .env("RELAY_PASSED_SOCKET", "3");
            command.fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }]).expect("descriptor 3");
        },
    );
    (play, admin.to_string())
}

/// A folder that can't be written: what can't be kept for the next process is not promised.
fn exclusion_that_cannot_be_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let (play, door) = with_folder("unkept", folder.path());
    std::fs::remove_dir_all(folder.path()).expect("ours");
    let answer = ask_admin(&door, "exclude a\n");
    assert!(answer.starts_with("400 "), "{answer}");
    std::fs::create_dir(folder.path()).expect("a folder");
    assert_eq!(ask_admin(&door, "exclude a\n"), "200 excluded a\n");
    std::fs::remove_dir_all(folder.path()).expect("ours");
    let answer = ask_admin(&door, "include a\n");
    assert!(answer.starts_with("400 "), "{answer}");
    let figures = ask_admin(&door, "telemetry\n");
    assert!(figures.contains("relay.cluster_unhealthy=1\n"), "it is out as before: {figures}");
    std::fs::create_dir(folder.path()).expect("a folder");
    assert_eq!(ask_admin(&door, "include a\n"), "200 included a\n");
    drop(play);
}

/// A new configuration is told by SIGHUP while its file can't be read for a moment: it is taken up once it can.
fn configuration_that_is_unreadable_for_a_moment() {
    let mut play = Play::start("moment");
    assert_eq!(play.step("bus", "<", ""), "from 1");
    let file = play.file.clone();
    let text = std::fs::read_to_string(&file).expect("the configuration");
    let mut config: Json = serde_json::from_str(&text).expect("JSON");
    config["bus"] = play.parties["bus2"].addr().to_string().into();
    std::fs::remove_file(&file).expect("ours");
    play.signal("HUP");
    std::thread::sleep(Duration::from_millis(400));
    std::fs::write(&file, config.to_string()).expect("a temporary file");
    assert_eq!(play.step("bus2", "<", ""), "from 1");
}

/// This machine has no port, buffer or route for a moment: what is asked meanwhile is served once it has, and no node is
/// held to have failed.
fn connections_that_this_machine_fails() {
    let (mut play, _shim, faults) = shimmed("ports", |_| {});
    let mut client = play.connect();
    faults.set(Fault::Connect, 1000).expect("a file");
    client.write_all(&call(1, "contribution-change", 1, 15_000, &[])).expect("the front reads");
    std::thread::sleep(Duration::from_millis(150));
    faults.clear_rates().expect("a file");
    let (trace, _) = play.asked("a");
    play.answer("a", &trace, "served - done");
    assert_eq!(said(&mut client), r#"[1,1,null,["b:done",{}]]"#);
    play.client = None;
    drop(client);
    play.signal("TERM");
    let (_, lines) = play.exit();
    assert!(!lines.iter().any(|l| l.contains("reason=refused") || l.contains("ejected")), "{lines:?}");
}

/// Sends, receives, accepts, waits and registrations fail for a moment again and again: every call has its answer, also those
/// of the last moment.
fn calls_through_failing_system_calls() {
    let (mut play, _shim, faults) = shimmed("calls", |_| {});
    for (fault, rate) in
        [(Fault::Accept, 300), (Fault::Transfer, 200), (Fault::Wait, 200), (Fault::Register, 100)]
    {
        faults.set(fault, rate).expect("a file");
    }
    let calls = 200;
    for n in 1..=calls {
        let mut client = play.connect();
        client.write_all(&call(1, READ, n, 15_000, &[])).expect("the front reads");
        let (trace, _) = play.asked("a");
        assert_eq!(trace, format!("{n:016x}"));
        play.answer("a", &trace, "served tell=fill x");
        assert_eq!(said(&mut client), r#"[1,1,null,["b:x",{}]]"#, "call {n}");
    }
    faults.clear_rates().expect("a file");
    play.signal("TERM");
    let (code, lines) = play.exit();
    assert_eq!(code, Some(0), "{lines:?}");
    assert!(!lines.iter().any(|l| l.contains("violation")), "{lines:?}");
}

/// Another process of the front takes over: what is excluded or included at the one after the other has started holds at both.
fn exclusion_while_a_process_replaces_another() {
    let folder = tempfile::tempdir().expect("a folder");
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let (old, old_admin) = handed("over-old", folder.path(), &socket);
    let (new, new_admin) = handed("over-new", folder.path(), &socket);
    for (at, other, line, unhealthy) in [
        (&old_admin, &new_admin, "exclude a\n", "1"),
        (&new_admin, &old_admin, "exclude b\n", "2"),
        (&old_admin, &new_admin, "include a\n", "1"),
    ] {
        assert!(ask_admin(at, line).starts_with("200 "), "{line}");
        let by = Instant::now() + PATIENCE;
        let wanted = format!("relay.cluster_unhealthy={unhealthy}\n");
        while !ask_admin(other, "telemetry\n").contains(&wanted) {
            assert!(Instant::now() < by, "{line:?} does not hold at the other process");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    drop((old, new));
}

/// Calls that come at once are each kept: the file has what was answered with yes.
fn exclusions_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let (play, admin) = with_folder("at-once", folder.path());
    for _ in 0..10 {
        for what in ["exclude", "include"] {
            let callers = ["a", "b", "p"].map(|id| {
                let (admin, line) = (admin.clone(), format!("{what} {id}\n"));
                std::thread::spawn(move || ask_admin(&admin, &line))
            });
            for caller in callers {
                assert!(caller.join().expect("no panic").starts_with("200 "));
            }
            let files = std::fs::read_dir(folder.path()).expect("a folder").flatten();
            let kept: Vec<usize> = files
                .filter_map(|f| std::fs::read_to_string(f.path()).ok())
                .map(|t| t.lines().count())
                .collect();
            // A header, the deployment's line in the one of the two, and the three nodes.
            let nodes = if what == "exclude" { 3 } else { 0 };
            assert!(kept.iter().all(|n| (nodes + 1..=nodes + 2).contains(n)) && kept.len() == 2, "{kept:?}");
        }
    }
    drop(play);
}

macro_rules! cases {
    ($($name:ident)*) => {
        mod machine { $(#[test] fn $name() { super::$name(); })* }
    };
}

cases! {
    purge_after_a_step
    exclusion_that_cannot_be_kept
    configuration_that_is_unreadable_for_a_moment
    connections_that_this_machine_fails
    calls_through_failing_system_calls
    exclusion_while_a_process_replaces_another
    exclusions_at_once
}
