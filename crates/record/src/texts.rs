//! Texts by their digest: stored complete, fetched in parts, and reassembled. Parts may come in any order, twice or not
//! at all.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a part: one fits into a datagram.
pub const PART_BYTES: usize = 960;
/// The most bytes of a text.
pub const MAX_TEXT_BYTES: usize = 256 << 10;
/// Parts requested at once: what a loss costs is requested again, and nobody is flooded.
pub const PART_WINDOW: usize = 16;
/// Texts that are reassembled at a time.
const MAX_PARTIAL: usize = 8;

/// A text's digest: the first half of its SHA-256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of a text.
    pub fn of(text: &[u8]) -> Digest {
        use sha2::Digest as _;
        let mut digest = [0; 16];
        digest.copy_from_slice(&sha2::Sha256::digest(text)[..16]);
        Digest(digest)
    }

    /// Its first 8 bytes as a big-endian number.
    pub(crate) fn prefix_u64(&self) -> u64 {
        self.0[..8].iter().fold(0, |n, b| n << 8 | u64::from(*b))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// What is needed to fetch a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextRef {
    /// Its digest.
    pub digest: Digest,
    /// Its length in bytes.
    pub bytes: u32,
}

/// A text that is being reassembled.
#[derive(Debug)]
struct PartialText {
    bytes: usize,
    parts: BTreeMap<u16, Vec<u8>>,
}

impl PartialText {
    fn part_count(&self) -> usize {
        self.bytes.div_ceil(PART_BYTES)
    }

    /// The exact length of a part, which only the last may have below [`PART_BYTES`].
    fn part_bytes(&self, part: u16) -> usize {
        let last = self.part_count() - 1;
        if usize::from(part) == last {
            self.bytes - last * PART_BYTES
        } else {
            PART_BYTES
        }
    }
}

/// The texts that a front has.
#[derive(Debug, Default)]
pub struct TextStore {
    complete: BTreeMap<Digest, Vec<u8>>,
    partial: BTreeMap<Digest, PartialText>,
}

impl TextStore {
    /// A text, if it is complete.
    pub fn get(&self, digest: &Digest) -> Option<&[u8]> {
        self.complete.get(digest).map(Vec::as_slice)
    }

    /// Stores a text; returns its digest, or `None` if it is empty or longer than [`MAX_TEXT_BYTES`].
    pub fn insert(&mut self, text: Vec<u8>) -> Option<Digest> {
        if text.is_empty() || text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let digest = Digest::of(&text);
        self.partial.remove(&digest);
        self.complete.insert(digest, text);
        Some(digest)
    }

    /// The parts of an incomplete text to be requested next; its reassembly begins if there is capacity for it.
    pub fn missing_parts(&mut self, text: TextRef) -> Vec<u16> {
        let TextRef { digest, bytes } = text;
        let bytes = bytes as usize;
        if self.complete.contains_key(&digest) || bytes == 0 || bytes > MAX_TEXT_BYTES {
            return Vec::new();
        }
        if !self.partial.contains_key(&digest) && self.partial.len() >= MAX_PARTIAL {
            return Vec::new();
        }
        let partial =
            self.partial.entry(digest).or_insert_with(|| PartialText { bytes, parts: BTreeMap::new() });
        (0..partial.part_count() as u16)
            .filter(|part| !partial.parts.contains_key(part))
            .take(PART_WINDOW)
            .collect()
    }

    /// The reference of a text that is being reassembled.
    pub fn partial(&self, digest: &Digest) -> Option<TextRef> {
        self.partial.get(digest).map(|p| TextRef { digest: *digest, bytes: p.bytes as u32 })
    }

    /// A part of a complete text.
    pub fn part(&self, digest: &Digest, part: u16) -> Option<&[u8]> {
        self.complete.get(digest)?.chunks(PART_BYTES).nth(usize::from(part))
    }

    /// Adds a received part; `true` if its text is complete with it. One that was not requested, or whose length is
    /// wrong, is ignored.
    pub fn add_part(&mut self, digest: Digest, part: u16, bytes: &[u8]) -> bool {
        let Some(partial) = self.partial.get_mut(&digest) else { return false };
        let part_count = partial.part_count();
        if usize::from(part) >= part_count || bytes.len() != partial.part_bytes(part) {
            return false;
        }
        partial.parts.insert(part, bytes.to_vec());
        if partial.parts.len() < part_count {
            return false;
        }
        let text: Vec<u8> = partial.parts.values().flatten().copied().collect();
        self.partial.remove(&digest);
        // Parts of different senders, one of them corrupt: all are requested again.
        if Digest::of(&text) != digest {
            return false;
        }
        self.complete.insert(digest, text);
        true
    }

    /// Drops all texts but these.
    pub fn retain(&mut self, wanted: &BTreeSet<Digest>) {
        self.complete.retain(|digest, _| wanted.contains(digest));
        self.partial.retain(|digest, _| wanted.contains(digest));
    }

    /// Bytes in memory, those of incomplete texts included.
    pub fn bytes(&self) -> usize {
        let parts = self.partial.values().flat_map(|p| p.parts.values());
        self.complete.values().map(Vec::len).sum::<usize>() + parts.map(Vec::len).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
