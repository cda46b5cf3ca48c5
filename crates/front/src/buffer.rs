//! The one buffer of a connection: bytes come in at its end and are consumed at its front.

use std::io::{self, Read};

/// At least so many bytes are free before a read.
const MIN_FREE: usize = 4 * 1024;
/// An emptied buffer larger than this gives its memory back: one large message must not keep it for good.
const MAX_RETAINED: usize = 64 * 1024;

/// Grows as it needs and is compacted in place.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What has come in and was not consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Drops the first `n` bytes, or all if there are fewer.
    pub fn consume(&mut self, n: usize) {
        self.start = self.start.saturating_add(n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > MAX_RETAINED {
                self.bytes = Vec::new();
            }
        }
    }

    /// Reads once into the free end; how many bytes came.
    ///
    /// # Errors
    /// That of the read; nothing has come.
    pub fn read_from(&mut self, from: &mut impl Read) -> io::Result<usize> {
        self.reserve_free();
        let n = from.read(&mut self.bytes[self.end..])?;
        self.end += n;
        Ok(n)
    }

    fn reserve_free(&mut self) {
        if self.bytes.len() - self.end >= MIN_FREE {
            return;
        }
        let len = self.end - self.start;
        // Moved down only where that frees at least as much as it moves: else a slow trickle would copy the
        // same bytes again and again.
        if self.start >= len && self.bytes.len() - len >= MIN_FREE {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, len);
        } else {
            self.bytes.resize((self.bytes.len() * 2).max(self.end + MIN_FREE), 0);
        }
    }
}

#[cfg(test)]
mod tests;
