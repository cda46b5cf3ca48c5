//! The wire format: a header, items and an authentication tag, in at most 256 bytes. Decoding never panics,
//! whatever the input.

use crate::message::{CacheNodeKey, FrontId, Header, HealthReport, Item, Observation, DIGEST_BUCKETS};
use std::net::{IpAddr, SocketAddr};

/// The greatest length of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Length of the authentication tag in bytes. It is an HMAC truncated to 128 bits, which cannot be guessed
/// within a key's lifetime.
pub(crate) const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = 20;
/// The number of bytes that a datagram has for its items.
pub(crate) const ITEM_CAPACITY: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;
/// The encoded length of one [`HealthReport`] in bytes.
pub(crate) const REPORT_BYTES: usize = 17;
/// The encoded length of [`Item::Reports`] without its reports, in bytes.
pub(crate) const REPORTS_HEADER_BYTES: usize = 6;
const FORMAT_VERSION: u8 = 1;
/// The greatest encoded length of a front's name in bytes; longer names are truncated. Fronts are identified
/// by the hash of the complete name.
const MAX_NAME_BYTES: usize = 24;

/// The first byte of an encoded item, which tells its kind.
mod item_code {
    pub const PING: u8 = 1;
    pub const ACK: u8 = 2;
    pub const PING_REQUEST: u8 = 3;
    pub const ALIVE_V4: u8 = 4;
    pub const ALIVE_V6: u8 = 5;
    pub const SUSPECT: u8 = 6;
    pub const DEAD: u8 = 7;
    pub const DEPARTED: u8 = 8;
    pub const DIGEST: u8 = 9;
    pub const REPORTS: u8 = 10;
    pub const SUMMARY: u8 = 11;
}

/// The reason why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The datagram ends within its header, an item or its tag.
    #[error("datagram is truncated")]
    Truncated,
    /// The datagram has a version of the wire format that is not supported.
    #[error("datagram has a format version other than {FORMAT_VERSION}")]
    UnsupportedVersion,
    /// An item is of an unknown kind or has an invalid value.
    #[error("datagram has an unknown or malformed item")]
    MalformedItem,
}

struct ByteReader<'b>(&'b [u8]);

