//! Mistakes in a document and warnings about it, with their positions.

use miette::{Diagnostic, NamedSource, SourceSpan};

/// A mistake in a document, or a warning about it.
///
/// The position is given as line and column for people and as a byte span for tools.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(severity(Error))]
pub struct Problem {
    /// The line of the position, counted from 1.
    pub line: usize,
    /// The column of the position, in characters counted from 1.
    pub column: usize,
    /// The part of the text that the message is about, as a byte offset and a length.
    #[label]
    pub span: SourceSpan,
    /// The description of the mistake, with the value as it is written in the document.
    pub message: String,
    /// A suggestion for correcting the mistake; `None` if there is none.
    #[help]
    pub hint: Option<String>,
}

/// The error of a document with mistakes: all of them, in the order of their positions.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{}", format_problems(.source_code.name(), .problems))]
pub struct SiteError {
    #[source_code]
    source_code: NamedSource<String>,
    #[related]
    problems: Vec<Problem>,
}

impl SiteError {
    pub(crate) fn new(file: &str, text: &str, mut problems: Vec<Problem>) -> SiteError {
        problems.sort_by_key(|p| p.span.offset());
        SiteError { source_code: NamedSource::new(file, text.to_string()), problems }
    }

    /// All mistakes, in the order of their positions.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

/// Formats each mistake as a line `FILE:LINE:COLUMN: message`, with its hint on the next line.
fn format_problems(file: &str, problems: &[Problem]) -> String {
    let line = |p: &Problem| {
        let hint = p.hint.as_ref().map(|hint| format!("\n  hint: {hint}")).unwrap_or_default();
        format!("{file}:{}:{}: {}{hint}", p.line, p.column, p.message)
    };
    problems.iter().map(line).collect::<Vec<_>>().join("\n")
}
