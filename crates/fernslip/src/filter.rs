//! A counting Bloom filter with 4-bit counters in two generations, and the run-length code of its changes.
//! A plain data structure: size, number of hashes and message limits are arguments.

use md5::{Digest, Md5};

/// The hashes of one key: the four 32-bit words of an MD5 sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hashes(pub [u32; 4]);

/// Hashes the parts of a key.
pub fn hash(parts: &[u64]) -> Hashes {
    let mut md = Md5::new();
    for w in parts {
        md.update(w.to_be_bytes());
    }
    let sum: [u8; 16] = md.finalize().into();
    let mut h = [0; 4];
    for (out, b) in h.iter_mut().zip(sum.chunks_exact(4)) {
        *out = u32::from_be_bytes([b[0], b[1], b[2], b[3]]);
    }
    Hashes(h)
}

const SATURATED: u8 = 15;

/// Two generations of 4-bit counters.
#[derive(Clone, Debug)]
pub struct Filter {
    current: Vec<u8>,
    previous: Vec<u8>,
    hashes: usize,
}

impl Default for Filter {
    /// The smallest filter.
    fn default() -> Self {
        Filter::new(2, 1)
    }
}

impl Filter {
    /// A filter of `counters` counters (at least two) and up to four `hashes`.
    pub fn new(counters: usize, hashes: usize) -> Self {
        let n = counters.max(2).div_ceil(2);
        Filter { current: vec![0; n], previous: vec![0; n], hashes: hashes.clamp(1, 4) }
    }

    /// Number of counters in a generation.
    pub fn counters(&self) -> usize {
        self.current.len() * 2
    }

    /// The counters of a key, each once, in ascending order.
    pub fn positions(&self, h: Hashes) -> Vec<u32> {
        let m = self.counters() as u32;
        let mut p: Vec<u32> = h.0[..self.hashes].iter().map(|x| x % m).collect();
        p.sort_unstable();
        p.dedup();
        p
    }

    fn counter(gen: &[u8], at: u32) -> u8 {
        (gen[at as usize / 2] >> (at % 2 * 4)) & SATURATED
    }

    fn step(gen: &mut [u8], at: u32, up: bool) {
        let (byte, shift) = (&mut gen[at as usize / 2], at % 2 * 4);
        let v = (*byte >> shift) & SATURATED;
        // A saturated counter has lost count: it stays so until its generation is dropped.
        let new = match (v, up) {
            (SATURATED, _) | (0, false) => v,
            (_, true) => v + 1,
            (_, false) => v - 1,
        };
        *byte = (*byte & !(SATURATED << shift)) | (new << shift);
    }

    fn minimum(gen: &[u8], positions: &[u32]) -> u8 {
        positions.iter().map(|&p| Self::counter(gen, p)).min().unwrap_or(0)
    }

    /// Whether either generation contains the key, or seems to.
    pub fn contains(&self, h: Hashes) -> bool {
        self.count(h) > 0
    }

    /// The larger of both generations' estimates, 15 at most.
    pub fn count(&self, h: Hashes) -> u8 {
        let p = self.positions(h);
        Self::minimum(&self.current, &p).max(Self::minimum(&self.previous, &p))
    }

    /// Counts the key in the current generation, whether it is there or not.
    pub fn bump(&mut self, h: Hashes) {
        for p in self.positions(h) {
            Self::step(&mut self.current, p, true);
        }
    }

    /// Adds the key to the current generation if that lacks it; the changes made.
    pub fn add(&mut self, h: Hashes) -> Vec<Change> {
        let positions = self.positions(h);
        if Self::minimum(&self.current, &positions) > 0 {
            return Vec::new();
        }
        positions.into_iter().map(|at| self.apply_one(Change { at, up: true })).collect()
    }

    /// Removes the key from each generation that contains it; the changes made to the current one.
    pub fn remove(&mut self, h: Hashes) -> Vec<Change> {
        let positions = self.positions(h);
        if Self::minimum(&self.previous, &positions) > 0 {
            positions.iter().for_each(|&p| Self::step(&mut self.previous, p, false));
        }
        if Self::minimum(&self.current, &positions) == 0 {
            return Vec::new();
        }
        positions.into_iter().map(|at| self.apply_one(Change { at, up: false })).collect()
    }

    /// The changes that would make an empty filter contain what this one does.
    pub fn set_counters(&self) -> Vec<Change> {
        let is_set = |at: &u32| Self::counter(&self.current, *at).max(Self::counter(&self.previous, *at)) > 0;
        (0..self.counters() as u32).filter(is_set).map(|at| Change { at, up: true }).collect()
    }

    fn apply_one(&mut self, c: Change) -> Change {
        Self::step(&mut self.current, c.at, c.up);
        c
    }

    /// Applies a peer's changes; positions outside the filter are skipped.
    pub fn apply(&mut self, changes: &[Change]) {
        let m = self.counters() as u32;
        for &c in changes.iter().filter(|c| c.at < m) {
            self.apply_one(c);
        }
    }

    /// Begins a new generation and drops the older one.
    pub fn rotate(&mut self) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
    }

    /// Empties both generations.
    pub fn clear(&mut self) {
        self.current.fill(0);
        self.previous.fill(0);
    }
}

/// One counter stepped up or down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// Which counter.
    pub at: u32,
    /// Up, or down.
    pub up: bool,
}

fn put_varint(out: &mut Vec<u8>, mut v: u32) {
    while v >= 128 {
        out.push(v as u8 | 128);
        v >>= 7;
    }
    out.push(v as u8);
}

fn take_varint(data: &mut &[u8]) -> Option<u32> {
    let mut v = 0u32;
    for shift in [0u32, 7, 14, 21, 28] {
        let (&b, rest) = data.split_first()?;
        *data = rest;
        v |= u32::from(b & 127).checked_shl(shift)?;
        if b < 128 {
            return Some(v);
        }
    }
    None
}

/// Codes sorted changes as the runs of untouched counters between them, in pieces of at most `limit` bytes.
/// The low bit of a run's length says which way the counter after it goes.
pub fn encode(changes: &[Change], limit: usize) -> Vec<Vec<u8>> {
    let mut sorted = changes.to_vec();
    sorted.sort_unstable();
    let (mut pieces, mut piece, mut last) = (Vec::new(), Vec::new(), 0);
    for c in sorted {
        let mut code = Vec::new();
        put_varint(&mut code, (c.at - last) << 1 | u32::from(c.up));
        if piece.len() + code.len() > limit && !piece.is_empty() {
            pieces.push(std::mem::take(&mut piece));
            code.clear();
            put_varint(&mut code, c.at << 1 | u32::from(c.up));
        }
        piece.extend(code);
        last = c.at;
    }
    if !piece.is_empty() {
        pieces.push(piece);
    }
    pieces
}

/// Decodes one piece, completely or not at all, for a filter of `counters`. A malformed piece has no changes.
pub fn decode(mut data: &[u8], counters: usize) -> Vec<Change> {
    let (mut out, mut last) = (Vec::new(), 0u32);
    while !data.is_empty() {
        let next = take_varint(&mut data).and_then(|v| Some((v, last.checked_add(v >> 1)?)));
        let Some((v, at)) = next.filter(|p| (p.1 as usize) < counters) else { return Vec::new() };
        out.push(Change { at, up: v & 1 == 1 });
        last = at;
    }
    out
}
