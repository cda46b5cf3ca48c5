//! What routers send each other, as bytes: a version, the sender's location, and a greeting or one cache's changes.

use crate::filter::{decode, encode, Change};

/// Bytes of a cache's tag in messages; a mistaken one is a wrong guess only.
pub const TAG_BYTES: usize = 3;
const VERSION: u8 = 2;

/// A message that makes sense.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// Announces which location its sender serves.
    Greeting {
        /// Whether the receiver is to reply with its own.
        wants_reply: bool,
    },
    /// What changed in the filter of a cache node.
    Changes {
        /// The first bytes of the node's tag.
        tag: [u8; TAG_BYTES],
        /// The changes, at least one.
        changes: Vec<Change>,
    },
}

/// A greeting.
pub fn greeting(zone: u8, wants_reply: bool) -> Vec<u8> {
    vec![VERSION, zone, u8::from(wants_reply)]
}

/// The bytes before the coded changes of a cache.
pub fn header(zone: u8, tag: [u8; TAG_BYTES]) -> Vec<u8> {
    [&[VERSION, zone][..], &tag].concat()
}

/// Messages of at most `max_bytes` bytes each with the changes of the cache with that tag.
pub fn changes(zone: u8, tag: u64, changes: &[Change], max_bytes: usize) -> Vec<Vec<u8>> {
    let tag = tag.to_be_bytes();
    let header = header(zone, [tag[0], tag[1], tag[2]]);
    encode(changes, max_bytes - header.len())
        .into_iter()
        .map(|piece| [&header[..], &piece].concat())
        .collect()
}

/// Reads a message and its sender's location, for filters of `counters`; `None`: it makes no sense.
pub fn read(data: &[u8], counters: usize) -> Option<(u8, Message)> {
    let [VERSION, zone, rest @ ..] = data else { return None };
    let message = match rest {
        [wants_reply @ (0 | 1)] => Message::Greeting { wants_reply: *wants_reply == 1 },
        [a, b, c, piece @ ..] => {
            let changes = decode(piece, counters);
            (!changes.is_empty()).then_some(Message::Changes { tag: [*a, *b, *c], changes })?
        }
        _ => return None,
    };
    Some((*zone, message))
}

#[cfg(test)]
mod tests;
