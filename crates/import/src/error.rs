//! Errors that end an import. The importer then returns neither a site nor a report.

use crate::location::Location;

/// The error that ended an import. Its text is `FILE:LINE:COLUMN: message`, or `FILE: message` if the error
/// concerns a whole file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// A file that the caller named could not be read.
    #[error("{file}: cannot be read: {cause}")]
    Read {
        /// The path of the file, as the caller gave it.
        file: String,
        /// The error message of the operating system.
        cause: String,
    },
    /// A file that a directive names could not be read.
    #[error("{location}: `{file}` cannot be read: {cause}")]
    ReadReferenced {
        /// The position of the directive.
        location: Location,
        /// The path of the file, resolved against the root directory.
        file: String,
        /// The error message of the operating system.
        cause: String,
    },
    /// The pattern of an `Include` matches no file.
    #[error("{location}: no file matches `{pattern}`; use IncludeOptional if there may be none")]
    NoMatchingFile {
        /// The position of the directive.
        location: Location,
        /// The pattern, as the directive gives it.
        pattern: String,
    },
    /// A file includes itself, directly or through other files.
    #[error("{location}: `{file}` includes itself, directly or through other files")]
    IncludeCycle {
        /// The position of the directive that includes the file again.
        location: Location,
        /// The path of the file.
        file: String,
    },
    /// Files or sections are nested too deeply, or too many files are included.
    #[error("{location}: more than {limit} {subject}")]
    LimitExceeded {
        /// The position of the directive that exceeds the limit.
        location: Location,
        /// A plural noun that says what is limited.
        subject: &'static str,
        /// The greatest accepted number.
        limit: usize,
    },
    /// A line is too long, either in the file or after its variables are expanded.
    #[error(
        "{location}: the line is longer than {limit} bytes{}",
        if *.expanded { " after variable expansion" } else { "" }
    )]
    LineTooLong {
        /// The position of the line.
        location: Location,
        /// Whether the line exceeds the limit only after its variables are expanded.
        expanded: bool,
        /// The greatest accepted length in bytes.
        limit: usize,
    },
    /// The opening and closing tags of sections do not match.
    #[error("{location}: {message}")]
    Section {
        /// The position of the tag.
        location: Location,
        /// A description of the sections that do not match.
        message: String,
    },
}
