//! The wire: a header, items, and a tag, in 256 bytes at the most. Bytes in, values out; never a panic.

use sha2::{Digest, Sha256};
use std::net::{IpAddr, SocketAddr};

/// No datagram is longer.
pub const MOST_BYTES: usize = 256;
/// Of the message authentication code, what is sent: 128 bits, which nobody guesses within a key's life.
pub(crate) const TAG_BYTES: usize = 16;
pub(crate) const HEADER_BYTES: usize = 20;
/// What is left for items.
pub(crate) const ROOM: usize = MOST_BYTES - HEADER_BYTES - TAG_BYTES;
const VERSION: u8 = 1;
/// A name is cut to this many bytes; fronts are told apart by the hash of the whole.
pub(crate) const MOST_NAME: usize = 24;
/// Buckets of a digest: members of a fleet of 200 come to a datagram's worth each.
pub(crate) const BUCKETS: usize = 16;

/// A front, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u32);

impl FrontId {
    /// The id of a name.
    pub fn of(name: &str) -> FrontId {
        let h = Sha256::digest(name.as_bytes());
        FrontId(u32::from_be_bytes([h[0], h[1], h[2], h[3]]))
    }
}

/// A box: the hash of its id, and its start. Another start is another box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BoxKey {
    /// Hash of the id.
    pub id: u64,
    /// Low bits of its start in Unix milliseconds; 0: long ago.
    pub start: u32,
}

impl BoxKey {
    /// The key of a box.
    pub fn of(id: &str, started_unix_ms: u64) -> BoxKey {
        let h = Sha256::digest(id.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&h[..8]);
        BoxKey { id: u64::from_be_bytes(first), start: started_unix_ms as u32 }
    }
}

/// What is said of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// It refuses, breaks or answers with errors.
    Failing,
    /// It says nothing.
    Silent,
    /// It answers, far slower than its fellows.
    Crawling,
    /// It answers as it should, after something was said against it.
    Well,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::Failing, Kind::Silent, Kind::Crawling, Kind::Well];

    fn code(self) -> u8 {
        Kind::ALL.iter().position(|k| *k == self).unwrap_or(0) as u8
    }

    /// Whether it speaks against the box.
    pub fn is_against(self) -> bool {
        self != Kind::Well
    }
}

/// One witness's word on a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// Which box.
    pub of: BoxKey,
    /// What.
    pub kind: Kind,
    /// How sure, from 0 to 1, in steps of 1/255.
    pub strength: f64,
    /// Answers behind it, up to 255.
    pub count: u8,
    /// How long ago it was seen, in milliseconds, in steps of 100 up to 6,553,500.
    pub age_ms: f64,
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Are you there?
    Ping(u16),
    /// I am.
    Ack(u16),
    /// Ask that front for me.
    Ask {
        /// Whom.
        whom: FrontId,
        /// The number of the ping.
        number: u16,
    },
    /// A front is there, under that address.
    Alive {
        /// Its id.
        id: FrontId,
        /// Its incarnation: its own word against suspicions of it.
        incarnation: u32,
        /// Its address.
        addr: SocketAddr,
        /// Its name, perhaps cut.
        name: String,
    },
    /// Somebody got no answer from it.
    Suspect {
        /// Whom.
        id: FrontId,
        /// As of that incarnation.
        incarnation: u32,
    },
    /// It is taken as gone; `left`: by its own word.
    Gone {
        /// Whom.
        id: FrontId,
        /// As of that incarnation.
        incarnation: u32,
        /// It said so.
        left: bool,
    },
    /// Hashes of the members held, by bucket.
    Digest([u32; BUCKETS]),
    /// A witness's words.
    Words {
        /// The witness.
        witness: FrontId,
        /// Its words.
        words: Vec<Word>,
    },
    /// A witness has more words of a kind than it can send: so many of so many boxes.
    Fold {
        /// The witness.
        witness: FrontId,
        /// The kind.
        kind: Kind,
        /// Boxes that it says this of.
        count: u16,
        /// Boxes that it knows.
        of: u16,
        /// How long ago, in milliseconds.
        age_ms: f64,
    },
}

