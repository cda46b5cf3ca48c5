//! Positions in the input files.

use std::fmt;
use std::sync::Arc;

/// Where something stands in the input.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// The file, as it was named.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// The column, in characters from 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
