//! What is wrong with a document, and where.

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use std::fmt;

/// One thing that is wrong, or worth a second look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The column, in characters from 1.
    pub column: usize,
    /// Where in the text, in bytes.
    pub span: SourceSpan,
    /// What is wrong.
    pub message: String,
    /// What may mend it.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn severity(&self) -> Option<Severity> {
        Some(Severity::Error)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.hint.as_ref().map(|h| Box::new(h) as Box<dyn fmt::Display>)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(None, self.span))))
    }
}

/// Every mistake of a document, in the order of their places.
#[derive(Debug)]
pub struct SiteError {
    source: NamedSource<String>,
    problems: Vec<Problem>,
}

impl SiteError {
    pub(crate) fn new(file: &str, text: &str, mut problems: Vec<Problem>) -> SiteError {
        problems.sort_by_key(|p| p.span.offset());
        SiteError { source: NamedSource::new(file, text.to_string()), problems }
    }

    /// The mistakes.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

/// One line a mistake, `FILE:LINE:COLUMN: what`, and its hint below it.
impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, p) in self.problems.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{}:{}:{}: {}", self.source.name(), p.line, p.column, p.message)?;
            if let Some(hint) = &p.hint {
                write!(f, "\n  hint: {hint}")?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for SiteError {}

impl Diagnostic for SiteError {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.problems.iter().map(|p| p as &dyn Diagnostic)))
    }
}

/// Lines and columns of byte offsets.
pub(crate) struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    pub fn new(text: &'a str) -> Lines<'a> {
        let after = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i + 1);
        Lines { text, starts: std::iter::once(0).chain(after).collect() }
    }

    /// Line and column, from 1, of a byte offset; one that is past the end or inside a character is moved back.
    pub fn place(&self, offset: usize) -> (usize, usize) {
        let mut at = offset.min(self.text.len());
        while !self.text.is_char_boundary(at) {
            at -= 1;
        }
        let line = self.starts.partition_point(|s| *s <= at);
        let start = self.starts[line - 1];
        (line, self.text[start..at].chars().count() + 1)
    }
}
