//! Lines of mod_jk's files, and values of properties.

use crate::error::ImportError;
use crate::ledger::{Item, Ledger};
use crate::location::Location;
use crate::text::{expand, read_lines, Continuations, Expanded, Line, MAX_LINE_BYTES};
use fernslip_site::{status_code, State};
use std::collections::HashMap;
use std::sync::Arc;

/// The values of a list, separated by blanks and commas.
pub(super) fn split_list(value: &str) -> Vec<String> {
    value.split([',', ' ', '\t']).filter(|v| !v.is_empty()).map(String::from).collect()
}

/// The state that an `activation` stands for; `None`: it is none.
pub(super) fn parse_activation(value: &str) -> Option<State> {
    match value.to_ascii_lowercase().as_str() {
        "active" | "a" | "act" => Some(State::Ready),
        "disabled" | "d" | "dis" => Some(State::Draining),
        "stopped" | "s" | "sto" | "stop" => Some(State::Stopped),
        _ => None,
    }
}

/// The values of a `fail_on_status`.
pub(super) struct StatusCodes {
    pub codes: Vec<u16>,
    /// Values that a site document does not take, such as those with a minus.
    unsupported: Vec<String>,
}

impl StatusCodes {
    pub fn parse(value: &str) -> StatusCodes {
        let mut parsed = StatusCodes { codes: Vec::new(), unsupported: Vec::new() };
        for value in split_list(value) {
            match status_code(&value) {
                Some(code) => parsed.codes.push(code),
                None => parsed.unsupported.push(value),
            }
        }
        parsed
    }

    /// Sets the verdict of the property that they come from.
    pub fn report(&self, ledger: &mut Ledger, item: Item, target: String) {
        match self.unsupported.is_empty() {
            true => ledger.mapped(item, target),
            false => {
                let reason = format!("without {}, which have no equal", self.unsupported.join(", "));
                ledger.approximated(item, target, reason);
            }
        }
    }
}

/// A line of a file, recorded in the ledger.
pub(super) struct RecordedLine {
    pub line: Line,
    pub location: Location,
    pub item: Item,
}

impl RecordedLine {
    /// The line without its comment, its variables `$(NAME)` expanded.
    pub fn expand(&self, variables: &HashMap<String, String>) -> Result<Expanded, ImportError> {
        let text = without_comment(&self.line.text);
        let expanded = expand(&text, "$(", ')', |name| variables.get(name).map(String::as_str));
        expanded.ok_or_else(|| ImportError::LineTooLong {
            location: self.location.clone(),
            expanded: true,
            limit: MAX_LINE_BYTES,
        })
    }
}

/// The lines of a file, except comments, each recorded under the name on the left of its `=`. Those that are no UTF-8
/// are omitted.
pub(super) fn record_lines(
    ledger: &mut Ledger,
    file: &Arc<str>,
    bytes: &[u8],
) -> Result<Vec<RecordedLine>, ImportError> {
    let mut recorded = Vec::new();
    for line in read_lines(file, bytes, Continuations::Ignored)? {
        if line.text.starts_with('#') {
            continue;
        }
        let location = line.location(file, 0);
        let item = ledger.note(&location, line.text.split('=').next().unwrap_or("").trim());
        if line.invalid_utf8 {
            ledger.omitted(item, "bytes that are no UTF-8");
            continue;
        }
        recorded.push(RecordedLine { line, location, item });
    }
    Ok(recorded)
}

/// Cuts off a comment, which begins at a `#` that no backslash precedes.
fn without_comment(text: &str) -> String {
    let mut out = String::new();
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\\' if chars.peek() == Some(&'#') => out.extend(chars.next()),
            '#' => break,
            c => out.push(c),
        }
    }
    out.trim_end().to_string()
}
