//! Clients that connect in great numbers and send nothing, or only begin a message, against the program over real
//! sockets: they do not keep out a client that has sent its call.

mod common;

use common::scripted::{encode_call, read_answer, ScriptedFront};
use common::Node;
use std::io::Write;
use std::net::TcpStream;

/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "statement-docs";
/// The configured limit of descriptors, of which clients hold less than half.
const SOCKETS: usize = 128;
/// Connections of the crowd: more than clients may hold, fewer than the backlog of the listening socket.
const CROWD: usize = 100;

/// While the program is stopped, many clients connect and at last one that sends its call. All connections are
/// as new when the program accepts them, so none of the crowd was evicted, and the last client was dropped with
/// its call.
#[test]
fn a_client_that_has_sent_its_call_is_served_in_a_crowd_of_new_connections() {
    let nodes = [Node::start(), Node::start()];
    let call = |trace| encode_call(1, READ_CLASS, trace, 5000, &[]);
    for (name, begun) in [("crowd-silent", 0), ("crowd-begun", 20)] {
        let front =
            ScriptedFront::start_with_nodes(name, &nodes, |c| c["limits"]["sockets"] = SOCKETS.into());
        for round in 1..=3 {
            front.signal("STOP");
            let connect = |bytes: &[u8]| {
                let mut client = front.connect();
                client.write_all(bytes).expect("the system takes the bytes");
                client
            };
            let _crowd: Vec<TcpStream> = (0..CROWD).map(|_| connect(&call(99)[..begun])).collect();
            let mut usual = connect(&call(round));
            front.signal("CONT");
            let answer = read_answer(&mut usual);
            assert!(answer.starts_with("[1,1,null,"), "{name}, round {round}: {answer}");
        }
    }
}
