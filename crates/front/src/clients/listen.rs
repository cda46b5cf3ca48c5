//! The clients' listening socket: one that the platform hands over, or one of the front's own.
//!
//! Where the platform replaces a process while it serves, it holds the clients' address itself and every process
//! inherits the listening socket, named by its descriptor number in `$RELAY_PASSED_SOCKET` (3 in practice). Binding
//! the address again would fail with `EADDRINUSE`, so a front takes that socket; one that is no listening TCP socket
//! is reported and the front binds as it always did.

use crate::failure::{patiently, Failure};
use may::io::{CoIo, WaitIo};
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The variable that names the descriptor.
pub const PASSED: &str = "RELAY_PASSED_SOCKET";
/// The first descriptor after standard input, output and error, where handed sockets begin.
const FIRST_PASSED: u32 = 3;
/// Connections that wait to be accepted: thousands come at once on the hard days, and the kernel drops what
/// does not fit.
const BACKLOG: i32 = 4096;

/// For so long an accepted connection waits for its place in the event queue.
const REGISTERED_WITHIN: Duration = Duration::from_secs(1);
/// What a connection that can't be registered is taken to have met.
const ENOMEM: i32 = 12;

/// Where the clients' socket came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Bound by this process.
    Bound,
    /// Handed over by the platform; other processes may accept on it too.
    Passed,
}

/// Why a handed descriptor is not used.
#[derive(Debug)]
pub enum PassError {
    /// The variable holds no descriptor number of 3 or more.
    Number(String),
    /// It can't be had as a socket.
    Take(u32, io::Error),
    /// It is a socket, but not a listening TCP one.
    Kind(u32, &'static str),
}

impl std::fmt::Display for PassError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PassError::Number(v) => write!(f, "{PASSED}={v:?} is no descriptor of 3 or more"),
            PassError::Take(fd, e) => write!(f, "{PASSED}: descriptor {fd}: {e}"),
            PassError::Kind(fd, what) => write!(f, "{PASSED}: descriptor {fd} is {what}"),
        }
    }
}

/// Reads the variable's value: a descriptor number, of 3 or more.
pub fn descriptor(value: &str) -> Result<u32, PassError> {
    match value.trim().parse::<u32>() {
        Ok(fd) if fd >= FIRST_PASSED => Ok(fd),
        _ => Err(PassError::Number(value.into())),
    }
}

/// Takes the handed descriptor and checks that it is a listening TCP socket.
fn take(fd: u32) -> Result<TcpListener, PassError> {
    // The library reads the count of handed descriptors from the environment, as socket activation sets it.
    std::env::set_var("LISTEN_FDS", (fd - FIRST_PASSED + 1).to_string());
    std::env::remove_var("LISTEN_PID");
    let mut fds = listenfd::ListenFd::from_env();
    let taken = fds.take_tcp_listener((fd - FIRST_PASSED) as usize);
    std::env::remove_var("LISTEN_FDS");
    let listener = match taken {
        Ok(Some(l)) => l,
        Ok(None) => return Err(PassError::Kind(fd, "not open")),
        Err(e) => return Err(PassError::Take(fd, e)),
    };
    let socket = Socket::from(listener);
    match (socket.r#type(), socket.domain(), socket.is_listener()) {
        (Ok(Type::STREAM), Ok(Domain::IPV4 | Domain::IPV6), Ok(true)) => Ok(socket.into()),
        (Ok(Type::STREAM), Ok(Domain::IPV4 | Domain::IPV6), Ok(false)) => {
            Err(PassError::Kind(fd, "not listening"))
        }
        (Err(e), _, _) | (_, Err(e), _) | (_, _, Err(e)) => Err(PassError::Take(fd, e)),
        _ => Err(PassError::Kind(fd, "no TCP socket")),
    }
}

/// Binds the address with room for many that connect at once.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// The clients' listener: the handed one where `$RELAY_PASSED_SOCKET` names a usable one, else one bound to `at`.
///
/// # Errors
/// The address can't be bound. A handed descriptor that can't be used is logged and not an error.
pub fn clients(at: SocketAddr) -> io::Result<(Listener, Origin)> {
    let passed = std::env::var(PASSED).ok().filter(|v| !v.trim().is_empty());
    let taken = match passed.as_deref().map(|v| descriptor(v).and_then(take)) {
        Some(Ok(l)) => Some(l),
        Some(Err(why)) => {
            tracing::warn!("{why}; binding {at} instead");
            None
        }
        None => None,
    };
    let (listener, origin) = match taken {
        Some(l) => (l, Origin::Passed),
        None => (bind(at)?, Origin::Bound),
    };
    let co = CoIo::new(listener).map_err(io::Error::from)?;
    Ok((Listener(co), origin))
}

/// A listener of the standard library's that coroutines wait on.
pub struct Listener(CoIo<TcpListener>);

impl Listener {
    /// Its address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.inner().local_addr()
    }

    /// The next connection, waiting in the coroutine for one; `None` once `stop` is set. A handed socket is shared
    /// with the process that replaces this one, so what is not accepted here is accepted there: nothing is taken
    /// only to be dropped.
    ///
    /// # Errors
    /// As `accept(2)`: out of descriptors, or a client that left at once.
    pub fn accept(&self, stop: &AtomicBool) -> io::Result<Option<(CoIo<TcpStream>, SocketAddr)>> {
        loop {
            if stop.load(Ordering::Acquire) {
                return Ok(None);
            }
            match self.0.inner().accept() {
                Ok((stream, peer)) => return Ok(Some((registered(stream)?, peer))),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.0.wait_io();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Wakes the coroutine that waits for a connection, so that it looks at its `stop`.
    pub fn waker(&self) -> may::io::WaitIoWaker {
        self.0.waker()
    }

    /// A connection that waits already; `None`: none does.
    ///
    /// # Errors
    /// As [`Listener::accept`].
    pub fn accept_waiting(&self) -> io::Result<Option<(CoIo<TcpStream>, SocketAddr)>> {
        loop {
            match self.0.inner().accept() {
                Ok((stream, peer)) => return Ok(Some((registered(stream)?, peer))),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// Gives an accepted connection to the event queue. It is owed answers already: where the machine has no memory for a moment,
/// it is not dropped for that.
fn registered(stream: TcpStream) -> io::Result<CoIo<TcpStream>> {
    let mut held = Some(stream);
    patiently(
        REGISTERED_WITHIN,
        |e: &io::Error| Failure::of(e) != Failure::Remote,
        |_| {
            let stream = held.take().ok_or_else(|| io::Error::other("taken"))?;
            CoIo::new(stream).map_err(|failed| {
                // The error tells its number only when it gives the connection up.
                let e = io::Error::from_raw_os_error(ENOMEM);
                held = Some(failed.into_data());
                e
            })
        },
    )
}

#[cfg(test)]
#[path = "listen/tests.rs"]
mod tests;
