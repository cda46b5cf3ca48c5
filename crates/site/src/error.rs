//! What is wrong with a document, and where.

use miette::{Diagnostic, NamedSource, SourceSpan};

/// One mistake, or one warning.
///
/// Its message names the value as it is written; the place is given as line and column for people and as a byte span for
/// tools.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(severity(Error))]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The column, in characters from 1.
    pub column: usize,
    /// Where in the text, in bytes.
    #[label]
    pub span: SourceSpan,
    /// What is wrong.
    pub message: String,
    /// How it can probably be corrected.
    #[help]
    pub hint: Option<String>,
}

/// Every mistake of a document, in the order of their places.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{}", listed(.source_code.name(), .problems))]
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

    /// The mistakes.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

/// One line a mistake, `FILE:LINE:COLUMN: message`, and its hint below it.
fn listed(file: &str, problems: &[Problem]) -> String {
    let line = |p: &Problem| {
        let hint = p.hint.as_ref().map(|hint| format!("\n  hint: {hint}")).unwrap_or_default();
        format!("{file}:{}:{}: {}{hint}", p.line, p.column, p.message)
    };
    problems.iter().map(line).collect::<Vec<_>>().join("\n")
}
