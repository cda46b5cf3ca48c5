//! The program under faults of its own machine: a wall clock that is stepped, system calls that fail for a
//! short time, and a folder that cannot be written to. All invariants hold, and a change that was answered
//! with success is stored.

mod common;

use common::scripted::{encode_call, read_answer, ScriptedFront, STEP_TIMEOUT};
use common::send_admin_command;
use fernslip_rig::shim::{MachineFault, ProcessFaults, Shim};
use serde_json::{json, Value as Json};
use std::io::Write;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "statement-docs";
const HOUR_NS: i64 = 3_600_000_000_000;

/// Starts the program with a shim through which the test sets faults; there are none at first.
fn start_with_faults(name: &str, change: impl Fn(&mut Json)) -> (ScriptedFront, Shim, ProcessFaults) {
    let shim = Shim::build().expect("the shim can be built with a C compiler");
    let faults = shim.create_fault_settings(name, 1).expect("the file of faults can be created");
    let front = ScriptedFront::start_prepared(name, Vec::new(), change, |command| {
        command.envs(faults.environment_variables());
    });
    (front, shim, faults)
}

/// The time of the wall clock after a step of `offset_ns`, in Unix milliseconds.
fn unix_ms(offset_ns: i64) -> u64 {
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970").as_millis() as i64;
    (now + offset_ns / 1_000_000) as u64
}

/// The maximum age, in milliseconds, that a request allows for a copy; `None` if it allows any copy.
fn max_copy_age_ms(fields: &str) -> Option<u64> {
    fields.split(',').find_map(|f| f.strip_prefix("fresh=")?.parse().ok())
}

/// The wall clock is stepped on all machines or on the front's alone, and then a purge arrives. The front
/// must not accept a copy that is older than the purge.
fn a_purge_after_a_wall_clock_step_limits_the_age_of_copies() {
    for (name, step_ns, everybody) in [
        ("back-hour", -HOUR_NS, true),
        ("back-5s", -5_000_000_000, true),
        ("on-hour", HOUR_NS, true),
        ("on-5s", 5_000_000_000, true),
        ("own-back", -HOUR_NS, false),
        ("own-on", HOUR_NS, false),
        ("own-on-5s", 5_000_000_000, false),
    ] {
        let (mut front, _shim, faults) = start_with_faults(name, |_| {});
        assert_eq!(front.step("bus", "<", ""), "from 1");
        faults.set_fault(MachineFault::WallOffsetNs, step_ns).expect("the fault can be set");
        // The bus sends its offset, as it does each second.
        front.step("bus", ">", "1");
        std::thread::sleep(Duration::from_millis(300));
        let purged = Instant::now();
        let ban = json!({"url": "00000000000000a1", "ts": unix_ms(if everybody { step_ns } else { 0 })});
        front.step("bus", ">", &json!({"offset": 2, "ban": ban}).to_string());
        front.wait_for_log("bus offset=2");
        std::thread::sleep(Duration::from_millis(700));
        let mut client = front.connect();
        client.write_all(&encode_call(1, READ_CLASS, 1, 15_000, &[])).expect("the front accepts the bytes");
        let (trace, fields) = front.next_request("a");
        let oldest = max_copy_age_ms(&fields)
            .unwrap_or_else(|| panic!("{name}: the request does not limit the age of copies: {fields}"));
        assert!(
            oldest <= purged.elapsed().as_millis() as u64,
            "{name}: the request accepts a copy that is {oldest} ms old, older than the purge"
        );
        front.answer("a", &trace, "served tell=fill x");
        assert_eq!(read_answer(&mut client), r#"[1,1,null,["b:x",{}]]"#);
    }
}

/// Starts the program with an admin interface and a folder for stored exclusions, which another process may
/// share.
fn start_with_exclusions_folder(name: &str, folder: &std::path::Path) -> (ScriptedFront, String) {
    let listen = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a loopback port can be bound")
        .local_addr()
        .expect("the socket is bound");
    let folder = folder.to_path_buf();
    let front = ScriptedFront::start_prepared(
        name,
        Vec::new(),
        |c| c["name"] = "kept".into(),
        |command| {
            command.env("TMPDIR", &folder).env("RELAY_OPS", listen.to_string());
        },
    );
    (front, listen.to_string())
}

/// Starts the program on a client socket that the platform owns, with `folder` for stored exclusions.
fn start_with_socket(
    name: &str,
    folder: &std::path::Path,
    socket: &std::net::TcpListener,
) -> (ScriptedFront, String) {
    use command_fds::{CommandFdExt, FdMapping};
    let admin = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a loopback port can be bound")
        .local_addr()
        .expect("the socket is bound");
    let fd = std::os::fd::OwnedFd::from(socket.try_clone().expect("the socket can be duplicated"));
    let folder = folder.to_path_buf();
    let front = ScriptedFront::start_prepared(
        name,
        Vec::new(),
        |c| {
            c["name"] = "kept".into();
            c["listen"] = socket.local_addr().expect("the socket is bound").to_string().into();
        },
        |command| {
            command
                .env("TMPDIR", &folder)
                .env("RELAY_OPS", admin.to_string())
                .env("RELAY_PASSED_SOCKET", "3");
            command
                .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
                .expect("the socket can be mapped to descriptor 3");
        },
    );
    (front, admin.to_string())
}

/// An exclusion is rejected if the folder cannot be written to, because it could not be stored for the next
/// process.
fn an_exclusion_that_cannot_be_stored_is_rejected() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (front, admin) = start_with_exclusions_folder("unkept", folder.path());
    std::fs::remove_dir_all(folder.path()).expect("the folder can be removed");
    let answer = send_admin_command(&admin, "exclude a\n");
    assert!(answer.starts_with("400 "), "{answer}");
    std::fs::create_dir(folder.path()).expect("the folder can be created");
    assert_eq!(send_admin_command(&admin, "exclude a\n"), "200 excluded a\n");
    std::fs::remove_dir_all(folder.path()).expect("the folder can be removed");
    let answer = send_admin_command(&admin, "include a\n");
    assert!(answer.starts_with("400 "), "{answer}");
    let counters = send_admin_command(&admin, "telemetry\n");
    assert!(counters.contains("relay.cluster_unhealthy=1\n"), "node `a` is excluded as before: {counters}");
    std::fs::create_dir(folder.path()).expect("the folder can be created");
    assert_eq!(send_admin_command(&admin, "include a\n"), "200 included a\n");
    drop(front);
}

