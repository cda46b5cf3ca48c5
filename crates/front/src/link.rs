//! A connection: its stream, what waits to be written, and the loop that reads and writes.
//!
//! One coroutine runs the loop; any other may send. Bytes are written at once where the socket takes them, by
//! whoever sends; the rest goes out as the socket drains, so that a slow reader stops nobody else. A may socket
//! wakes one waiting coroutine only, so reading and writing share the one wait.

use crate::buffer::Buffer;
use crate::log::Reason;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// Bytes read from one connection before others get their turn.
const TURN_BYTES: usize = 256 * 1024;

/// A lock that a panic elsewhere does not poison; never held across a yield.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Chunk {
    bytes: Vec<u8>,
    written: usize,
    tag: Option<u64>,
    since: Instant,
}

#[derive(Default)]
struct Out {
    chunks: VecDeque<Chunk>,
    bytes: usize,
    closing: Option<Reason>,
    over: bool,
}

/// A connection's socket: one that the front dialled, or one that it accepted on a listener that it was handed
/// (which may's own types can't adopt without `unsafe`).
pub enum Stream {
    /// Dialled, or accepted on a listener of may's.
    Made(TcpStream),
    /// Accepted on a listener of the standard library's, and waited on by may.
    Taken(CoIo<std::net::TcpStream>),
}

impl From<TcpStream> for Stream {
    fn from(s: TcpStream) -> Stream {
        Stream::Made(s)
    }
}

impl Stream {
    fn inner(&self) -> &std::net::TcpStream {
        match self {
            Stream::Made(s) => s.inner(),
            Stream::Taken(s) => s.inner(),
        }
    }

    fn waker(&self) -> WaitIoWaker {
        match self {
            Stream::Made(s) => s.waker(),
            Stream::Taken(s) => s.waker(),
        }
    }

    fn wait_io(&self) {
        match self {
            Stream::Made(s) => s.wait_io(),
            Stream::Taken(s) => s.wait_io(),
        };
    }
}

struct Wire {
    stream: Stream,
    waker: WaitIoWaker,
}

/// A connection, be it still coming up.
#[derive(Default)]
pub struct Link {
    wire: OnceLock<Wire>,
    out: Mutex<Out>,
}

impl Link {
    /// Gives the link its stream and writes what has waited for it.
    pub fn up(&self, stream: impl Into<Stream>) {
        let stream = stream.into();
        let _ = stream.inner().set_nodelay(true);
        let waker = stream.waker();
        let _ = self.wire.set(Wire { stream, waker });
        self.flush();
    }

    /// Sends; `tag` names what was sent, for [`Link::retract`]. How many bytes wait now; `None`: the link is over.
    pub fn send(&self, bytes: Vec<u8>, tag: Option<u64>) -> Option<usize> {
        {
            let mut out = lock(&self.out);
            if out.over || out.closing.is_some() {
                return None;
            }
            out.bytes += bytes.len();
            out.chunks.push_back(Chunk { bytes, written: 0, tag, since: Instant::now() });
        }
        self.flush();
        Some(lock(&self.out).bytes)
    }

    /// Takes back what was sent under `tag` if not a byte of it was written; whether that was so.
    pub fn retract(&self, tag: u64) -> bool {
        let mut out = lock(&self.out);
        let at = out.chunks.iter().position(|c| c.tag == Some(tag) && c.written == 0);
        let gone = at.and_then(|at| out.chunks.remove(at));
        out.bytes -= gone.as_ref().map_or(0, |c| c.bytes.len());
        gone.is_some()
    }

    /// Takes back all that has a tag, waits since before then and was not begun; the tags.
    pub fn retract_older(&self, than: Instant) -> Vec<u64> {
        let mut out = lock(&self.out);
        let mut tags = Vec::new();
        let mut bytes = 0;
        out.chunks.retain(|c| match c.tag {
            Some(tag) if c.written == 0 && c.since < than => {
                tags.push(tag);
                bytes += c.bytes.len();
                false
            }
            _ => true,
        });
        out.bytes -= bytes;
        tags
    }

    /// Ends it, some time soon.
    pub fn close(&self, why: Reason) {
        lock(&self.out).closing.get_or_insert(why);
        if let Some(w) = self.wire.get() {
            w.waker.wakeup();
        }
    }

    /// Nothing waits to be written.
    pub fn is_drained(&self) -> bool {
        lock(&self.out).bytes == 0
    }

    fn flush(&self) {
        let Some(wire) = self.wire.get() else { return };
        let mut out = lock(&self.out);
        while let Some(c) = out.chunks.front_mut() {
            match wire.stream.inner().write(&c.bytes[c.written..]) {
                Ok(n) => {
                    c.written += n;
                    let done = c.written == c.bytes.len();
                    out.bytes -= n;
                    if done {
                        out.chunks.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    out.closing.get_or_insert(Reason::Reset);
                    wire.waker.wakeup();
                    return;
                }
            }
        }
    }

    /// Reads and writes until the connection ends; `take` is given the buffer whenever something came, and
    /// consumes what it can. Only after [`Link::up`].
    pub fn run(&self, mut take: impl FnMut(&mut Buffer) -> Result<(), Reason>) -> Reason {
        let Some(wire) = self.wire.get() else { return Reason::Reset };
        let mut buffer = Buffer::default();
        let why = loop {
            self.flush();
            if let Some(why) = lock(&self.out).closing {
                break why;
            }
            let mut turn = 0;
            let came = loop {
                match buffer.read_from(&mut wire.stream.inner()) {
                    Ok(0) => break Err(Reason::PeerClosed),
                    Ok(n) => {
                        if let Err(why) = take(&mut buffer) {
                            break Err(why);
                        }
                        turn += n;
                        if turn > TURN_BYTES {
                            turn = 0;
                            may::coroutine::yield_now();
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break Ok(()),
                    Err(_) => break Err(Reason::Reset),
                }
            };
            match came {
                Ok(()) => wire.stream.wait_io(),
                Err(why) => break why,
            };
        };
        self.over();
        why
    }

    /// Nothing is taken any more; the tags of what was not written to its last byte.
    pub fn over(&self) -> Vec<u64> {
        let mut out = lock(&self.out);
        out.over = true;
        out.chunks.iter().filter_map(|c| c.tag).collect()
    }

    /// Shuts the stream for both sides.
    pub fn shut(&self) -> io::Result<()> {
        self.wire.get().map_or(Ok(()), |w| w.stream.inner().shutdown(std::net::Shutdown::Both))
    }
}
