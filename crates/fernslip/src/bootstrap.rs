//! What a router tells one of its location that has just started: what it has learned of the location's machines. One
//! message, rough and bounded; the keys that caches hold follow as ordinary changes.
//!
//! A router that starts knows no width, no pace and no failure. It takes its location's link for as wide as told links
//! let expect, sends to machines that others know to fail, and asks for fills without a limit until its own are late.

use crate::bandwidth::Width;
use crate::state::Cache;

/// Bytes of a message's head, and of a machine in it.
const HEAD: usize = 5;
const EACH: usize = 3 + 6;
const VERSION: u8 = 3;

/// What is told of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// The first bytes of its tag.
    pub tag: [u8; 3],
    /// See [`crate::bandwidth::Link`].
    pub width: Width,
    /// The same of what it was seen to send.
    pub proven: Width,
    /// Its pace.
    pub pace: f64,
    /// The pace of its quicker answers.
    pub quick: f64,
    /// Its moving share of failures.
    pub bad: f64,
}

impl Seen {
    /// What is known of a machine.
    pub fn of(c: &Cache, now: f64) -> Seen {
        let tag = c.tag.to_be_bytes();
        let (pace, quick) = (c.pace_at(now), c.pace_of_quick(now));
        let (width, proven) = (c.link.width, c.link.proven);
        Seen { tag: [tag[0], tag[1], tag[2]], width, proven, pace, quick, bad: c.bad }
    }

    /// Takes it for what this router has seen itself. Whether it fails too often is for its own failures to say: one
    /// more is then enough.
    pub fn fill_in(&self, c: &mut Cache, now: f64) {
        (c.link.width, c.link.proven, c.bad) = (self.width, self.proven, self.bad);
        (c.pace, c.quick, c.paced) = (self.pace, self.quick, now);
    }
}

/// What a router has learned.
#[derive(Clone, Debug, PartialEq)]
pub struct Welcome {
    /// Over how long, in milliseconds.
    pub known_ms: f64,
    /// How many fills the location may have under way; infinite: no limit was found yet.
    pub fills: f64,
    /// Machines, the most useful first; those that find no room are left out.
    pub machines: Vec<Seen>,
}

/// Steps in which a figure is told: a twelfth of an octave, from 2^-10 to 2^11; 0 stands for none.
fn code(v: f64) -> u8 {
    if v.is_finite() && v > 0.0 {
        (v.log2() * 12.0 + 128.0).round().clamp(1.0, 255.0) as u8
    } else {
        0
    }
}

fn value(code: u8) -> f64 {
    if code == 0 {
        0.0
    } else {
        ((f64::from(code) - 128.0) / 12.0).exp2()
    }
}

impl Welcome {
    /// What is known of machines: boxes first, then parents, then the origin.
    pub fn of<'a>(all: impl Iterator<Item = &'a Cache>, now: f64, known_ms: f64, fills: f64) -> Welcome {
        let mut all: Vec<&Cache> = all.collect();
        all.sort_by_key(|c| c.role as u8);
        Welcome { known_ms, fills, machines: all.into_iter().map(|c| Seen::of(c, now)).collect() }
    }

    /// Takes over what is told of machines that were there then. One that has started since, and since `began`, is not
    /// the one that was seen.
    pub fn fill_in<'a>(&self, all: impl Iterator<Item = &'a mut Cache>, now: f64, began: f64) {
        for c in all.filter(|c| c.born <= (now - self.known_ms).max(began)) {
            if let Some(m) = self.machines.iter().find(|m| c.tag.to_be_bytes().starts_with(&m.tag)) {
                m.fill_in(c, now);
            }
        }
    }

    /// Its bytes, `most` at the most.
    pub fn encode(&self, zone: u8, most: usize) -> Vec<u8> {
        let mut out = vec![VERSION, zone, 1, code(self.known_ms / 1000.0), code(self.fills)];
        for m in self.machines.iter().take(most.saturating_sub(HEAD) / EACH) {
            out.extend(m.tag);
            out.push(u8::from(m.width.full) | u8::from(m.proven.full) << 1);
            out.extend([m.width.carries, m.proven.carries, m.pace, m.quick, m.bad].map(code));
        }
        out
    }

    /// Reads one and its sender's location; `None`: it makes no sense.
    pub fn read(data: &[u8]) -> Option<(u8, Welcome)> {
        let [VERSION, zone, 1, known, fills, rest @ ..] = data else { return None };
        if rest.len() % EACH != 0 {
            return None;
        }
        let machine = |b: &[u8]| Seen {
            tag: [b[0], b[1], b[2]],
            width: Width { carries: value(b[4]), full: b[3] & 1 > 0 },
            proven: Width { carries: value(b[5]), full: b[3] & 2 > 0 },
            pace: value(b[6]),
            quick: value(b[7]),
            bad: value(b[8]).min(1.0),
        };
        let fills = if *fills == 0 { f64::INFINITY } else { value(*fills) };
        let machines = rest.chunks_exact(EACH).map(machine).collect();
        Some((*zone, Welcome { known_ms: 1000.0 * value(*known), fills, machines }))
    }
}

#[cfg(test)]
mod tests;
