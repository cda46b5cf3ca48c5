//! The admin interface of a running front: commands, counters compared with what the front did, manual
//! exclusions and the file that stores them, evacuation, and callers that send nothing or too much.

mod common;

use common::{members_kdl, send_admin_command, wait_until, Answer, Front, Node};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SITE: &str = "site \"door\" members-from=\"file\"\nfront \"d0\" listen=\"127.0.0.1:0\" zone=\"here\"\n\
    zone \"here\"\nclass \"docs\" aim-ms=600 deadline-ms=5000\n";

/// How long a caller waits for its answer; the operators' tools wait as long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of calls that a busy client has open at all times.
const OPEN_CALLS: u64 = 4;

fn counter(text: &str, name: &str) -> Option<u64> {
    text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

#[test]
fn the_admin_interface_reports_counters_and_excludes_and_includes_nodes() {
    let (a, b, origin) = (Node::start(), Node::start(), Node::start());
    let state_dir = std::env::temp_dir().join(format!("fernslip-door-{}", std::process::id()));
    std::fs::create_dir_all(&state_dir).expect("the folder can be created");
    let tmp = state_dir.display().to_string();
    let site = format!("{SITE}{}", members_kdl(&[("a", &a), ("b", &b)], &origin));
    let front = Front::start_with_env("door", &site, &[], &[("RELAY_OPS", "127.0.0.1:0"), ("TMPDIR", &tmp)]);
    let line = front
        .log_lines
        .iter()
        .find(|l| l.contains("operators' door at "))
        .expect("the front logs the address of the admin interface")
        .clone();
    let admin = line.rsplit(' ').next().expect("the line ends with an address").trim_matches('"').to_string();

    // Callers that connect and send nothing, or half a line, do not block others.
    let _silent = TcpStream::connect(&admin).expect("the admin interface accepts the connection");
    let mut half = TcpStream::connect(&admin).expect("the admin interface accepts the connection");
    half.write_all(b"read").expect("the admin interface accepts the bytes");
    let sent_at = Instant::now();
    assert_eq!(send_admin_command(&admin, "readyz\n"), "200 ready\n");
    assert!(sent_at.elapsed() < ANSWER_TIMEOUT, "the answer took {:?}", sent_at.elapsed());
    let long = format!("{}\n", "x".repeat(2000));
    for (line, answer) in [("reboot\n", "400 unknown call\n"), (&long, "400 too long\n")] {
        assert_eq!(send_admin_command(&admin, line), answer);
    }

    let mut client = front.client();
    for n in 0..3 {
        assert_eq!(client.call("docs", n), Answer::Served);
    }
    // An answer is counted after it is queued, so its client may have read it before.
    let mut counters = String::new();
    wait_until("the third answer is counted by the telemetry", || {
        counters = send_admin_command(&admin, "telemetry\n");
        counter(&counters, "relay.transactions.docs.answered") == Some(3)
    });
    assert!(counters.starts_with("200 ") && counters.ends_with("EOF\n"), "{counters}");
    assert_eq!(counter(&counters, "relay.transactions.docs.answered"), Some(3), "{counters}");
    assert_eq!(
        counter(&counters, "relay.transactions.docs.sends"),
        Some((a.request_count() + b.request_count()) as u64)
    );
    assert_eq!(counter(&counters, "relay.current"), Some(0));

    for (line, answer) in [
        ("exclude nobody\n", "400 unknown nobody\n"),
        ("exclude a\n", "200 excluded a\n"),
        ("exclude a\n", "200 excluded a\n"),
    ] {
        assert_eq!(send_admin_command(&admin, line), answer);
    }
    let files = std::fs::read_dir(&state_dir).expect("the folder can be read").flatten().map(|f| f.path());
    let own =
        files.filter(|f| f.file_name().is_some_and(|n| n.to_string_lossy().starts_with("fernslip-d0-")));
    let file = std::fs::read_to_string(own.into_iter().next().expect("the exclusions have a file"))
        .expect("the file can be read");
    assert_eq!(file.lines().skip(1).collect::<Vec<_>>(), ["a"]);
    let before = a.request_count();
    for n in 10..40 {
        assert_eq!(client.call("docs", n), Answer::Served);
    }
    assert_eq!(a.request_count(), before, "a manually excluded node receives no request");
    assert_eq!(send_admin_command(&admin, "include a\n"), "200 included a\n", "one include is enough");

    for (line, answer) in [
        ("evacuate\n", "200 evacuating\n"),
        ("readyz\n", "400 not ready\n"),
        ("activate\n", "200 active\n"),
        ("readyz\n", "200 ready\n"),
    ] {
        assert_eq!(send_admin_command(&admin, line), answer);
    }
    // Another customer's front with the same name, folder and nodes, but another site document.
    assert_eq!(send_admin_command(&admin, "exclude a\n"), "200 excluded a\n");
    let other = site.replace("\"docs\"", "\"pages\"");
    let beside = Front::start_with_env("beside", &other, &[], &[("TMPDIR", &tmp)]);
    let (mut client, before) = (beside.client(), a.request_count());
    for n in 40..70 {
        assert_eq!(client.call("pages", n), Answer::Served);
    }
    assert!(
        a.request_count() > before,
        "a front with another site document does not apply this front's exclusions"
    );
    let _ = std::fs::remove_dir_all(&state_dir);
}

/// A client that sends its next call as soon as the last is answered never leaves its connection idle. During
/// shutdown the front rejects such calls at once and closes the connection after its last answer. It exits
/// with all calls answered soon after its grace period of 1 s, and not at the end of the longest deadline,
/// which is 5 s here.
#[test]
fn a_busy_persistent_connection_is_drained_at_shutdown() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members_kdl(&[("a", &a)], &origin));
    let mut front = Front::start("busy", &site, &[]);
    let mut client = front.client();
    let busy = std::thread::spawn(move || {
        let (mut sent, mut answered, mut shed) = (0, 0, 0);
        // With four calls open at all times, the connection is never without an open call.
        for n in 0..OPEN_CALLS {
            client.try_send("docs", n).expect("the front accepts the bytes");
            sent += 1;
        }
        for n in OPEN_CALLS.. {
            match client.try_next_answer() {
                Some((_, Answer::Error(code, fields))) if code == "Shed" => {
                    shed += 1;
                    assert!(fields.contains(&("pause".into(), "100".into())), "{fields:?}");
                }
                Some(_) => answered += 1,
                None => break,
            }
            if client.try_send("docs", n % 50).is_some() {
                sent += 1;
            }
        }
        (sent, answered, shed)
    });
    std::thread::sleep(Duration::from_millis(300));
    let signalled = front.signal("TERM");
    front.wait_for_log("left");
    let took = signalled.elapsed();
    let (sent, answered, shed) = busy.join().expect("the thread does not panic");
    assert!(took < Duration::from_secs(4), "the front exited {took:?} after SIGTERM");
    assert!(answered > 0, "at least one call is answered normally, not {answered}");
    // Calls written after the last answer reach a closed connection; these are at most the calls that were
    // open then.
    assert!(
        answered + shed + OPEN_CALLS >= sent,
        "too few answers: {sent} calls sent, {answered} answered, {shed} rejected with Shed"
    );
}

/// A client that sends its call one byte at a time, and a cache node that answers one byte at a time. Each
/// message is read completely and the call is served; neither connection is closed as stalled while bytes
/// arrive.
#[test]
fn calls_and_answers_sent_bytewise_are_served() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members_kdl(&[("a", &a)], &origin));
    let front = Front::start("pieces", &site, &[]);
    let mut client = front.client();
    let number = client.send_bytewise("docs", 1, Duration::from_millis(5));
    assert_eq!(client.next_answer(), (number, Answer::Served));
    a.state.answers_bytewise.store(true, std::sync::atomic::Ordering::SeqCst);
    origin.state.answers_bytewise.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(client.call("docs", 2), Answer::Served);
    let number = client.send_bytewise("docs", 3, Duration::from_millis(2));
    assert_eq!(client.next_answer(), (number, Answer::Served));
}
