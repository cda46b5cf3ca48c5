//! The one buffer of a connection: bytes come in at its end and leave at its front.

use std::io::{self, Read};

const LEAST_ROOM: usize = 4 * 1024;
/// An emptied buffer larger than this gives its memory back: one large message must not hold it for good.
const KEEP: usize = 64 * 1024;

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

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        self.start = self.start.saturating_add(n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > KEEP {
                self.bytes = Vec::new();
            }
        }
    }

    /// Reads once into the free end; how much came.
    pub fn read_from(&mut self, from: &mut impl Read) -> io::Result<usize> {
        self.make_room();
        let n = from.read(&mut self.bytes[self.end..])?;
        self.end += n;
        Ok(n)
    }

    fn make_room(&mut self) {
        if self.bytes.len() - self.end >= LEAST_ROOM {
            return;
        }
        let held = self.end - self.start;
        // Moved down only where that frees at least as much as it moves: else a slow trickle would copy the
        // same bytes again and again.
        if self.start >= held && self.bytes.len() - held >= LEAST_ROOM {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, held);
        } else {
            self.bytes.resize((self.bytes.len() * 2).max(self.end + LEAST_ROOM), 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn grows_compacts_and_gives_memory_back() {
        let mut b = Buffer::default();
        let all: Vec<u8> = (0..200_000u32).map(|i| (i % 251) as u8).collect();
        let (mut from, mut seen) = (&all[..], Vec::new());
        while b.read_from(&mut from).unwrap() > 0 {
            let n = b.data().len() / 3;
            seen.extend_from_slice(&b.data()[..n]);
            b.consume(n);
        }
        seen.extend_from_slice(b.data());
        assert_eq!(seen, all);
        b.consume(usize::MAX);
        assert!(b.data().is_empty() && b.bytes.len() <= KEEP);
    }
}
