//! RESP arrays of bulk strings as cache nodes speak them: bytes in, messages out. No sockets.

use thiserror::Error;

/// Parts of an array: an answer has four.
const MAX_PARTS: usize = 8;
/// Bytes of a part: an object's 240,000, with a margin.
const MAX_PART_BYTES: usize = 300 * 1024;
/// Digits of a length or count.
const MAX_DIGITS: usize = 10;

/// An answer of a cache node; it points into the bytes it was read from.
#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    /// The request's id, as it was sent: its trace, in hexadecimal digits.
    pub id: &'a str,
    /// The keyword of its outcome, such as `served`.
    pub outcome: &'a str,
    /// `name=value,name=value`, or `-`.
    pub fields: &'a str,
    /// The object's bytes.
    pub body: &'a [u8],
}

impl<'a> Answer<'a> {
    /// Whether each field has a name and a value.
    pub fn has_well_formed_fields(&self) -> bool {
        matches!(self.fields, "-" | "") || self.fields.split(',').all(|f| f.contains('='))
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.split(',').find_map(|f| f.split_once('=').filter(|f| f.0 == name)).map(|f| f.1)
    }

    /// A value of the load report (`meter=NAME:VALUE;NAME:VALUE`), if it is there, finite and not negative.
    pub fn load_report(&self, name: &str) -> Option<f64> {
        let mut values = self.field("meter")?.split(';').filter_map(|v| v.split_once(':'));
        let value: f64 = values.find(|v| v.0 == name)?.1.parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some(value)
    }
}

/// Why bytes are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RespError {
    /// A type byte, number or line end that does not belong there.
    #[error("not RESP")]
    Invalid,
    /// More parts or bytes than any answer has.
    #[error("answer too long")]
    TooLong,
    /// An array, but no answer.
    #[error("no answer")]
    Shape,
}

/// The number of a line that begins with the type byte `kind`, and what follows the line; `None`: the line is not complete.
fn header(data: &[u8], kind: u8) -> Result<Option<(usize, &[u8])>, RespError> {
    let Some(&first) = data.first() else { return Ok(None) };
    if first != kind {
        return Err(RespError::Invalid);
    }
    let digits = data[1..].iter().take_while(|b| b.is_ascii_digit()).count();
    let end = &data[1 + digits..];
    match (digits, end) {
        (MAX_DIGITS.., _) => Err(RespError::TooLong),
        (_, []) | (1.., [b'\r']) => Ok(None),
        (1.., [b'\r', b'\n', rest @ ..]) => {
            let n = data[1..1 + digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
            Ok(Some((n, rest)))
        }
        _ => Err(RespError::Invalid),
    }
}

/// The length of an array in bytes and its parts, which point into the bytes they were read from.
pub type Parts<'a> = (usize, Vec<&'a [u8]>);

/// The first array's length and parts; `None`: it is not complete yet.
///
/// # Errors
/// The bytes are not RESP, or exceed a limit.
pub fn parts(data: &[u8]) -> Result<Option<Parts<'_>>, RespError> {
    let Some((count, mut rest)) = header(data, b'*')? else { return Ok(None) };
    if count > MAX_PARTS {
        return Err(RespError::TooLong);
    }
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((len, behind)) = header(rest, b'$')? else { return Ok(None) };
        if len > MAX_PART_BYTES {
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

/// The first answer's length and the answer; `None`: it is not complete yet.
///
/// # Errors
/// The bytes are not RESP, exceed a limit or are no answer.
pub fn parse(data: &[u8]) -> Result<Option<(usize, Answer<'_>)>, RespError> {
    let Some((len, parts)) = parts(data)? else { return Ok(None) };
    let text = |part| std::str::from_utf8(part).map_err(|_| RespError::Shape);
    match parts[..] {
        [id, outcome, fields, body] => {
            Ok(Some((len, Answer { id: text(id)?, outcome: text(outcome)?, fields: text(fields)?, body })))
        }
        _ => Err(RespError::Shape),
    }
}

/// The bytes of an array of those parts.
pub fn array(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(parts.iter().map(|p| p.len() + 16).sum::<usize>() + 16);
    out.extend_from_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// The bytes of a request; `fields` as in [`Answer::fields`].
pub fn request(id: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"ASK", id.as_bytes(), if fields.is_empty() { b"-" } else { fields.as_bytes() }, body])
}

/// The bytes that cancel a request.
pub fn cancel(id: &str) -> Vec<u8> {
    array(&[b"QUIT", id.as_bytes()])
}

#[cfg(test)]
mod tests;
