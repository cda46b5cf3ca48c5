//! Why an import ends without a site: nothing is written then.

use crate::report::Place;

/// What stopped it, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// A file that was named on the command line can't be read.
    #[error("{file}: {why}")]
    Read {
        /// Which.
        file: String,
        /// The system's words.
        why: String,
    },
    /// A file that another one names can't be read.
    #[error("{at}: {file}: {why}")]
    Named {
        /// Where it is named.
        at: Place,
        /// Which.
        file: String,
        /// The system's words.
        why: String,
    },
    /// A pattern that must name a file names none.
    #[error("{at}: no file is named `{pattern}`; IncludeOptional would allow that")]
    NoFile {
        /// Where it stands.
        at: Place,
        /// The pattern.
        pattern: String,
    },
    /// A file includes itself, directly or through others.
    #[error("{at}: `{file}` is included from within itself")]
    Cycle {
        /// Where it comes round.
        at: Place,
        /// Which.
        file: String,
    },
    /// Files or sections nest too deep, or there are too many files.
    #[error("{at}: {what}: more than {most}")]
    TooMany {
        /// Where the limit is reached.
        at: Place,
        /// Of what.
        what: &'static str,
        /// The limit.
        most: usize,
    },
    /// A line, be it after its variables were put in, is too long.
    #[error("{at}: the line is longer than {most} bytes{}", if *.expanded { " after its variables are put in" } else { "" })]
    TooLong {
        /// Where.
        at: Place,
        /// Only with its variables put in.
        expanded: bool,
        /// The limit.
        most: usize,
    },
    /// A section is closed that was not opened, or the other way round.
    #[error("{at}: {what}")]
    Section {
        /// Where.
        at: Place,
        /// What is wrong with it.
        what: String,
    },
}
