//! A connection: its stream, what waits to be written, and the loop that reads and writes.
//!
//! One coroutine runs the loop; any other may send. Bytes are written at once where the socket takes them, by
//! whoever sends; the rest goes out as the socket drains, so that a slow reader stops nobody else. A may socket
//! wakes one waiting coroutine only, so reading and writing share the one wait.

use crate::buffer::Buffer;
use crate::failure::Failure;
use crate::log::Reason;
use crate::sleep;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Bytes read from one connection before others get their turn.
const TURN_BYTES: usize = 256 * 1024;
/// A graceful close reads on for so long at the most: many times the way there and back, and the 50 ms in which a
/// request may cross a close.
const LINGER: Duration = Duration::from_millis(400);
/// Where the machine has no buffers for a moment, what is to be read or written is tried again after this.
const STARVED: Duration = Duration::from_millis(2);
/// The bytes that it reads and drops at the most: guards against those who go on sending.
const LINGER_BYTES: usize = 128 * 1024;

/// A lock that a panic elsewhere does not poison; never held across a yield.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What becomes of a message whose first byte is about to be written.
pub enum Departure {
    /// It goes out as it was queued.
    AsQueued,
    /// It goes out with these bytes instead.
    Instead(Vec<u8>),
    /// It does not go out any more, and is dropped.
    Never,
}

/// Whoever is asked, last of all, whether a message that waits may go out, and hears how far it went.
pub trait Gate: Send + Sync {
    /// The first byte is about to be written; the message was queued at `queued`.
    fn before_first_byte(&self, queued: Instant) -> Departure;
    /// The first byte was written.
    fn begun(&self);
    /// The last byte was written.
    fn written(&self);
}

struct Chunk {
    bytes: Vec<u8>,
    written: usize,
    tag: Option<u64>,
    since: Instant,
    gate: Option<Arc<dyn Gate>>,
}

/// Why a connection is to end, and how.
#[derive(Clone, Copy)]
struct Close {
    why: Reason,
    graceful: bool,
}

struct Out {
    chunks: VecDeque<Chunk>,
    bytes: usize,
    closing: Option<Close>,
    /// Nothing is taken any more.
    over: bool,
    /// The socket failed: what waits can't be written.
    broken: bool,
    /// The machine had no buffers for what waits.
    starved: bool,
    /// When bytes went out last.
    moved: Instant,
    /// A graceful close is under way and ends by then.
    linger_until: Option<Instant>,
}

impl Default for Out {
    fn default() -> Out {
        let (chunks, moved) = (VecDeque::new(), Instant::now());
        Out {
            chunks,
            bytes: 0,
            closing: None,
            over: false,
            broken: false,
            starved: false,
            moved,
            linger_until: None,
        }
    }
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
    /// Gone as soon as the connection has ended: who still refers to the link holds no descriptor.
    wire: Mutex<Option<Arc<Wire>>>,
    out: Mutex<Out>,
    /// Bytes that wait to be written on all links that share this count.
    waiting: Arc<AtomicUsize>,
}

impl Link {
    /// A link whose bytes that wait are counted in a sum over several.
    pub fn counted(waiting: Arc<AtomicUsize>) -> Link {
        Link { waiting, ..Link::default() }
    }

    fn wire(&self) -> Option<Arc<Wire>> {
        lock(&self.wire).clone()
    }

    /// Gives the link its stream and writes what has waited for it.
    pub fn up(&self, stream: impl Into<Stream>) {
        let stream = stream.into();
        let _ = stream.inner().set_nodelay(true);
        let waker = stream.waker();
        *lock(&self.wire) = Some(Arc::new(Wire { stream, waker }));
        self.flush();
    }

    /// Sends; `tag` names what was sent, for [`Link::retract`]. How many bytes wait now; `None`: the link is over.
    pub fn send(&self, bytes: Vec<u8>, tag: Option<u64>) -> Option<usize> {
        self.queue(bytes, tag, None)
    }

    /// Sends what is asked about once more when its first byte is about to be written. Otherwise as [`Link::send`].
    pub fn send_through(&self, bytes: Vec<u8>, tag: u64, gate: Arc<dyn Gate>) -> Option<usize> {
        self.queue(bytes, Some(tag), Some(gate))
    }

