//! Replacing a process while it serves. The platform owns the clients' listening socket and passes it to each
//! process as descriptor 3, named in `$RELAY_PASSED_SOCKET`. Both processes accept from it; the old one exits
//! after SIGTERM, and clients are served throughout.

mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::{members_kdl, Answer, Front, Node};
use std::net::TcpListener;
use std::os::fd::OwnedFd;

const SITE: &str = "site \"hand\" members-from=\"file\"\nfront \"h0\" listen=\"127.0.0.1:0\" zone=\"here\"\n\
    zone \"here\"\nclass \"docs\" aim-ms=600 deadline-ms=3000\n";

fn start_with_socket(name: &str, site: &str, listener: &TcpListener) -> Front {
    let fd = OwnedFd::from(listener.try_clone().expect("the socket can be duplicated"));
    Front::start_prepared(name, site, &[], &[("RELAY_PASSED_SOCKET", "3")], |command| {
        command
            .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
            .expect("the socket can be mapped to descriptor 3");
    })
}

#[test]
fn two_processes_serve_from_one_inherited_socket_and_the_old_one_shuts_down() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members_kdl(&[("a", &a)], &origin));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let at = listener.local_addr().expect("the socket is bound").to_string();

    let mut old = start_with_socket("old", &site, &listener);
    assert!(
        old.log_lines.iter().any(|l| l.contains("handed over in RELAY_PASSED_SOCKET")),
        "{:?}",
        old.log_lines
    );
    assert_eq!(old.addr, at, "the front listens on the inherited socket, not on a port of its own");
    let mut persistent = old.client();
    assert_eq!(persistent.call("docs", 1), Answer::Served);

    let mut new = start_with_socket("new", &site, &listener);
    assert_eq!(new.addr, at);
    old.signal("TERM");
    old.wait_for_log("left");
    assert!(old.child.wait().expect("the old process exits").success(), "the old process exits with code 0");
    // The old process has closed the persistent connection; the new process accepts all new ones.
    for n in 0..20 {
        assert_eq!(new.client().call("docs", 100 + n), Answer::Served);
    }
    let _ = persistent.try_next_answer();
    new.signal("TERM");
    new.wait_for_log("left");
}

/// While the old process still answers its open calls, only the new process accepts connections: none is
/// accepted by the old one, which would reject its calls.
#[test]
fn clients_that_connect_during_a_handover_are_served_by_the_new_process() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members_kdl(&[("a", &a)], &origin));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let mut old = start_with_socket("old-busy", &site, &listener);
    let mut persistent = old.client();
    a.state.delay_ms.store(600, std::sync::atomic::Ordering::SeqCst);
    persistent.send("docs", 1);
    while a.request_count() == 0 {
        std::thread::yield_now();
    }
    a.state.delay_ms.store(0, std::sync::atomic::Ordering::SeqCst);
    let new = start_with_socket("new-busy", &site, &listener);
    old.signal("TERM");
    old.wait_for_log("leaving");
    for n in 0..40 {
        assert_eq!(new.client().call("docs", 100 + n), Answer::Served);
    }
    assert_eq!(persistent.next_answer().1, Answer::Served);
    old.wait_for_log("left");
}

#[test]
fn an_invalid_descriptor_is_logged_and_the_front_binds_its_own_socket() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members_kdl(&[("a", &a)], &origin));
    let front = Front::start_with_env("nodesc", &site, &[], &[("RELAY_PASSED_SOCKET", "fd3")]);
    assert!(
        front.log_lines.iter().any(|l| l.contains("is not a descriptor number of 3 or more")),
        "{:?}",
        front.log_lines
    );
    assert_eq!(front.client().call("docs", 1), Answer::Served);
}

#[test]
fn an_inherited_socket_that_is_no_tcp_listener_is_logged_and_the_front_binds_its_own_socket() {
    let (a, origin) = (Node::start(), Node::start());
    let site = format!("{SITE}{}", members_kdl(&[("a", &a)], &origin));
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let fd = OwnedFd::from(datagrams);
    let front = Front::start_prepared("udp", &site, &[], &[("RELAY_PASSED_SOCKET", "3")], |command| {
        command
            .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
            .expect("the socket can be mapped to descriptor 3");
    });
    assert!(
        front.log_lines.iter().any(|l| l.contains("RELAY_PASSED_SOCKET: descriptor 3")),
        "{:?}",
        front.log_lines
    );
    assert_eq!(front.client().call("docs", 1), Answer::Served);
}
