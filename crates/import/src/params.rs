//! Parameters and their values. If a parameter is set several times, the last value takes effect and the
//! earlier ones are reported as overridden.

use crate::ledger::{Item, Ledger};
use std::collections::BTreeMap;

/// The longest duration that a site document accepts: one day, in milliseconds.
const MAX_TIME_MS: u64 = 86_400_000;

/// The value of a parameter, and its item in the ledger.
#[derive(Clone, Debug)]
pub(crate) struct Param {
    pub value: String,
    pub item: Item,
}

/// A parameter of a directive, or an attribute of a mount, with its name.
#[derive(Clone, Debug)]
pub(crate) struct NamedParam {
    pub name: String,
    pub value: String,
    pub item: Item,
}

/// Parameters, keyed by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Params(pub BTreeMap<String, Param>);

impl Params {
    pub fn get(&self, name: &str) -> Option<&Param> {
        self.0.get(name)
    }

    pub fn set(&mut self, ledger: &mut Ledger, param: NamedParam) {
        let NamedParam { name, value, item } = param;
        let earlier = self.0.insert(name, Param { value, item });
        if let Some(earlier) = earlier.filter(|e| e.item != item) {
            ledger.report_overridden(earlier.item, item);
        }
    }
}

/// Parses a duration, and returns it in milliseconds. The text is a whole number with a unit (`ms`, `s`,
/// `min` or `mi`, `h`), or without one, which then counts units of `unit_ms`. Returns `None` for invalid text
/// and for more than one day.
pub(crate) fn parse_time_ms(text: &str, unit_ms: u64) -> Option<u64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let number: u64 = text[..digits].parse().ok()?;
    let unit_ms = match text[digits..].to_ascii_lowercase().as_str() {
        "" => unit_ms,
        "ms" => 1,
        "s" => 1000,
        "mi" | "min" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(unit_ms).filter(|ms| *ms <= MAX_TIME_MS)
}

/// Parses a Boolean in the spellings that httpd and mod_jk accept; `None` for any other text.
pub(crate) fn parse_flag(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "on" | "true" | "t" | "yes" | "y" | "1" => Some(true),
        "off" | "false" | "f" | "no" | "n" | "0" => Some(false),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
