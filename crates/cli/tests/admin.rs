//! The admin interface of a running front: commands, figures against what the front did, manual exclusions and the
//! file that stores them, evacuation, and callers that send nothing or too much.

mod common;

use common::{members, send_admin_command, wait_until, Answer, Front, Node};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SITE: &str = "site \"door\" members-from=\"file\"\nfront \"d0\" listen=\"127.0.0.1:0\" zone=\"here\"\n\
    zone \"here\"\nclass \"docs\" aim-ms=600 deadline-ms=5000\n";

/// A caller waits this long for its answer, as the operators' own callers do.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// Calls that a busy client keeps out.
const IN_FLIGHT: u64 = 4;

fn figure(text: &str, name: &str) -> Option<u64> {
    text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

#[test]
fn the_admin_interface_answers_counts_and_excludes_and_includes_nodes() {
    let (a, b, origin) = (Node::start(), Node::start(), Node::start());
    let state_dir = std::env::temp_dir().join(format!("fernslip-door-{}", std::process::id()));
    std::fs::create_dir_all(&state_dir).expect("a folder");
    let tmp = state_dir.display().to_string();
    let site = format!("{SITE}{}", members(&[("a", &a), ("b", &b)], &origin));
    let front = Front::start_with_env("door", &site, &[], &[("RELAY_OPS", "127.0.0.1:0"), ("TMPDIR", &tmp)]);
    let line = front
        .log_lines
        .iter()
        .find(|l| l.contains("operators' door at "))
        .expect("the admin interface's line")
        .clone();
    let admin = line.rsplit(' ').next().expect("an address").trim_matches('"').to_string();

    // Callers that hold a connection and send nothing, or half a line, block no other.
    let _silent = TcpStream::connect(&admin).expect("the admin interface listens");
    let mut half = TcpStream::connect(&admin).expect("the admin interface listens");
    half.write_all(b"read").expect("the admin interface reads");
    let sent_at = Instant::now();
    assert_eq!(send_admin_command(&admin, "readyz\n"), "200 ready\n");
    assert!(sent_at.elapsed() < ANSWER_WITHIN, "answered in {:?}", sent_at.elapsed());
    let long = format!("{}\n", "x".repeat(2000));
    for (line, answer) in [("reboot\n", "400 unknown call\n"), (&long, "400 too long\n")] {
        assert_eq!(send_admin_command(&admin, line), answer);
    }

    let mut client = front.client();
    for n in 0..3 {
        assert_eq!(client.call("docs", n), Answer::Served);
    }
    // An answer is counted after it was queued, so that its client may have read it first.
    let mut figures = String::new();
    wait_until("the third answer is counted", || {
        figures = send_admin_command(&admin, "telemetry\n");
        figure(&figures, "relay.transactions.docs.answered") == Some(3)
    });
    assert!(figures.starts_with("200 ") && figures.ends_with("EOF\n"), "{figures}");
    assert_eq!(figure(&figures, "relay.transactions.docs.answered"), Some(3), "{figures}");
    assert_eq!(
        figure(&figures, "relay.transactions.docs.sends"),
        Some((a.request_count() + b.request_count()) as u64)
    );
    assert_eq!(figure(&figures, "relay.current"), Some(0));

    for (line, answer) in [
        ("exclude nobody\n", "400 unknown nobody\n"),
        ("exclude a\n", "200 excluded a\n"),
        ("exclude a\n", "200 excluded a\n"),
    ] {
        assert_eq!(send_admin_command(&admin, line), answer);
    }
    let files = std::fs::read_dir(&state_dir).expect("a folder").flatten().map(|f| f.path());
    let own =
        files.filter(|f| f.file_name().is_some_and(|n| n.to_string_lossy().starts_with("fernslip-d0-")));
    let file = std::fs::read_to_string(own.into_iter().next().expect("the stored set")).expect("a file");
    assert_eq!(file.lines().skip(1).collect::<Vec<_>>(), ["a"]);
    let before = a.request_count();
    for n in 10..40 {
        assert_eq!(client.call("docs", n), Answer::Served);
    }
    assert_eq!(a.request_count(), before, "nothing goes to a manually excluded node");
    assert_eq!(send_admin_command(&admin, "include a\n"), "200 included a\n", "two out need one back");

    for (line, answer) in [
        ("evacuate\n", "200 evacuating\n"),
        ("readyz\n", "400 not ready\n"),
        ("activate\n", "200 active\n"),
        ("readyz\n", "200 ready\n"),
    ] {
        assert_eq!(send_admin_command(&admin, line), answer);
    }
    // Another customer's front under the same name, with the same folder, on the same nodes.
    assert_eq!(send_admin_command(&admin, "exclude a\n"), "200 excluded a\n");
    let other = site.replace("\"docs\"", "\"pages\"");
    let beside = Front::start_with_env("beside", &other, &[], &[("TMPDIR", &tmp)]);
    let (mut client, before) = (beside.client(), a.request_count());
    for n in 40..70 {
        assert_eq!(client.call("pages", n), Answer::Served);
    }
    assert!(a.request_count() > before, "it took over the manual exclusions of this front");
    let _ = std::fs::remove_dir_all(&state_dir);
}

/// A client that sends its next call as soon as the last is answered never leaves its connection idle. At its end
/// the front rejects such calls at once and closes the connection after its last answer, so it exits soon after
/// its grace of 1 s instead of at the end of the longest deadline (here 5 s), with its calls answered.
#[test]
fn a_busy_persistent_connection_is_drained_at_shutdown() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members(&[("a", &a)], &origin));
    let mut front = Front::start("busy", &site, &[]);
    let mut client = front.client();
    let busy = std::thread::spawn(move || {
        let (mut sent, mut answered, mut shed) = (0, 0, 0);
        // Four calls out at all times: the connection has no moment without an open call.
        for n in 0..IN_FLIGHT {
            client.try_send("docs", n).expect("the front reads");
            sent += 1;
        }
        for n in IN_FLIGHT.. {
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
    let (sent, answered, shed) = busy.join().expect("no panic");
    assert!(took < Duration::from_secs(4), "left after {took:?}");
    assert!(answered > 0, "{answered} answered");
    // What was written after the last answer meets a closed connection: at most the calls that were out then.
    assert!(answered + shed + IN_FLIGHT >= sent, "{sent} sent, {answered} answered, {shed} shed");
}

/// Peers that write in pieces: a client's call a byte at a time, and a cache node's answer a byte at a time. Each is
/// read completely and served, and neither is cut off as stalled while its bytes keep coming.
#[test]
fn calls_and_answers_in_pieces_are_served() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members(&[("a", &a)], &origin));
    let front = Front::start("pieces", &site, &[]);
    let mut client = front.client();
    let number = client.send_in_pieces("docs", 1, Duration::from_millis(5));
    assert_eq!(client.next_answer(), (number, Answer::Served));
    a.state.answers_bytewise.store(true, std::sync::atomic::Ordering::SeqCst);
    origin.state.answers_bytewise.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(client.call("docs", 2), Answer::Served);
    let number = client.send_in_pieces("docs", 3, Duration::from_millis(2));
    assert_eq!(client.next_answer(), (number, Answer::Served));
}