/// Who sent a datagram, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// The key it is signed with.
    pub key: u8,
    /// The sender.
    pub sender: FrontId,
    /// When the sender started, Unix milliseconds.
    pub epoch_ms: u64,
    /// Its number since then.
    pub sequence: u32,
    /// Unix seconds of the sender's clock.
    pub unix_s: u32,
}

/// Why bytes are no datagram of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Longer than any.
    #[error("longer than {MOST_BYTES} bytes")]
    TooLong,
    /// Shorter than what must be there.
    #[error("cut short")]
    Short,
    /// Of another version.
    #[error("of another version")]
    Version,
    /// An item that is none.
    #[error("an item that is none")]
    Item,
}

struct Reader<'b>(&'b [u8]);

impl<'b> Reader<'b> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        let (head, rest) = self.0.split_first_chunk::<N>().ok_or(CodecError::Short)?;
        self.0 = rest;
        Ok(*head)
    }

    fn u8(&mut self) -> Result<u8, CodecError> {
        self.take::<1>().map(|b| b[0])
    }

    fn u16(&mut self) -> Result<u16, CodecError> {
        self.take().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, CodecError> {
        self.take().map(u32::from_be_bytes)
    }

    fn bytes(&mut self, n: usize) -> Result<&'b [u8], CodecError> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(CodecError::Short)?;
        self.0 = rest;
        Ok(head)
    }

    fn kind(&mut self) -> Result<Kind, CodecError> {
        Kind::ALL.get(usize::from(self.u8()?)).copied().ok_or(CodecError::Item)
    }
}

fn age_code(ms: f64) -> u16 {
    (ms / 100.0).clamp(0.0, 65535.0).round() as u16
}

/// Bytes of one word.
pub(crate) const WORD_BYTES: usize = 17;
/// Bytes of [`Item::Words`] without its words.
pub(crate) const WORDS_HEAD: usize = 6;

/// Adds an item's bytes.
pub(crate) fn put(out: &mut Vec<u8>, item: &Item) {
    match item {
        Item::Ping(n) => {
            out.push(1);
            out.extend(n.to_be_bytes());
        }
        Item::Ack(n) => {
            out.push(2);
            out.extend(n.to_be_bytes());
        }
        Item::Ask { whom, number } => {
            out.push(3);
            out.extend(whom.0.to_be_bytes());
            out.extend(number.to_be_bytes());
        }
        Item::Alive { id, incarnation, addr, name } => {
            out.push(if addr.is_ipv4() { 4 } else { 5 });
            out.extend(id.0.to_be_bytes());
            out.extend(incarnation.to_be_bytes());
            match addr.ip() {
                IpAddr::V4(ip) => out.extend(ip.octets()),
                IpAddr::V6(ip) => out.extend(ip.octets()),
            }
            out.extend(addr.port().to_be_bytes());
            let mut end = name.len().min(MOST_NAME);
            while !name.is_char_boundary(end) {
                end -= 1;
            }
            out.push(end as u8);
            out.extend(&name.as_bytes()[..end]);
        }
        Item::Suspect { id, incarnation } => {
            out.push(6);
            out.extend(id.0.to_be_bytes());
            out.extend(incarnation.to_be_bytes());
        }
        Item::Gone { id, incarnation, left } => {
            out.push(if *left { 8 } else { 7 });
            out.extend(id.0.to_be_bytes());
            out.extend(incarnation.to_be_bytes());
        }
        Item::Digest(buckets) => {
            out.push(9);
            buckets.iter().for_each(|b| out.extend(b.to_be_bytes()));
        }
        Item::Words { witness, words } => {
            out.push(10);
            out.extend(witness.0.to_be_bytes());
            out.push(words.len().min(255) as u8);
            for w in words.iter().take(255) {
                out.extend(w.of.id.to_be_bytes());
                out.extend(w.of.start.to_be_bytes());
                out.push(w.kind.code());
                out.push((w.strength.clamp(0.0, 1.0) * 255.0).round() as u8);
                out.push(w.count);
                out.extend(age_code(w.age_ms).to_be_bytes());
            }
        }
        Item::Fold { witness, kind, count, of, age_ms } => {
            out.push(11);
            out.extend(witness.0.to_be_bytes());
            out.push(kind.code());
            out.extend(count.to_be_bytes());
            out.extend(of.to_be_bytes());
            out.extend(age_code(*age_ms).to_be_bytes());
        }
    }
}

