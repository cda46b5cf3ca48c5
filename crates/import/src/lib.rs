//! Apache balancer and mod_jk configuration to fernslip's site document.
//!
//! Two things come out: a [`Site`], and a [`Report`] in which every directive and every parameter
//! of the input stands exactly once: mapped, approximated (and what the difference is) or left out (and why). Nothing
//! is guessed, and nothing is lost silently. A member that is disabled or stopped arrives draining or stopped.
//!
//! Files come through the trait [`Files`]: the disk, or a table in memory.
//!
//! ```
//! use fernslip_import::{httpd, Memory, Options, Verdict};
//!
//! let conf = b"\
//! <Proxy balancer://docs>
//!     BalancerMember http://10.0.0.1:8080 loadfactor=2
//!     BalancerMember http://10.0.0.2:8080 status=D
//!     ProxySet stickysession=JSESSIONID
//! </Proxy>
//! ProxyPass /docs balancer://docs
//! ";
//! let files = Memory::of([("httpd.conf", &conf[..])]);
//! let imported = httpd(&files, &["httpd.conf".into()], &Options::default())?;
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
//! let sticky = imported.report.entries.iter().find(|e| e.directive == "ProxySet stickysession").expect("noted");
//! assert_eq!((sticky.verdict, sticky.line), (Verdict::LeftOut, 4));
//! # Ok::<(), fernslip_import::ImportError>(())
//! ```

mod build;
pub mod coverage;
mod error;
mod files;
mod httpd;
mod modjk;
mod params;
mod pools;
mod report;
mod text;

pub use error::ImportError;
pub use files::{Disk, Files, Memory, MOST_FILE_BYTES};
pub use report::{Entry, Place, Report, Verdict};
pub use text::MOST_LINE_BYTES;

use build::{Builder, Rules};
use fernslip_site::Site;
use httpd::Httpd;
use std::path::PathBuf;

/// What an import is told besides its files.
#[derive(Clone, Debug)]
pub struct Options {
    /// The site's name.
    pub name: String,
    /// Where relative names in httpd's files begin; `None`: at the first file's folder, or at ServerRoot.
    pub root: Option<PathBuf>,
    /// Variables as `Define` sets them; the value may be empty.
    pub defines: Vec<(String, String)>,
}

impl Default for Options {
    fn default() -> Self {
        Options { name: "imported".into(), root: None, defines: Vec::new() }
    }
}

/// What an import gives.
#[derive(Clone, Debug)]
pub struct Imported {
    /// The site.
    pub site: Site,
    /// What became of everything.
    pub report: Report,
}

/// Imports httpd's files, one after the other as if they were one.
///
/// # Errors
/// Files that can't be read, includes that come round, sections that don't close, and limits: each with its place.
pub fn httpd(files: &dyn Files, inputs: &[PathBuf], options: &Options) -> Result<Imported, ImportError> {
    let mut read = Httpd::new(files, options.root.clone(), &options.defines);
    for path in inputs {
        read.file(path)?;
    }
    Ok(finish(read, options))
}

/// Imports mod_jk's files: workers, mounts, and the httpd files that hold `JkMount` and its kin.
///
/// # Errors
/// As [`httpd`].
pub fn modjk(
    files: &dyn Files,
    workers: &[PathBuf],
    mounts: &[PathBuf],
    inputs: &[PathBuf],
    options: &Options,
) -> Result<Imported, ImportError> {
    let mut read = Httpd::new(files, options.root.clone(), &options.defines);
    let bytes = |path: &PathBuf| {
        files
            .read(path)
            .map_err(|e| ImportError::Read { file: path.display().to_string(), why: e.to_string() })
    };
    for path in workers {
        let bytes = bytes(path)?;
        read.jk.workers_file(&mut read.ledger, path, &bytes)?;
    }
    for path in inputs {
        read.file(path)?;
    }
    for path in mounts {
        let bytes = bytes(path)?;
        let mounts = read.jk.mounts_file(&mut read.ledger, path, &bytes)?;
        read.servers[0].mounts.extend(mounts);
    }
    Ok(finish(read, options))
}

/// Makes the site of what was read.
fn finish(read: Httpd<'_>, options: &Options) -> Imported {
    let Httpd { mut ledger, mut servers, mut jk, .. } = read;
    let mut builder = Builder::new(&options.name);
    let pools = pools::make(&mut ledger, &mut builder, &mut servers);
    let own = std::mem::take(&mut jk.mounts);
    servers[0].mounts.extend(own);
    let copied = if servers[0].copies_mounts || servers.iter().skip(1).any(|s| s.copies_mounts) {
        servers[0].mounts.clone()
    } else {
        Vec::new()
    };
    let everywhere = servers[0].copies_mounts;
    let mut sets = Vec::new();
    for (n, server) in servers.iter().enumerate() {
        let mut set = Rules { hosts: server.hosts.clone(), ..Rules::default() };
        if n == 0 {
            set.hosts.clear();
        }
        set.inherit = server.inherit.unwrap_or(true);
        set.first = pools::rules(&mut ledger, server, n, &pools);
        let mounts = server.mounts.iter();
        let more = copied.iter().filter(|_| n > 0 && (everywhere || server.copies_mounts));
        for m in mounts.chain(more) {
            set.longest.extend(jk.rule(&mut ledger, &mut builder, m).map(|r| (r, m.item)));
        }
        // Mounts of the main server are a virtual host's own only where they are copied, which is done above.
        set.inherit &= !set.first.is_empty();
        sets.push(set);
    }
    jk.finish(&mut ledger, &mut builder);
    builder.routes(&mut ledger, sets);
    Imported { site: builder.site, report: ledger.report() }
}
