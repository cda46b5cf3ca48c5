//! What a client's call asks for: read, and checked before any of it reaches the module or a cache node.

use crate::msgpack_rpc::Fields;
use fernslip::{Class, ObjectId, Request, RequestId};
use std::fmt;

/// Of what a client waits, kept back for the way there and back.
const WAY_MS: f64 = 20.0;
/// No client waits longer, and no part is larger, in KB: what is above is a mistake.
const MOST_PATIENCE_MS: f64 = 3_600_000.0;
const MOST_SIZE_KB: f64 = 1e9;
/// A write's body.
const MOST_BODY: usize = 48_000;
const MOST_TAG: usize = 64;

/// A client's request in the words that are passed on unchanged.
#[derive(Debug, Default)]
pub struct Ask {
    /// The request's id.
    pub trace: String,
    /// Its class.
    pub class: String,
    /// The object.
    pub item: String,
    /// The part of it.
    pub chunk: String,
    /// The tag of the copy that the client holds.
    pub known: Option<String>,
    /// What a write brings.
    pub body: Vec<u8>,
}

/// Why a call can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no such class.
    Class,
    /// A field is missing.
    Missing(&'static str),
    /// A field is there twice.
    Twice,
    /// A field's value is not of its form, or out of range.
    Field(&'static str),
    /// A read that brings a body, or a write whose body is too long.
    Body,
}

impl CallError {
    /// The field that is at fault.
    pub fn field(self) -> &'static str {
        match self {
            CallError::Class => "class",
            CallError::Missing(f) | CallError::Field(f) => f,
            CallError::Twice => "fields",
            CallError::Body => "body",
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Class => f.write_str("no such class"),
            CallError::Missing(name) => write!(f, "{name} is missing"),
            CallError::Twice => f.write_str("a field is there twice"),
            CallError::Field(name) => write!(f, "{name} can't be used"),
            CallError::Body => f.write_str("the body does not belong there"),
        }
    }
}

impl std::error::Error for CallError {}

/// 16 lower-case hex digits: they go on unchanged, and cache nodes know no other form.
fn hex(v: &str) -> Option<u64> {
    let digits = v.len() == 16 && v.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(v, 16).ok().filter(|_| digits)
}

/// Digits alone: what a number's own parser takes besides (a sign, an exponent, a name) is no figure here.
fn whole(v: &str) -> Option<u64> {
    v.parse().ok().filter(|_| v.bytes().all(|b| b.is_ascii_digit()))
}

/// Digits, and a fraction if there is one.
fn decimal(v: &str) -> Option<f64> {
    let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    let (int, fraction) = v.split_once('.').unwrap_or((v, "0"));
    v.parse().ok().filter(|_| digits(int) && digits(fraction))
}

/// Reads a call to one of the deployment's classes.
pub fn read(
    classes: &[Class],
    method: &str,
    fields: Fields,
    body: Vec<u8>,
) -> Result<(Request, Ask), CallError> {
    let class = classes.iter().position(|c| c.name == method).ok_or(CallError::Class)?;
    if body.len() > if classes[class].write { MOST_BODY } else { 0 } {
        return Err(CallError::Body);
    }
    let names = ["trace", "entity", "slice", "set", "size", "patience", "seen"];
    let mut values: [Option<String>; 7] = Default::default();
    for (name, value) in fields {
        let Some(at) = names.iter().position(|n| *n == name) else { continue };
        if values[at].replace(value).is_some() {
            return Err(CallError::Twice);
        }
    }
    let [trace, item, chunk, set, size, patience, known] = values;
    let need = |v: Option<String>, name| v.ok_or(CallError::Missing(name));
    let (trace, item, chunk) = (need(trace, "trace")?, need(item, "entity")?, need(chunk, "slice")?);
    let (set, size, patience) = (need(set, "set")?, need(size, "size")?, need(patience, "patience")?);
    let bad = CallError::Field;
    let in_range = |v: Option<f64>, most: f64, name| v.filter(|n| *n <= most).ok_or(bad(name));
    let request = Request {
        id: RequestId(hex(&trace).ok_or(bad("trace"))?),
        object: ObjectId(hex(&item).ok_or(bad("entity"))?),
        part: whole(&chunk).and_then(|n| n.try_into().ok()).ok_or(bad("slice"))?,
        class,
        size_kb: in_range(decimal(&size), MOST_SIZE_KB, "size")?,
        budget_ms: (in_range(decimal(&patience), MOST_PATIENCE_MS, "patience")? - WAY_MS).max(0.0),
        group: whole(&set).filter(|n| *n <= 255).ok_or(bad("set"))?,
    };
    // Passed on inside a list of fields: what would end a field there can't be meant.
    let tag = |k: &str| k.len() <= MOST_TAG && k.bytes().all(|b| b.is_ascii_alphanumeric());
    if known.as_ref().is_some_and(|k| !tag(k)) {
        return Err(bad("seen"));
    }
    Ok((request, Ask { trace, class: method.to_string(), item, chunk, known, body }))
}

#[cfg(test)]
mod tests;
