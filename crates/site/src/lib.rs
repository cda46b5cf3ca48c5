//! The site document: what operators write about their zones, classes, machines, pools and routes, in KDL 2.
//!
//! [`Site::parse`] reads a document and finds every mistake in it in one go, each with file, line, column and a hint;
//! [`Site::to_kdl`] prints a model so that reading it again gives the same value. There is no I/O in here: a text
//! comes in, a value or a [`SiteError`] goes out.
//!
//! What a document leaves out stays out in the model (`None`), so that printing adds nothing of its own;
//! [`Site::effective`] fills the defaults in.
//!
//! ```
//! use fernslip_site::{Site, State};
//!
//! let text = r#"
//! site "townsville" members-from="file"
//! member "a" address="127.0.0.1:4201" weight=2.0
//! member "b" address="127.0.0.1:4202" state="draining"
//! pool "docs" {
//!     use "a"
//!     use "b"
//! }
//! routes order="longest" {
//!     route "/statement-docs" pool="docs"
//! }
//! "#;
//! let read = Site::parse("site.kdl", text)?;
//! assert_eq!(read.site.members[1].state, State::Draining);
//! assert_eq!(Site::parse("again", &read.site.to_kdl())?.site, read.site);
//!
//! // Mistakes are told all at once, with their places.
//! let wrong = Site::parse("site.kdl", "member \"a\" adress=\"127.0.0.1:1\"\npool \"p\" { use \"x\"; }\n");
//! let told = wrong.unwrap_err().to_string();
//! assert!(told.contains("site.kdl:1:12: `member` has no `adress`"), "{told}");
//! assert!(told.contains("did you mean `address`?"), "{told}");
//! assert!(told.contains("site.kdl:2:16: no member is called `x`"), "{told}");
//! # Ok::<(), fernslip_site::SiteError>(())
//! ```

mod check;
mod error;
mod fields;
mod model;
mod print;
mod read;

pub use check::{host_port, MOST_REGEX_BYTES};
pub use error::{Problem, SiteError};
pub use model::*;

/// A document that can be used, and what in it is worth a second look.
#[derive(Clone, Debug)]
pub struct Read {
    /// The model.
    pub site: Site,
    /// What is allowed and probably not meant, in the order of the file.
    pub warnings: Vec<Problem>,
}

/// Documents longer than this, in bytes, are refused: 50,000 members take a tenth of it.
pub const MOST_BYTES: usize = 64 << 20;
