//! Lines for the operators on standard error, written by a thread of their own: a full pipe must not stop a worker.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;

/// Lines that wait to be written; more are dropped and counted.
const WAITING: usize = 4096;

/// Where lines go.
#[derive(Clone)]
pub struct Log {
    to: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Log {
    /// Starts the writer.
    pub fn start() -> Log {
        let (to, lines) = sync_channel::<String>(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = dropped.clone();
        std::thread::spawn(move || {
            for line in lines {
                let n = lost.swap(0, Ordering::Relaxed);
                let mut err = std::io::stderr().lock();
                if n > 0 {
                    let _ = writeln!(err, "log dropped={n}");
                }
                let _ = writeln!(err, "{line}");
            }
        });
        Log { to, dropped }
    }

    /// Writes a line, some time.
    pub fn line(&self, line: String) {
        if self.to.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Why a connection ended: the code in its log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The other side closed it.
    PeerClosed,
    /// It was reset or failed.
    Reset,
    /// It was idle for too long.
    Idle,
    /// What came was not the protocol.
    Malformed,
    /// The other side does not read its answers.
    SlowReader,
    /// The machine refused it.
    Refused,
    /// The machine did not take it up in time.
    ConnectTimeout,
    /// There are as many connections as may be, and this one needed its place least.
    TooMany,
    /// It was made and nothing was asked.
    NoRequest,
    /// A message was begun and not ended.
    Stalled,
    /// Memory has no room for what comes.
    NoRoom,
    /// The machine left the list.
    Retired,
    /// This front is ending.
    Shutdown,
    /// What gives a request up could not be written at once.
    Stuck,
    /// Nothing came for too long where something should.
    Silent,
    /// Events are missing.
    Gap,
    /// The other side has a new address.
    Moved,
}

impl Reason {
    /// The code in the log.
    pub fn code(self) -> &'static str {
        match self {
            Reason::PeerClosed => "peer_closed",
            Reason::Reset => "reset",
            Reason::Idle => "idle",
            Reason::Malformed => "malformed",
            Reason::SlowReader => "slow_reader",
            Reason::Refused => "refused",
            Reason::ConnectTimeout => "connect_timeout",
            Reason::TooMany => "too_many",
            Reason::NoRequest => "no_request",
            Reason::Stalled => "stalled",
            Reason::NoRoom => "no_room",
            Reason::Retired => "retired",
            Reason::Shutdown => "shutdown",
            Reason::Stuck => "stuck",
            Reason::Silent => "silent",
            Reason::Gap => "gap",
            Reason::Moved => "moved",
        }
    }
}
