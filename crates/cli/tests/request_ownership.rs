//! Who may cancel or answer a request, against the program over real sockets: only the client that sent it.
//! Another client that sends the same id gets a rejection at most, whatever it does next.

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
/// The id of the request that several clients send.
const SHARED_TRACE: u64 = 1;

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

/// A call with the shared id for another object.
fn stolen_call(number: u32) -> Vec<u8> {
    encode_call(number, READ_CLASS, SHARED_TRACE, PATIENCE_MS, &[("entity", "00000000000000b2")])
}

/// Sends the shared id on a new connection and leaves at once: call and end are in one write.
fn send_shared_id_and_leave(front: &ScriptedFront, leave: Leave) -> Option<TcpStream> {
    let mut other = front.connect();
    let then = match leave {
        Leave::Close | Leave::HalfClose => Vec::new(),
        Leave::Cancel => encode_cancel(1),
        Leave::BreakProtocol => vec![0xc1],
        Leave::SendTwice => stolen_call(2),
    };
    other.write_all(&[stolen_call(1), then].concat()).expect("the front accepts the bytes");
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
    for (class, leave) in [READ_CLASS, WRITE_CLASS].into_iter().flat_map(|class| all.map(|l| (class, l))) {
        let mut owner = front.connect();
        let call = encode_call(1, class, SHARED_TRACE, PATIENCE_MS, &[]);
        owner.write_all(&call).expect("the front accepts the bytes");
        let (trace, _) = front.next_request("a");
        let _other = send_shared_id_and_leave(&front, leave);
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
    let call = encode_call(1, READ_CLASS, SHARED_TRACE, PATIENCE_MS, &[]);
    owner.write_all(&call).expect("the front accepts the bytes");
    let (trace, _) = front.next_request("a");
    let mut other = front.connect();
    other.write_all(&stolen_call(1)).expect("the front accepts the bytes");
    assert!(read_answer(&mut other).starts_with(r#"[1,1,["Shed""#));
    drop(owner);
    assert_eq!(front.step("a", "<", ""), format!("QUIT {trace}"));
}
