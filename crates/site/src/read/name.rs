//! Names of what nodes describe, and weights, which several kinds of node have.

use crate::fields::{Fields, Spanned};
use miette::SourceSpan;
use std::collections::HashMap;

/// The greatest weight that a member or a membership may have.
pub(super) const MAX_WEIGHT: f64 = 1e6;

/// The name of what a node describes, which must be unique among its kind.
pub(super) fn unique_name(f: &mut Fields<'_, '_, '_>, defined: &mut HashMap<String, SourceSpan>) -> String {
    let Some(Spanned { text: name, span }) = f.arg("a name") else { return String::new() };
    if name.is_empty() {
        f.problems.error(span, "a name can't be empty", None);
    } else if defined.insert(name.to_string(), span).is_some() {
        f.problems.error(span, format!("`{name}` is there twice"), Some("give each its own name".into()));
    }
    name.to_string()
}
