//! Texts identified by their digest: stored complete, fetched in parts, and reassembled. Parts may arrive in
//! any order, twice or not at all.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Size of each part of a text except the last, in bytes; a part fits into one datagram.
pub const PART_BYTES: usize = 960;
/// Maximum size of a text in bytes.
pub const MAX_TEXT_BYTES: usize = 256 << 10;
/// Maximum number of parts in one request. Lost parts are requested again, and the limit prevents fronts
/// from being flooded with parts.
pub const MAX_PARTS_PER_REQUEST: usize = 16;
/// Maximum number of texts that are reassembled at the same time.
const MAX_PARTIAL_TEXTS: usize = 8;

/// Digest of a text: the first 16 bytes of its SHA-256 hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Computes the digest of a text.
    pub fn of(text: &[u8]) -> Digest {
        use sha2::Digest as _;
        let mut digest = [0; 16];
        digest.copy_from_slice(&sha2::Sha256::digest(text)[..16]);
        Digest(digest)
    }

    /// The first 8 bytes of the digest as a big-endian number.
    pub(crate) fn prefix_u64(&self) -> u64 {
        self.0[..8].iter().fold(0, |n, b| n << 8 | u64::from(*b))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// Digest and length of a text, which is what a front needs to fetch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextRef {
    /// Digest of the text referred to.
    pub digest: Digest,
    /// Length of the text in bytes.
    pub bytes: u32,
}

/// A text that is being reassembled from its parts.
#[derive(Debug)]
struct PartialText {
    bytes: usize,
    parts: BTreeMap<u16, Vec<u8>>,
}

impl PartialText {
    fn part_count(&self) -> usize {
        self.bytes.div_ceil(PART_BYTES)
    }

    /// Exact length of a part in bytes; only the last part may be shorter than [`PART_BYTES`].
    fn expected_part_bytes(&self, part: u16) -> usize {
        let last = self.part_count() - 1;
        if usize::from(part) == last {
            self.bytes - last * PART_BYTES
        } else {
            PART_BYTES
        }
    }
}

/// The texts in a front's memory, both complete and still being reassembled.
#[derive(Debug, Default)]
pub struct TextStore {
    complete: BTreeMap<Digest, Vec<u8>>,
    partial: BTreeMap<Digest, PartialText>,
}

impl TextStore {
    /// The text with this digest; `None` unless the complete text is stored.
    pub fn get(&self, digest: &Digest) -> Option<&[u8]> {
        self.complete.get(digest).map(Vec::as_slice)
    }

    /// Stores a complete text and returns its digest; `None` if the text is empty or longer than
    /// [`MAX_TEXT_BYTES`].
    pub fn insert(&mut self, text: Vec<u8>) -> Option<Digest> {
        if text.is_empty() || text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let digest = Digest::of(&text);
        self.partial.remove(&digest);
        self.complete.insert(digest, text);
        Some(digest)
    }

    /// Indices of the parts of a text to be requested next, at most [`MAX_PARTS_PER_REQUEST`]; its
    /// reassembly is begun if it has not begun yet. Empty if the text is complete, its length is invalid, or
    /// too many other texts are being reassembled.
    pub fn missing_parts(&mut self, text: TextRef) -> Vec<u16> {
        let TextRef { digest, bytes } = text;
        let bytes = bytes as usize;
        if self.complete.contains_key(&digest) || bytes == 0 || bytes > MAX_TEXT_BYTES {
            return Vec::new();
        }
        if !self.partial.contains_key(&digest) && self.partial.len() >= MAX_PARTIAL_TEXTS {
            return Vec::new();
        }
        let partial =
            self.partial.entry(digest).or_insert_with(|| PartialText { bytes, parts: BTreeMap::new() });
        (0..partial.part_count() as u16)
            .filter(|part| !partial.parts.contains_key(part))
            .take(MAX_PARTS_PER_REQUEST)
            .collect()
    }

    /// Digest and length of a text that is being reassembled; `None` if it is not.
    pub fn partial_text_ref(&self, digest: &Digest) -> Option<TextRef> {
        self.partial.get(digest).map(|p| TextRef { digest: *digest, bytes: p.bytes as u32 })
    }

    /// The bytes of one part of a complete text; `None` if the text is incomplete or has no such part.
    pub fn part_content(&self, digest: &Digest, part: u16) -> Option<&[u8]> {
        self.complete.get(digest)?.chunks(PART_BYTES).nth(usize::from(part))
    }

    /// Adds a received part; returns `true` if it completes the text. A part that was not requested, or
    /// whose length is wrong, is ignored.
    pub fn add_part(&mut self, digest: Digest, part: u16, bytes: &[u8]) -> bool {
        let Some(partial) = self.partial.get_mut(&digest) else { return false };
        let part_count = partial.part_count();
        if usize::from(part) >= part_count || bytes.len() != partial.expected_part_bytes(part) {
            return false;
        }
        partial.parts.insert(part, bytes.to_vec());
        if partial.parts.len() < part_count {
            return false;
        }
        let text: Vec<u8> = partial.parts.values().flatten().copied().collect();
        self.partial.remove(&digest);
        // Some part was corrupt, and it is unknown which: the parts are discarded, and all are requested
        // again.
        if Digest::of(&text) != digest {
            return false;
        }
        self.complete.insert(digest, text);
        true
    }

    /// Drops all texts whose digest is not in `wanted`.
    pub fn retain(&mut self, wanted: &BTreeSet<Digest>) {
        self.complete.retain(|digest, _| wanted.contains(digest));
        self.partial.retain(|digest, _| wanted.contains(digest));
    }

    /// Size of all texts in memory, in bytes, with the received parts of incomplete ones.
    pub fn memory_bytes(&self) -> usize {
        let parts = self.partial.values().flat_map(|p| p.parts.values());
        self.complete.values().map(Vec::len).sum::<usize>() + parts.map(Vec::len).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
