//! Stores the manual exclusions of cache nodes in a file under `$TMPDIR` for a process that replaces this
//! one.
//!
//! Each file belongs to one deployment ([`DeploymentFiles`]). A front whose settings have other zones, kinds or
//! classes starts with no exclusion.
//!
//! A file is complete and durable before a command is answered: it is written under a temporary name, synced
//! and renamed, and the folder is synced.
//!
//! Two processes of one front may run at the same time while one replaces the other. The file is the state
//! that they share: a command changes the set that is stored at that moment, under a lock of both processes
//! ([`ManualExclusions::update`]), and not the set that its own process has applied, which may lack a command
//! that the other process has just accepted. Each process checks for changes that the other has made
//! ([`ManualExclusions::changed_by_other_process`]).
//!
//! The earlier version of the program had one file for each front name. That file is still read if this front
//! has no file of its own, and still written, so that either version may replace the other. This version adds
//! a line with the deployment to it, which the earlier version takes for the id of a node that does not
//! exist.

use crate::atomic_file::{write_atomically, Durability, FileVersion};
use crate::control::deployment_files::DeploymentFiles;
use crate::failure::retry_with_backoff;
use crate::file_lock;
use crate::sync::lock;
use fernslip::CacheId;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The first line of every manual exclusion file; a file with another first line is rejected.
const FILE_HEADER: &str = "fernslip excluded 1";
/// The prefix of the line with the deployment's digest in the file that all fronts of one name share.
const DEPLOYMENT_PREFIX: &str = "#deployment:";

/// How long reading an unreadable file is retried at start; the process must be ready within 6 s.
const READ_RETRY_TIME: Duration = Duration::from_secs(2);
/// How long a failed change of the file is retried; the caller of the command waits 1 s for the answer.
const UPDATE_RETRY_TIME: Duration = Duration::from_millis(500);

/// The files that store a front's manual exclusions.
#[derive(Debug)]
pub struct ManualExclusions {
    folder: PathBuf,
    /// The path of the file that belongs to this front in this deployment.
    own_file: PathBuf,
    /// The path of the earlier version's file, which all fronts of this name share.
    shared_file: PathBuf,
    /// The digest that identifies the deployment, in hexadecimal.
    deployment: String,
    /// The path of the file that a process locks while it changes the stored set.
    lock_file: PathBuf,
    /// Locked while this process changes the set that it has applied.
    change_lock: Mutex<()>,
    /// The version of `own_file` that this process last read or wrote. `None` if it did neither.
    known_version: Mutex<Option<FileVersion>>,
}

/// The age above which a partially written file is removed, because its process must have been killed.
const ABANDONED_AGE: Duration = Duration::from_secs(10);

/// The reason why a manual exclusion file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The manual exclusion file cannot be read.
    #[error("{path}: {1}", path = .0.display())]
    Read(PathBuf, io::Error),
    /// The line with this number, counted from 1, is invalid for the reason given.
    #[error("{path}: line {1}: {2}", path = .0.display())]
    Line(PathBuf, usize, &'static str),
}

/// The reason why a change of the stored set failed.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError {
    /// The file cannot be locked; `WouldBlock` if the other process holds the lock.
    #[error("{path} cannot be locked: {1}", path = .0.display())]
    Lock(PathBuf, io::Error),
    /// The stored set cannot be read.
    #[error(transparent)]
    Read(FileError),
    /// The new set cannot be written.
    #[error(transparent)]
    Write(io::Error),
}

impl std::fmt::Display for ManualExclusions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.own_file.display())
    }
}

impl ManualExclusions {
    /// Determines the files of a front in its deployment.
    pub fn for_deployment(files: &DeploymentFiles) -> ManualExclusions {
        ManualExclusions {
            folder: files.folder().into(),
            own_file: files.own("excluded"),
            shared_file: files.shared_by_name("excluded"),
            lock_file: files.hidden("lock"),
            deployment: files.digest().into(),
            change_lock: Mutex::default(),
            known_version: Mutex::default(),
        }
    }

