//! Values of mod_jk's properties.

use crate::error::ImportError;
use crate::ledger::{Item, Ledger};
use crate::location::Location;
use crate::text::{expand, Expanded, Line, MAX_LINE_BYTES};
use fernslip_site::{status_code, State};
use std::collections::HashMap;

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

/// Whether a line holds nothing but a comment.
pub(super) fn is_comment(line: &Line) -> bool {
    line.text.starts_with('#')
}

/// The name on the left of a line's `=`.
pub(super) fn property_name(line: &Line) -> &str {
    line.text.split('=').next().unwrap_or("").trim()
}

/// A line without its comment, its variables `$(NAME)` expanded.
pub(super) fn expand_line(
    line: &Line,
    location: &Location,
    variables: &HashMap<String, String>,
) -> Result<Expanded, ImportError> {
    let text = without_comment(&line.text);
    let expanded = expand(&text, "$(", ')', |name| variables.get(name).map(String::as_str));
    expanded.ok_or_else(|| ImportError::LineTooLong {
        location: location.clone(),
        expanded: true,
        limit: MAX_LINE_BYTES,
    })
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
