//! Collection of mistakes and warnings while a document is read and checked.

use crate::error::Problem;
use miette::SourceSpan;

/// The mistakes and warnings found so far in one document.
pub(crate) struct Problems<'a> {
    lines: LineIndex<'a>,
    pub errors: Vec<Problem>,
    pub warnings: Vec<Problem>,
}

impl<'a> Problems<'a> {
    pub fn new(text: &'a str) -> Problems<'a> {
        Problems { lines: LineIndex::new(text), errors: Vec::new(), warnings: Vec::new() }
    }

    pub fn add_error(&mut self, span: SourceSpan, message: impl Into<String>, hint: Option<String>) {
        let problem = self.new_problem(span, message.into(), hint);
        self.errors.push(problem);
    }

    pub fn add_warning(&mut self, span: SourceSpan, message: impl Into<String>, hint: Option<String>) {
        let problem = self.new_problem(span, message.into(), hint);
        self.warnings.push(problem);
    }

    fn new_problem(&self, span: SourceSpan, message: String, hint: Option<String>) -> Problem {
        let LineColumn { line, column } = self.lines.line_and_column(span.offset());
        Problem { line, column, span, message, hint }
    }
}

/// A hint that suggests the known name most similar to `name`; `None` if none has a similarity above 0.8.
pub(crate) fn suggest_similar<'k>(name: &str, known: impl IntoIterator<Item = &'k str>) -> Option<String> {
    let similar = known
        .into_iter()
        .map(|k| (strsim::jaro_winkler(name, k), k))
        .filter(|(similarity, _)| *similarity > 0.8);
    similar.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, k)| format!("did you mean `{k}`?"))
}

/// A position as a line and a column in characters, both counted from 1.
struct LineColumn {
    line: usize,
    column: usize,
}

/// An index of the lines of a text, which maps byte offsets to lines and columns.
struct LineIndex<'a> {
    text: &'a str,
    /// The byte offset of the first character of each line.
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(text: &'a str) -> LineIndex<'a> {
        let after = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i + 1);
        LineIndex { text, starts: std::iter::once(0).chain(after).collect() }
    }

    /// The line and column of a byte offset; an offset past the end or inside a character is first moved back
    /// to the nearest character boundary.
    fn line_and_column(&self, offset: usize) -> LineColumn {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        LineColumn { line, column: self.text[start..offset].chars().count() + 1 }
    }
}
