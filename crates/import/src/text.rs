//! Bytes to lines and words, with the places of all of them.

use crate::error::ImportError;
use crate::report::Place;
use std::sync::Arc;

/// A line is this long at the most, in bytes, continuations and variables put in.
pub const MOST_LINE_BYTES: usize = 1 << 20;

/// One line, its continuations joined.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub text: String,
    /// Some of its bytes are no UTF-8; they are replaced.
    pub broken: bool,
    /// Where each physical line begins in `text`, its number, and how many bytes were cut at its front.
    starts: Vec<(usize, usize, usize)>,
}

impl Line {
    /// Where a byte of the text stands.
    pub fn place(&self, file: &Arc<str>, offset: usize) -> Place {
        let at = self.starts.partition_point(|s| s.0 <= offset).max(1) - 1;
        let (start, line, cut) = self.starts[at];
        let mut offset = offset.min(self.text.len()).max(start);
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let column = self.text[start..offset].chars().count() + cut + 1;
        Place { file: file.clone(), line, column }
    }
}

/// The lines of a file that are not blank; a backslash before a line's end joins it with the next where `joined`.
pub(crate) fn lines(file: &Arc<str>, bytes: &[u8], joined: bool) -> Result<Vec<Line>, ImportError> {
    let mut out: Vec<Line> = Vec::new();
    let mut open: Option<Line> = None;
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    for (i, raw) in bytes.split(|b| *b == b'\n').enumerate() {
        let raw = raw.strip_suffix(b"\r").unwrap_or(raw);
        let mut line = open.take().unwrap_or(Line { text: String::new(), broken: false, starts: Vec::new() });
        let (part, more) = match raw.strip_suffix(b"\\") {
            Some(part) if joined => (part, true),
            _ => (raw, false),
        };
        if line.text.len() + part.len() > MOST_LINE_BYTES {
            let at = Place { file: file.clone(), line: i + 1, column: 1 };
            return Err(ImportError::TooLong { at, expanded: false, most: MOST_LINE_BYTES });
        }
        let text = String::from_utf8_lossy(part);
        line.broken |= matches!(text, std::borrow::Cow::Owned(_));
        let cut = text.len() - text.trim_start().len();
        line.starts.push((line.text.len(), i + 1, if line.text.is_empty() { cut } else { 0 }));
        line.text += if line.text.is_empty() { text.trim_start() } else { &text };
        if more {
            open = Some(line);
        } else {
            out.push(line);
        }
    }
    out.extend(open);
    for line in &mut out {
        line.text.truncate(line.text.trim_end().len());
    }
    out.retain(|l| !l.text.is_empty());
    Ok(out)
}

/// A word of a line and the byte it begins at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Word {
    pub text: String,
    pub at: usize,
}

/// Words as httpd cuts them: at blanks, unless between quotes; a backslash before a quote or a backslash keeps it.
pub(crate) fn words(text: &str) -> Vec<Word> {
    let mut out = Vec::new();
    let mut rest = text.char_indices().peekable();
    while let Some(&(at, c)) = rest.peek() {
        if c.is_whitespace() {
            rest.next();
            continue;
        }
        let quote = Some(c).filter(|c| matches!(c, '"' | '\''));
        if quote.is_some() {
            rest.next();
        }
        let mut word = String::new();
        while let Some((_, c)) = rest.next() {
            match c {
                '\\' if rest.peek().is_some_and(|n| n.1 == '\\' || Some(n.1) == quote) && quote.is_some() => {
                    word.extend(rest.next().map(|n| n.1));
                }
                c if Some(c) == quote => break,
                c if quote.is_none() && c.is_whitespace() => break,
                c => word.push(c),
            }
        }
        out.push(Word { text: word, at });
    }
    out
}

/// A text whose variables are put in, and where its pieces came from.
pub(crate) struct Expanded {
    pub text: String,
    /// Where a piece begins in `text`, where in the source, and whether it is the source's own words.
    pieces: Vec<(usize, usize, bool)>,
}

