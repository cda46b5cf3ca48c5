//! MessagePack-RPC as clients use it: decodes messages from bytes and encodes answers. Does no I/O.

use rmp::decode::{self, bytes::Bytes};
use rmp::{encode, Marker};

/// Longest message, in bytes: the 48,000 bytes of a write's body and the fields, with a margin. Limits what
/// the buffer of one connection can hold.
const MAX_MESSAGE_BYTES: usize = 56 * 1024;
/// Maximum nesting depth of arrays and maps in a message.
const MAX_NESTING_DEPTH: usize = 8;
/// Maximum number of fields in a call.
const MAX_FIELDS: u32 = 64;

/// Fields of a call as pairs of name and value, in the order received.
pub type Fields = Vec<(String, String)>;

/// A message from a client.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A call; its method is the name of a class, or `isWell`.
    Call {
        /// The number of the call on this connection.
        id: u32,
        /// The name of the method.
        method: String,
        /// The first parameter: the fields, or empty if there is none.
        fields: Fields,
        /// The second parameter: the body, or empty if there is none.
        body: Vec<u8>,
    },
    /// The notice `forget`: the client no longer waits for the call with this number.
    Cancel(u32),
    /// A notice with a name that the front does not know; it is ignored.
    UnknownNotice,
}

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// Not MessagePack, of a type that no message has, or nested too deeply.
    #[error("the message is not MessagePack of a supported type and depth")]
    Invalid,
    /// The message is longer than any valid one.
    #[error("the message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// Valid MessagePack that is neither a call nor a notice.
    #[error("the message is neither a call nor a notice")]
    UnexpectedShape,
}

/// Decodes the first message and returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// The bytes can't be the beginning of a valid message.
pub fn parse_message(data: &[u8]) -> Result<Option<(usize, Message)>, RpcError> {
    if data.is_empty() {
        return Ok(None);
    }
    let Extent::Complete(len) = first_value_extent(data)? else { return Ok(None) };
    decode_message(&data[..len]).map(|m| Some((len, m))).ok_or(RpcError::UnexpectedShape)
}

/// Length in bytes that an incomplete message has at least, as far as its beginning shows; 0 if there is none.
pub fn expected_len(data: &[u8]) -> usize {
    match first_value_extent(data) {
        Ok(Extent::Incomplete(len)) if !data.is_empty() => len,
        _ => 0,
    }
}

/// How far the first value in some data extends.
enum Extent {
    /// The value is complete and has this length in bytes.
    Complete(usize),
    /// The value is incomplete and has at least this length in bytes.
    Incomplete(usize),
}

/// The data that follows a MessagePack marker: a number of bytes; a length field (of the given width in
/// bytes) and then the data; a number of values; or a count field (of the given width in bytes) and then, for
/// each counted element, the given number of values.
enum Payload {
    Bytes(usize),
    LengthPrefixedBytes(usize),
    Values(usize),
    CountPrefixedValues(usize, usize),
}

/// Determines the data that follows a marker.
///
/// # Errors
/// The marker is reserved or of an extension type, which occur in no message. rmp's own calculation of a
/// message's length panics at extension types (0.8.15, `decode/est.rs`).
fn payload_after(marker: Marker) -> Result<Payload, RpcError> {
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            Payload::Bytes(0)
        }
        Marker::U8 | Marker::I8 => Payload::Bytes(1),
        Marker::U16 | Marker::I16 => Payload::Bytes(2),
        Marker::U32 | Marker::I32 | Marker::F32 => Payload::Bytes(4),
        Marker::U64 | Marker::I64 | Marker::F64 => Payload::Bytes(8),
        Marker::FixStr(n) => Payload::Bytes(n.into()),
        Marker::Str8 | Marker::Bin8 => Payload::LengthPrefixedBytes(1),
        Marker::Str16 | Marker::Bin16 => Payload::LengthPrefixedBytes(2),
        Marker::Str32 | Marker::Bin32 => Payload::LengthPrefixedBytes(4),
        Marker::FixArray(n) => Payload::Values(n.into()),
        Marker::Array16 => Payload::CountPrefixedValues(2, 1),
        Marker::Array32 => Payload::CountPrefixedValues(4, 1),
        Marker::FixMap(n) => Payload::Values(2 * usize::from(n)),
        Marker::Map16 => Payload::CountPrefixedValues(2, 2),
        Marker::Map32 => Payload::CountPrefixedValues(4, 2),
        Marker::FixExt1 | Marker::FixExt2 | Marker::FixExt4 | Marker::FixExt8 | Marker::FixExt16 => {
            return Err(RpcError::Invalid)
        }
        Marker::Ext8 | Marker::Ext16 | Marker::Ext32 | Marker::Reserved => return Err(RpcError::Invalid),
    })
}

