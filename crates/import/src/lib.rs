//! Converts Apache httpd balancer and mod_jk configurations to fernslip's site document.
//!
//! An import returns a [`Site`](fernslip_site::Site) and a [`Report`]. The report lists every directive and
//! every parameter of the input exactly once: mapped, approximated (with the difference) or omitted (with the
//! reason). Nothing is guessed or dropped without an entry. A member that is disabled or stopped is imported
//! as draining or stopped.
//!
//! Files are read through the trait [`Files`], from disk or from memory. `text` splits them into lines and
//! tokens; `httpd` and `modjk` interpret these and record everything in the `ledger`, which becomes the
//! report; the `builder` collects members, pools and routes.
//!
//! ```
//! use fernslip_import::{import_httpd, MemoryFiles, Options, Verdict};
//!
//! let conf = b"\
//! <Proxy balancer://docs>
//!     BalancerMember http://10.0.0.1:8080 loadfactor=2
//!     BalancerMember http://10.0.0.2:8080 status=D
//!     ProxySet stickysession=JSESSIONID
//! </Proxy>
//! ProxyPass /docs balancer://docs
//! ";
//! let files = MemoryFiles::from_files([("httpd.conf", &conf[..])]);
//! let imported = import_httpd(&files, &["httpd.conf".into()], &Options::default())?;
//! assert_eq!(imported.site.to_kdl(), r#"site "imported" members-from="file"
//! member "10.0.0.1:8080" address="10.0.0.1:8080" protocol="http"
//! member "10.0.0.2:8080" address="10.0.0.2:8080" protocol="http"
//! pool "docs" {
//!     use "10.0.0.1:8080" weight=2.0
//!     use "10.0.0.2:8080" state="draining"
//! }
//! routes order="first" {
//!     route "/docs" pool="docs" rewrite=""
//! }
//! "#);
//! let mut entries = imported.report.entries.iter();
//! let sticky = entries.find(|e| e.directive == "ProxySet stickysession").expect("it is reported");
//! assert_eq!((sticky.verdict, sticky.line), (Verdict::Omitted, 4));
//! # Ok::<(), fernslip_import::ImportError>(())
//! ```

mod builder;
pub mod coverage;
mod endpoint;
mod error;
mod files;
mod httpd;
mod import;
mod ledger;
mod location;
mod modjk;
mod params;
mod report;
mod text;

pub use error::ImportError;
pub use files::{DiskFiles, Files, MemoryFiles, MAX_FILE_BYTES};
pub use import::{import_httpd, import_modjk, Imported, Options};
pub use location::Location;
pub use report::{Entry, Report, Verdict};
pub use text::MAX_LINE_BYTES;
