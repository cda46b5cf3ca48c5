//! What the other side of a connection has received, as far as the system knows.
//!
//! A successful write only hands bytes to the system, which holds some megabytes for a slow reader and sends
//! them as the other side's receive buffer has space for them. What was sent reaches that buffer, at the latest
//! after retransmissions. An acknowledgement is not required: the other side's system may delay it until
//! it sends something itself.

use std::net::TcpStream;
use std::os::fd::AsRawFd;

/// Number of 32-bit integers in Linux's `struct tcp_info` up to `tcpi_notsent_bytes`.
const TCP_INFO_LENGTH: usize = 37;
/// Index of the first of the two halves of `tcpi_bytes_acked`.
const BYTES_ACKED_INDEX: usize = 30;
/// Index of `tcpi_notsent_bytes`: bytes that were written and not sent.
const NOTSENT_BYTES_INDEX: usize = 36;

/// How far the system has delivered the bytes that were written to a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Bytes that the other side's system has acknowledged since the connection began.
    pub acknowledged_bytes: u64,
    /// Whether all bytes that were written have been sent to the other side's receive buffer.
    pub complete: bool,
}

impl Delivery {
    /// Reads the delivery of a socket (`TCP_INFO`); `None` if the system does not report it.
    pub fn of_socket(socket: &TcpStream) -> Option<Delivery> {
        let mut info = [0_u32; TCP_INFO_LENGTH];
        let option = uapi::getsockopt(socket.as_raw_fd(), uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO, &mut info);
        if option.ok()? < size_of_val(&info) {
            return None;
        }
        let [low, high] = [info[BYTES_ACKED_INDEX], info[BYTES_ACKED_INDEX + 1]].map(u32::to_ne_bytes);
        let mut bytes_acked = [0; 8];
        bytes_acked[..4].copy_from_slice(&low);
        bytes_acked[4..].copy_from_slice(&high);
        Some(Delivery {
            acknowledged_bytes: u64::from_ne_bytes(bytes_acked),
            complete: info[NOTSENT_BYTES_INDEX] == 0,
        })
    }
}

#[cfg(test)]
mod tests;