/// Reads a big-endian number of `bytes` bytes at offset `at`; `None` if it is incomplete.
fn read_length(data: &[u8], at: usize, bytes: usize) -> Option<usize> {
    let digits = data.get(at..at + bytes)?;
    Some(digits.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
}

/// Extent of the first value. The contents of strings and binary data are skipped.
///
/// # Errors
/// The value exceeds a limit or has a type that no message has. This is reported as soon as it is known.
fn first_value_extent(data: &[u8]) -> Result<Extent, RpcError> {
    let mut at = 0;
    // Number of values still expected in each array or map that has begun, the innermost last.
    let mut to_come = vec![1_usize];
    while let Some(remaining) = to_come.last_mut() {
        if *remaining == 0 {
            to_come.pop();
            continue;
        }
        *remaining -= 1;
        let Some(byte) = data.get(at) else { return Ok(Extent::Incomplete(at + 1)) };
        at += 1;
        let (bytes, values) = match payload_after(Marker::from_u8(*byte))? {
            Payload::Bytes(n) => (n, 0),
            Payload::Values(n) => (0, n),
            Payload::LengthPrefixedBytes(size) => match read_length(data, at, size) {
                Some(n) => (size + n, 0),
                None => return Ok(Extent::Incomplete(at + size)),
            },
            Payload::CountPrefixedValues(size, each) => match read_length(data, at, size) {
                Some(n) => (size, n * each),
                None => return Ok(Extent::Incomplete(at + size)),
            },
        };
        at += bytes;
        // Each expected value takes at least one byte.
        if at + values > MAX_MESSAGE_BYTES {
            return Err(RpcError::TooLong);
        }
        if values > 0 {
            to_come.push(values);
        }
        if to_come.len() > MAX_NESTING_DEPTH + 1 {
            return Err(RpcError::Invalid);
        }
    }
    Ok(match at <= data.len() {
        true => Extent::Complete(at),
        false => Extent::Incomplete(at),
    })
}

fn decode_message(data: &[u8]) -> Option<Message> {
    let mut rd = Bytes::new(data);
    let parts = decode::read_array_len(&mut rd).ok()?;
    match (decode::read_int::<u8, _>(&mut rd).ok()?, parts) {
        (0, 4) => {
            let id = decode::read_int(&mut rd).ok()?;
            let method = decode_string(&mut rd)?;
            let params = decode::read_array_len(&mut rd).ok()?;
            let fields = if params > 0 { decode_fields(&mut rd)? } else { Fields::new() };
            let body = if params > 1 { decode_binary(&mut rd)? } else { Vec::new() };
            (params <= 2).then_some(Message::Call { id, method, fields, body })
        }
        (2, 3) => {
            if decode_string(&mut rd)? != "forget" {
                return Some(Message::UnknownNotice);
            }
            match decode::read_array_len(&mut rd).ok()? {
                1 => Some(Message::Cancel(decode::read_int(&mut rd).ok()?)),
                _ => None,
            }
        }
        _ => None,
    }
}

fn take_bytes<'a>(rd: &mut Bytes<'a>, len: u32) -> Option<&'a [u8]> {
    let rest = rd.remaining_slice();
    let (taken, rest) = rest.split_at_checked(len as usize)?;
    *rd = Bytes::new(rest);
    Some(taken)
}

fn decode_string(rd: &mut Bytes<'_>) -> Option<String> {
    let len = decode::read_str_len(rd).ok()?;
    String::from_utf8(take_bytes(rd, len)?.to_vec()).ok()
}

fn decode_fields(rd: &mut Bytes<'_>) -> Option<Fields> {
    let len = decode::read_map_len(rd).ok().filter(|n| *n <= MAX_FIELDS)?;
    (0..len).map(|_| Some((decode_string(rd)?, decode_string(rd)?))).collect()
}

fn decode_binary(rd: &mut Bytes<'_>) -> Option<Vec<u8>> {
    let len = decode::read_bin_len(rd).ok()?;
    take_bytes(rd, len).map(<[u8]>::to_vec)
}

/// Encodes the header of an answer and lets `result` append the rest. Writing to memory does not fail.
fn encode_answer(id: u32, result: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    let _ = encode::write_array_len(&mut out, 4);
    let _ = encode::write_uint(&mut out, 1);
    let _ = encode::write_uint(&mut out, u64::from(id));
    result(&mut out);
    out
}

fn encode_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    let _ = encode::write_map_len(out, fields.len() as u32);
    for (name, value) in fields {
        let _ = encode::write_str(out, name);
        let _ = encode::write_str(out, value);
    }
}

/// Encodes a successful answer with a body and fields.
pub fn encode_success(id: u32, body: &[u8], fields: &[(&str, &str)]) -> Vec<u8> {
    encode_answer(id, |out| {
        out.reserve(body.len() + 64);
        let _ = encode::write_nil(out);
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_bin(out, body);
        encode_fields(out, fields);
    })
}

/// Encodes an error answer with its name and fields.
pub fn encode_error(id: u32, name: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    encode_answer(id, |out| {
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_str(out, name);
        encode_fields(out, fields);
        let _ = encode::write_nil(out);
    })
}

/// Encodes the answer to `isWell`; `well` says whether the front is ready.
pub fn encode_health(id: u32, well: bool) -> Vec<u8> {
    encode_answer(id, |out| {
        let _ = encode::write_nil(out);
        let _ = encode::write_array_len(out, 2);
        let _ = encode::write_bool(out, well);
        encode_fields(out, &[]);
    })
}

#[cfg(test)]
#[path = "msgpack_rpc/tests.rs"]
mod tests;