impl<'b> ByteReader<'b> {
    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        let (head, rest) = self.0.split_first_chunk::<N>().ok_or(CodecError::Truncated)?;
        self.0 = rest;
        Ok(*head)
    }

    fn read_u8(&mut self) -> Result<u8, CodecError> {
        self.read_array::<1>().map(|b| b[0])
    }

    fn read_u16(&mut self) -> Result<u16, CodecError> {
        self.read_array().map(u16::from_be_bytes)
    }

    fn read_u32(&mut self) -> Result<u32, CodecError> {
        self.read_array().map(u32::from_be_bytes)
    }

    fn read_front_id(&mut self) -> Result<FrontId, CodecError> {
        self.read_u32().map(FrontId)
    }

    fn read_age_ms(&mut self) -> Result<f64, CodecError> {
        self.read_u16().map(|code| f64::from(code) * 100.0)
    }

    fn read_bytes(&mut self, len: usize) -> Result<&'b [u8], CodecError> {
        let (head, rest) = self.0.split_at_checked(len).ok_or(CodecError::Truncated)?;
        self.0 = rest;
        Ok(head)
    }

    fn read_observation(&mut self) -> Result<Observation, CodecError> {
        Observation::ALL.get(usize::from(self.read_u8()?)).copied().ok_or(CodecError::MalformedItem)
    }

    fn read_alive(&mut self, code: u8) -> Result<Item, CodecError> {
        let (id, incarnation) = (self.read_front_id()?, self.read_u32()?);
        let ip: IpAddr = if code == item_code::ALIVE_V4 {
            self.read_array::<4>()?.into()
        } else {
            self.read_array::<16>()?.into()
        };
        let addr = SocketAddr::new(ip, self.read_u16()?);
        let len = usize::from(self.read_u8()?);
        if len > MAX_NAME_BYTES {
            return Err(CodecError::MalformedItem);
        }
        let name =
            std::str::from_utf8(self.read_bytes(len)?).map_err(|_| CodecError::MalformedItem)?.to_string();
        Ok(Item::Alive { id, incarnation, addr, name })
    }

    fn read_report(&mut self) -> Result<HealthReport, CodecError> {
        let node = CacheNodeKey { id: u64::from_be_bytes(self.read_array()?), start: self.read_u32()? };
        Ok(HealthReport {
            node,
            observation: self.read_observation()?,
            strength: f64::from(self.read_u8()?) / 255.0,
            count: self.read_u8()?,
            age_ms: self.read_age_ms()?,
        })
    }

    fn read_item(&mut self) -> Result<Item, CodecError> {
        Ok(match self.read_u8()? {
            item_code::PING => Item::Ping(self.read_u16()?),
            item_code::ACK => Item::Ack(self.read_u16()?),
            item_code::PING_REQUEST => {
                Item::PingRequest { target: self.read_front_id()?, number: self.read_u16()? }
            }
            code @ (item_code::ALIVE_V4 | item_code::ALIVE_V6) => self.read_alive(code)?,
            item_code::SUSPECT => Item::Suspect { id: self.read_front_id()?, incarnation: self.read_u32()? },
            item_code::DEAD => Item::Dead { id: self.read_front_id()?, incarnation: self.read_u32()? },
            item_code::DEPARTED => {
                Item::Departed { id: self.read_front_id()?, incarnation: self.read_u32()? }
            }
            item_code::DIGEST => {
                let mut buckets = [0; DIGEST_BUCKETS];
                for bucket in &mut buckets {
                    *bucket = self.read_u32()?;
                }
                Item::Digest(buckets)
            }
            item_code::REPORTS => {
                let witness = self.read_front_id()?;
                let count = self.read_u8()?;
                let reports = (0..count).map(|_| self.read_report()).collect::<Result<_, _>>()?;
                Item::Reports { witness, reports }
            }
            item_code::SUMMARY => Item::Summary {
                witness: self.read_front_id()?,
                observation: self.read_observation()?,
                accused: self.read_u16()?,
                known: self.read_u16()?,
                age_ms: self.read_age_ms()?,
            },
            _ => return Err(CodecError::MalformedItem),
        })
    }
}

fn encode_age(ms: f64) -> [u8; 2] {
    ((ms / 100.0).clamp(0.0, 65535.0).round() as u16).to_be_bytes()
}

fn encode_ping_number(out: &mut Vec<u8>, code: u8, number: u16) {
    out.push(code);
    out.extend(number.to_be_bytes());
}

fn encode_id_and_incarnation(out: &mut Vec<u8>, code: u8, id: FrontId, incarnation: u32) {
    out.push(code);
    out.extend(id.0.to_be_bytes());
    out.extend(incarnation.to_be_bytes());
}

fn encode_address(out: &mut Vec<u8>, addr: &SocketAddr) {
    match addr.ip() {
        IpAddr::V4(ip) => out.extend(ip.octets()),
        IpAddr::V6(ip) => out.extend(ip.octets()),
    }
    out.extend(addr.port().to_be_bytes());
}

fn encode_name(out: &mut Vec<u8>, name: &str) {
    let mut end = name.len().min(MAX_NAME_BYTES);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    out.push(end as u8);
    out.extend(&name.as_bytes()[..end]);
}

fn encode_report(out: &mut Vec<u8>, report: &HealthReport) {
    out.extend(report.node.id.to_be_bytes());
    out.extend(report.node.start.to_be_bytes());
    out.push(report.observation.code());
    out.push((report.strength.clamp(0.0, 1.0) * 255.0).round() as u8);
    out.push(report.count);
    out.extend(encode_age(report.age_ms));
}

