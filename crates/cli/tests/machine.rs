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

macro_rules! cases {
    ($($name:ident)*) => {
        mod machine { $(#[test] fn $name() { super::$name(); })* }
    };
}

cases! {
    purge_after_a_step
    exclusion_that_cannot_be_kept
    configuration_that_is_unreadable_for_a_moment
}
