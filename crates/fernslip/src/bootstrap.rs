//! The bootstrap message, with which a router tells another one of its location that has just started what it
//! has learned of the nodes. It is one message of limited size with rounded values. The keys that caches have
//! follow as ordinary filter changes.
//!
//! A router that starts knows no bandwidth, slowdown or failure rate of any node. Without a bootstrap it
//! estimates its location's bandwidth from the known links, sends requests to nodes that other routers know
//! to be failing, and fills without a limit until its own fills are late.

use crate::bandwidth::Bandwidth;
use crate::state::Node;

/// Length of the message header, in bytes.
const HEADER_BYTES: usize = 5;
/// Length of one node's entry in a message, in bytes: its tag, a byte of flags and five quantized values.
const NODE_BYTES: usize = 3 + 6;
const VERSION: u8 = 3;

/// What a bootstrap message tells of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeState {
    /// First bytes of the node's tag.
    pub tag: [u8; 3],
    /// The node's bandwidth, as in [`crate::bandwidth::Link`].
    pub bandwidth: Bandwidth,
    /// The bandwidth that the node was seen to deliver, as in [`crate::bandwidth::Link`].
    pub proven: Bandwidth,
    /// Moving average of the duration of the node's answers divided by their duration at the full rate.
    pub slowdown: f64,
    /// Low quantile of the slowdown of the node's answers (about a fifth of them are faster), as in
    /// [`crate::state::Node`].
    pub low_slowdown: f64,
    /// Moving average of the fraction of the node's attempts that failed, from 0 to 1.
    pub failure_rate: f64,
}

impl NodeState {
    /// The state of a node as this router knows it at the time `now`.
    pub fn from_node(node: &Node, now: f64) -> NodeState {
        let tag = node.tag.to_be_bytes();
        NodeState {
            tag: [tag[0], tag[1], tag[2]],
            bandwidth: node.link.bandwidth,
            proven: node.link.proven,
            slowdown: node.slowdown_at(now),
            low_slowdown: node.low_slowdown_at(now),
            failure_rate: node.failure_rate,
        }
    }

    /// Sets the node's values as if this router had measured them. It does not eject a failing node: an
    /// ejection needs a failure of this router's own attempts, and one failure is then enough.
    pub fn apply(&self, node: &mut Node, now: f64) {
        node.link.bandwidth = self.bandwidth;
        node.link.proven = self.proven;
        node.failure_rate = self.failure_rate;
        node.slowdown = self.slowdown;
        node.low_slowdown = self.low_slowdown;
        node.slowdown_updated_ms = now;
    }
}

/// What a router has learned of the nodes of its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Bootstrap {
    /// How long the router has been learning, in milliseconds.
    pub known_ms: f64,
    /// Number of fills that the location may have in flight; infinite: no limit was found yet.
    pub fill_limit: f64,
    /// States of the nodes, the most useful ones first. Encoding omits those that do not fit in the message.
    pub nodes: Vec<NodeState>,
}

/// Quantizes a value from 2^-10 to 2^11 to a byte, in steps of a twelfth of an octave. 0 stands for a value
/// that is not finite or not above 0.
fn quantize(value: f64) -> u8 {
    if value.is_finite() && value > 0.0 {
        (value.log2() * 12.0 + 128.0).round().clamp(1.0, 255.0) as u8
    } else {
        0
    }
}

/// The value that a quantized byte stands for; 0.0 for the byte 0.
fn dequantize(code: u8) -> f64 {
    if code == 0 {
        0.0
    } else {
        ((f64::from(code) - 128.0) / 12.0).exp2()
    }
}

impl Bootstrap {
    /// Collects the states of the nodes: caches first, then parents, then the origin.
    pub fn from_nodes<'a>(
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
            nodes: all.into_iter().map(|node| NodeState::from_node(node, now)).collect(),
        }
    }

    /// Applies the states to the nodes that started before the sender began to learn or before
    /// `first_event_ms`. Other nodes are skipped, because their states may be those of their earlier
    /// processes.
    pub fn apply<'a>(&self, all: impl Iterator<Item = &'a mut Node>, now: f64, first_event_ms: f64) {
        for node in all.filter(|node| node.started_ms <= (now - self.known_ms).max(first_event_ms)) {
            if let Some(state) = self.nodes.iter().find(|m| node.tag.to_be_bytes().starts_with(&m.tag)) {
                state.apply(node, now);
            }
        }
    }

    /// Encodes the bootstrap as a message of at most `max_bytes` bytes from a router in `zone`.
    pub fn encode(&self, zone: u8, max_bytes: usize) -> Vec<u8> {
        let mut out = vec![VERSION, zone, 1, quantize(self.known_ms / 1000.0), quantize(self.fill_limit)];
        for m in self.nodes.iter().take(max_bytes.saturating_sub(HEADER_BYTES) / NODE_BYTES) {
            out.extend(m.tag);
            out.push(u8::from(m.bandwidth.saturated) | u8::from(m.proven.saturated) << 1);
            out.extend(
                [m.bandwidth.capacity, m.proven.capacity, m.slowdown, m.low_slowdown, m.failure_rate]
                    .map(quantize),
            );
        }
        out
    }

    /// Decodes a bootstrap and the zone of its sender. `None`: the message is malformed.
    pub fn decode(data: &[u8]) -> Option<(u8, Bootstrap)> {
        let [VERSION, zone, 1, known, fill_limit, rest @ ..] = data else { return None };
        if rest.len() % NODE_BYTES != 0 {
            return None;
        }
        let node = |b: &[u8]| NodeState {
            tag: [b[0], b[1], b[2]],
            bandwidth: Bandwidth { capacity: dequantize(b[4]), saturated: b[3] & 1 > 0 },
            proven: Bandwidth { capacity: dequantize(b[5]), saturated: b[3] & 2 > 0 },
            slowdown: dequantize(b[6]),
            low_slowdown: dequantize(b[7]),
            failure_rate: dequantize(b[8]).min(1.0),
        };
        let fill_limit = if *fill_limit == 0 { f64::INFINITY } else { dequantize(*fill_limit) };
        let nodes = rest.chunks_exact(NODE_BYTES).map(node).collect();
        Some((*zone, Bootstrap { known_ms: 1000.0 * dequantize(*known), fill_limit, nodes }))
    }
}

#[cfg(test)]
mod tests;
