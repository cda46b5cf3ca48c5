//! The site document, in which operators describe zones, classes, members, pools and routes in
//! [KDL 2](https://kdl.dev/spec/).
//!
//! [`Site::parse`] parses a document and reports all mistakes in it at once, each with file, line, column
//! and, where possible, a hint. [`Site::to_kdl`] prints a model such that parsing the text gives the same
//! model. The crate performs no I/O: it takes a text and returns a value or a [`SiteError`].
//!
//! A setting that the document does not contain is `None` in the model, so that printing adds nothing.
//! [`Site::with_defaults`] fills in the defaults.
//!
//! A text passes through these modules in turn: `parse` (size limits and KDL syntax), `read` (nodes to the
//! model, with `fields` for a single node) and `check` (checks that need the complete document). `print`
//! converts a model to text.
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
//! let parsed = Site::parse("site.kdl", text)?;
//! assert_eq!(parsed.site.members[1].state, State::Draining);
//! assert_eq!(Site::parse("again", &parsed.site.to_kdl())?.site, parsed.site);
//!
//! // All mistakes are reported at once, with their positions.
//! let wrong = Site::parse("site.kdl", "member \"a\" adress=\"127.0.0.1:1\"\npool \"p\" { use \"x\"; }\n");
//! let message = wrong.unwrap_err().to_string();
//! assert!(message.contains("site.kdl:1:12: `member` does not accept the property `adress`"), "{message}");
//! assert!(message.contains("did you mean `address`?"), "{message}");
//! assert!(message.contains("site.kdl:2:16: no member is called `x`"), "{message}");
//! # Ok::<(), fernslip_site::SiteError>(())
//! ```

mod check;
mod error;
mod fields;
mod model;
mod parse;
mod print;
mod problems;
mod read;
mod spans;

pub use check::{split_host_port, MAX_REGEX_BYTES};
pub use error::{Problem, SiteError};
pub use model::*;
pub use parse::{ParsedSite, MAX_DOCUMENT_BYTES};
