//! Parameters: the last one that is set holds, and the one before is reported as overridden.

use crate::report::{Item, Ledger, Place};
use std::collections::BTreeMap;

/// A parameter as it was read.
#[derive(Clone, Debug)]
pub(crate) struct Param {
    pub value: String,
    pub item: Item,
}

/// Parameters by their names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Params(pub BTreeMap<String, Param>);

impl Params {
    pub fn set(&mut self, ledger: &mut Ledger, name: &str, value: String, item: Item) {
        let old = self.0.insert(name.to_string(), Param { value, item });
        if let Some(old) = old.filter(|o| o.item != item) {
            let at: Place = ledger.place(item).clone();
            ledger.left_out(old.item, format!("overridden at {at}"));
        }
    }
}

/// A time in milliseconds: a number with a unit (`ms`, `s`, `min` or `mi`, `h`), or of `unit_ms` each without one.
pub(crate) fn time_ms(text: &str, unit_ms: u64) -> Option<u64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let n: u64 = text[..digits].parse().ok()?;
    let unit = match text[digits..].to_ascii_lowercase().as_str() {
        "" => unit_ms,
        "ms" => 1,
        "s" => 1000,
        "mi" | "min" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    // More than a day is no time-out that a site document takes.
    n.checked_mul(unit).filter(|ms| *ms <= 86_400_000)
}

/// Yes or no, in the spellings of both formats.
pub(crate) fn flag(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "on" | "true" | "t" | "yes" | "y" | "1" => Some(true),
        "off" | "false" | "f" | "no" | "n" | "0" => Some(false),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_have_units() {
        assert_eq!(time_ms("60", 1000), Some(60_000));
        assert_eq!(time_ms("250ms", 1000), Some(250));
        assert_eq!(time_ms("2s", 1), Some(2000));
        assert_eq!(time_ms("5MIN", 1), Some(300_000));
        for bad in ["", "-1", "1.5", "9x", "99999999999999999999", "25h"] {
            assert_eq!(time_ms(bad, 1000), None, "{bad}");
        }
    }
}
