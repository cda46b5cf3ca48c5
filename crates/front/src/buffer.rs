//! Receive buffer of a connection.
//!
//! Input is read into an area that all connections use in succession, and messages are decoded there. A
//! connection has memory of its own only for input that stays when its coroutine waits: an incomplete message,
//! or messages that are left to the next quantum.

use crate::memory::{block_memory, MemoryAccount, Reservation};
use crate::sync::lock;
use std::io::{self, Read};
use std::sync::{Arc, Mutex};

/// Maximum number of bytes that one read receives.
pub const MAX_READ_BYTES: usize = 64 * 1024;
/// Number of bytes that one read receives from a client, unless a longer message is known to have begun.
pub const CLIENT_READ_BYTES: usize = 4 * 1024;
/// A buffer that grows allocates this fraction of its length in addition, so that input in many small pieces
/// is not copied for each piece.
const GROWTH_DIVISOR: usize = 4;

/// The read area, unless a connection uses it. A connection that finds none creates another.
static READ_AREA: Mutex<Option<Vec<u8>>> = Mutex::new(None);

fn take_read_area() -> Vec<u8> {
    lock(&READ_AREA).take().unwrap_or_else(|| vec![0; MAX_READ_BYTES])
}

fn return_read_area(area: Vec<u8>) {
    *lock(&READ_AREA) = Some(area);
}

/// Received bytes that are not consumed yet.
pub struct Buffer {
    bytes: Vec<u8>,
    /// The data is `bytes[start..end]`.
    start: usize,
    end: usize,
    /// Whether `bytes` is the read area.
    in_read_area: bool,
    /// The fewest bytes that a read asks for.
    min_read_bytes: usize,
    /// Length of the incomplete message, as far as it is known.
    expected_len: usize,
    /// The memory of `bytes`, unless that is the read area.
    reservation: Reservation,
}

impl Default for Buffer {
    fn default() -> Buffer {
        Buffer::with_account(Arc::default(), MAX_READ_BYTES)
    }
}

impl Buffer {
    /// Creates an empty buffer whose memory counts towards this account, and whose reads ask for at least
    /// `min_read_bytes`, of which there are [`MAX_READ_BYTES`] at most.
    pub fn with_account(account: Arc<MemoryAccount>, min_read_bytes: usize) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            start: 0,
            end: 0,
            in_read_area: false,
            min_read_bytes: min_read_bytes.min(MAX_READ_BYTES),
            expected_len: 0,
            reservation: Reservation::new(account),
        }
    }

    /// Bytes received and not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Drops the first `count` bytes, or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
    }

    /// Reads once and adds what was read; returns the number of bytes read.
    ///
    /// # Errors
    /// The read failed; nothing was added.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        self.store();
        let mut area = take_read_area();
        let result = source.read(&mut area[..self.read_size()]);
        match result {
            Ok(n) if n > 0 && self.bytes.is_empty() => {
                (self.bytes, self.start, self.end, self.in_read_area) = (area, 0, n, true);
            }
            Ok(n) => {
                self.append(&area[..n]);
                return_read_area(area);
            }
            Err(_) => return_read_area(area),
        }
        result
    }

    /// Sets how long the data is to become, as far as the incomplete message in it shows. The next read asks
    /// for what is missing, so that a long message takes few reads, and a connection that sends little more
    /// than a message leaves little behind it.
    pub fn set_expected_len(&mut self, len: usize) {
        self.expected_len = len;
    }

    fn read_size(&self) -> usize {
        let missing = self.expected_len.saturating_sub(self.bytes.len());
        missing.clamp(self.min_read_bytes, MAX_READ_BYTES)
    }

    fn append(&mut self, bytes: &[u8]) {
        let missing = (self.bytes.len() + bytes.len()).saturating_sub(self.bytes.capacity());
        if missing > 0 {
            self.bytes.reserve_exact(bytes.len().max(self.bytes.len() / GROWTH_DIVISOR));
        }
        self.bytes.extend_from_slice(bytes);
        self.end = self.bytes.len();
        self.reservation.resize(block_memory(self.bytes.capacity()));
    }

    /// Stores the data in memory of the buffer's own and releases all other memory. To be called before the
    /// connection's coroutine waits.
    pub fn store(&mut self) {
        if self.in_read_area {
            let stored = self.data().to_vec();
            return_read_area(std::mem::replace(&mut self.bytes, stored));
            self.in_read_area = false;
        } else if self.start > 0 {
            self.bytes.drain(..self.start);
            self.bytes.shrink_to_fit();
        }
        (self.start, self.end) = (0, self.bytes.len());
        self.reservation.resize(block_memory(self.bytes.capacity()));
    }

    /// Memory of the stored data, in bytes.
    pub fn memory(&self) -> usize {
        self.reservation.bytes()
    }

    /// The account that the buffer's memory counts towards.
    pub fn account(&self) -> &MemoryAccount {
        self.reservation.account()
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if self.in_read_area {
            return_read_area(std::mem::take(&mut self.bytes));
        }
    }
}

#[cfg(test)]
mod tests;