/// SIGHUP arrives while the configuration file cannot be read for a short time; the configuration is applied
/// once it can.
fn a_temporarily_unreadable_configuration_is_applied_later() {
    let mut front = ScriptedFront::start("moment");
    assert_eq!(front.step("bus", "<", ""), "from 1");
    let file = front.file.clone();
    let text = std::fs::read_to_string(&file).expect("the configuration can be read");
    let mut config: Json = serde_json::from_str(&text).expect("the text is valid JSON");
    config["bus"] = front.servers["bus2"].addr().to_string().into();
    std::fs::remove_file(&file).expect("the file can be removed");
    front.signal("HUP");
    std::thread::sleep(Duration::from_millis(400));
    std::fs::write(&file, config.to_string()).expect("the temporary file can be written");
    assert_eq!(front.step("bus2", "<", ""), "from 1");
}

/// The front's machine has no free port, buffer or route for a short time. Calls made then are served once it
/// has, and no node counts as failed.
fn local_connect_failures_do_not_count_as_node_failures() {
    let (mut front, _shim, faults) = start_with_faults("ports", |_| {});
    let mut client = front.connect();
    faults.set_fault(MachineFault::Connect, 1000).expect("the fault can be set");
    client
        .write_all(&encode_call(1, "contribution-change", 1, 15_000, &[]))
        .expect("the front accepts the bytes");
    std::thread::sleep(Duration::from_millis(150));
    faults.clear_rates().expect("the faults can be cleared");
    let (trace, _) = front.next_request("a");
    front.answer("a", &trace, "served - done");
    assert_eq!(read_answer(&mut client), r#"[1,1,null,["b:done",{}]]"#);
    front.client = None;
    drop(client);
    front.signal("TERM");
    let (_, lines) = front.wait_for_exit();
    assert!(!lines.iter().any(|l| l.contains("reason=refused") || l.contains("ejected")), "{lines:?}");
}

/// System calls for sending, receiving, accepting, waiting and registering fail repeatedly for a short time.
/// Every call is answered, the last ones included.
fn calls_are_answered_while_system_calls_fail() {
    let (mut front, _shim, faults) = start_with_faults("calls", |_| {});
    for (fault, rate) in [
        (MachineFault::Accept, 300),
        (MachineFault::Transfer, 200),
        (MachineFault::Wait, 200),
        (MachineFault::Register, 100),
    ] {
        faults.set_fault(fault, rate).expect("the fault can be set");
    }
    let calls = 200;
    for n in 1..=calls {
        let mut client = front.connect();
        client.write_all(&encode_call(1, READ_CLASS, n, 15_000, &[])).expect("the front accepts the bytes");
        let (trace, _) = front.next_request("a");
        assert_eq!(trace, format!("{n:016x}"));
        front.answer("a", &trace, "served tell=fill x");
        assert_eq!(read_answer(&mut client), r#"[1,1,null,["b:x",{}]]"#, "the answer to call {n}");
    }
    faults.clear_rates().expect("the faults can be cleared");
    front.signal("TERM");
    let (code, lines) = front.wait_for_exit();
    assert_eq!(code, Some(0), "{lines:?}");
    assert!(!lines.iter().any(|l| l.contains("violation")), "{lines:?}");
}

/// Another process of the front takes over. While both run, a node excluded or included at one process is
/// excluded or included at both.
fn exclusions_apply_at_both_processes_during_a_handover() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let (old, old_admin) = start_with_socket("over-old", folder.path(), &socket);
    let (new, new_admin) = start_with_socket("over-new", folder.path(), &socket);
    for (at, other, line, unhealthy) in [
        (&old_admin, &new_admin, "exclude a\n", "1"),
        (&new_admin, &old_admin, "exclude b\n", "2"),
        (&old_admin, &new_admin, "include a\n", "1"),
    ] {
        assert!(send_admin_command(at, line).starts_with("200 "), "{line}");
        let deadline = Instant::now() + STEP_TIMEOUT;
        let wanted = format!("relay.cluster_unhealthy={unhealthy}\n");
        while !send_admin_command(other, "telemetry\n").contains(&wanted) {
            assert!(Instant::now() < deadline, "the command {line:?} has no effect at the other process");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    drop((old, new));
}

/// Concurrent exclusions are all stored: the file contains every change that was answered with success.
fn concurrent_exclusions_are_all_stored() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (front, admin) = start_with_exclusions_folder("at-once", folder.path());
    for _ in 0..10 {
        for what in ["exclude", "include"] {
            let callers = ["a", "b", "p"].map(|id| {
                let (admin, line) = (admin.clone(), format!("{what} {id}\n"));
                std::thread::spawn(move || send_admin_command(&admin, &line))
            });
            for caller in callers {
                assert!(caller.join().expect("the thread does not panic").starts_with("200 "));
            }
            let files = std::fs::read_dir(folder.path()).expect("the folder can be read").flatten();
            let (locks, sets): (Vec<_>, Vec<_>) = files
                .map(|f| (f.file_name().to_string_lossy().into_owned(), std::fs::read_to_string(f.path())))
                .filter_map(|(name, text)| Some((name, text.ok()?)))
                .partition(|(name, _)| name.starts_with('.') && name.ends_with(".lock"));
            assert!(
                locks.len() == 1 && locks[0].1.is_empty(),
                "one file is locked, which is empty: {locks:?}"
            );
            let line_counts: Vec<usize> = sets.iter().map(|(_, text)| text.lines().count()).collect();
            // Each other file has a header line and the excluded nodes; one of the two files also has a line with
            // the deployment.
            let nodes = if what == "exclude" { 3 } else { 0 };
            assert!(
                line_counts.iter().all(|n| (nodes + 1..=nodes + 2).contains(n)) && line_counts.len() == 2,
                "{line_counts:?}"
            );
        }
    }
    drop(front);
}

macro_rules! cases {
    ($($name:ident)*) => {
        mod machine { $(#[test] fn $name() { super::$name(); })* }
    };
}

cases! {
    a_purge_after_a_wall_clock_step_limits_the_age_of_copies
    an_exclusion_that_cannot_be_stored_is_rejected
    a_temporarily_unreadable_configuration_is_applied_later
    local_connect_failures_do_not_count_as_node_failures
    calls_are_answered_while_system_calls_fail
    exclusions_apply_at_both_processes_during_a_handover
    concurrent_exclusions_are_all_stored
}
