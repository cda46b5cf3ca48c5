use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Bytes that were written and not read count as undelivered, although every write succeeded, and as
/// delivered once the other side has read them.
#[test]
fn written_bytes_are_delivered_only_when_the_other_side_reads_them() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let mut writer = TcpStream::connect(listener.local_addr().expect("a bound listener has an address"))
        .expect("the listener can be connected to");
    let mut reader = listener.accept().expect("the connection is accepted").0;
    writer.set_nonblocking(true).expect("the socket option can be set");
    let mut written = 0;
    while let Ok(n) = writer.write(&[b'x'; 65536]) {
        written += n;
    }
    let unread = Delivery::of_socket(&writer).expect("Linux reports the delivery");
    assert!(!unread.complete && unread.acknowledged_bytes < written as u64, "{unread:?} of {written}");
    reader.read_exact(&mut vec![0; written]).expect("all bytes arrive");
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let read = Delivery::of_socket(&writer).expect("Linux reports the delivery");
        // The connection's first packet counts as one byte on the side that connects.
        if read.complete && read.acknowledged_bytes.abs_diff(written as u64) <= 1 {
            return;
        }
        assert!(Instant::now() < deadline, "{read:?} of {written}");
        std::thread::sleep(Duration::from_millis(1));
    }
}