    /// Locks the set that this process has applied; the caller holds the guard from reading the stored set
    /// until that set is applied.
    pub fn lock_for_change(&self) -> MutexGuard<'_, ()> {
        lock(&self.change_lock)
    }

    /// Returns whether another process has written the file since this process last read or wrote it.
    pub fn changed_by_other_process(&self) -> bool {
        let current = FileVersion::at_path(&self.own_file);
        current.is_some() && current != *lock(&self.known_version)
    }

    /// Removes files that earlier processes of this front left partially written.
    pub fn remove_abandoned_files(&self) {
        let stems =
            [&self.own_file, &self.shared_file].map(|p| p.file_stem().map(std::ffi::OsStr::to_os_string));
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let path = entry.path();
            let is_partial = path.extension().is_some_and(|e| e.to_string_lossy().starts_with("part"));
            let is_ours = path.file_stem().is_some_and(|s| stems.iter().flatten().any(|stem| stem == s));
            let modified = entry.metadata().and_then(|d| d.modified());
            // The wall clock may have been stepped back, so a modification time in the future counts as old.
            let is_old = modified.is_ok_and(|at| at.elapsed().map_or(true, |age| age > ABANDONED_AGE));
            if is_partial && is_ours && is_old {
                let _ = std::fs::remove_file(path);
            }
        }
    }

    /// Loads the exclusions stored by an earlier process of this front or by one that runs at the same time.
    /// The list is empty if this deployment has no file.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or has an invalid line.
    pub fn load(&self) -> Result<Vec<CacheId>, FileError> {
        let version = FileVersion::at_path(&self.own_file);
        let ids = match read_ids(&self.own_file)? {
            Some(ids) => ids,
            None => self.read_shared_ids()?,
        };
        *lock(&self.known_version) = version;
        Ok(ids.iter().map(|id| CacheId::from(id.as_str())).collect())
    }

    /// Loads the stored exclusions as [`ManualExclusions::load`] does, for a process that starts: a failed
    /// read is retried, and if the front's own file cannot be used, the file that all fronts of this name
    /// share is used instead.
    ///
    /// # Errors
    /// Returns an error if neither file provides exclusions.
    pub fn load_at_start(&self) -> Result<Vec<CacheId>, FileError> {
        let unreadable = |e: &FileError| matches!(e, FileError::Read(..));
        let loaded = retry_with_backoff(READ_RETRY_TIME, unreadable, |_| self.load());
        loaded.or_else(|error| {
            tracing::warn!("admin: {error}; reading the file that all fronts of this name share instead");
            let ids = self.read_shared_ids()?;
            match ids.is_empty() {
                true => Err(error),
                false => Ok(ids.iter().map(|id| CacheId::from(id.as_str())).collect()),
            }
        })
    }

    /// Returns the ids in the shared file; none if the file belongs to another deployment.
    fn read_shared_ids(&self) -> Result<Vec<String>, FileError> {
        let mut ids = read_ids(&self.shared_file)?.unwrap_or_default();
        match ids.first().and_then(|id| id.strip_prefix(DEPLOYMENT_PREFIX)) {
            Some(deployment) if deployment != self.deployment => return Ok(Vec::new()),
            Some(_) => drop(ids.remove(0)),
            None => {}
        }
        Ok(ids)
    }

    /// Changes the stored set: `change` gets the set as it is stored now and returns whether the changed set is
    /// to be stored. While it runs, no other process changes the stored set. If nothing is stored, or the file
    /// has an invalid line, `applied` provides the set. Returns the set after the change, or `None` if
    /// `change` wants nothing to be stored. A failure is retried for `UPDATE_RETRY_TIME`.
    ///
    /// # Errors
    /// Returns the error of the last attempt; the stored set is then as before.
    pub fn update(
        &self,
        applied: impl Fn() -> BTreeSet<CacheId>,
        change: impl Fn(&mut BTreeSet<CacheId>) -> bool,
    ) -> Result<Option<BTreeSet<CacheId>>, UpdateError> {
        retry_with_backoff(UPDATE_RETRY_TIME, |_| true, |_| self.update_once(&applied, &change))
    }

    fn update_once(
        &self,
        applied: &impl Fn() -> BTreeSet<CacheId>,
        change: &impl Fn(&mut BTreeSet<CacheId>) -> bool,
    ) -> Result<Option<BTreeSet<CacheId>>, UpdateError> {
        let _lock = file_lock::try_lock(&self.lock_file)
            .map_err(|error| UpdateError::Lock(self.lock_file.clone(), error))?;
        let mut excluded = match read_ids(&self.own_file) {
            Ok(Some(ids)) => ids.iter().map(|id| CacheId::from(id.as_str())).collect(),
            Ok(None) => applied(),
            Err(error @ FileError::Line(..)) => {
                tracing::warn!("admin: {error}; the file is replaced by the exclusions of this process");
                applied()
            }
            Err(error @ FileError::Read(..)) => return Err(UpdateError::Read(error)),
        };
        if !change(&mut excluded) {
            return Ok(None);
        }
        self.save(&excluded).map_err(UpdateError::Write)?;
        Ok(Some(excluded))
    }

    /// Stores the set of excluded nodes. Each file is replaced completely or not at all.
    fn save(&self, excluded: &BTreeSet<CacheId>) -> io::Result<()> {
        let lines: String = excluded.iter().flat_map(|id| [&*id.0, "\n"]).collect();
        let write =
            |path: &Path, text: String| write_atomically(path, &[text.as_bytes()], Durability::PowerLoss);
        write(&self.shared_file, format!("{FILE_HEADER}\n{DEPLOYMENT_PREFIX}{}\n{lines}", self.deployment))?;
        // Written last, because this is the file that is read.
        let version = write(&self.own_file, format!("{FILE_HEADER}\n{lines}"))?;
        *lock(&self.known_version) = Some(version);
        File::open(&self.folder)?.sync_all()
    }
}

/// Reads the cache node ids in a file, one in each line after the header. `None` if the file does not exist.
fn read_ids(path: &Path) -> Result<Option<Vec<String>>, FileError> {
    let text = match std::fs::read_to_string(path) {
        Ok(t) => t,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(FileError::Read(path.into(), e)),
    };
    let invalid = |line, reason| Err(FileError::Line(path.into(), line, reason));
    let mut lines = text.lines();
    if lines.next() != Some(FILE_HEADER) {
        return invalid(1, "the first line is not that of a manual exclusion file");
    }
    let mut ids = Vec::new();
    for (n, line) in lines.enumerate() {
        match line {
            "" => return invalid(n + 2, "the line is empty; expected a cache node id"),
            id if id.split_ascii_whitespace().count() != 1 || id.trim() != id => {
                return invalid(n + 2, "expected exactly one cache node id")
            }
            id => ids.push(id.to_string()),
        }
    }
    Ok(Some(ids))
}

#[cfg(test)]
mod tests;
