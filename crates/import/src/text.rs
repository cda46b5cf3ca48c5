//! Bytes to lines and tokens, each with its position in the file.

use crate::error::ImportError;
use crate::location::Location;
use std::borrow::Cow;
use std::sync::Arc;

/// Limit of a line, in bytes, continuations joined and variables expanded.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// One logical line.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    pub text: String,
    /// Some of its bytes are no UTF-8; they are replaced.
    pub invalid_utf8: bool,
    /// The physical lines that it is joined from.
    parts: Vec<PhysicalLine>,
}

/// A line of the file within a logical line.
#[derive(Clone, Debug)]
struct PhysicalLine {
    /// Where it begins in the logical line's text, bytes.
    start: usize,
    /// Its number in the file, from 1.
    number: usize,
    /// How many bytes of blanks were cut off its front.
    trimmed: usize,
}

impl Line {
    /// Where a byte of the text stands in the file.
    pub fn location(&self, file: &Arc<str>, offset: usize) -> Location {
        let index = self.parts.partition_point(|p| p.start <= offset).max(1) - 1;
        let PhysicalLine { start, number, trimmed } = self.parts[index];
        let mut offset = offset.min(self.text.len()).max(start);
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let column = self.text[start..offset].chars().count() + trimmed + 1;
        Location { file: file.clone(), line: number, column }
    }

    /// Appends a physical line.
    fn append(&mut self, bytes: &[u8], number: usize) {
        let text = String::from_utf8_lossy(bytes);
        self.invalid_utf8 |= matches!(text, Cow::Owned(_));
        let is_first = self.text.is_empty();
        let trimmed = if is_first { text.len() - text.trim_start().len() } else { 0 };
        self.parts.push(PhysicalLine { start: self.text.len(), number, trimmed });
        self.text += &text[trimmed..];
    }
}

/// What a backslash at the end of a line means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Continuations {
    /// The line goes on in the next one.
    Joined,
    /// Nothing.
    Ignored,
}

/// The logical lines of a file that are not blank, trimmed.
pub(crate) fn read_lines(
    file: &Arc<str>,
    bytes: &[u8],
    continuations: Continuations,
) -> Result<Vec<Line>, ImportError> {
    let mut lines: Vec<Line> = Vec::new();
    let mut unfinished: Option<Line> = None;
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    for (i, raw) in bytes.split(|b| *b == b'\n').enumerate() {
        let raw = raw.strip_suffix(b"\r").unwrap_or(raw);
        let mut line = unfinished.take().unwrap_or_default();
        let (content, continues) = match raw.strip_suffix(b"\\") {
            Some(content) if continuations == Continuations::Joined => (content, true),
            _ => (raw, false),
        };
        if line.text.len() + content.len() > MAX_LINE_BYTES {
            let location = Location { file: file.clone(), line: i + 1, column: 1 };
            return Err(ImportError::LineTooLong { location, expanded: false, limit: MAX_LINE_BYTES });
        }
        line.append(content, i + 1);
        if continues {
            unfinished = Some(line);
        } else {
            lines.push(line);
        }
    }
    lines.extend(unfinished);
    for line in &mut lines {
        line.text.truncate(line.text.trim_end().len());
    }
    lines.retain(|l| !l.text.is_empty());
    Ok(lines)
}

/// A token of a line, without its quotes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    pub text: String,
    /// Where it begins in the line, bytes.
    pub offset: usize,
}

/// Splits a line as httpd does: at blanks outside of quotes; within quotes a backslash escapes a backslash or the quote.
pub(crate) fn tokens(text: &str) -> Vec<Token> {
    let mut out = Vec::new();
    let mut chars = text.char_indices().peekable();
    while let Some(&(offset, c)) = chars.peek() {
        if c.is_whitespace() {
            chars.next();
            continue;
        }
        let quote = Some(c).filter(|c| matches!(c, '"' | '\''));
        if quote.is_some() {
            chars.next();
        }
        let mut token = String::new();
        while let Some((_, c)) = chars.next() {
            let next = chars.peek().map(|n| n.1);
            match c {
                '\\' if quote.is_some() && (next == Some('\\') || next == quote) => {
                    token.extend(chars.next().map(|n| n.1));
                }
                c if Some(c) == quote => break,
                c if quote.is_none() && c.is_whitespace() => break,
                c => token.push(c),
            }
        }
        out.push(Token { text: token, offset });
    }
    out
}

/// A text with its variables expanded, and where its segments came from.
pub(crate) struct Expanded {
    pub text: String,
    segments: Vec<Segment>,
}

struct Segment {
    /// Where it begins in the expanded text, bytes.
    start: usize,
    /// Where it, or the variable that it is the value of, begins in the source, bytes.
    source: usize,
    /// Whether it is the source's own text, not a value.
    is_literal: bool,
}

impl Expanded {
    /// The byte of the source that a byte of the text came from; for a value, where its variable begins.
    pub fn source_offset(&self, offset: usize) -> usize {
        let index = self.segments.partition_point(|s| s.start <= offset);
        match self.segments.get(index.wrapping_sub(1)) {
            Some(Segment { start, source, is_literal: true }) => source + (offset - start),
            Some(Segment { source, is_literal: false, .. }) => *source,
            None => offset,
        }
    }

    /// Begins a segment at the end of the text.
    fn begin(&mut self, source: usize, is_literal: bool) {
        self.segments.push(Segment { start: self.text.len(), source, is_literal });
    }
}

/// Expands variables, from `open` to `close`, once: a value is not expanded again, so that none can contain itself. A
/// variable without a value stays as it is written. `None`: the text grows past [`MAX_LINE_BYTES`].
pub(crate) fn expand<'v>(
    text: &str,
    open: &str,
    close: char,
    value: impl Fn(&str) -> Option<&'v str>,
) -> Option<Expanded> {
    let mut out = Expanded { text: String::new(), segments: Vec::new() };
    out.begin(0, true);
    let mut at = 0;
    while let Some(start) = text[at..].find(open).map(|i| at + i) {
        let name_at = start + open.len();
        let Some(end) = text[name_at..].find(close).map(|i| name_at + i) else { break };
        out.text += &text[at..start];
        match value(&text[name_at..end]) {
            Some(value) => {
                out.begin(start, false);
                out.text += value;
            }
            None => {
                out.begin(start, true);
                out.text += &text[start..=end];
            }
        }
        at = end + close.len_utf8();
        out.begin(at, true);
        if out.text.len() > MAX_LINE_BYTES {
            return None;
        }
    }
    out.text += &text[at..];
    (out.text.len() <= MAX_LINE_BYTES).then_some(out)
}

#[cfg(test)]
mod tests;
