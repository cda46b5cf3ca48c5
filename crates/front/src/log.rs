//! Lines for the operators on standard error, written by a thread of their own: a full pipe must not stop a worker.
//!
//! Parts of the front say what happens as `tracing` events, never as spans: coroutines take turns on one thread, and
//! a span that is entered when one gives way would be the next one's too.

use std::sync::OnceLock;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::util::TryInitError;

/// Lines that wait to be written; more are dropped and counted.
const WAITING: usize = 4096;

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people: time, level, what happens, and its fields as `name=value`.
    #[default]
    Text,
    /// One JSON object a line, its fields beside `timestamp`, `level` and `message`.
    Json,
}

/// Begins to write what parts of the process say, from that level up. The rest of what waits is written when the
/// guard is dropped.
///
/// # Errors
/// Something in the process writes already.
pub fn install(format: Format, least: LevelFilter) -> Result<WorkerGuard, TryInitError> {
    let (to, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING)
        .thread_name("log")
        .finish(std::io::stderr());
    let _ = DROPPED.set(to.error_counter());
    let lines = fmt().with_max_level(least).with_writer(to).with_ansi(false).with_target(false);
    match format {
        Format::Text => lines.finish().try_init()?,
        Format::Json => lines.json().flatten_event(true).with_current_span(false).finish().try_init()?,
    }
    Ok(guard)
}

/// How many lines were dropped so far since too many waited.
pub fn dropped() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
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
    /// No descriptor was left for it.
    NoDescriptor,
    /// The other side's numbers begin anew.
    Renumbered,
    /// A defect of this program ended what served it.
    Defect,
    /// This machine had no port, buffer, memory or route for it.
    NoRoute,
}

impl Reason {
    /// Whether the front ends a connection for this of its own accord, with nobody at fault: it then owes nothing there.
    pub fn is_own_choice(self) -> bool {
        matches!(
            self,
            Reason::Idle | Reason::TooMany | Reason::NoRequest | Reason::Shutdown | Reason::Stalled
        )
    }

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
            Reason::NoDescriptor => "no_descriptor",
            Reason::Renumbered => "renumbered",
            Reason::Defect => "defect",
            Reason::NoRoute => "no_route",
        }
    }
}
