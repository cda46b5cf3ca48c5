//! [`Site::parse`]: a text to a checked model, or every mistake in it.

use crate::check::check;
use crate::error::{Problem, SiteError};
use crate::model::Site;
use crate::problems::Problems;
use crate::read::read_document;
use kdl::KdlDocument;
use miette::SourceSpan;

/// Longer documents, in bytes, are rejected: 50,000 members take a tenth of it.
pub const MAX_DOCUMENT_BYTES: usize = 64 << 20;

/// Nodes nest four deep at the most. The KDL parser recurses once a level, so deeper texts are rejected before they
/// reach it and exhaust the stack.
const MAX_DEPTH: usize = 32;

/// A document without mistakes, and warnings about it.
#[derive(Clone, Debug)]
pub struct ParsedSite {
    /// The model.
    pub site: Site,
    /// What is allowed but probably not intended, in the order of the file.
    pub warnings: Vec<Problem>,
}

impl Site {
    /// Reads and checks a document; `file` is how its mistakes name it.
    ///
    /// # Errors
    /// Every mistake of the document at once, each with its place, except that a text that is no KDL 2, is longer than
    /// [`MAX_DOCUMENT_BYTES`] or nests too deeply is not examined further.
    pub fn parse(file: &str, text: &str) -> Result<ParsedSite, SiteError> {
        let mut problems = Problems::new(text);
        if let Some(message) = limit_exceeded(text) {
            problems.error(SourceSpan::from((0, 0)), message, None);
            return Err(SiteError::new(file, text, problems.errors));
        }
        let document = match KdlDocument::parse_v2(text) {
            Ok(document) => document,
            Err(e) => {
                for d in e.diagnostics {
                    let message = d.message.or(d.label).unwrap_or("not KDL".into());
                    problems.error(d.span, message, d.help);
                }
                return Err(SiteError::new(file, text, problems.errors));
            }
        };
        let (site, spans) = read_document(&document, &mut problems);
        check(&site, &spans, &mut problems);
        if !problems.errors.is_empty() {
            return Err(SiteError::new(file, text, problems.errors));
        }
        problems.warnings.sort_by_key(|p| p.span.offset());
        Ok(ParsedSite { site, warnings: problems.warnings })
    }
}

/// Why the text may not be given to the KDL parser, if so.
fn limit_exceeded(text: &str) -> Option<String> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Some(format!("longer than {MAX_DOCUMENT_BYTES} bytes"));
    }
    (nesting_depth(text) > MAX_DEPTH).then(|| format!("nested deeper than {MAX_DEPTH}"))
}

/// An upper bound, in constant stack, of how deep braces, parentheses and comments nest outside of quoted strings.
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
