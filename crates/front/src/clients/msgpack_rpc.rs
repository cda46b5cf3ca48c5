//! MessagePack-RPC as clients speak it: bytes in, messages out. No sockets.

use rmp::decode::{self, bytes::Bytes};
use rmp::{encode, Marker};

/// A write's 48,000 bytes and the fields, with a margin; nothing longer is a message. Bounds what one
/// connection's buffer can hold.
const MAX_MESSAGE_BYTES: usize = 56 * 1024;
const MAX_DEPTH: usize = 8;
const MAX_FIELDS: u32 = 64;

/// Fields by name.
pub type Fields = Vec<(String, String)>;

/// A message of a client.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A call; the method is the class, or `isWell`.
    Call {
        /// Its number on this connection.
        id: u32,
        /// The method.
        method: String,
        /// The first parameter.
        fields: Fields,
        /// The second parameter, if there is one.
        body: Vec<u8>,
    },
    /// The client does not wait for that call any more.
    Forget(u32),
    /// A notice of no meaning here.
    Other,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// Not MessagePack, or nested too deep.
    #[error("not MessagePack")]
    Invalid,
    /// Longer than any message is.
    #[error("message too long")]
    TooLong,
    /// MessagePack, but no call and no notice.
    #[error("neither call nor notice")]
    Shape,
}

/// The first message and its length, once it is complete.
///
/// # Errors
/// The bytes can't become a message.
pub fn parse(data: &[u8]) -> Result<Option<(usize, Message)>, RpcError> {
    if data.is_empty() {
        return Ok(None);
    }
    let Some(len) = measure(data)? else { return Ok(None) };
    message(&data[..len]).map(|m| Some((len, m))).ok_or(RpcError::Shape)
}

/// What follows a marker: bytes, a length and then so many bytes, a number of values, or a length that numbers values.
enum Follows {
    Bytes(usize),
    BytesBy(usize),
    Values(usize),
    ValuesBy(usize, usize),
}

/// What follows that marker. Extension types and the reserved marker stand in no message; rmp's own measure of a message
/// panics at the former (0.8.15, `decode/est.rs`).
fn follows(marker: Marker) -> Result<Follows, RpcError> {
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            Follows::Bytes(0)
        }
        Marker::U8 | Marker::I8 => Follows::Bytes(1),
        Marker::U16 | Marker::I16 => Follows::Bytes(2),
        Marker::U32 | Marker::I32 | Marker::F32 => Follows::Bytes(4),
        Marker::U64 | Marker::I64 | Marker::F64 => Follows::Bytes(8),
        Marker::FixStr(n) => Follows::Bytes(n.into()),
        Marker::Str8 | Marker::Bin8 => Follows::BytesBy(1),
        Marker::Str16 | Marker::Bin16 => Follows::BytesBy(2),
        Marker::Str32 | Marker::Bin32 => Follows::BytesBy(4),
        Marker::FixArray(n) => Follows::Values(n.into()),
        Marker::Array16 => Follows::ValuesBy(2, 1),
        Marker::Array32 => Follows::ValuesBy(4, 1),
        Marker::FixMap(n) => Follows::Values(2 * usize::from(n)),
        Marker::Map16 => Follows::ValuesBy(2, 2),
        Marker::Map32 => Follows::ValuesBy(4, 2),
        Marker::FixExt1 | Marker::FixExt2 | Marker::FixExt4 | Marker::FixExt8 | Marker::FixExt16 => {
            return Err(RpcError::Invalid)
        }
        Marker::Ext8 | Marker::Ext16 | Marker::Ext32 | Marker::Reserved => return Err(RpcError::Invalid),
    })
}

