//! What a router sends to one of its location that has just started: what it has learned of the location's nodes. One
//! message, rough and bounded; the keys that caches have follow as ordinary filter changes.
//!
//! A router that starts knows no bandwidth, no pace and no failure. It takes its location's link for as wide as known
//! links let expect, sends to nodes that others know to fail, and fills without a limit until its own fills are late.

use crate::bandwidth::Bandwidth;
use crate::state::Node;

/// Bytes of a message's header, and of a node in it.
const HEADER_BYTES: usize = 5;
const NODE_BYTES: usize = 3 + 6;
const VERSION: u8 = 3;

/// What a message says of a node.
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
    /// Its failure rate, from 0 to 1.
    pub failure_rate: f64,
}

impl NodeState {
    /// What is known of a node.
    pub fn of(node: &Node, now: f64) -> NodeState {
        let tag = node.tag.to_be_bytes();
        NodeState {
            tag: [tag[0], tag[1], tag[2]],
            bandwidth: node.link.bandwidth,
            proven: node.link.proven,
            pace: node.pace_at(now),
            quick_pace: node.quick_pace_at(now),
            failure_rate: node.failure_rate,
        }
    }

    /// Adopts it as what this router has seen itself. Whether it fails too often is for its own failures to say: one
    /// more is then enough.
    pub fn apply(&self, node: &mut Node, now: f64) {
        node.link.bandwidth = self.bandwidth;
        node.link.proven = self.proven;
        node.failure_rate = self.failure_rate;
        node.pace = self.pace;
        node.quick_pace = self.quick_pace;
        node.pace_updated = now;
    }
}

/// What a router has learned.
#[derive(Clone, Debug, PartialEq)]
pub struct Bootstrap {
    /// Over how long, in milliseconds.
    pub known_ms: f64,
    /// How many fills the location may have in flight; infinite: no limit was found yet.
    pub fill_limit: f64,
    /// Nodes, the most useful first; those for which there is no space are omitted.
    pub nodes: Vec<NodeState>,
}

/// Quantises a figure: steps of a twelfth of an octave, from 2^-10 to 2^11; 0 stands for none.
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
    /// What is known of nodes: caches first, then parents, then the origin.
    pub fn of<'a>(
        all: impl Iterator<Item = &'a Node>,
        now: f64,
        known_ms: f64,
        fill_limit: f64,
    ) -> Bootstrap {
        let mut all: Vec<&Node> = all.collect();
        all.sort_by_key(|node| node.role as u8);
        Bootstrap {
            known_ms,
            fill_limit,
            nodes: all.into_iter().map(|node| NodeState::of(node, now)).collect(),
        }
    }

    /// Adopts what is said of nodes that were there then. One that has started since, and since `first_event_ms`, is
    /// not the one that was seen.
    pub fn apply<'a>(&self, all: impl Iterator<Item = &'a mut Node>, now: f64, first_event_ms: f64) {
        for node in all.filter(|node| node.started_ms <= (now - self.known_ms).max(first_event_ms)) {
            if let Some(m) = self.nodes.iter().find(|m| node.tag.to_be_bytes().starts_with(&m.tag)) {
                m.apply(node, now);
            }
        }
    }

    /// Its bytes, at most `max_bytes`.
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

    /// Decodes one and its sender's location; `None`: it is malformed.
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
