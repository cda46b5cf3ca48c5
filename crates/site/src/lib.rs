//! The site document: what operators write about their zones, classes, members, pools and routes, in
//! [KDL 2](https://kdl.dev/spec/).
//!
//! [`Site::parse`] reads a document and finds every mistake in it in one go, each with file, line, column and a hint;
//! [`Site::to_kdl`] prints a model so that reading it again gives the same value. There is no I/O in here: a text
//! comes in, a value or a [`SiteError`] goes out.
//!
//! What a document leaves out is `None` in the model, so that printing adds nothing of its own; [`Site::effective`]
//! fills the defaults in.
//!
//! A text passes through these modules in turn: `parse` (limits, KDL), `read` (nodes to the model, with `fields` for one
//! node), `check` (what only the complete document shows); `print` goes the other way.
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
//! // Mistakes are reported all at once, with their places.
//! let wrong = Site::parse("site.kdl", "member \"a\" adress=\"127.0.0.1:1\"\npool \"p\" { use \"x\"; }\n");
//! let message = wrong.unwrap_err().to_string();
//! assert!(message.contains("site.kdl:1:12: `member` has no `adress`"), "{message}");
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

pub use check::{host_port, MAX_REGEX_BYTES};
pub use error::{Problem, SiteError};
pub use model::*;
pub use parse::{ParsedSite, MAX_DOCUMENT_BYTES};
