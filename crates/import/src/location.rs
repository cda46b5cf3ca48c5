//! Positions in the input files.

use std::fmt;
use std::sync::Arc;

/// The position of a character in the input, shown as `FILE:LINE:COLUMN`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// The path of the file, as the caller or the including directive named it.
    pub file: Arc<str>,
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