/// How many bytes an item takes.
pub(crate) fn size(item: &Item) -> usize {
    let mut out = Vec::new();
    put(&mut out, item);
    out.len()
}

/// A datagram's bytes up to its tag. The caller sees to it that the items fit.
pub fn encode(header: &Header, items: &[Item]) -> Vec<u8> {
    let mut out = Vec::with_capacity(MOST_BYTES);
    out.push(VERSION);
    out.push(header.key);
    out.extend(header.sender.0.to_be_bytes());
    out.extend(&header.epoch_ms.to_be_bytes()[2..]);
    out.extend(header.sequence.to_be_bytes());
    out.extend(header.unix_s.to_be_bytes());
    items.iter().for_each(|i| put(&mut out, i));
    out
}

/// Reads the header of a datagram, whose length is checked; what follows it up to the tag.
pub(crate) fn header(data: &[u8]) -> Result<(Header, &[u8]), CodecError> {
    if data.len() > MOST_BYTES {
        return Err(CodecError::TooLong);
    }
    if data.len() < HEADER_BYTES + TAG_BYTES {
        return Err(CodecError::Short);
    }
    let mut r = Reader(&data[..data.len() - TAG_BYTES]);
    if r.u8()? != VERSION {
        return Err(CodecError::Version);
    }
    let key = r.u8()?;
    let sender = FrontId(r.u32()?);
    let [a, b, c, d, e, f] = r.take::<6>()?;
    let epoch_ms = u64::from_be_bytes([0, 0, a, b, c, d, e, f]);
    Ok((Header { key, sender, epoch_ms, sequence: r.u32()?, unix_s: r.u32()? }, r.0))
}

/// Reads a datagram, its tag unchecked.
///
/// # Errors
/// What is too long, too short, of another version, or holds an item that is none.
pub fn decode(data: &[u8]) -> Result<(Header, Vec<Item>), CodecError> {
    let (head, rest) = header(data)?;
    Ok((head, items(rest)?))
}

pub(crate) fn items(data: &[u8]) -> Result<Vec<Item>, CodecError> {
    let mut r = Reader(data);
    let mut out = Vec::new();
    while !r.0.is_empty() {
        out.push(match r.u8()? {
            1 => Item::Ping(r.u16()?),
            2 => Item::Ack(r.u16()?),
            3 => Item::Ask { whom: FrontId(r.u32()?), number: r.u16()? },
            code @ (4 | 5) => {
                let (id, incarnation) = (FrontId(r.u32()?), r.u32()?);
                let ip: IpAddr = if code == 4 { r.take::<4>()?.into() } else { r.take::<16>()?.into() };
                let addr = SocketAddr::new(ip, r.u16()?);
                let len = usize::from(r.u8()?);
                if len > MOST_NAME {
                    return Err(CodecError::Item);
                }
                let name = std::str::from_utf8(r.bytes(len)?).map_err(|_| CodecError::Item)?.to_string();
                Item::Alive { id, incarnation, addr, name }
            }
            6 => Item::Suspect { id: FrontId(r.u32()?), incarnation: r.u32()? },
            code @ (7 | 8) => Item::Gone { id: FrontId(r.u32()?), incarnation: r.u32()?, left: code == 8 },
            9 => {
                let mut buckets = [0; BUCKETS];
                for b in &mut buckets {
                    *b = r.u32()?;
                }
                Item::Digest(buckets)
            }
            10 => {
                let witness = FrontId(r.u32()?);
                let mut words = Vec::new();
                for _ in 0..r.u8()? {
                    let of = BoxKey { id: u64::from_be_bytes(r.take()?), start: r.u32()? };
                    words.push(Word {
                        of,
                        kind: r.kind()?,
                        strength: f64::from(r.u8()?) / 255.0,
                        count: r.u8()?,
                        age_ms: f64::from(r.u16()?) * 100.0,
                    });
                }
                Item::Words { witness, words }
            }
            11 => Item::Fold {
                witness: FrontId(r.u32()?),
                kind: r.kind()?,
                count: r.u16()?,
                of: r.u16()?,
                age_ms: f64::from(r.u16()?) * 100.0,
            },
            _ => return Err(CodecError::Item),
        });
    }
    Ok(out)
}
