//! Receive buffer of a connection: bytes are appended at its end and consumed from its start.

use crate::memory::{block_memory, MemoryAccount, Reservation};
use std::io::{self, Read};
use std::sync::Arc;

/// Minimum free space before a read, in bytes.
const MIN_FREE: usize = 4 * 1024;
/// An emptied buffer larger than this, in bytes, releases its memory, so that one large message does not
/// keep it allocated for good.
const MAX_RETAINED: usize = 64 * 1024;

/// Byte buffer that grows as needed and is compacted in place.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    reservation: Reservation,
}

impl Buffer {
    /// Creates an empty buffer whose memory counts towards this account.
    pub fn with_account(account: Arc<MemoryAccount>) -> Buffer {
        Buffer { reservation: Reservation::new(account), ..Buffer::default() }
    }

    /// Bytes received and not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Drops the first `count` bytes, or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > MAX_RETAINED {
                self.bytes = Vec::new();
                self.reservation.resize(0);
            }
        }
    }

    /// Reads once into the free space at the end; returns the number of bytes read.
    ///
    /// # Errors
    /// The read failed; nothing was added.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        self.reserve_free();
        let n = source.read(&mut self.bytes[self.end..])?;
        self.end += n;
        Ok(n)
    }

    fn reserve_free(&mut self) {
        if self.bytes.len() - self.end >= MIN_FREE {
            return;
        }
        let len = self.end - self.start;
        // Data is moved to the start only if that frees at least as many bytes as it moves; otherwise many
        // small reads would copy the same bytes again and again.
        if self.start >= len && self.bytes.len() - len >= MIN_FREE {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, len);
        } else {
            self.bytes.resize((self.bytes.len() * 2).max(self.end + MIN_FREE), 0);
            self.reservation.resize(block_memory(self.bytes.capacity()));
        }
    }
}

#[cfg(test)]
mod tests;
