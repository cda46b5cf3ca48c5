//! The two kinds of socket that a link runs on.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;

/// A connection's socket: one of may's, or one of the standard library's that was accepted on a listener handed to the
/// process, which may's own types can't adopt without `unsafe`.
pub enum Stream {
    /// Dialled, or accepted on a listener of may's.
    May(TcpStream),
    /// Accepted on a listener of the standard library's, and waited on by may.
    Std(CoIo<std::net::TcpStream>),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::May(stream)
    }
}

impl Stream {
    /// The socket itself, which does not block.
    pub(super) fn inner(&self) -> &std::net::TcpStream {
        match self {
            Stream::May(s) => s.inner(),
            Stream::Std(s) => s.inner(),
        }
    }

    /// What wakes the coroutine in [`Stream::wait_io`].
    pub(super) fn waker(&self) -> WaitIoWaker {
        match self {
            Stream::May(s) => s.waker(),
            Stream::Std(s) => s.waker(),
        }
    }

    /// Yields until the socket is ready or the waker is used. One coroutine waits at a time.
    pub(super) fn wait_io(&self) {
        match self {
            Stream::May(s) => s.wait_io(),
            Stream::Std(s) => s.wait_io(),
        };
    }
}
