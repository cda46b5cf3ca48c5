//! Texts by their digest: held, asked for in parts, and put together. Parts may come in any order, twice or not at all.

use crate::rules::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a part: one fits into a datagram.
pub const PART: usize = 960;
/// No text is longer.
pub const MOST_TEXT: usize = 256 << 10;
/// Parts asked for at once: what a loss costs is asked again, and nobody is flooded.
pub const WINDOW: usize = 16;
/// Texts that are put together at a time.
const MOST_OPEN: usize = 8;

#[derive(Debug)]
struct Open {
    bytes: usize,
    parts: BTreeMap<u16, Vec<u8>>,
}

/// The texts that a front has.
#[derive(Debug, Default)]
pub struct Texts {
    whole: BTreeMap<Digest, Vec<u8>>,
    open: BTreeMap<Digest, Open>,
}

fn parts(bytes: usize) -> usize {
    bytes.div_ceil(PART)
}

impl Texts {
    /// A text that is held whole.
    pub fn get(&self, d: &Digest) -> Option<&[u8]> {
        self.whole.get(d).map(Vec::as_slice)
    }

    /// Holds a text; its digest. `None`: it is too long or empty.
    pub fn put(&mut self, text: Vec<u8>) -> Option<Digest> {
        if text.is_empty() || text.len() > MOST_TEXT {
            return None;
        }
        let d = Digest::of(&text);
        self.open.remove(&d);
        self.whole.insert(d, text);
        Some(d)
    }

    /// The parts to be asked for next, of a text of that many bytes that is not held. It is begun if there is room.
    pub fn lacks(&mut self, d: Digest, bytes: usize) -> Vec<u16> {
        if self.whole.contains_key(&d) || bytes == 0 || bytes > MOST_TEXT {
            return Vec::new();
        }
        if !self.open.contains_key(&d) && self.open.len() >= MOST_OPEN {
            return Vec::new();
        }
        let open = self.open.entry(d).or_insert_with(|| Open { bytes, parts: BTreeMap::new() });
        (0..parts(open.bytes) as u16).filter(|p| !open.parts.contains_key(p)).take(WINDOW).collect()
    }

    /// Bytes of a text that is being put together.
    pub fn length(&self, d: &Digest) -> Option<u32> {
        self.open.get(d).map(|o| o.bytes as u32)
    }

    /// A part of a text that is held.
    pub fn part(&self, d: &Digest, part: u16) -> Option<&[u8]> {
        self.whole.get(d)?.chunks(PART).nth(usize::from(part))
    }

    /// A part came; `true` when its text is whole with it. One that was not asked for, or does not fit, is passed over.
    pub fn take(&mut self, d: Digest, part: u16, bytes: &[u8]) -> bool {
        let Some(open) = self.open.get_mut(&d) else { return false };
        let last = parts(open.bytes) - 1;
        let due = if usize::from(part) == last { open.bytes - last * PART } else { PART };
        if usize::from(part) > last || bytes.len() != due {
            return false;
        }
        open.parts.insert(part, bytes.to_vec());
        if open.parts.len() <= last {
            return false;
        }
        let text: Vec<u8> = open.parts.values().flatten().copied().collect();
        self.open.remove(&d);
        // Parts of different senders, one of them wrong: all are asked for again.
        if Digest::of(&text) != d {
            return false;
        }
        self.whole.insert(d, text);
        true
    }

    /// Lets go of all but these.
    pub fn keep(&mut self, wanted: &BTreeSet<Digest>) {
        self.whole.retain(|d, _| wanted.contains(d));
        self.open.retain(|d, _| wanted.contains(d));
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        let open = self.open.values().flat_map(|o| o.parts.values());
        self.whole.values().map(Vec::len).sum::<usize>() + open.map(Vec::len).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
