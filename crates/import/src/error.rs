//! Why an import ends without a site: nothing is written then.

use crate::location::Location;

/// What stopped an import, and where. It reads `FILE:LINE:COLUMN: message`, without line and column where a file as a
/// whole is meant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// A file that the caller named can't be read.
    #[error("{file}: {cause}")]
    Read {
        /// The file.
        file: String,
        /// The system's message.
        cause: String,
    },
    /// A file that another file names can't be read.
    #[error("{location}: {file}: {cause}")]
    ReadReferenced {
        /// Where it is named.
        location: Location,
        /// The file.
        file: String,
        /// The system's message.
        cause: String,
    },
    /// A pattern that must match a file matches none.
    #[error("{location}: no file is named `{pattern}`; IncludeOptional would allow that")]
    NoMatchingFile {
        /// Where it stands.
        location: Location,
        /// The pattern.
        pattern: String,
    },
    /// A file includes itself, directly or through others.
    #[error("{location}: `{file}` is included from within itself")]
    IncludeCycle {
        /// Where the cycle closes.
        location: Location,
        /// The file.
        file: String,
    },
    /// Files or sections nest too deep, or there are too many files.
    #[error("{location}: {subject}: more than {limit}")]
    LimitExceeded {
        /// Where the limit is exceeded.
        location: Location,
        /// What is limited.
        subject: &'static str,
        /// The limit.
        limit: usize,
    },
    /// A line is too long, as it stands or with its variables expanded.
    #[error("{location}: the line is longer than {limit} bytes{}", if *.expanded { " after its variables are put in" } else { "" })]
    LineTooLong {
        /// Where.
        location: Location,
        /// Only with its variables expanded.
        expanded: bool,
        /// The limit, bytes.
        limit: usize,
    },
    /// A section is closed that was not opened, or the other way round.
    #[error("{location}: {message}")]
    Section {
        /// Where.
        location: Location,
        /// What is wrong with it.
        message: String,
    },
}
