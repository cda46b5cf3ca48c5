//! Counting Bloom filter with 4-bit counters in two generations, and the run-length encoding of its changes.
//! The number of counters and hashes and the limits on messages are arguments.

use md5::{Digest, Md5};

/// Hashes of one key: the four 32-bit words of its MD5 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHashes(pub [u32; 4]);

/// Hashes a key that consists of several numbers.
pub fn hash_key(parts: &[u64]) -> KeyHashes {
    let mut digest = Md5::new();
    for part in parts {
        digest.update(part.to_be_bytes());
    }
    let sum: [u8; 16] = digest.finalize().into();
    let mut hashes = [0; 4];
    for (out, b) in hashes.iter_mut().zip(sum.chunks_exact(4)) {
        *out = u32::from_be_bytes([b[0], b[1], b[2], b[3]]);
    }
    KeyHashes(hashes)
}

const MAX_COUNTER: u8 = 15;

/// The 4-bit counters of one generation, two in a byte. They occupy memory only from the first increment on:
/// most nodes of a large location get few requests from one router.
#[derive(Clone, Debug, Default)]
struct Generation(Vec<u8>);

impl Generation {
    fn counter(&self, at: u32) -> u8 {
        self.0.get(at as usize / 2).map_or(0, |byte| (byte >> (at % 2 * 4)) & MAX_COUNTER)
    }

    /// Increments (`up`) or decrements one of `counters` counters.
    fn step_counter(&mut self, at: u32, up: bool, counters: usize) {
        let v = self.counter(at);
        // A counter at its maximum no longer has an exact count, so it stays at the maximum until its
        // generation is dropped.
        let new = match (v, up) {
            (MAX_COUNTER, _) | (0, false) => return,
            (_, true) => v + 1,
            (_, false) => v - 1,
        };
        if self.0.is_empty() {
            self.0 = vec![0; counters / 2];
        }
        let (byte, shift) = (&mut self.0[at as usize / 2], at % 2 * 4);
        *byte = (*byte & !(MAX_COUNTER << shift)) | (new << shift);
    }

    fn min_counter(&self, positions: &[u32]) -> u8 {
        positions.iter().map(|&p| self.counter(p)).min().unwrap_or(0)
    }
}

/// Counting Bloom filter with two generations of 4-bit counters.
#[derive(Clone, Debug)]
pub struct Filter {
    current: Generation,
    previous: Generation,
    /// Number of counters in one generation, an even number.
    counters: usize,
    hashes: usize,
}

impl Default for Filter {
    /// Returns the smallest filter, with two counters and one hash.
    fn default() -> Self {
        Filter::new(2, 1)
    }
}

impl Filter {
    /// Creates an empty filter with `counters` counters (at least two, rounded up to an even number) and one
    /// to four `hashes`.
    pub fn new(counters: usize, hashes: usize) -> Self {
        let (current, previous) = (Generation::default(), Generation::default());
        Filter {
            current,
            previous,
            counters: counters.max(2).next_multiple_of(2),
            hashes: hashes.clamp(1, 4),
        }
    }

    /// Number of counters in one generation.
    pub fn counters(&self) -> usize {
        self.counters
    }

    /// Positions of a key's counters, each once, in ascending order.
    pub fn positions(&self, key: KeyHashes) -> Vec<u32> {
        let counters = self.counters() as u32;
        let mut positions: Vec<u32> = key.0[..self.hashes].iter().map(|x| x % counters).collect();
        positions.sort_unstable();
        positions.dedup();
        positions
    }

    /// Whether either generation contains the key; false positives are possible.
    pub fn contains(&self, key: KeyHashes) -> bool {
        self.estimate_count(key) > 0
    }

    /// Estimated count of the key: the larger of the two generations' estimates, at most 15.
    pub fn estimate_count(&self, key: KeyHashes) -> u8 {
        let positions = self.positions(key);
        self.current.min_counter(&positions).max(self.previous.min_counter(&positions))
    }

    /// Increments the key's counters in the current generation, even if it contains the key already.
    pub fn increment(&mut self, key: KeyHashes) {
        for p in self.positions(key) {
            self.current.step_counter(p, true, self.counters);
        }
    }

