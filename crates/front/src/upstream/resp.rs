//! Parses and encodes the RESP arrays of bulk strings that cache nodes use. Works on bytes alone, without
//! sockets.

use thiserror::Error;

/// Maximum number of parts of an array; an answer has four.
const MAX_PARTS: usize = 8;
/// Maximum size of one part in bytes: 240,000 for the largest object, and a margin.
const MAX_PART_BYTES: usize = 300 * 1024;
/// Maximum size of all parts in bytes: the largest object, and the other parts, which are short.
const MAX_ARRAY_BYTES: usize = MAX_PART_BYTES + 16 * 1024;
/// A length or count with this many digits or more is rejected.
const DIGITS_LIMIT: usize = 10;

/// An answer of a cache node, borrowed from the bytes that it was parsed from.
#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    /// Id of the request, as it was sent: its trace id in hexadecimal digits.
    pub id: &'a str,
    /// Keyword of the outcome, such as `served`.
    pub outcome: &'a str,
    /// Fields in the form `name=value,name=value`, or `-` if there are none.
    pub fields: &'a str,
    /// The object's bytes.
    pub body: &'a [u8],
}

impl<'a> Answer<'a> {
    /// Whether every field has the form `name=value`.
    pub fn has_well_formed_fields(&self) -> bool {
        matches!(self.fields, "-" | "") || self.fields.split(',').all(|f| f.contains('='))
    }

    /// Value of the field `name`; `None` if the answer does not have it.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.split(',').find_map(|f| f.split_once('=').filter(|f| f.0 == name)).map(|f| f.1)
    }

    /// Value of `name` in the load report (`meter=NAME:VALUE;NAME:VALUE`); `None` if it is missing, not
    /// finite or negative.
    pub fn load_report_value(&self, name: &str) -> Option<f64> {
        let mut values = self.field("meter")?.split(';').filter_map(|v| v.split_once(':'));
        let value: f64 = values.find(|v| v.0 == name)?.1.parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some(value)
    }
}

/// Why bytes are not a valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RespError {
    /// A type byte, number or line end is not what RESP requires at its position.
    #[error("invalid RESP: unexpected type byte, number or line end")]
    Invalid,
    /// The array has more parts or bytes than an answer may have.
    #[error("RESP array has more parts or bytes than an answer may have")]
    TooLong,
    /// The array is not an answer.
    #[error("RESP array is not an answer: expected the UTF-8 texts id, outcome and fields, and a body")]
    Shape,
}

/// Parses a line that begins with the type byte `kind`; returns its number and the bytes after the line, or
/// `None` if the line is incomplete.
fn parse_header(data: &[u8], kind: u8) -> Result<Option<(usize, &[u8])>, RespError> {
    let Some(&first) = data.first() else { return Ok(None) };
    if first != kind {
        return Err(RespError::Invalid);
    }
    let digits = data[1..].iter().take_while(|b| b.is_ascii_digit()).count();
    let end = &data[1 + digits..];
    match (digits, end) {
        (DIGITS_LIMIT.., _) => Err(RespError::TooLong),
        (_, []) | (1.., [b'\r']) => Ok(None),
        (1.., [b'\r', b'\n', rest @ ..]) => {
            let n = data[1..1 + digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
            Ok(Some((n, rest)))
        }
        _ => Err(RespError::Invalid),
    }
}

/// The length of an array in bytes, and its parts, which are borrowed from the bytes that they were parsed
/// from.
pub type ArrayParts<'a> = (usize, Vec<&'a [u8]>);

/// Parses the first array in `data`; returns its length in bytes and its parts, or `None` if it is
/// incomplete.
///
/// # Errors
/// The bytes are not RESP, or exceed a limit.
pub fn parse_array(data: &[u8]) -> Result<Option<ArrayParts<'_>>, RespError> {
    let Some((count, mut rest)) = parse_header(data, b'*')? else { return Ok(None) };
    if count > MAX_PARTS {
        return Err(RespError::TooLong);
    }
    let mut parts = Vec::with_capacity(count);
    let mut array_bytes = 0;
    for _ in 0..count {
        let Some((len, behind)) = parse_header(rest, b'$')? else { return Ok(None) };
        array_bytes += len;
        if len > MAX_PART_BYTES || array_bytes > MAX_ARRAY_BYTES {
            return Err(RespError::TooLong);
        }
        let Some((text, behind)) = behind.split_at_checked(len) else { return Ok(None) };
        match behind {
            [b'\r', b'\n', behind @ ..] => rest = behind,
            [] | [b'\r'] => return Ok(None),
            _ => return Err(RespError::Invalid),
        }
        parts.push(text);
    }
    Ok(Some((data.len() - rest.len(), parts)))
}

/// Parses the first answer in `data`; returns its length in bytes and the answer, or `None` if it is
/// incomplete.
///
/// # Errors
/// The bytes are not RESP, exceed a limit, or are not an answer.
pub fn parse_answer(data: &[u8]) -> Result<Option<(usize, Answer<'_>)>, RespError> {
    let Some((len, parts)) = parse_array(data)? else { return Ok(None) };
    let text = |part| std::str::from_utf8(part).map_err(|_| RespError::Shape);
    match parts[..] {
        [id, outcome, fields, body] => {
            Ok(Some((len, Answer { id: text(id)?, outcome: text(outcome)?, fields: text(fields)?, body })))
        }
        _ => Err(RespError::Shape),
    }
}

/// Encodes an array of these parts.
pub fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(parts.iter().map(|p| p.len() + 16).sum::<usize>() + 16);
    out.extend_from_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes a request with this id; `fields` has the form of [`Answer::fields`], and may be empty.
pub fn encode_request(id: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    encode_array(&[b"ASK", id.as_bytes(), if fields.is_empty() { b"-" } else { fields.as_bytes() }, body])
}

/// Encodes the cancel of the request with this id.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_array(&[b"QUIT", id.as_bytes()])
}

#[cfg(test)]
mod tests;
