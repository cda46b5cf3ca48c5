//! The nodes out by hand, in a file under `$TMPDIR` for a process that replaces this one.
//!
//! Fronts of several customers may run on one machine under the same names and share that folder, so a file belongs to a
//! deployment: its name ends with a digest of the front's name and address and of the zones, kinds and classes of its
//! settings. A front whose settings name others starts with no node out.
//!
//! A file is whole and durable before a call is answered: written beside, synced, renamed, and the folder synced. Two processes
//! of one front may run side by side while one replaces the other; each looks for what the other has changed
//! ([`ManualExclusions::changed`]).
//!
//! The earlier version kept one file a front's name. It is still read where this front has no file of its own, and still
//! written, so that either version may replace the other; what this version writes there has the deployment in a line
//! of its own, which the earlier one takes for a node that nobody has.

use crate::failure::patiently;
use crate::link::lock;
use fernslip::json::Names;
use fernslip::CacheId;
use fernslip_view::Id;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The first line of each such file; other files are not ours.
const HEADER: &str = "fernslip excluded 1";
/// Begins the line that names the deployment, in the file that all of the front's name share.
const DEPLOYMENT: &str = "#deployment:";

/// What can't be read at the start is tried again for so long: the process is to be ready within 6 s.
const UNREADABLE: Duration = Duration::from_secs(2);
/// What can't be written is tried again for so long: its caller waits 1 s for the answer.
const UNWRITABLE: Duration = Duration::from_millis(500);

/// Where a front keeps them.
#[derive(Debug)]
pub struct ManualExclusions {
    folder: PathBuf,
    own: PathBuf,
    shared: PathBuf,
    deployment: String,
    /// Held while a call changes the set and its file: the file of a later call is not overwritten by an earlier one's.
    changing: Mutex<()>,
    /// The file as this process last read or wrote it.
    known: Mutex<Option<Version>>,
}

/// Which version of a file it is: another one has another number of its own or another time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Version {
    inode: u64,
    modified: (i64, i64),
}

impl Version {
    fn of(path: &Path) -> Option<Version> {
        let data = std::fs::metadata(path).ok()?;
        Some(Version { inode: data.ino(), modified: (data.mtime(), data.mtime_nsec()) })
    }
}

/// What was not written to its end by a process that was killed is removed once it is so old.
const ABANDONED: Duration = Duration::from_secs(10);

/// Why a file is not used.
#[derive(Debug)]
pub enum FileError {
    /// It can't be read.
    Read(PathBuf, io::Error),
    /// Its line is not what such a file holds.
    Line(PathBuf, usize, &'static str),
}

impl std::fmt::Display for FileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FileError::Read(path, e) => write!(f, "{}: {e}", path.display()),
            FileError::Line(path, n, why) => write!(f, "{}: line {n}: {why}", path.display()),
        }
    }
}

impl std::error::Error for FileError {}

impl std::fmt::Display for ManualExclusions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.own.display())
    }
}

impl ManualExclusions {
    /// In that folder, for the front of that name and address in the deployment of those names.
    pub fn of(folder: &Path, name: &str, listen: SocketAddr, names: &Names) -> ManualExclusions {
        let Names { zones, kinds, classes, .. } = names;
        let deployment =
            format!("{:016x}", Id::of(&format!("{:?}", (name, listen, zones, kinds, classes))).0);
        let safe: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        ManualExclusions {
            folder: folder.into(),
            own: folder.join(format!("fernslip-{safe}-{deployment}.excluded")),
            shared: folder.join(format!("fernslip-{safe}.excluded")),
            deployment,
            changing: Mutex::default(),
            known: Mutex::default(),
        }
    }

