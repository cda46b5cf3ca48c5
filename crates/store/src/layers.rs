//! The kinds of values in a store, each with the version of its format.

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// A kind of value in a store.
pub trait Layer: Serialize + DeserializeOwned {
    /// Its name on disk. Unique, and no layer's name begins with another's followed by a zero byte.
    const NAME: &'static str;
    /// The format version that this program writes; it reads this one and all earlier ones.
    const VERSION: u16;
    /// The type of its keys.
    type Key: Serialize + DeserializeOwned;

    /// Decodes a value of that format version, this program's or an earlier one; `None` where the bytes are none.
    /// Overridden where a format has changed.
    fn read(_version: u16, bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// How far this front has followed the event bus, and in which numbering.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Identifies the numbering: Unix time in milliseconds of the first event that this front received of it.
    pub epoch: u64,
    /// Offset of the last event.
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
    /// Unix time in milliseconds.
    pub at_unix_ms: u64,
}

/// The target of a purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PurgeTarget {
    /// An object.
    Object(u64),
    /// A group.
    Group(u64),
    /// Everything: stands for older purges that were dropped to bound their number.
    All,
}

impl Layer for Purge {
    const NAME: &'static str = "purge";
    const VERSION: u16 = 1;
    type Key = PurgeTarget;
}

/// A cache node that gets no new requests: it drains, has departed, or is manually excluded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidedNode {
    /// Manually excluded, and included again only by a command.
    pub manual: bool,
    /// Unix time in milliseconds at which this front learnt of it.
    pub since_unix_ms: u64,
}

impl Layer for AvoidedNode {
    const NAME: &'static str = "avoided";
    const VERSION: u16 = 1;
    type Key = String;
}

/// A peer: another front of the fleet, as last seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The address at which it was reached, as text.
    pub addr: String,
    /// Its location.
    pub location: String,
    /// Its generation, which rises with each start.
    pub generation: u64,
}

impl Layer for Peer {
    const NAME: &'static str = "fellow";
    const VERSION: u16 = 1;
    type Key = String;
}

/// A write that may have been sent and whose outcome is unknown: it is not sent again under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtWrite {
    /// Unix time in milliseconds after which its client has timed out.
    pub until_unix_ms: u64,
}

impl Layer for InDoubtWrite {
    const NAME: &'static str = "write";
    const VERSION: u16 = 1;
    type Key = u64;
}

/// Bytes that another crate encodes in a format of its own, which carries its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Raw(pub Vec<u8>);

impl Layer for Raw {
    const NAME: &'static str = "raw";
    const VERSION: u16 = 1;
    type Key = (String, u64);
}
