//! Binary encoding of the messages between routers: a version, the sender's zone, and a greeting or the
//! filter changes of one cache node.

use crate::filter::{decode_changes, encode_changes, CounterChange};

/// Length of a cache node's tag in messages, in bytes. If two nodes share a tag, the only harm is a wrong
/// guess at which of them has a key.
pub const TAG_BYTES: usize = 3;
const VERSION: u8 = 2;

/// A decoded message.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// Announces the sender's zone, for example when its router has just started.
    Greeting {
        /// Whether the receiver is to reply with a greeting of its own.
        wants_reply: bool,
    },
    /// Changes of the filter of one cache node.
    Changes {
        /// First bytes of the node's tag.
        tag: [u8; TAG_BYTES],
        /// Changes of the filter's counters, at least one.
        changes: Vec<CounterChange>,
    },
}

/// Encodes a greeting of a router in `zone`.
pub fn encode_greeting(zone: u8, wants_reply: bool) -> Vec<u8> {
    vec![VERSION, zone, u8::from(wants_reply)]
}

/// Encodes the start of a [`Message::Changes`], which the encoded changes follow.
pub fn changes_header(zone: u8, tag: [u8; TAG_BYTES]) -> Vec<u8> {
    [&[VERSION, zone][..], &tag].concat()
}

/// Encodes the filter changes of the cache node with that tag, as messages of at most `max_bytes` bytes each.
pub fn encode_change_messages(
    zone: u8,
    tag: u64,
    changes: &[CounterChange],
    max_bytes: usize,
) -> Vec<Vec<u8>> {
    let tag = tag.to_be_bytes();
    let header = changes_header(zone, [tag[0], tag[1], tag[2]]);
    encode_changes(changes, max_bytes - header.len())
        .into_iter()
        .map(|piece| [&header[..], &piece].concat())
        .collect()
}

/// Decodes a message and the zone of its sender. `counters` is the number of counters in a filter. `None`:
/// the message is malformed.
pub fn decode_message(data: &[u8], counters: usize) -> Option<(u8, Message)> {
    let [VERSION, zone, rest @ ..] = data else { return None };
    let message = match rest {
        [wants_reply @ (0 | 1)] => Message::Greeting { wants_reply: *wants_reply == 1 },
        [a, b, c, piece @ ..] => {
            let changes = decode_changes(piece, counters);
            (!changes.is_empty()).then_some(Message::Changes { tag: [*a, *b, *c], changes })?
        }
        _ => return None,
    };
    Some((*zone, message))
}

#[cfg(test)]
mod tests;
