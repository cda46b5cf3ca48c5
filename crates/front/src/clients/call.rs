//! Decodes a client's call and validates its fields before any of them reaches the decision crate or a cache
//! node.

use crate::msgpack_rpc::Fields;
use fernslip::{Class, ObjectId, Request, RequestId};

/// Part of a client's timeout (the call field `patience`) that is reserved for transit on the network in both
/// directions, in milliseconds.
const TRANSIT_RESERVE_MS: f64 = 20.0;
/// Longest accepted timeout of a client (the call field `patience`), in milliseconds; a larger value is taken
/// for a mistake.
const MAX_PATIENCE_MS: f64 = 3_600_000.0;
/// Largest accepted size of a part of an object, in KB; a larger value is taken for a mistake.
const MAX_SIZE_KB: f64 = 1e9;
/// Longest body of a write, in bytes.
const MAX_BODY_BYTES: usize = 48_000;
/// Most digits of an integer: as many as the largest 64-bit number has. What a call holds is bounded by that,
/// since its fields are stored as they were received.
const MAX_INTEGER_DIGITS: usize = 20;
/// Longest tag of a copy, in bytes.
const MAX_TAG_BYTES: usize = 64;

/// Fields of a client's request that are forwarded to cache nodes unchanged.
#[derive(Debug, Default)]
pub struct CallFields {
    /// The request's id: 16 lower-case hex digits.
    pub trace: String,
    /// The name of the request's class.
    pub class: String,
    /// The object's id: 16 lower-case hex digits.
    pub object: String,
    /// The number of the requested part of the object.
    pub part: String,
    /// The tag of the copy that the client already holds, if any.
    pub known_tag: Option<String>,
    /// The body of a write; empty for a read.
    pub body: Vec<u8>,
}

/// Why a call is rejected as invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The method is not the name of a class.
    #[error("the method is not the name of a class")]
    UnknownClass,
    /// A required field is missing.
    #[error("required field `{0}` is missing")]
    MissingField(&'static str),
    /// A field occurs more than once.
    #[error("a field occurs more than once")]
    DuplicateField,
    /// The value of a field is malformed or out of range.
    #[error("the value of field `{0}` is malformed or out of range")]
    InvalidField(&'static str),
    /// A read has a body, or the body of a write is too long.
    #[error("a read has a body, or the body of a write is longer than {MAX_BODY_BYTES} bytes")]
    InvalidBody,
}

impl CallError {
    /// Name of the invalid field, as given in the answer to the client.
    pub fn field(self) -> &'static str {
        match self {
            CallError::UnknownClass => "class",
            CallError::MissingField(f) | CallError::InvalidField(f) => f,
            CallError::DuplicateField => "fields",
            CallError::InvalidBody => "body",
        }
    }
}

/// Parses exactly 16 lower-case hex digits. The text is forwarded unchanged, and cache nodes accept no other
/// form.
fn parse_hex_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// Parses an integer of ASCII digits only; a leading `+`, which `str::parse` accepts, is rejected, and so is a
/// number of leading zeros that makes the text longer than any number.
fn parse_integer(text: &str) -> Option<u64> {
    text.parse()
        .ok()
        .filter(|_| text.len() <= MAX_INTEGER_DIGITS)
        .filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Parses ASCII digits with an optional fraction. Other forms that `str::parse` accepts (a sign, an
/// exponent, a name such as `inf`) are rejected.
fn parse_decimal(text: &str) -> Option<f64> {
    let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    let (int, fraction) = text.split_once('.').unwrap_or((text, "0"));
    text.parse().ok().filter(|_| digits(int) && digits(fraction))
}

/// Decodes and validates a call to one of the deployment's classes.
///
/// # Errors
/// The class is unknown, a field is missing, duplicate or invalid, or the body is not allowed.
pub fn parse_call(
    classes: &[Class],
    method: &str,
    fields: Fields,
    body: Vec<u8>,
) -> Result<(Request, CallFields), CallError> {
    let class = classes.iter().position(|c| c.name == method).ok_or(CallError::UnknownClass)?;
    if body.len() > if classes[class].write { MAX_BODY_BYTES } else { 0 } {
        return Err(CallError::InvalidBody);
    }
    let names = ["trace", "entity", "slice", "set", "size", "patience", "seen"];
    let mut values: [Option<String>; 7] = Default::default();
    for (name, value) in fields {
        let Some(at) = names.iter().position(|n| *n == name) else { continue };
        if values[at].replace(value).is_some() {
            return Err(CallError::DuplicateField);
        }
    }
    let [trace, object, part, set, size, patience, known_tag] = values;
    let need = |v: Option<String>, name| v.ok_or(CallError::MissingField(name));
    let (trace, object, part) = (need(trace, "trace")?, need(object, "entity")?, need(part, "slice")?);
    let (set, size, patience) = (need(set, "set")?, need(size, "size")?, need(patience, "patience")?);
    let bad = CallError::InvalidField;
    let in_range = |v: Option<f64>, most: f64, name| v.filter(|n| *n <= most).ok_or(bad(name));
    let request = Request {
        id: RequestId(parse_hex_id(&trace).ok_or(bad("trace"))?),
        object: ObjectId(parse_hex_id(&object).ok_or(bad("entity"))?),
        part: parse_integer(&part).and_then(|n| n.try_into().ok()).ok_or(bad("slice"))?,
        class,
        size_kb: in_range(parse_decimal(&size), MAX_SIZE_KB, "size")?,
        budget_ms: (in_range(parse_decimal(&patience), MAX_PATIENCE_MS, "patience")? - TRANSIT_RESERVE_MS)
            .max(0.0),
        group: parse_integer(&set).filter(|n| *n <= 255).ok_or(bad("set"))?,
    };
    // The tag is forwarded inside a list of fields, so it must not contain a character that could end a
    // field there.
    let tag = |k: &str| k.len() <= MAX_TAG_BYTES && k.bytes().all(|b| b.is_ascii_alphanumeric());
    if known_tag.as_ref().is_some_and(|k| !tag(k)) {
        return Err(bad("seen"));
    }
    Ok((request, CallFields { trace, class: method.to_string(), object, part, known_tag, body }))
}

#[cfg(test)]
mod tests;
