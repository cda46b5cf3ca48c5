//! The listening socket for clients: one inherited from the platform, or one that the front binds itself.
//!
//! A platform that replaces a running process holds the clients' address itself, and every process inherits
//! the listening socket; `$RELAY_PASSED_SOCKET` holds its descriptor number (3 in practice). Binding the
//! address again would fail with `EADDRINUSE`. If the descriptor is not a listening TCP socket, the front
//! logs that and binds the address itself.

use crate::failure::{retry_with_backoff, Failure};
use may::io::{CoIo, WaitIo};
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Environment variable that holds the descriptor number of the inherited listening socket.
pub const INHERITED_SOCKET_VARIABLE: &str = "RELAY_PASSED_SOCKET";
/// Lowest descriptor number that can be inherited: 0 to 2 are standard input, output and error.
const MIN_INHERITED_DESCRIPTOR: u32 = 3;
/// Length of the kernel's queue of connections that wait to be accepted. At peak load thousands of clients
/// connect at once, and the kernel drops those that do not fit.
const LISTEN_BACKLOG: i32 = 4096;

/// Longest time for which registering an accepted connection with the event queue is retried.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Linux's `ENOMEM`, reported for a connection that can't be registered with the event queue.
const ENOMEM: i32 = 12;

/// Where the clients' listening socket comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This process bound the address itself.
    Bound,
    /// Inherited from the platform; other processes may accept connections on it too.
    Inherited,
}

/// Why the descriptor in `$RELAY_PASSED_SOCKET` can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// The value is not a descriptor number of 3 or more.
    #[error("{INHERITED_SOCKET_VARIABLE}={0:?} is not a descriptor number of 3 or more")]
    InvalidNumber(String),
    /// A system call on the descriptor failed.
    #[error("{INHERITED_SOCKET_VARIABLE}: descriptor {0} can't be used as a listening socket: {1}")]
    Io(u32, io::Error),
    /// The descriptor is not a listening TCP socket; the text says what it is instead.
    #[error("{INHERITED_SOCKET_VARIABLE}: descriptor {0} is {1}")]
    WrongKind(u32, &'static str),
}

/// Parses the value of `$RELAY_PASSED_SOCKET`: a descriptor number of 3 or more.
///
/// # Errors
/// The value is not a number, or is less than 3.
pub fn parse_descriptor(value: &str) -> Result<u32, InheritedSocketError> {
    match value.trim().parse::<u32>() {
        Ok(fd) if fd >= MIN_INHERITED_DESCRIPTOR => Ok(fd),
        _ => Err(InheritedSocketError::InvalidNumber(value.into())),
    }
}

/// Takes over the inherited descriptor and checks that it is a listening TCP socket.
fn take_inherited_socket(fd: u32) -> Result<TcpListener, InheritedSocketError> {
    // `listenfd` reads the number of inherited descriptors from these variables, as for socket activation.
    std::env::set_var("LISTEN_FDS", (fd - MIN_INHERITED_DESCRIPTOR + 1).to_string());
    std::env::remove_var("LISTEN_PID");
    let mut fds = listenfd::ListenFd::from_env();
    let taken = fds.take_tcp_listener((fd - MIN_INHERITED_DESCRIPTOR) as usize);
    std::env::remove_var("LISTEN_FDS");
    let listener = match taken {
        Ok(Some(l)) => l,
        Ok(None) => return Err(InheritedSocketError::WrongKind(fd, "not open")),
        Err(e) => return Err(InheritedSocketError::Io(fd, e)),
    };
    let socket = Socket::from(listener);
    match (socket.r#type(), socket.domain(), socket.is_listener()) {
        (Ok(Type::STREAM), Ok(Domain::IPV4 | Domain::IPV6), Ok(true)) => Ok(socket.into()),
        (Ok(Type::STREAM), Ok(Domain::IPV4 | Domain::IPV6), Ok(false)) => {
            Err(InheritedSocketError::WrongKind(fd, "not listening"))
        }
        (Err(e), _, _) | (_, Err(e), _) | (_, _, Err(e)) => Err(InheritedSocketError::Io(fd, e)),
        _ => Err(InheritedSocketError::WrongKind(fd, "not a TCP socket")),
    }
}

