//! Parses lines of mod_jk's files and values of properties.

use crate::error::ImportError;
use crate::ledger::{Item, Ledger};
use crate::location::Location;
use crate::text::{expand_variables, read_lines, Continuations, Expanded, Line, MAX_LINE_BYTES};
use fernslip_site::{parse_status_code, State};
use std::collections::HashMap;
use std::sync::Arc;

/// Splits a list at commas, spaces and tabs.
pub(super) fn split_list(value: &str) -> Vec<String> {
    value.split([',', ' ', '\t']).filter(|v| !v.is_empty()).map(String::from).collect()
}

/// The state for a value of `activation`; `None` if the value is invalid.
pub(super) fn parse_activation(value: &str) -> Option<State> {
    match value.to_ascii_lowercase().as_str() {
        "active" | "a" | "act" => Some(State::Ready),
        "disabled" | "d" | "dis" => Some(State::Draining),
        "stopped" | "s" | "sto" | "stop" => Some(State::Stopped),
        _ => None,
    }
}

/// The values of a `fail_on_status` property or attribute.
pub(super) struct StatusCodes {
    pub codes: Vec<u16>,
    /// The values that a site document does not accept, such as those with a minus sign.
    unsupported: Vec<String>,
}

impl StatusCodes {
    pub fn parse(value: &str) -> StatusCodes {
        let mut parsed = StatusCodes { codes: Vec::new(), unsupported: Vec::new() };
        for value in split_list(value) {
            match parse_status_code(&value) {
                Some(code) => parsed.codes.push(code),
                None => parsed.unsupported.push(value),
            }
        }
        parsed
    }

    /// Sets the verdict of the property or attribute that the values come from.
    pub fn report(&self, ledger: &mut Ledger, item: Item, target: String) {
        match self.unsupported.is_empty() {
            true => ledger.report_mapped(item, target),
            false => {
                let reason = format!(
                    "status codes that are not supported are dropped: {}",
                    self.unsupported.join(", ")
                );
                ledger.report_approximated(item, target, reason);
            }
        }
    }
}

/// A line of a file that is recorded in the ledger.
pub(super) struct RecordedLine {
    pub line: Line,
    pub location: Location,
    pub item: Item,
}

impl RecordedLine {
    /// The text of the line without its comment, with variables of the form `$(NAME)` expanded.
    pub fn expand(&self, variables: &HashMap<String, String>) -> Result<Expanded, ImportError> {
        let text = without_comment(&self.line.text);
        let expanded = expand_variables(&text, "$(", ')', |name| variables.get(name).map(String::as_str));
        expanded.ok_or_else(|| ImportError::LineTooLong {
            location: self.location.clone(),
            expanded: true,
            limit: MAX_LINE_BYTES,
        })
    }
}

/// Records the lines of a file, except comments, each under the name before its `=`, and returns them. Lines
/// with invalid UTF-8 are reported as omitted and not returned.
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
        let item = ledger.record(&location, line.text.split('=').next().unwrap_or("").trim());
        if line.invalid_utf8 {
            ledger.report_omitted(item, "the line contains invalid UTF-8");
            continue;
        }
        recorded.push(RecordedLine { line, location, item });
    }
    Ok(recorded)
}

/// Removes a comment, which begins at a `#` without a backslash before it.
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
