//! The two kinds of socket that a link runs on.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;

/// The socket of a connection: a socket of the `may` crate, or one of the standard library that the clients'
/// listener accepted. That listener may be inherited, and `may` can't adopt an inherited socket without
/// `unsafe`.
pub enum Stream {
    /// A socket of the `may` crate: dialled, or accepted on one of its listeners.
    May(TcpStream),
    /// A socket of the standard library that the clients' listener accepted; coroutines wait for it through
    /// `may`.
    Std(CoIo<std::net::TcpStream>),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::May(stream)
    }
}

impl Stream {
    /// The underlying socket, in non-blocking mode.
    pub(super) fn inner(&self) -> &std::net::TcpStream {
        match self {
            Stream::May(s) => s.inner(),
            Stream::Std(s) => s.inner(),
        }
    }

    /// Handle that wakes the coroutine in [`Stream::wait_io`].
    pub(super) fn waker(&self) -> WaitIoWaker {
        match self {
            Stream::May(s) => s.waker(),
            Stream::Std(s) => s.waker(),
        }
    }

    /// Yields until the socket is ready or the waker is used. Only one coroutine may wait at a time.
    pub(super) fn wait_io(&self) {
        match self {
            Stream::May(s) => s.wait_io(),
            Stream::Std(s) => s.wait_io(),
        };
    }
}
