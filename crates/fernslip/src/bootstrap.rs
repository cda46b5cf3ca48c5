//! What a router tells one of its location that has just started: what it has learned of the location's machines. One
//! message, rough and bounded; the keys that caches hold follow as ordinary changes.
//!
//! A router that starts knows no width, no pace and no failure. It takes its location's link for as wide as told links
//! let expect, sends to machines that others know to fail, and asks for fills without a limit until its own are late.

use crate::bandwidth::Bandwidth;
use crate::state::Node;

/// Bytes of a message's head, and of a machine in it.
const HEADER_BYTES: usize = 5;
const NODE_BYTES: usize = 3 + 6;
const VERSION: u8 = 3;

/// What is told of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeState {
    /// The first bytes of its tag.
    pub tag: [u8; 3],
    /// See [`crate::bandwidth::Link`].
    pub bandwidth: Bandwidth,
    /// The same of what it was seen to send.
    pub proven: Bandwidth,
    /// Its pace.
    pub pace: f64,
    /// The pace of its quicker answers.
    pub quick_pace: f64,
    /// Its moving share of failures.
    pub failure_rate: f64,
}

impl NodeState {
    /// What is known of a machine.
    pub fn of(c: &Node, now: f64) -> NodeState {
        let tag = c.tag.to_be_bytes();
        let (pace, quick_pace) = (c.pace_at(now), c.quick_pace_at(now));
        let (bandwidth, proven) = (c.link.bandwidth, c.link.proven);
        NodeState {
            tag: [tag[0], tag[1], tag[2]],
            bandwidth,
            proven,
            pace,
            quick_pace,
            failure_rate: c.failure_rate,
        }
    }

    /// Takes it for what this router has seen itself. Whether it fails too often is for its own failures to say: one
    /// more is then enough.
    pub fn apply(&self, c: &mut Node, now: f64) {
        (c.link.bandwidth, c.link.proven, c.failure_rate) = (self.bandwidth, self.proven, self.failure_rate);
        (c.pace, c.quick_pace, c.pace_updated) = (self.pace, self.quick_pace, now);
    }
}

/// What a router has learned.
#[derive(Clone, Debug, PartialEq)]
pub struct Bootstrap {
    /// Over how long, in milliseconds.
    pub known_ms: f64,
    /// How many fills the location may have under way; infinite: no limit was found yet.
    pub fill_limit: f64,
    /// Machines, the most useful first; those that find no room are left out.
    pub nodes: Vec<NodeState>,
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

impl Bootstrap {
    /// What is known of machines: boxes first, then parents, then the origin.
    pub fn of<'a>(
        all: impl Iterator<Item = &'a Node>,
        now: f64,
        known_ms: f64,
        fill_limit: f64,
    ) -> Bootstrap {
        let mut all: Vec<&Node> = all.collect();
        all.sort_by_key(|c| c.role as u8);
        Bootstrap { known_ms, fill_limit, nodes: all.into_iter().map(|c| NodeState::of(c, now)).collect() }
    }

    /// Takes over what is told of machines that were there then. One that has started since, and since `began`, is not
    /// the one that was seen.
    pub fn apply<'a>(&self, all: impl Iterator<Item = &'a mut Node>, now: f64, first_event_ms: f64) {
        for c in all.filter(|c| c.started_ms <= (now - self.known_ms).max(first_event_ms)) {
            if let Some(m) = self.nodes.iter().find(|m| c.tag.to_be_bytes().starts_with(&m.tag)) {
                m.apply(c, now);
            }
        }
    }

    /// Its bytes, `most` at the most.
    pub fn encode(&self, zone: u8, max_bytes: usize) -> Vec<u8> {
        let mut out = vec![VERSION, zone, 1, code(self.known_ms / 1000.0), code(self.fill_limit)];
        for m in self.nodes.iter().take(max_bytes.saturating_sub(HEADER_BYTES) / NODE_BYTES) {
            out.extend(m.tag);
            out.push(u8::from(m.bandwidth.saturated) | u8::from(m.proven.saturated) << 1);
            out.extend(
                [m.bandwidth.capacity, m.proven.capacity, m.pace, m.quick_pace, m.failure_rate].map(code),
            );
        }
        out
    }

    /// Reads one and its sender's location; `None`: it makes no sense.
    pub fn read(data: &[u8]) -> Option<(u8, Bootstrap)> {
        let [VERSION, zone, 1, known, fill_limit, rest @ ..] = data else { return None };
        if rest.len() % NODE_BYTES != 0 {
            return None;
        }
        let node = |b: &[u8]| NodeState {
            tag: [b[0], b[1], b[2]],
            bandwidth: Bandwidth { capacity: value(b[4]), saturated: b[3] & 1 > 0 },
            proven: Bandwidth { capacity: value(b[5]), saturated: b[3] & 2 > 0 },
            pace: value(b[6]),
            quick_pace: value(b[7]),
            failure_rate: value(b[8]).min(1.0),
        };
        let fill_limit = if *fill_limit == 0 { f64::INFINITY } else { value(*fill_limit) };
        let nodes = rest.chunks_exact(NODE_BYTES).map(node).collect();
        Some((*zone, Bootstrap { known_ms: 1000.0 * value(*known), fill_limit, nodes }))
    }
}

#[cfg(test)]
mod tests;