impl Expanded {
    /// The byte of the source that a byte of the text came from.
    pub fn source(&self, offset: usize) -> usize {
        let at = self.pieces.partition_point(|p| p.0 <= offset);
        match self.pieces.get(at.wrapping_sub(1)) {
            Some((start, source, true)) => source + (offset - start),
            Some((_, source, false)) => *source,
            None => offset,
        }
    }
}

/// Puts variables in, `open` to `close`, once: what a variable holds is not looked at again, so that none can hold
/// itself. `None`: it grows past [`MOST_LINE_BYTES`].
pub(crate) fn expand<'v>(
    text: &str,
    open: &str,
    close: char,
    value: impl Fn(&str) -> Option<&'v str>,
) -> Option<Expanded> {
    let mut out = Expanded { text: String::new(), pieces: vec![(0, 0, true)] };
    let mut at = 0;
    while let Some(start) = text[at..].find(open).map(|i| at + i) {
        let name_at = start + open.len();
        let Some(end) = text[name_at..].find(close).map(|i| name_at + i) else { break };
        out.text += &text[at..start];
        match value(&text[name_at..end]) {
            Some(v) => {
                out.pieces.push((out.text.len(), start, false));
                out.text += v;
            }
            None => {
                out.pieces.push((out.text.len(), start, true));
                out.text += &text[start..=end];
            }
        }
        at = end + close.len_utf8();
        out.pieces.push((out.text.len(), at, true));
        if out.text.len() > MOST_LINE_BYTES {
            return None;
        }
    }
    out.text += &text[at..];
    (out.text.len() <= MOST_LINE_BYTES).then_some(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cut(text: &str) -> Vec<String> {
        words(text).into_iter().map(|w| w.text).collect()
    }

    #[test]
    fn words_are_cut_as_httpd_cuts_them() {
        assert_eq!(cut(r#"ProxyPass "/a b" 'c "d"' e"#), ["ProxyPass", "/a b", "c \"d\"", "e"]);
        assert_eq!(cut(r#""a\"b" c\d "x\\y" "open"#), ["a\"b", "c\\d", "x\\y", "open"]);
        assert_eq!(cut("  \t "), [""; 0]);
    }

    #[test]
    fn places_are_those_of_the_file() {
        let file: Arc<str> = "f".into();
        let all = lines(&file, b"\xef\xbb\xbf# c\r\n\r\n  a \\\r\n    b\xff c\nd", true).expect("short");
        let texts: Vec<&str> = all.iter().map(|l| l.text.as_str()).collect();
        assert_eq!(texts, ["# c", "a     b\u{fffd} c", "d"]);
        assert!(all[1].broken && !all[2].broken);
        let place = |l: &Line, word: &str| {
            let p = l.place(&file, l.text.find(word).expect("there"));
            (p.line, p.column)
        };
        assert_eq!(place(&all[1], "a"), (3, 3));
        assert_eq!(place(&all[1], "b"), (4, 5));
        assert_eq!(place(&all[1], "c"), (4, 8));
        assert_eq!(place(&all[2], "d"), (5, 1));
    }

    #[test]
    fn variables_are_put_in_once_and_places_kept() {
        let get = |n: &str| match n {
            "A" => Some("${A}${A}"),
            "LONG" => Some("long value"),
            _ => None,
        };
        let e = expand("x ${A} ${none} ${LONG} y ${open", "${", '}', get).expect("short");
        assert_eq!(e.text, "x ${A}${A} ${none} long value y ${open");
        assert_eq!(e.source(e.text.find("value").expect("there")), 15);
        assert_eq!(e.source(e.text.find('y').expect("there")), 23);
        let much = "${M}".repeat(1000);
        let big = "x".repeat(2000);
        assert!(expand(&much, "${", '}', |_| Some(&big)).is_none());
    }

    #[test]
    fn a_line_without_end_is_refused() {
        let file: Arc<str> = "f".into();
        let long = vec![b'x'; MOST_LINE_BYTES + 1];
        assert!(matches!(lines(&file, &long, true), Err(ImportError::TooLong { .. })));
        let joined = b"xxxxxxxxxxxxxxx\\\n".repeat(MOST_LINE_BYTES / 15 + 1);
        assert!(matches!(lines(&file, &joined, true), Err(ImportError::TooLong { .. })));
    }
}
