//! The kinds of values in a store, each with its key type and format version.

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// A kind of value in a store.
pub trait Layer: Serialize + DeserializeOwned {
    /// The layer's name on disk. It is unique, and no layer's name begins with another's followed by a zero
    /// byte.
    const NAME: &'static str;
    /// The format version that this program writes; it reads this version and all earlier ones.
    const VERSION: u16;
    /// The type of the layer's keys.
    type Key: Serialize + DeserializeOwned;

    /// Decodes a value of the given format version, which is at most [`Layer::VERSION`]; `None` if the bytes
    /// are not such a value. Implementations override this after a change of the format.
    fn decode(_version: u16, bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// How far this front has followed the event bus, and in which numbering of the events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Identifies the numbering: Unix time in milliseconds of the first event that this front received in
    /// it.
    pub epoch: u64,
    /// Offset of the last event that was followed.
    pub offset: u64,
    /// Unix time in milliseconds up to which all purges are known.
    pub at_unix_ms: u64,
}

impl Layer for Position {
    const NAME: &'static str = "position";
    const VERSION: u16 = 1;
    type Key = ();
}

/// The time of the last purge of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purge {
    /// Unix time of the purge in milliseconds.
    pub at_unix_ms: u64,
}

/// What a purge applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PurgeTarget {
    /// A single object, by its id.
    Object(u64),
    /// A group of objects, by its id.
    Group(u64),
    /// All objects: stands for older purges that were dropped to bound their number.
    All,
}

impl Layer for Purge {
    const NAME: &'static str = "purge";
    const VERSION: u16 = 1;
    type Key = PurgeTarget;
}

/// A cache node that gets no new requests because it drains, has departed, or is manually excluded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidedNode {
    /// Whether the node was excluded manually; only a command includes it again.
    pub manual: bool,
    /// Unix time in milliseconds at which this front learned that the node is to be avoided.
    pub since_unix_ms: u64,
}

impl Layer for AvoidedNode {
    const NAME: &'static str = "avoided";
    const VERSION: u16 = 1;
    type Key = String;
}

/// Another front of the fleet, as this front last saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Network address at which the peer was reached, as text.
    pub addr: String,
    /// Name of the peer's location.
    pub location: String,
    /// The peer's generation number, which rises with each start of the peer.
    pub generation: u64,
}

impl Layer for Peer {
    const NAME: &'static str = "fellow";
    const VERSION: u16 = 1;
    type Key = String;
}

/// A write that may have been sent and whose outcome is unknown; it is not sent again under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtWrite {
    /// Unix time in milliseconds after which the write's client has timed out.
    pub until_unix_ms: u64,
}

impl Layer for InDoubtWrite {
    const NAME: &'static str = "write";
    const VERSION: u16 = 1;
    type Key = u64;
}

/// Bytes that another crate encodes in its own format, which includes a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawBytes(pub Vec<u8>);

impl Layer for RawBytes {
    const NAME: &'static str = "raw";
    const VERSION: u16 = 1;
    type Key = (String, u64);
}
