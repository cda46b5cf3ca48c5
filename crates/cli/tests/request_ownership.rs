//! Who may cancel or answer a request, against the program over real sockets: only the client that sent it.
//! Another client that sends the same id gets a rejection at most, whatever it does next. And a write never runs
//! twice, whenever and at whichever process of the front its id comes again.

mod common;

use common::scripted::{encode_call, encode_cancel, read_answer, ScriptedFront};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "statement-docs";
/// A class of the example configuration whose calls are writes, which are not retried.
const WRITE_CLASS: &str = "contribution-change";
/// How long the owner of a request waits, in milliseconds.
const PATIENCE_MS: u64 = 15_000;

/// What the other client does after it has sent the id of an open request.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    HalfClose,
    Cancel,
    BreakProtocol,
    /// Sends the id twice, under two call numbers, and closes.
    SendTwice,
}

/// A call with the id of another client's request, for another object.
fn call_with_id(number: u32, trace: u64) -> Vec<u8> {
    encode_call(number, READ_CLASS, trace, PATIENCE_MS, &[("entity", "00000000000000b2")])
}

/// Sends the id of another client's request on a new connection and leaves at once: call and end are in one write.
fn send_id_and_leave(front: &ScriptedFront, trace: u64, leave: Leave) -> Option<TcpStream> {
    let mut other = front.connect();
    let then = match leave {
        Leave::Close | Leave::HalfClose => Vec::new(),
        Leave::Cancel => encode_cancel(1),
        Leave::BreakProtocol => vec![0xc1],
        Leave::SendTwice => call_with_id(2, trace),
    };
    other.write_all(&[call_with_id(1, trace), then].concat()).expect("the front accepts the bytes");
    match leave {
        Leave::Close | Leave::SendTwice => return None,
        Leave::HalfClose => other.shutdown(Shutdown::Write).expect("the sending half can be shut down"),
        Leave::Cancel | Leave::BreakProtocol => {}
    }
    Some(other)
}

/// Another client sends the id of an open request and leaves, before and after its own call was rejected: the
/// open request was cancelled at its node and never answered, since a cancel named it by its id alone.
#[test]
fn a_request_is_answered_although_another_client_sends_its_id_and_leaves() {
    let all = [Leave::Close, Leave::HalfClose, Leave::Cancel, Leave::BreakProtocol, Leave::SendTwice];
    let mut front = ScriptedFront::start("owner");
    let rows = [READ_CLASS, WRITE_CLASS].into_iter().flat_map(|class| all.map(|leave| (class, leave)));
    for (id, (class, leave)) in (1..).zip(rows) {
        let mut owner = front.connect();
        let call = encode_call(1, class, id, PATIENCE_MS, &[]);
        owner.write_all(&call).expect("the front accepts the bytes");
        let (trace, _) = front.next_request("a");
        let _other = send_id_and_leave(&front, id, leave);
        std::thread::sleep(Duration::from_millis(50));
        front.answer("a", &trace, "served - done");
        assert_eq!(read_answer(&mut owner), r#"[1,1,null,["b:done",{}]]"#, "{class}, {leave:?}");
    }
}

/// The owner itself leaves: its request is cancelled at the node, also when another client has sent the id.
#[test]
fn the_owner_of_a_request_cancels_it_although_another_client_sent_its_id() {
    let mut front = ScriptedFront::start("owner-leaves");
    let mut owner = front.connect();
    let call = encode_call(1, READ_CLASS, 1, PATIENCE_MS, &[]);
    owner.write_all(&call).expect("the front accepts the bytes");
    let (trace, _) = front.next_request("a");
    let mut other = front.connect();
    other.write_all(&call_with_id(1, 1)).expect("the front accepts the bytes");
    assert!(read_answer(&mut other).starts_with(r#"[1,1,["Shed""#));
    drop(owner);
    assert_eq!(front.step("a", "<", ""), format!("QUIT {trace}"));
}

/// A client sends a write and leaves while its node works on it; then the id comes again, on another connection,
/// at once or later. The node received the write a second time.
#[test]
fn a_write_whose_client_left_is_not_sent_again_under_its_id() {
    let rows = [Leave::Close, Leave::Cancel].into_iter().flat_map(|l| [0, 5, 100, 600].map(|ms| (l, ms)));
    for (leave, wait_ms) in rows {
        let mut front = ScriptedFront::start(&format!("write-again-{leave:?}-{wait_ms}"));
        let write = |id| encode_call(1, WRITE_CLASS, id, PATIENCE_MS, &[]);
        let mut client = front.connect();
        client.write_all(&write(1)).expect("the front accepts the bytes");
        let (trace, _) = front.next_request("a");
        match leave {
            Leave::Cancel => client.write_all(&encode_cancel(1)).expect("the front accepts the bytes"),
            _ => drop(client),
        }
        std::thread::sleep(Duration::from_millis(wait_ms));
        let mut again = front.connect();
        again.write_all(&write(1)).expect("the front accepts the bytes");
        let answer = read_answer(&mut again);
        assert!(answer.starts_with(r#"[1,1,["Fault""#), "{leave:?}, {wait_ms} ms: {answer}");
        // The node got the cancel of the first attempt, and gets the next write and nothing in between.
        let mut next = front.connect();
        next.write_all(&write(2)).expect("the front accepts the bytes");
        let messages = [front.step("a", "<", ""), front.step("a", "<", "")];
        assert_eq!(messages[0], format!("QUIT {trace}"), "{leave:?}, {wait_ms} ms");
        assert!(messages[1].starts_with(&format!("ASK {:016x}", 2)), "{leave:?}, {wait_ms} ms: {messages:?}");
    }
}

/// A write that certainly did not run leaves its id free: a client whose request crossed a close sends it again.
#[test]
fn a_write_that_did_not_run_can_be_sent_again_under_its_id() {
    let mut front = ScriptedFront::start("write-free");
    for _ in 0..2 {
        let mut client = front.connect();
        let write = encode_call(1, WRITE_CLASS, 7, PATIENCE_MS, &[]);
        client.write_all(&write).expect("the front accepts the bytes");
        let (trace, _) = front.next_request("a");
        front.answer("a", &trace, "nobody - -");
        assert!(read_answer(&mut client).starts_with(r#"[1,1,["Shed""#));
    }
}
