//! Checks that coroutines which yield for ever let sockets and timers in, with one worker thread as in the
//! program.

use fernslip_front::event_loop::yield_to_sockets;
use fernslip_front::sleep::sleep;
use may::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Several coroutines that are always ready again must not starve the others; a yield that only requeues the
/// coroutine would, because the worker polls only when none is ready.
#[test]
fn coroutines_that_yield_for_ever_let_sockets_and_timers_in() {
    may::config().set_workers(1);
    let stop = Arc::new(AtomicBool::new(false));
    let busy: Vec<_> = (0..3)
        .map(|_| {
            let stop = stop.clone();
            may::go!(move || {
                while !stop.load(Ordering::SeqCst) {
                    yield_to_sockets();
                }
            })
        })
        .collect();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let addr = socket.local_addr().expect("the socket is bound");
    let received = may::go!(move || socket.recv_from(&mut [0; 8]).expect("the datagram arrives").0);
    let slept = may::go!(|| sleep(Duration::from_millis(5)));
    std::thread::sleep(Duration::from_millis(20));
    let sender = std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
    sender.send_to(&[1, 2, 3], addr).expect("the datagram can be sent");
    assert_eq!(received.join().expect("the coroutine does not panic"), 3);
    slept.join().expect("the coroutine does not panic");
    stop.store(true, Ordering::SeqCst);
    busy.into_iter().for_each(|coroutine| coroutine.join().expect("the coroutine does not panic"));
}
