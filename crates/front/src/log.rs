//! Log lines for operators on standard error, written by a thread of their own, so that a full pipe does not
//! block a worker.
//!
//! Parts of the front emit `tracing` events, never spans: coroutines take turns on one thread, and a span
//! entered by one coroutine would still be active in the next one after a yield.

use std::sync::OnceLock;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::util::TryInitError;

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people: time, level, message, and fields as `name=value`.
    #[default]
    Text,
    /// One JSON object per line, with the fields beside `timestamp`, `level` and `message`.
    Json,
}

/// Starts logging events of the process at level `least` and above. Lines that still wait are written when
/// the guard is dropped.
///
/// # Errors
/// A logger is already installed in this process.
pub fn install(format: Format, least: LevelFilter) -> Result<WorkerGuard, TryInitError> {
    let (to, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
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

/// Number of lines dropped so far because too many were waiting.
pub fn dropped_line_count() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Why a connection ended; logged as a code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The other side closed the connection.
    PeerClosed,
    /// The connection was reset, or reading or writing failed.
    Reset,
    /// The connection was idle for too long.
    Idle,
    /// The other side violated the protocol.
    Malformed,
    /// The other side does not read its answers.
    SlowReader,
    /// The other side refused the connection.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection limit was reached, and this connection was the least needed.
    TooMany,
    /// The client connected and sent no request in time.
    NoRequest,
    /// A message was begun and not completed in time.
    Stalled,
    /// Memory for incomplete messages is exhausted.
    MemoryLimit,
    /// The cache node was removed from the endpoint list.
    NodeRemoved,
    /// This front shuts down.
    Shutdown,
    /// The cancellation of a request could not be written at once.
    CancelBlocked,
    /// Nothing was received for too long although something was expected.
    ReceiveTimeout,
    /// Watch events are missing.
    MissingEvents,
    /// The address of the other side has changed.
    AddressChanged,
    /// No descriptor was left for the connection.
    NoDescriptor,
    /// The other side restarted the numbering of its events.
    Renumbered,
    /// A panic in this program ended the coroutine of the connection.
    Panicked,
    /// This machine had no port, buffer, memory or route for the connection.
    NoRoute,
}

impl Reason {
    /// Whether the front ends a connection for this reason of its own accord, with nobody at fault. No answer
    /// may then be outstanding on that connection.
    pub fn is_own_choice(self) -> bool {
        matches!(
            self,
            Reason::Idle | Reason::TooMany | Reason::NoRequest | Reason::Shutdown | Reason::Stalled
        )
    }

    /// The code of the reason in log lines and metrics.
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
            Reason::MemoryLimit => "no_room",
            Reason::NodeRemoved => "retired",
            Reason::Shutdown => "shutdown",
            Reason::CancelBlocked => "stuck",
            Reason::ReceiveTimeout => "silent",
            Reason::MissingEvents => "gap",
            Reason::AddressChanged => "moved",
            Reason::NoDescriptor => "no_descriptor",
            Reason::Renumbered => "renumbered",
            Reason::Panicked => "defect",
            Reason::NoRoute => "no_route",
        }
    }
}