/// A length of so many bytes, most significant first.
fn length(data: &[u8], at: usize, bytes: usize) -> Option<usize> {
    let digits = data.get(at..at + bytes)?;
    Some(digits.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
}

/// The length of the first value, once it is complete: markers are followed, strings and bytes passed over.
///
/// # Errors
/// It breaks the limits or has a type that no message has, as soon as that shows.
fn measure(data: &[u8]) -> Result<Option<usize>, RpcError> {
    let mut at = 0;
    // How many values are still to come, of each array or map that has begun.
    let mut to_come = vec![1_usize];
    while let Some(remaining) = to_come.last_mut() {
        if *remaining == 0 {
            to_come.pop();
            continue;
        }
        *remaining -= 1;
        let Some(byte) = data.get(at) else { return Ok(None) };
        at += 1;
        let (bytes, values) = match follows(Marker::from_u8(*byte))? {
            Follows::Bytes(n) => (n, 0),
            Follows::Values(n) => (0, n),
            Follows::BytesBy(size) => match length(data, at, size) {
                Some(n) => (size + n, 0),
                None => return Ok(None),
            },
            Follows::ValuesBy(size, each) => match length(data, at, size) {
                Some(n) => (size, n * each),
                None => return Ok(None),
            },
        };
        at += bytes;
        // Each value that is still to come has a byte at least.
        if at + values > MAX_MESSAGE_BYTES {
            return Err(RpcError::TooLong);
        }
        if values > 0 {
            to_come.push(values);
        }
        if to_come.len() > MAX_DEPTH + 1 {
            return Err(RpcError::Invalid);
        }
    }
    Ok((at <= data.len()).then_some(at))
}

fn message(data: &[u8]) -> Option<Message> {
    let mut rd = Bytes::new(data);
    let parts = decode::read_array_len(&mut rd).ok()?;
    match (decode::read_int::<u8, _>(&mut rd).ok()?, parts) {
        (0, 4) => {
            let id = decode::read_int(&mut rd).ok()?;
            let method = string(&mut rd)?;
            let params = decode::read_array_len(&mut rd).ok()?;
            let fields = if params > 0 { map(&mut rd)? } else { Fields::new() };
            let body = if params > 1 { bin(&mut rd)? } else { Vec::new() };
            (params <= 2).then_some(Message::Call { id, method, fields, body })
        }
        (2, 3) => {
            if string(&mut rd)? != "forget" {
                return Some(Message::Other);
            }
            match decode::read_array_len(&mut rd).ok()? {
                1 => Some(Message::Forget(decode::read_int(&mut rd).ok()?)),
                _ => None,
            }
        }
        _ => None,
    }
}

fn take<'a>(rd: &mut Bytes<'a>, len: u32) -> Option<&'a [u8]> {
    let rest = rd.remaining_slice();
    let (taken, rest) = rest.split_at_checked(len as usize)?;
    *rd = Bytes::new(rest);
    Some(taken)
}

fn string(rd: &mut Bytes<'_>) -> Option<String> {
    let len = decode::read_str_len(rd).ok()?;
    String::from_utf8(take(rd, len)?.to_vec()).ok()
}

fn map(rd: &mut Bytes<'_>) -> Option<Fields> {
    let len = decode::read_map_len(rd).ok().filter(|n| *n <= MAX_FIELDS)?;
    (0..len).map(|_| Some((string(rd)?, string(rd)?))).collect()
}

fn bin(rd: &mut Bytes<'_>) -> Option<Vec<u8>> {
    let len = decode::read_bin_len(rd).ok()?;
    take(rd, len).map(<[u8]>::to_vec)
}

/// The head of an answer and its fields behind `result`; writing to memory does not fail.
fn answer(id: u32, result: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    let _ = encode::write_array_len(&mut out, 4);
    let _ = encode::write_uint(&mut out, 1);
    let _ = encode::write_uint(&mut out, u64::from(id));
    result(&mut out);
    out
}

fn put_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    let _ = encode::write_map_len(out, fields.len() as u32);
    for (name, value) in fields {
        let _ = encode::write_str(out, name);
        let _ = encode::write_str(out, value);
    }
}

/// An answer with a body.
pub fn served(id: u32, body: &[u8], fields: &[(&str, &str)]) -> Vec<u8> {
    answer(id, |out| {
        out.reserve(body.len() + 64);
        let _ = encode::write_nil(out);
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_bin(out, body);
        put_fields(out, fields);
    })
}

/// An answer that is an error: its name and fields.
pub fn error(id: u32, name: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    answer(id, |out| {
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_str(out, name);
        put_fields(out, fields);
        let _ = encode::write_nil(out);
    })
}

/// The answer to `isWell`.
pub fn well(id: u32, well: bool) -> Vec<u8> {
    answer(id, |out| {
        let _ = encode::write_nil(out);
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_bool(out, well);
        put_fields(out, &[]);
    })
}

#[cfg(test)]
#[path = "msgpack_rpc/tests.rs"]
mod tests;
