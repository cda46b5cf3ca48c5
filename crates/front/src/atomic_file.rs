//! Small files that are replaced as a whole, and the versions of such a file.
//!
//! Two processes of one front share some files under `$TMPDIR`. A process recognizes by the version of a file
//! whether the other one has replaced it.

use std::fs::{File, Metadata};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

/// Identifies a version of a file; a file that replaces it has another inode number or modification time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileVersion {
    inode: u64,
    modified: (i64, i64),
}

impl FileVersion {
    /// The version of the file at `path`; `None` if its metadata cannot be read.
    pub fn at_path(path: &Path) -> Option<FileVersion> {
        std::fs::metadata(path).ok().map(|data| FileVersion::of(&data))
    }

    /// The version of the file with this metadata.
    pub fn of(data: &Metadata) -> FileVersion {
        FileVersion { inode: data.ino(), modified: (data.mtime(), data.mtime_nsec()) }
    }
}

/// What a written file survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The end of the process, however it ends.
    Process,
    /// A power loss too: the file is synced before it replaces the old one.
    PowerLoss,
}

/// Writes `content` to a temporary file in the same folder and renames it to `path`, so that a reader finds
/// either the old file or the complete new one. Returns the version that was written.
///
/// # Errors
/// Returns the error of the system call that failed. The file at `path` is then as before, and the temporary
/// file is removed.
pub fn write_atomically(path: &Path, content: &[&[u8]], durability: Durability) -> io::Result<FileVersion> {
    // Two processes of one front may write at the same time, so each write uses a different temporary file
    // name.
    static WRITES: AtomicU64 = AtomicU64::new(0);
    let number = WRITES.fetch_add(1, Ordering::Relaxed);
    let partial = path.with_extension(format!("part{}-{number}", std::process::id()));
    let written = File::create(&partial).and_then(|mut file| {
        content.iter().try_for_each(|part| file.write_all(part))?;
        if durability == Durability::PowerLoss {
            file.sync_all()?;
        }
        let version = FileVersion::of(&file.metadata()?);
        std::fs::rename(&partial, path)?;
        Ok(version)
    });
    if written.is_err() {
        let _ = std::fs::remove_file(&partial);
    }
    written
}
