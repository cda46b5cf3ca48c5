//! What routers tell each other, as bytes: a version, the sender's location, and a greeting or one cache's changes.

use crate::filter::{decode, encode, Change};

/// Bytes of a cache's tag in messages; a mistaken one is a wrong guess only.
pub const TAG_BYTES: usize = 3;
const VERSION: u8 = 2;

/// A message that makes sense.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// Says which location its sender serves; whether that is asked back.
    Greeting(bool),
    /// What changed in the filter of the cache with that tag.
    Changes([u8; TAG_BYTES], Vec<Change>),
}

/// A greeting.
pub fn greeting(zone: u8, asks: bool) -> Vec<u8> {
    vec![VERSION, zone, u8::from(asks)]
}

/// What comes before the coded changes of a cache.
pub fn head(zone: u8, tag: [u8; TAG_BYTES]) -> Vec<u8> {
    [&[VERSION, zone][..], &tag].concat()
}

/// Messages of at most so many bytes that tell changes of the cache with that tag.
pub fn changes(zone: u8, tag: u64, changes: &[Change], most: usize) -> Vec<Vec<u8>> {
    let tag = tag.to_be_bytes();
    let head = head(zone, [tag[0], tag[1], tag[2]]);
    encode(changes, most - head.len()).into_iter().map(|piece| [&head[..], &piece].concat()).collect()
}

/// Reads a message and its sender's location, for filters of `counters`; `None`: it makes no sense.
pub fn read(data: &[u8], counters: usize) -> Option<(u8, Message)> {
    let [VERSION, zone, rest @ ..] = data else { return None };
    let message = match rest {
        [asks @ (0 | 1)] => Message::Greeting(*asks == 1),
        [a, b, c, piece @ ..] => {
            let changes = decode(piece, counters);
            (!changes.is_empty()).then_some(Message::Changes([*a, *b, *c], changes))?
        }
        _ => return None,
    };
    Some((*zone, message))
}

#[cfg(test)]
mod tests;