/// Appends the encoding of an item to `out`.
fn encode_item(out: &mut Vec<u8>, item: &Item) {
    match item {
        Item::Ping(number) => encode_ping_number(out, item_code::PING, *number),
        Item::Ack(number) => encode_ping_number(out, item_code::ACK, *number),
        Item::PingRequest { target, number } => {
            out.push(item_code::PING_REQUEST);
            out.extend(target.0.to_be_bytes());
            out.extend(number.to_be_bytes());
        }
        Item::Alive { id, incarnation, addr, name } => {
            let code = if addr.is_ipv4() { item_code::ALIVE_V4 } else { item_code::ALIVE_V6 };
            encode_id_and_incarnation(out, code, *id, *incarnation);
            encode_address(out, addr);
            encode_name(out, name);
        }
        Item::Suspect { id, incarnation } => {
            encode_id_and_incarnation(out, item_code::SUSPECT, *id, *incarnation);
        }
        Item::Dead { id, incarnation } => encode_id_and_incarnation(out, item_code::DEAD, *id, *incarnation),
        Item::Departed { id, incarnation } => {
            encode_id_and_incarnation(out, item_code::DEPARTED, *id, *incarnation);
        }
        Item::Digest(buckets) => {
            out.push(item_code::DIGEST);
            buckets.iter().for_each(|b| out.extend(b.to_be_bytes()));
        }
        Item::Reports { witness, reports } => {
            out.push(item_code::REPORTS);
            out.extend(witness.0.to_be_bytes());
            out.push(reports.len().min(255) as u8);
            reports.iter().take(255).for_each(|r| encode_report(out, r));
        }
        Item::Summary { witness, observation, accused, known, age_ms } => {
            out.push(item_code::SUMMARY);
            out.extend(witness.0.to_be_bytes());
            out.push(observation.code());
            out.extend(accused.to_be_bytes());
            out.extend(known.to_be_bytes());
            out.extend(encode_age(*age_ms));
        }
    }
}

/// Returns the encoded length of an item in bytes.
pub(crate) fn encoded_len(item: &Item) -> usize {
    let mut out = Vec::new();
    encode_item(&mut out, item);
    out.len()
}

/// Returns the encoded length of the items together, in bytes.
pub(crate) fn total_encoded_len(items: &[Item]) -> usize {
    items.iter().map(encoded_len).sum()
}

/// Encodes a datagram without its tag. The caller ensures that the items fit into [`MAX_DATAGRAM_BYTES`].
pub fn encode_datagram(header: &Header, items: &[Item]) -> Vec<u8> {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    out.push(FORMAT_VERSION);
    out.push(header.key);
    out.extend(header.sender.0.to_be_bytes());
    out.extend(&header.epoch_ms.to_be_bytes()[2..]);
    out.extend(header.sequence.to_be_bytes());
    out.extend(header.unix_s.to_be_bytes());
    items.iter().for_each(|i| encode_item(&mut out, i));
    out
}

/// Decodes a datagram's header and returns it with the still encoded items between header and tag.
pub(crate) fn decode_header(data: &[u8]) -> Result<(Header, &[u8]), CodecError> {
    if data.len() > MAX_DATAGRAM_BYTES {
        return Err(CodecError::TooLong);
    }
    if data.len() < HEADER_BYTES + TAG_BYTES {
        return Err(CodecError::Truncated);
    }
    let mut reader = ByteReader(&data[..data.len() - TAG_BYTES]);
    if reader.read_u8()? != FORMAT_VERSION {
        return Err(CodecError::UnsupportedVersion);
    }
    let key = reader.read_u8()?;
    let sender = reader.read_front_id()?;
    let mut epoch_bytes = [0; 8];
    epoch_bytes[2..].copy_from_slice(&reader.read_array::<6>()?);
    let epoch_ms = u64::from_be_bytes(epoch_bytes);
    Ok((Header { key, sender, epoch_ms, sequence: reader.read_u32()?, unix_s: reader.read_u32()? }, reader.0))
}

/// Decodes the items of a datagram; `data` holds neither its header nor its tag.
pub(crate) fn decode_items(data: &[u8]) -> Result<Vec<Item>, CodecError> {
    let mut reader = ByteReader(data);
    let mut items = Vec::new();
    while !reader.0.is_empty() {
        items.push(reader.read_item()?);
    }
    Ok(items)
}

/// Decodes a datagram without verifying its tag.
///
/// # Errors
/// See [`CodecError`].
pub fn decode_datagram(data: &[u8]) -> Result<(Header, Vec<Item>), CodecError> {
    let (header, items) = decode_header(data)?;
    Ok((header, decode_items(items)?))
}
