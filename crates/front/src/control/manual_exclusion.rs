//! The manual exclusions of cache nodes, stored in a file under `$TMPDIR` for a process that replaces this one.
//!
//! Fronts of several customers may run on one host under the same names and share that folder, so a file belongs to a
//! deployment: its name ends with a digest of the front's name and address and of the zones, kinds and classes of its
//! settings. A front whose settings name others starts with no exclusion.
//!
//! A file is complete and durable before a command is answered: written beside, synced, renamed, and the folder synced.
//! Two processes of one front may run side by side while one replaces the other; each checks for changes that the other
//! has made ([`ManualExclusions::changed`]).
//!
//! The earlier version had one file for each front name. It is still read where this front has no file of its own, and
//! still written, so that either version may replace the other; what this version writes there has the deployment in a
//! line of its own, which the earlier one takes for the id of a node that does not exist.

use crate::failure::retry_with_backoff;
use crate::sync::lock;
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

/// First line of each such file; any other file is foreign.
const HEADER: &str = "fernslip excluded 1";
/// Prefix of the line that names the deployment, in the file shared by all fronts of one name.
const DEPLOYMENT_PREFIX: &str = "#deployment:";

/// How long an unreadable file is retried at start: the process is to be ready within 6 s.
const READ_RETRY_TIME: Duration = Duration::from_secs(2);
/// How long a failed write is retried: the caller of the command waits 1 s for the answer.
const WRITE_RETRY_TIME: Duration = Duration::from_millis(500);

/// The files that hold a front's manual exclusions.
#[derive(Debug)]
pub struct ManualExclusions {
    folder: PathBuf,
    /// The file of this front in this deployment.
    own_file: PathBuf,
    /// The file of the earlier version, shared by all fronts of this name.
    shared_file: PathBuf,
    /// Digest of the deployment, in hexadecimal.
    deployment: String,
    /// Locked while a command changes the set and its file, so that an earlier command does not overwrite a later one's.
    change_lock: Mutex<()>,
    /// The version of `own_file` that this process last read or wrote.
    known_version: Mutex<Option<FileVersion>>,
}

/// Identifies a version of a file: a replaced one has another inode or modification time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified: (i64, i64),
}

impl FileVersion {
    fn of(path: &Path) -> Option<FileVersion> {
        let data = std::fs::metadata(path).ok()?;
        Some(FileVersion { inode: data.ino(), modified: (data.mtime(), data.mtime_nsec()) })
    }
}

/// Age from which a partly written file is taken for one of a process that was killed, and removed.
const ABANDONED_AGE: Duration = Duration::from_secs(10);

/// Why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{path}: {1}", path = .0.display())]
    Read(PathBuf, io::Error),
    /// The line of that number, counted from 1, is not one of such a file, and why.
    #[error("{path}: line {1}: {2}", path = .0.display())]
    Line(PathBuf, usize, &'static str),
}

impl std::fmt::Display for ManualExclusions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.own_file.display())
    }
}

impl ManualExclusions {
    /// The files in `folder` for the front of that name and listen address, in the deployment with these names.
    pub fn of(folder: &Path, name: &str, listen: SocketAddr, names: &Names) -> ManualExclusions {
        let Names { zones, kinds, classes, .. } = names;
        let deployment =
            format!("{:016x}", Id::of(&format!("{:?}", (name, listen, zones, kinds, classes))).0);
        let file_name: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        ManualExclusions {
            folder: folder.into(),
            own_file: folder.join(format!("fernslip-{file_name}-{deployment}.excluded")),
            shared_file: folder.join(format!("fernslip-{file_name}.excluded")),
            deployment,
            change_lock: Mutex::default(),
            known_version: Mutex::default(),
        }
    }

