//! MessagePack-RPC as clients speak it: bytes in, messages out. No sockets.

use rmp::decode::{self, bytes::Bytes, LenError, MessageLen};
use rmp::encode;
use std::fmt;

/// A write's 48,000 bytes and the fields, with room to spare; nothing longer is a message. Bounds what one
/// connection's buffer can hold.
const MOST_BYTES: usize = 56 * 1024;
const MOST_DEPTH: usize = 8;
const MOST_FIELDS: u32 = 64;

/// Fields by name.
pub type Fields = Vec<(String, String)>;

/// What a client says.
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// Not MessagePack, or nested too deep.
    Invalid,
    /// Longer than any message is.
    TooLong,
    /// MessagePack, but no call and no notice.
    Shape,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RpcError::Invalid => "not MessagePack",
            RpcError::TooLong => "message too long",
            RpcError::Shape => "neither call nor notice",
        })
    }
}

impl std::error::Error for RpcError {}

/// The first message and its length, once it is there whole.
pub fn parse(data: &[u8]) -> Result<Option<(usize, Message)>, RpcError> {
    if data.is_empty() {
        return Ok(None);
    }
    let mut measure = MessageLen::with_limits(MOST_DEPTH, MOST_BYTES);
    // Measured twice where it is not whole: of a part that breaks the limits, the first measure says only that
    // more must come. Without the second a client could have bytes held without end.
    let measured = match measure.incremental_len(data) {
        Err(LenError::Truncated(_)) => measure.incremental_len(&[]),
        other => other,
    };
    let len = match measured {
        Ok(len) => len,
        Err(LenError::Truncated(_)) if data.len() <= MOST_BYTES => return Ok(None),
        Err(LenError::Truncated(_)) => return Err(RpcError::TooLong),
        Err(LenError::ParseError) => return Err(RpcError::Invalid),
    };
    if len > MOST_BYTES {
        return Err(RpcError::TooLong);
    }
    message(&data[..len]).map(|m| Some((len, m))).ok_or(RpcError::Shape)
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
    let len = decode::read_map_len(rd).ok().filter(|n| *n <= MOST_FIELDS)?;
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

/// An answer that is an error: its word and fields.
pub fn error(id: u32, word: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    answer(id, |out| {
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_str(out, word);
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