    /// Adds the key to the current generation unless it contains it already. Returns the changes made.
    pub fn add(&mut self, key: KeyHashes) -> Vec<CounterChange> {
        let positions = self.positions(key);
        if self.current.min_counter(&positions) > 0 {
            return Vec::new();
        }
        positions.into_iter().map(|at| self.apply_change(CounterChange { at, up: true })).collect()
    }

    /// Removes the key from each generation that contains it. Returns the changes made to the current
    /// generation.
    pub fn remove(&mut self, key: KeyHashes) -> Vec<CounterChange> {
        let positions = self.positions(key);
        if self.previous.min_counter(&positions) > 0 {
            positions.iter().for_each(|&p| self.previous.step_counter(p, false, self.counters));
        }
        if self.current.min_counter(&positions) == 0 {
            return Vec::new();
        }
        positions.into_iter().map(|at| self.apply_change(CounterChange { at, up: false })).collect()
    }

    /// Changes that would make an empty filter contain the same keys as this one.
    pub fn changes_from_empty(&self) -> Vec<CounterChange> {
        let is_set = |at: &u32| self.current.counter(*at).max(self.previous.counter(*at)) > 0;
        (0..self.counters() as u32).filter(is_set).map(|at| CounterChange { at, up: true }).collect()
    }

    fn apply_change(&mut self, change: CounterChange) -> CounterChange {
        self.current.step_counter(change.at, change.up, self.counters);
        change
    }

    /// Applies changes received from a peer, and ignores positions outside the filter.
    pub fn apply(&mut self, changes: &[CounterChange]) {
        let counters = self.counters() as u32;
        for &c in changes.iter().filter(|c| c.at < counters) {
            self.apply_change(c);
        }
    }

    /// Starts a new generation and drops the older one.
    pub fn rotate(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    /// Clears all counters in both generations.
    pub fn clear(&mut self) {
        (self.current, self.previous) = (Generation::default(), Generation::default());
    }
}

/// Increment or decrement of one counter of a filter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterChange {
    /// Position of the counter in its generation.
    pub at: u32,
    /// Whether the counter goes up by one; otherwise it goes down by one.
    pub up: bool,
}

fn write_varint(out: &mut Vec<u8>, mut value: u32) {
    while value >= 128 {
        out.push(value as u8 | 128);
        value >>= 7;
    }
    out.push(value as u8);
}

fn read_varint(data: &mut &[u8]) -> Option<u32> {
    let mut value = 0u32;
    for shift in [0u32, 7, 14, 21, 28] {
        let (&byte, rest) = data.split_first()?;
        *data = rest;
        value |= u32::from(byte & 127).checked_shl(shift)?;
        if byte < 128 {
            return Some(value);
        }
    }
    None
}

/// Encodes changes, sorted by position, as the distances between changed counters, in pieces of at most
/// `limit` bytes. The low bit of a distance tells whether the counter after it goes up.
pub fn encode_changes(changes: &[CounterChange], limit: usize) -> Vec<Vec<u8>> {
    let mut sorted = changes.to_vec();
    sorted.sort_unstable();
    let (mut pieces, mut piece, mut last) = (Vec::new(), Vec::new(), 0);
    for c in sorted {
        let mut code = Vec::new();
        write_varint(&mut code, (c.at - last) << 1 | u32::from(c.up));
        if piece.len() + code.len() > limit && !piece.is_empty() {
            pieces.push(std::mem::take(&mut piece));
            code.clear();
            write_varint(&mut code, c.at << 1 | u32::from(c.up));
        }
        piece.extend(code);
        last = c.at;
    }
    if !piece.is_empty() {
        pieces.push(piece);
    }
    pieces
}

/// Decodes one piece for a filter with `counters` counters. A piece that is malformed in any part gives no
/// changes.
pub fn decode_changes(mut data: &[u8], counters: usize) -> Vec<CounterChange> {
    let (mut out, mut last) = (Vec::new(), 0u32);
    while !data.is_empty() {
        let next = read_varint(&mut data).and_then(|v| Some((v, last.checked_add(v >> 1)?)));
        let Some((v, at)) = next.filter(|p| (p.1 as usize) < counters) else { return Vec::new() };
        out.push(CounterChange { at, up: v & 1 == 1 });
        last = at;
    }
    out
}