    fn queue(&self, bytes: Vec<u8>, tag: Option<u64>, gate: Option<Arc<dyn Gate>>) -> Option<usize> {
        {
            let mut out = lock(&self.out);
            // A graceful close still sends what is owed; what ends at once takes nothing.
            if out.over || out.broken || out.closing.is_some_and(|c| !c.graceful) {
                return None;
            }
            out.bytes += bytes.len();
            self.waiting.fetch_add(bytes.len(), Ordering::Relaxed);
            if out.chunks.is_empty() {
                out.moved = Instant::now();
            }
            out.chunks.push_back(Chunk { bytes, written: 0, tag, since: Instant::now(), gate });
        }
        self.flush();
        Some(lock(&self.out).bytes)
    }

    /// Takes back what was sent under `tag` if not a byte of it was written; whether that was so.
    pub fn retract(&self, tag: u64) -> bool {
        let mut out = lock(&self.out);
        let at = out.chunks.iter().position(|c| c.tag == Some(tag) && c.written == 0);
        let gone = at.and_then(|at| out.chunks.remove(at));
        self.less(&mut out, gone.as_ref().map_or(0, |c| c.bytes.len()));
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
        self.less(&mut out, bytes);
        tags
    }

    fn less(&self, out: &mut Out, bytes: usize) {
        out.bytes -= bytes;
        self.waiting.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn shall_close(&self, close: Close) {
        {
            let mut out = lock(&self.out);
            // What must end at once is not held up by a graceful close that has begun.
            if out.closing.is_none_or(|c| c.graceful && !close.graceful) {
                out.closing = Some(close);
            }
        }
        if let Some(w) = self.wire() {
            w.waker.wakeup();
        }
    }

    /// Ends the connection at once, for that reason.
    pub fn close(&self, why: Reason) {
        self.shall_close(Close { why, graceful: false });
    }

    /// Ends the connection gracefully: what is owed goes out, however long the other side takes, and what comes meanwhile is
    /// taken; then the sending half is shut, and the rest is read and dropped within a bound. Guards the last answer: a close over unread bytes
    /// resets the connection, and what the other side has not read yet is lost with it.
    pub fn finish(&self, why: Reason) {
        self.shall_close(Close { why, graceful: true });
    }

    /// Whether the connection is to end or has ended.
    pub fn is_closing(&self) -> bool {
        let out = lock(&self.out);
        out.over || out.broken || out.closing.is_some()
    }

    /// The socket failed, or the connection is to end at once or was ended by the other side: what is sent is lost.
    pub fn is_broken(&self) -> bool {
        let out = lock(&self.out);
        out.broken || out.closing.is_some_and(|c| !c.graceful) || self.wire().is_none()
    }

    /// Nothing waits to be written.
    pub fn is_drained(&self) -> bool {
        lock(&self.out).bytes == 0
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        lock(&self.out).bytes
    }

    /// For how long bytes have waited and none went out.
    pub fn stuck_for(&self, now: Instant) -> Option<Duration> {
        let out = lock(&self.out);
        (out.bytes > 0).then(|| now.saturating_duration_since(out.moved))
    }

    /// Now and then: ends a graceful close whose time is over.
    pub fn sweep(&self, now: Instant) {
        let late = lock(&self.out).linger_until.is_some_and(|at| now >= at);
        if let Some(w) = self.wire().filter(|_| late) {
            w.waker.wakeup();
        }
    }

    fn flush(&self) {
        let Some(wire) = self.wire() else { return };
        let mut out = lock(&self.out);
        while self.admit_first(&mut out) {
            let Some(c) = out.chunks.front_mut() else { break };
            match wire.stream.inner().write(&c.bytes[c.written..]) {
                Ok(n) => {
                    let gate = c.gate.as_ref();
                    gate.filter(|_| c.written == 0 && n > 0).inspect(|g| g.begun());
                    c.written += n;
                    let done = c.written == c.bytes.len();
                    gate.filter(|_| done).inspect(|g| g.written());
                    out.moved = Instant::now();
                    self.less(&mut out, n);
                    if done {
                        out.chunks.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    // Without buffers the coroutine of the connection tries again.
                    out.starved = Failure::of(&e).is_for_a_moment();
                    out.broken = !out.starved;
                    wire.waker.wakeup();
                    return;
                }
            }
        }
        // A graceful close waits for this.
        if out.closing.is_some() {
            wire.waker.wakeup();
        }
    }

    /// Waits a moment where the machine had no buffers for what is to be written, and writes it.
    fn recover(&self) {
        while std::mem::take(&mut lock(&self.out).starved) {
            sleep::sleep(STARVED);
            self.flush();
        }
    }

    /// Asks the gates of what waits whether it goes out, up to the first that does; whether there is one.
    fn admit_first(&self, out: &mut Out) -> bool {
        while let Some(c) = out.chunks.front_mut() {
            let gate = c.gate.as_ref().filter(|_| c.written == 0);
            let (before, drops) = match gate.map(|g| g.before_first_byte(c.since)) {
                None | Some(Departure::AsQueued) => return true,
                Some(Departure::Instead(bytes)) => (std::mem::replace(&mut c.bytes, bytes).len(), false),
                Some(Departure::Never) => (c.bytes.len(), true),
            };
            self.less(out, before);
            if !drops {
                let now = out.chunks.front().map_or(0, |c| c.bytes.len());
                out.bytes += now;
                self.waiting.fetch_add(now, Ordering::Relaxed);
                return true;
            }
            out.chunks.pop_front();
        }
        false
    }

    /// Where nothing is owed any more, nothing is taken from now on; whether that is so.
    fn settle(&self) -> bool {
        let mut out = lock(&self.out);
        out.over |= out.bytes == 0;
        out.over
    }

    /// Reads and writes until the connection ends; `take` is given the buffer whenever something came, and consumes
    /// what it can. Before a graceful close, and after all that had come by then, `stays` is asked whether there is
    /// reason to go on after all. Only after [`Link::up`]; the owner calls [`Link::end`] afterwards.
    pub fn run(
        &self,
        mut take: impl FnMut(&mut Buffer) -> Result<(), Reason>,
        mut stays: impl FnMut(Reason) -> bool,
    ) -> Reason {
        let Some(wire) = self.wire() else { return Reason::Reset };
        let mut buffer = Buffer::default();
        loop {
            self.flush();
            self.recover();
            let (closing, broken) = {
                let out = lock(&self.out);
                (out.closing, out.broken)
            };
            match closing {
                Some(close) if !close.graceful => return close.why,
                _ if broken => return Reason::Reset,
                _ => {}
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
                    Err(e) if Failure::of(&e).is_for_a_moment() => sleep::sleep(STARVED),
                    Err(_) => break Err(Reason::Reset),
                }
            };
            match (came, closing) {
                (Err(why), _) => return why,
                (Ok(()), Some(close)) if stays(close.why) => {
                    let mut out = lock(&self.out);
                    out.closing = out.closing.filter(|c| !c.graceful);
                }
                // What is owed goes out first, and what comes meanwhile is still taken.
                (Ok(()), Some(_)) if !self.settle() => wire.stream.wait_io(),
                (Ok(()), Some(close)) => {
                    drop(buffer);
                    self.linger(&wire);
                    return close.why;
                }
                (Ok(()), None) => wire.stream.wait_io(),
            }
        }
    }

    /// Shuts the sending half, nothing being owed, and reads on without taking anything, within bounds.
    fn linger(&self, wire: &Wire) {
        lock(&self.out).linger_until = Some(Instant::now() + LINGER);
        let _ = wire.stream.inner().shutdown(Shutdown::Write);
        let mut dropped = [0; 4096];
        let mut left = LINGER_BYTES;
        loop {
            {
                let out = lock(&self.out);
                let late = out.linger_until.is_some_and(|at| Instant::now() >= at);
                if late || out.broken || out.closing.is_some_and(|c| !c.graceful) {
                    return;
                }
            }
            match wire.stream.inner().read(&mut dropped) {
                Ok(0) => return,
                Ok(n) if n >= left => return,
                Ok(n) => left -= n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => wire.stream.wait_io(),
                Err(e) if Failure::of(&e).is_for_a_moment() => sleep::sleep(STARVED),
                Err(_) => return,
            }
        }
    }

    /// The connection has ended: nothing is taken any more, and its descriptor and what waits are given back. The tags
    /// of what was not written to its last byte.
    pub fn end(&self) -> Vec<u64> {
        let tags = {
            let mut out = lock(&self.out);
            out.over = true;
            let bytes = out.bytes;
            self.less(&mut out, bytes);
            std::mem::take(&mut out.chunks).into_iter().filter_map(|c| c.tag).collect()
        };
        let wire = lock(&self.wire).take();
        if let Some(w) = wire {
            let _ = w.stream.inner().shutdown(Shutdown::Both);
        }
        tags
    }

    /// Shuts the stream for both sides.
    pub fn shut(&self) -> io::Result<()> {
        self.wire().map_or(Ok(()), |w| w.stream.inner().shutdown(Shutdown::Both))
    }
}

#[cfg(test)]
#[path = "link/tests.rs"]
mod tests;