/// Binds a listening TCP socket to the address, with a backlog for thousands of clients that connect at
/// once.
///
/// # Errors
/// The address can't be bound.
pub fn bind_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Opens the clients' listening socket: the one in `$RELAY_PASSED_SOCKET` if it is usable, else one bound to
/// `addr`.
///
/// # Errors
/// The address can't be bound. An inherited descriptor that can't be used is only logged.
pub fn open_client_listener(addr: SocketAddr) -> io::Result<(Listener, Origin)> {
    let inherited = std::env::var(INHERITED_SOCKET_VARIABLE).ok().filter(|v| !v.trim().is_empty());
    let taken = match inherited.as_deref().map(|v| parse_descriptor(v).and_then(take_inherited_socket)) {
        Some(Ok(l)) => Some(l),
        Some(Err(error)) => {
            tracing::warn!("inherited listening socket is not used: {error}; binding {addr} instead");
            None
        }
        None => None,
    };
    let (listener, origin) = match taken {
        Some(l) => (l, Origin::Inherited),
        None => (bind_listener(addr)?, Origin::Bound),
    };
    let co = CoIo::new(listener).map_err(io::Error::from)?;
    Ok((Listener(co), origin))
}

/// Listening TCP socket on which coroutines wait for connections.
pub struct Listener(CoIo<TcpListener>);

impl Listener {
    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// `getsockname(2)` failed.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.inner().local_addr()
    }

    /// Waits in the calling coroutine for the next connection; returns `None` once `stop` is set.
    ///
    /// An inherited socket is shared with the process that replaces this one: a connection that is not
    /// accepted here is accepted there, so none is accepted only to be dropped.
    ///
    /// # Errors
    /// `accept(2)` failed, for example because no descriptor is left or the client has already disconnected.
    pub fn accept(&self, stop: &AtomicBool) -> io::Result<Option<(CoIo<TcpStream>, SocketAddr)>> {
        loop {
            if stop.load(Ordering::Acquire) {
                return Ok(None);
            }
            match self.0.inner().accept() {
                Ok((stream, peer)) => return Ok(Some((register_with_event_queue(stream)?, peer))),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.0.wait_io();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Handle that wakes the coroutine in [`Listener::accept`], so that it checks `stop` again.
    pub fn waker(&self) -> may::io::WaitIoWaker {
        self.0.waker()
    }

    /// Accepts a connection that is already pending, without waiting; `None` if there is none.
    ///
    /// # Errors
    /// As for [`Listener::accept`].
    pub fn try_accept(&self) -> io::Result<Option<(CoIo<TcpStream>, SocketAddr)>> {
        loop {
            match self.0.inner().accept() {
                Ok((stream, peer)) => return Ok(Some((register_with_event_queue(stream)?, peer))),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// Registers an accepted connection with the event queue. The client already expects answers, so a temporary
/// shortage of memory is retried instead of dropping the connection.
fn register_with_event_queue(stream: TcpStream) -> io::Result<CoIo<TcpStream>> {
    let mut pending = Some(stream);
    retry_with_backoff(
        REGISTER_TIMEOUT,
        |e: &io::Error| Failure::classify(e) != Failure::Remote,
        |_| {
            let stream = pending.take().ok_or_else(|| {
                io::Error::other("accepted connection was already handed to the event queue")
            })?;
            CoIo::new(stream).map_err(|failed| {
                // The error number is lost when the connection is taken back from the error; `ENOMEM` stands
                // in for it.
                let e = io::Error::from_raw_os_error(ENOMEM);
                pending = Some(failed.into_data());
                e
            })
        },
    )
}

#[cfg(test)]
#[path = "listen/tests.rs"]
mod tests;
