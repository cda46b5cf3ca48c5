//! Splits files into lines and tokens, and records the position of each in the file.

use crate::error::ImportError;
use crate::location::Location;
use std::borrow::Cow;
use std::sync::Arc;

/// The greatest length of a line in bytes, after continuation lines are joined and after variables are
/// expanded.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// A logical line, which consists of one or more lines of the file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    pub text: String,
    /// Whether the line contained invalid UTF-8, which was replaced by U+FFFD.
    pub invalid_utf8: bool,
    /// The lines of the file that were joined, in order.
    parts: Vec<PhysicalLine>,
}

/// The position of one line of the file within a logical line.
#[derive(Clone, Debug)]
struct PhysicalLine {
    /// The byte offset in the logical line's text at which this line of the file begins.
    start: usize,
    /// The line number in the file, starting at 1.
    number: usize,
    /// The number of bytes of leading whitespace that were removed.
    trimmed: usize,
}

impl Line {
    /// The position in the file of the byte at `offset` of the text.
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

    /// Appends a line of the file; leading whitespace is removed only from the first one.
    fn append(&mut self, bytes: &[u8], number: usize) {
        let text = String::from_utf8_lossy(bytes);
        self.invalid_utf8 |= matches!(text, Cow::Owned(_));
        let is_first = self.text.is_empty();
        let trimmed = if is_first { text.len() - text.trim_start().len() } else { 0 };
        self.parts.push(PhysicalLine { start: self.text.len(), number, trimmed });
        self.text += &text[trimmed..];
    }
}

/// The meaning of a backslash at the end of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Continuations {
    /// The line continues on the next line.
    Joined,
    /// The backslash is part of the text.
    Ignored,
}

/// Splits a file into logical lines without leading and trailing whitespace, and drops blank lines.
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

/// A token of a line, without the quotes around it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    pub text: String,
    /// The byte offset in the line at which the token begins.
    pub offset: usize,
}

/// Splits a line as httpd does, at whitespace outside quotes. Within quotes, a backslash escapes a backslash
/// or the quote.
pub(crate) fn split_tokens(text: &str) -> Vec<Token> {
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

/// Text after variable expansion, with the origin of each segment in the source text.
pub(crate) struct Expanded {
    pub text: String,
    segments: Vec<Segment>,
}

/// A part of an expanded text: either copied from the source, or the value of one variable.
struct Segment {
    /// The byte offset in the expanded text at which the segment begins.
    start: usize,
    /// The byte offset in the source text at which the copied text or the variable begins.
    source: usize,
    /// Whether the segment is copied from the source text; otherwise it is the value of a variable.
    is_literal: bool,
}

impl Expanded {
    /// The byte offset in the source text for an offset in the expanded text. Within a value, it is the start
    /// of the variable.
    pub fn source_offset(&self, offset: usize) -> usize {
        let index = self.segments.partition_point(|s| s.start <= offset);
        match self.segments.get(index.wrapping_sub(1)) {
            Some(Segment { start, source, is_literal: true }) => source + (offset - start),
            Some(Segment { source, is_literal: false, .. }) => *source,
            None => offset,
        }
    }

    /// Starts a new segment at the current end of the text.
    fn begin_segment(&mut self, source: usize, is_literal: bool) {
        self.segments.push(Segment { start: self.text.len(), source, is_literal });
    }
}

/// Expands the variables that `open` and `close` delimit. Values are not expanded again, so a variable cannot
/// expand without end. A variable without a value is copied unchanged. Returns `None` if the result exceeds
/// [`MAX_LINE_BYTES`].
pub(crate) fn expand_variables<'v>(
    text: &str,
    open: &str,
    close: char,
    value_of: impl Fn(&str) -> Option<&'v str>,
) -> Option<Expanded> {
    let mut out = Expanded { text: String::new(), segments: Vec::new() };
    out.begin_segment(0, true);
    let mut at = 0;
    while let Some(start) = text[at..].find(open).map(|i| at + i) {
        let name_at = start + open.len();
        let Some(end) = text[name_at..].find(close).map(|i| name_at + i) else { break };
        out.text += &text[at..start];
        match value_of(&text[name_at..end]) {
            Some(value) => {
                out.begin_segment(start, false);
                out.text += value;
            }
            None => {
                out.begin_segment(start, true);
                out.text += &text[start..=end];
            }
        }
        at = end + close.len_utf8();
        out.begin_segment(at, true);
        if out.text.len() > MAX_LINE_BYTES {
            return None;
        }
    }
    out.text += &text[at..];
    (out.text.len() <= MAX_LINE_BYTES).then_some(out)
}

#[cfg(test)]
mod tests;