    /// The lock for changing the set, from reading it to storing it.
    pub fn change(&self) -> MutexGuard<'_, ()> {
        lock(&self.change_lock)
    }

    /// Whether another process has written the file since this one last read or wrote it.
    pub fn changed(&self) -> bool {
        let current = FileVersion::of(&self.own_file);
        current.is_some() && current != *lock(&self.known_version)
    }

    /// Removes files that earlier processes of this front left partly written.
    pub fn remove_abandoned(&self) {
        let stems =
            [&self.own_file, &self.shared_file].map(|p| p.file_stem().map(std::ffi::OsStr::to_os_string));
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let path = entry.path();
            let is_partial = path.extension().is_some_and(|e| e.to_string_lossy().starts_with("part"));
            let is_ours = path.file_stem().is_some_and(|s| stems.iter().flatten().any(|stem| stem == s));
            let modified = entry.metadata().and_then(|d| d.modified());
            // The wall clock may have been stepped: what seems to come from the future is old too.
            let is_old = modified.is_ok_and(|at| at.elapsed().map_or(true, |age| age > ABANDONED_AGE));
            if is_partial && is_ours && is_old {
                let _ = std::fs::remove_file(path);
            }
        }
    }

    /// Loads the exclusions that an earlier process of this front stored, or the one beside it; none where this
    /// deployment has no file.
    ///
    /// # Errors
    /// A file that can't be read or is foreign, with its line.
    pub fn load(&self) -> Result<Vec<CacheId>, FileError> {
        let version = FileVersion::of(&self.own_file);
        let ids = match read(&self.own_file)? {
            Some(ids) => ids,
            None => self.shared_ids()?,
        };
        *lock(&self.known_version) = version;
        Ok(ids.iter().map(|id| CacheId::from(id.as_str())).collect())
    }

    /// [`ManualExclusions::load`] for a process that starts: a failed read is retried, and the file shared by all fronts of
    /// this name stands in for one that stays unreadable.
    ///
    /// # Errors
    /// Neither can be read.
    pub fn load_at_start(&self) -> Result<Vec<CacheId>, FileError> {
        let unreadable = |e: &FileError| matches!(e, FileError::Read(..));
        let loaded = retry_with_backoff(READ_RETRY_TIME, unreadable, |_| self.load());
        loaded.or_else(|error| {
            tracing::warn!("admin: {error}; the copy beside it is used");
            let ids = self.shared_ids()?;
            match ids.is_empty() {
                true => Err(error),
                false => Ok(ids.iter().map(|id| CacheId::from(id.as_str())).collect()),
            }
        })
    }

    /// The ids in the shared file, where it is this deployment's.
    fn shared_ids(&self) -> Result<Vec<String>, FileError> {
        let mut ids = read(&self.shared_file)?.unwrap_or_default();
        match ids.first().and_then(|id| id.strip_prefix(DEPLOYMENT_PREFIX)) {
            Some(deployment) if deployment != self.deployment => return Ok(Vec::new()),
            Some(_) => drop(ids.remove(0)),
            None => {}
        }
        Ok(ids)
    }

    /// Stores the set, completely or not at all; a failed write is retried for a while.
    ///
    /// # Errors
    /// The last error of the file system.
    pub fn save(&self, ids: &[CacheId]) -> io::Result<()> {
        retry_with_backoff(WRITE_RETRY_TIME, |_| true, |_| self.save_once(ids))
    }

    fn save_once(&self, ids: &[CacheId]) -> io::Result<()> {
        let lines: String = ids.iter().flat_map(|id| [&*id.0, "\n"]).collect();
        write(&self.shared_file, &format!("{HEADER}\n{DEPLOYMENT_PREFIX}{}\n{lines}", self.deployment))?;
        // Last, as it is the one that is read.
        write(&self.own_file, &format!("{HEADER}\n{lines}"))?;
        *lock(&self.known_version) = FileVersion::of(&self.own_file);
        std::fs::File::open(&self.folder)?.sync_all()
    }
}

/// Reads the ids of a file, its lines after the header; `None`: there is no such file.
fn read(path: &Path) -> Result<Option<Vec<String>>, FileError> {
    let text = match std::fs::read_to_string(path) {
        Ok(t) => t,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(FileError::Read(path.into(), e)),
    };
    let invalid = |line, reason| Err(FileError::Line(path.into(), line, reason));
    let mut lines = text.lines();
    if lines.next() != Some(HEADER) {
        return invalid(1, "not a file of nodes out by hand");
    }
    let mut ids = Vec::new();
    for (n, line) in lines.enumerate() {
        match line {
            "" => return invalid(n + 2, "empty line"),
            id if id.split_ascii_whitespace().count() != 1 || id.trim() != id => {
                return invalid(n + 2, "not one id")
            }
            id => ids.push(id.to_string()),
        }
    }
    Ok(Some(ids))
}

/// Writes a file beside `path` and renames it over `path`, so that a loss of power leaves the old file or the new one.
fn write(path: &Path, text: &str) -> io::Result<()> {
    // Two processes of one front may write at once: each write has a file name of its own.
    static WRITES: AtomicU64 = AtomicU64::new(0);
    let number = WRITES.fetch_add(1, Ordering::Relaxed);
    let partial = path.with_extension(format!("part{}-{number}", std::process::id()));
    let written = std::fs::File::create(&partial).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&partial, path)
    });
    if written.is_err() {
        let _ = std::fs::remove_file(&partial);
    }
    written
}

#[cfg(test)]
mod tests;
