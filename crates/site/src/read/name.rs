//! The parts that several kinds of node have in common: unique names, and the limit of weights.

use crate::fields::{NodeReader, SpannedText};
use miette::SourceSpan;
use std::collections::HashMap;

/// The greatest weight that a `member` or `use` node may have.
pub(super) const MAX_WEIGHT: f64 = 1e6;

/// Reads the name that is a node's first argument. An empty name, or a name that an earlier node of the same
/// kind has, is reported as a mistake.
pub(super) fn unique_name(
    reader: &mut NodeReader<'_, '_, '_>,
    defined: &mut HashMap<String, SourceSpan>,
) -> String {
    let Some(SpannedText { text: name, span }) = reader.text_argument("a name") else { return String::new() };
    if name.is_empty() {
        reader.problems.add_error(span, "the name is empty, but must have at least one character", None);
    } else if defined.insert(name.to_string(), span).is_some() {
        reader.problems.add_error(
            span,
            format!("the name `{name}` is already in use"),
            Some("each zone, class, member or pool needs a unique name".into()),
        );
    }
    name.to_string()
}
