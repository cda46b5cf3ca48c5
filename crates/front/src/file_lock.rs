//! A file that several processes of this machine use in turns, each while it holds the file's lock.
//!
//! The kernel releases the lock when its holder ends, however that happens.

use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// An open file whose lock is held until this is dropped.
#[derive(Debug)]
pub enum LockedFile {
    /// This process holds the lock.
    Locked(Flock<File>),
    /// The file system has no locks.
    Unlocked(File),
}

impl LockedFile {
    /// The open file.
    pub fn file(&self) -> &File {
        match self {
            LockedFile::Locked(file) => file,
            LockedFile::Unlocked(file) => file,
        }
    }
}

/// Opens this file, which is created if it is missing, and takes its lock. Does not wait.
///
/// On a file system without locks, the lock counts as taken, and a warning is logged.
///
/// # Errors
/// [`ErrorKind::WouldBlock`]: another process holds the lock. Any other error is that of a system call.
pub fn try_lock(path: &Path) -> io::Result<LockedFile> {
    let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
    let inode = file.metadata()?.ino();
    let locked = match Flock::lock(file, FlockArg::LockExclusiveNonblock) {
        Ok(locked) => locked,
        Err((file, Errno::ENOSYS | Errno::EOPNOTSUPP | Errno::EINVAL)) => {
            tracing::warn!("{} cannot be locked: the file system has no locks", path.display());
            return Ok(LockedFile::Unlocked(file));
        }
        Err((_, errno)) => return Err(errno.into()),
    };
    // If the file was replaced meanwhile, other processes lock the new one.
    match std::fs::metadata(path) {
        Ok(current) if current.ino() == inode => Ok(LockedFile::Locked(locked)),
        Ok(_) => Err(ErrorKind::WouldBlock.into()),
        Err(error) => Err(error),
    }
}
