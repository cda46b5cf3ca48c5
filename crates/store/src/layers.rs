//! The kinds of knowledge that a front keeps, each with its format's version.

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// A kind of value on disk.
pub trait Layer: Serialize + DeserializeOwned {
    /// Its name on disk; no other has it, and none begins with another's and a zero.
    const NAME: &'static str;
    /// The version that this program writes. It reads that and all before it.
    const VERSION: u16;
    /// What its values are held under.
    type Key: Serialize + DeserializeOwned;

    /// Reads a value of that version, which is this program's or an earlier one's. Overridden where a format has changed.
    fn read(_version: u16, bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// How far this front has followed the event bus, and in which numbering.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Of the numbering: the Unix time in milliseconds of the first event that this front had of it.
    pub epoch: u64,
    /// The last event.
    pub offset: u64,
    /// Unix time in milliseconds up to which all purges are known.
    pub at_unix_ms: u64,
}

impl Layer for Position {
    const NAME: &'static str = "position";
    const VERSION: u16 = 1;
    type Key = ();
}

/// A purge: the time of the last one, under what it named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purge {
    /// Unix time in milliseconds.
    pub at_unix_ms: u64,
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purged {
    /// An object.
    Object(u64),
    /// A group.
    Group(u64),
    /// All that is older: purges that were let go of for their number.
    All,
}

impl Layer for Purge {
    const NAME: &'static str = "purge";
    const VERSION: u16 = 1;
    type Key = Purged;
}

/// A machine that must not get anything new: it drains, has gone, or was taken out by hand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Avoided {
    /// Taken out by hand, and put back by hand alone.
    pub by_hand: bool,
    /// Unix time in milliseconds at which this front was told.
    pub since_unix_ms: u64,
}

impl Layer for Avoided {
    const NAME: &'static str = "avoided";
    const VERSION: u16 = 1;
    type Key = String;
}

/// A front of the fleet, as last seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fellow {
    /// Where it was reached, as text.
    pub addr: String,
    /// Its location.
    pub location: String,
    /// Its start.
    pub generation: u64,
}

impl Layer for Fellow {
    const NAME: &'static str = "fellow";
    const VERSION: u16 = 1;
    type Key = String;
}

/// A write that may have gone out and whose end is not known: not sent again under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenWrite {
    /// Unix time in milliseconds after which its client has given up.
    pub until_unix_ms: u64,
}

impl Layer for OpenWrite {
    const NAME: &'static str = "write";
    const VERSION: u16 = 1;
    type Key = u64;
}

/// Bytes that another crate of the heart writes and reads in a format of its own, which carries its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Raw(pub Vec<u8>);

impl Layer for Raw {
    const NAME: &'static str = "raw";
    const VERSION: u16 = 1;
    type Key = (String, u64);
}
