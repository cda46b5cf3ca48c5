//! RESP arrays of bulk strings as cache nodes speak them: bytes in, messages out. No sockets.

use std::fmt;

const MOST_PARTS: usize = 8;
/// An object's 240,000 bytes, with room to spare.
const MOST_BYTES: usize = 300 * 1024;
const MOST_DIGITS: usize = 10;

/// An answer of a cache node; it points into the bytes it was read from.
#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    /// The request, as it was asked.
    pub id: &'a str,
    /// What came of it.
    pub word: &'a str,
    /// `name=value,name=value`, or `-`.
    pub fields: &'a str,
    /// The bytes.
    pub body: &'a [u8],
}

impl<'a> Answer<'a> {
    /// Whether the fields have their form.
    pub fn has_sound_fields(&self) -> bool {
        matches!(self.fields, "-" | "") || self.fields.split(',').all(|f| f.contains('='))
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.split(',').find_map(|f| f.split_once('=').filter(|f| f.0 == name)).map(|f| f.1)
    }

    /// A value of the load report, where there is one that can be used.
    pub fn report(&self, name: &str) -> Option<f64> {
        let mut values = self.field("meter")?.split(';').filter_map(|v| v.split_once(':'));
        let value: f64 = values.find(|v| v.0 == name)?.1.parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some(value)
    }
}

/// Why bytes are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RespError {
    /// A type byte, number or line end that does not belong there.
    Invalid,
    /// More parts or bytes than any answer has.
    TooLong,
    /// An array, but no answer.
    Shape,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RespError::Invalid => "not RESP",
            RespError::TooLong => "answer too long",
            RespError::Shape => "no answer",
        })
    }
}

impl std::error::Error for RespError {}

/// A line of a type byte and a number, and what comes behind it.
fn number(data: &[u8], kind: u8) -> Result<Option<(usize, &[u8])>, RespError> {
    let Some(&first) = data.first() else { return Ok(None) };
    if first != kind {
        return Err(RespError::Invalid);
    }
    let digits = data[1..].iter().take_while(|b| b.is_ascii_digit()).count();
    let end = &data[1 + digits..];
    match (digits, end) {
        (MOST_DIGITS.., _) => Err(RespError::TooLong),
        (_, []) | (1.., [b'\r']) => Ok(None),
        (1.., [b'\r', b'\n', rest @ ..]) => {
            let n = data[1..1 + digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
            Ok(Some((n, rest)))
        }
        _ => Err(RespError::Invalid),
    }
}

/// The length of an array and its parts, which point into the bytes they were read from.
pub type Parts<'a> = (usize, Vec<&'a [u8]>);

/// The first array's length and parts, once it is there whole.
pub fn parts(data: &[u8]) -> Result<Option<Parts<'_>>, RespError> {
    let Some((count, mut rest)) = number(data, b'*')? else { return Ok(None) };
    if count > MOST_PARTS {
        return Err(RespError::TooLong);
    }
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((len, behind)) = number(rest, b'$')? else { return Ok(None) };
        if len > MOST_BYTES {
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

/// The first answer and its length, once it is there whole.
pub fn parse(data: &[u8]) -> Result<Option<(usize, Answer<'_>)>, RespError> {
    let Some((len, parts)) = parts(data)? else { return Ok(None) };
    let text = |part| std::str::from_utf8(part).map_err(|_| RespError::Shape);
    match parts[..] {
        [id, word, fields, body] => {
            Ok(Some((len, Answer { id: text(id)?, word: text(word)?, fields: text(fields)?, body })))
        }
        _ => Err(RespError::Shape),
    }
}

/// An array of those parts.
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

/// A request.
pub fn ask(id: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"ASK", id.as_bytes(), if fields.is_empty() { b"-" } else { fields.as_bytes() }, body])
}

/// Gives a request up.
pub fn quit(id: &str) -> Vec<u8> {
    array(&[b"QUIT", id.as_bytes()])
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_where_it_can_be_used() {
        let of = |fields| Answer { id: "1", word: "served", fields, body: b"" }.report("inflight");
        assert_eq!(of("tell=warm,meter=x0:0.5;inflight:7.25"), Some(7.25));
        for fields in ["-", "meter=x0:1", "meter=inflight:", "meter=inflight:-1", "meter=inflight:NaN"] {
            assert_eq!(of(fields), None, "{fields}");
        }
    }
}
