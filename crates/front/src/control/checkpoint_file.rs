//! The file under `$TMPDIR` in which the processes of a front store the checkpoint of the discovery watch.
//!
//! Two processes may run at the same time while one replaces the other, and both store checkpoints. Under a
//! lock that both take, a checkpoint replaces only one of the same or an earlier position, so the file never
//! goes back.

use super::deployment_files::DeploymentFiles;
use super::watch_checkpoint::{self, CheckpointError, CheckpointIdentity, WatchCheckpoint};
use super::watch_state::WatchPosition;
use crate::atomic_file::{write_atomically, Durability, FileVersion};
use crate::file_lock;
use crate::sync::lock;
use fernslip::json::Names;
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Maximum length of a checkpoint, in bytes. That of the longest endpoint list is far shorter.
const MAX_CHECKPOINT_BYTES: u64 = 16 << 20;

/// The reason why the stored checkpoint cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {1}", path = .0.display())]
    Read(PathBuf, io::Error),
    /// The checkpoint in the file is refused.
    #[error("{path}: {1}", path = .0.display())]
    Refused(PathBuf, CheckpointError),
}

/// What became of a checkpoint that was to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The file has the checkpoint.
    Stored,
    /// The file has one of a later position, which another process has stored.
    LaterIsStored,
    /// There is no state that another process could continue from.
    NothingToStore,
}

/// The file of a front's checkpoint.
#[derive(Debug)]
pub struct CheckpointFile {
    path: PathBuf,
    lock_file: PathBuf,
    identity: CheckpointIdentity,
    /// The version of the file that this process last read or wrote. `None` if it did neither.
    known_version: Mutex<Option<FileVersion>>,
    /// The number of checkpoints that this process has stored.
    stored: AtomicU64,
    /// The number of failures to store a checkpoint.
    failed: AtomicU64,
    /// The number of checkpoints of another process that were applied while this one ran.
    adopted: AtomicU64,
}

impl CheckpointFile {
    /// Determines the file of a front in its deployment. `identity` is that of the front's event stream.
    pub fn new(files: &DeploymentFiles, identity: CheckpointIdentity) -> CheckpointFile {
        CheckpointFile {
            path: files.own("watch"),
            lock_file: files.hidden("watch-lock"),
            identity,
            known_version: Mutex::default(),
            stored: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            adopted: AtomicU64::new(0),
        }
    }

    /// Counts a checkpoint that was stored.
    pub fn count_stored(&self) {
        self.stored.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failure to store a checkpoint.
    pub fn count_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a checkpoint of another process that was applied.
    pub fn count_adopted(&self) {
        self.adopted.fetch_add(1, Ordering::Relaxed);
    }

    /// The metrics of the checkpoints, one `name=value` line each.
    pub fn metric_lines(&self) -> String {
        let [stored, failed, adopted] =
            [&self.stored, &self.failed, &self.adopted].map(|count| count.load(Ordering::Relaxed));
        format!(
            "relay.checkpoint.stored={stored}\nrelay.checkpoint.failed={failed}\n\
             relay.checkpoint.adopted={adopted}\n"
        )
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The identity of the front's event stream.
    pub fn identity(&self) -> &CheckpointIdentity {
        &self.identity
    }

    /// Returns whether another process has written the file since this process last read or wrote it.
    pub fn changed_by_other_process(&self) -> bool {
        let current = FileVersion::at_path(&self.path);
        current.is_some() && current != *lock(&self.known_version)
    }

    /// Loads the stored checkpoint; `None` if there is none.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or its checkpoint is refused.
    pub fn load(&self, names: &Names) -> Result<Option<WatchCheckpoint>, LoadError> {
        let (version, bytes) = match read_version(&self.path) {
            Ok(read) => read,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(LoadError::Read(self.path.clone(), e)),
        };
        // A refused version counts as known too: it is reported once.
        *lock(&self.known_version) = Some(version);
        let decoded = watch_checkpoint::decode(&bytes, &self.identity, names);
        decoded.map(Some).map_err(|e| LoadError::Refused(self.path.clone(), e))
    }

    /// Stores an encoded checkpoint of this position, unless the stored one is of a later position.
    ///
    /// # Errors
    /// Returns an error if the file cannot be locked or written; `WouldBlock` if another process holds the
    /// lock. The stored checkpoint is then as before.
    pub fn store(
        &self,
        position: WatchPosition,
        encoded: &[&[u8]],
        names: &Names,
    ) -> io::Result<StoreOutcome> {
        let _lock = file_lock::try_lock(&self.lock_file)?;
        if self.changed_by_other_process() && self.stored_position(names) > Some(position) {
            return Ok(StoreOutcome::LaterIsStored);
        }
        let version = write_atomically(&self.path, encoded, Durability::Process)?;
        *lock(&self.known_version) = Some(version);
        Ok(StoreOutcome::Stored)
    }

    /// The position of the stored checkpoint; `None` if there is none that this process can use. The file does
    /// not count as read.
    fn stored_position(&self, names: &Names) -> Option<WatchPosition> {
        let (_, bytes) = read_version(&self.path).ok()?;
        let stored = watch_checkpoint::decode(&bytes, &self.identity, names).ok()?;
        Some(stored.position)
    }
}

/// Reads a file, and its version.
fn read_version(path: &Path) -> io::Result<(FileVersion, Vec<u8>)> {
    let file = File::open(path)?;
    let metadata = file.metadata()?;
    if !metadata.is_file() || metadata.len() > MAX_CHECKPOINT_BYTES {
        let reason = format!("expected a file of at most {MAX_CHECKPOINT_BYTES} bytes");
        return Err(io::Error::new(ErrorKind::InvalidData, reason));
    }
    let mut bytes = Vec::with_capacity(metadata.len() as usize);
    file.take(MAX_CHECKPOINT_BYTES).read_to_end(&mut bytes)?;
    Ok((FileVersion::of(&metadata), bytes))
}

#[cfg(test)]
mod tests;