    /// Held by whoever changes the set, from its reading to its file.
    pub fn change(&self) -> MutexGuard<'_, ()> {
        lock(&self.changing)
    }

    /// Whether another process has written the file since this one last read or wrote it.
    pub fn changed(&self) -> bool {
        let there = Version::of(&self.own);
        there.is_some() && there != *lock(&self.known)
    }

    /// Removes what earlier processes of this front left half written.
    pub fn tidy(&self) {
        let stems = [&self.own, &self.shared].map(|p| p.file_stem().map(|s| s.to_os_string()));
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let path = entry.path();
            let part = path.extension().is_some_and(|e| e.to_string_lossy().starts_with("part"));
            let ours = path.file_stem().is_some_and(|s| stems.iter().flatten().any(|own| own == s));
            let modified = entry.metadata().and_then(|d| d.modified());
            // The wall clock may have been stepped: what seems to come from the future is old too.
            let old = modified.is_ok_and(|at| at.elapsed().map_or(true, |age| age > ABANDONED));
            if part && ours && old {
                let _ = std::fs::remove_file(path);
            }
        }
    }

    /// Those that an earlier process of this front left, or the one beside it; none where there is no file of this
    /// deployment.
    ///
    /// # Errors
    /// A file that can't be read or is not ours, with its place.
    pub fn load(&self) -> Result<Vec<CacheId>, FileError> {
        let version = Version::of(&self.own);
        let ids = match read(&self.own)? {
            Some(ids) => ids,
            None => self.shared_ids()?,
        };
        *lock(&self.known) = version;
        Ok(ids.iter().map(|id| CacheId::from(id.as_str())).collect())
    }

    /// The same for a process that starts: what can't be read for a moment is read again, and the file that all of the
    /// front's name share stands in for one that stays unreadable.
    ///
    /// # Errors
    /// Neither can be read.
    pub fn load_at_start(&self) -> Result<Vec<CacheId>, FileError> {
        let unreadable = |e: &FileError| matches!(e, FileError::Read(..));
        let first = patiently(UNREADABLE, unreadable, |_| self.load());
        first.or_else(|why| {
            tracing::warn!("admin: {why}; the copy beside it is used");
            let ids = self.shared_ids()?;
            match ids.is_empty() {
                true => Err(why),
                false => Ok(ids.iter().map(|id| CacheId::from(id.as_str())).collect()),
            }
        })
    }

    /// What the file of the front's name has for this deployment.
    fn shared_ids(&self) -> Result<Vec<String>, FileError> {
        let mut ids = read(&self.shared)?.unwrap_or_default();
        match ids.first().and_then(|id| id.strip_prefix(DEPLOYMENT)) {
            Some(whose) if whose != self.deployment => return Ok(Vec::new()),
            Some(_) => drop(ids.remove(0)),
            None => {}
        }
        Ok(ids)
    }

    /// Keeps the set, whole or not at all; a disk that fails for a moment is tried again.
    ///
    /// # Errors
    /// As the file system.
    pub fn save(&self, ids: &[CacheId]) -> io::Result<()> {
        patiently(UNWRITABLE, |_| true, |_| self.save_once(ids))
    }

    fn save_once(&self, ids: &[CacheId]) -> io::Result<()> {
        let lines: String = ids.iter().flat_map(|id| [&*id.0, "\n"]).collect();
        write(&self.shared, &format!("{HEADER}\n{DEPLOYMENT}{}\n{lines}", self.deployment))?;
        // The last, as it is the one that is read.
        write(&self.own, &format!("{HEADER}\n{lines}"))?;
        *lock(&self.known) = Version::of(&self.own);
        std::fs::File::open(&self.folder)?.sync_all()
    }
}

/// The lines after the header; `None`: there is no such file.
fn read(path: &Path) -> Result<Option<Vec<String>>, FileError> {
    let text = match std::fs::read_to_string(path) {
        Ok(t) => t,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(FileError::Read(path.into(), e)),
    };
    let wrong = |line, why| Err(FileError::Line(path.into(), line, why));
    let mut lines = text.lines();
    if lines.next() != Some(HEADER) {
        return wrong(1, "not a file of nodes out by hand");
    }
    let mut ids = Vec::new();
    for (n, line) in lines.enumerate() {
        match line {
            "" => return wrong(n + 2, "empty line"),
            id if id.split_ascii_whitespace().count() != 1 || id.trim() != id => {
                return wrong(n + 2, "not one id")
            }
            id => ids.push(id.to_string()),
        }
    }
    Ok(Some(ids))
}

/// Writes to a file beside it, then renames that over it, so that a cut leaves the old file or the new one.
fn write(path: &Path, text: &str) -> io::Result<()> {
    // A name of its own for each: two processes of one front may write at once.
    static WRITTEN: AtomicU64 = AtomicU64::new(0);
    let number = WRITTEN.fetch_add(1, Ordering::Relaxed);
    let part = path.with_extension(format!("part{}-{number}", std::process::id()));
    let written = std::fs::File::create(&part).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&part, path)
    });
    if written.is_err() {
        let _ = std::fs::remove_file(&part);
    }
    written
}

#[cfg(test)]
#[path = "manual_exclusion/tests.rs"]
mod tests;
