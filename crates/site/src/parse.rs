//! Parsing of a site document: [`Site::parse`] returns a checked model, or all mistakes in the text.

use crate::check::check_document;
use crate::error::{Problem, SiteError};
use crate::model::Site;
use crate::problems::Problems;
use crate::read::read_document;
use kdl::KdlDocument;
use miette::SourceSpan;

/// The greatest length of a document in bytes; longer ones are rejected. A document with 50,000 members takes
/// a tenth of it.
pub const MAX_DOCUMENT_BYTES: usize = 64 << 20;

/// The greatest nesting depth of a document; valid documents need at most four levels. The KDL parser
/// recurses for each level, so deeper texts are rejected before they can exhaust its stack.
const MAX_NESTING_DEPTH: usize = 32;

/// The result of parsing a document without mistakes.
#[derive(Clone, Debug)]
pub struct ParsedSite {
    /// The model of the document.
    pub site: Site,
    /// Settings that are allowed but probably not intended, in the order of the document.
    pub warnings: Vec<Problem>,
}

impl Site {
    /// Parses and checks a document; `file` is the file name that error messages show.
    ///
    /// # Errors
    /// Returns all mistakes of the document, each with its position. A text that is not KDL 2, is longer than
    /// [`MAX_DOCUMENT_BYTES`] or is nested too deeply is not examined further.
    pub fn parse(file: &str, text: &str) -> Result<ParsedSite, SiteError> {
        let mut problems = Problems::new(text);
        if let Some(message) = exceeded_limit(text) {
            problems.add_error(SourceSpan::from((0, 0)), message, None);
            return Err(SiteError::new(file, text, problems.errors));
        }
        let document = match KdlDocument::parse_v2(text) {
            Ok(document) => document,
            Err(e) => {
                for d in e.diagnostics {
                    let message = d.message.or(d.label).unwrap_or("the document is not valid KDL 2".into());
                    problems.add_error(d.span, message, d.help);
                }
                return Err(SiteError::new(file, text, problems.errors));
            }
        };
        let (site, spans) = read_document(&document, &mut problems);
        check_document(&site, &spans, &mut problems);
        if !problems.errors.is_empty() {
            return Err(SiteError::new(file, text, problems.errors));
        }
        problems.warnings.sort_by_key(|p| p.span.offset());
        Ok(ParsedSite { site, warnings: problems.warnings })
    }
}

/// Returns a message that names the limit that the text exceeds, or `None`. A text beyond a limit must not
/// reach the KDL parser.
fn exceeded_limit(text: &str) -> Option<String> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Some(format!(
            "the document has {} bytes, more than the limit of {MAX_DOCUMENT_BYTES}",
            text.len()
        ));
    }
    (nesting_depth(text) > MAX_NESTING_DEPTH)
        .then(|| format!("the document is nested deeper than {MAX_NESTING_DEPTH} levels"))
}

/// An upper bound of how deep braces, parentheses and block comments are nested outside quoted strings,
/// computed without recursion.
fn nesting_depth(text: &str) -> usize {
    let bytes = text.as_bytes();
    let (mut at, mut open, mut comments, mut deepest) = (0, 0usize, 0usize, 0);
    while at < bytes.len() {
        match bytes[at..] {
            [b'/', b'*', ..] => (comments, at) = (comments + 1, at + 1),
            [b'*', b'/', ..] => (comments, at) = (comments.saturating_sub(1), at + 1),
            [b'"', ..] if comments == 0 => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' && bytes[at] != b'\n' {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
            }
            [b'{' | b'(', ..] => open += 1,
            [b'}' | b')', ..] => open = open.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(open + comments);
        at += 1;
    }
    deepest
}
