//! A lock that several processes of this machine share, by a file that each of them locks.
//!
//! The kernel releases the lock when its holder ends, however that happens. The file is never removed by this
//! module.

use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// A lock that is held until this is dropped.
#[derive(Debug)]
pub struct FileLock {
    /// `None` if the file system has no locks.
    _file: Option<Flock<File>>,
}

/// Takes the lock of this file, which is created if it is missing. Does not wait.
///
/// On a file system without locks, the lock counts as taken, and a warning is logged.
///
/// # Errors
/// [`ErrorKind::WouldBlock`]: another process holds the lock. Any other error is that of a system call.
pub fn try_lock(path: &Path) -> io::Result<FileLock> {
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
    let inode = file.metadata()?.ino();
    let locked = match Flock::lock(file, FlockArg::LockExclusiveNonblock) {
        Ok(locked) => locked,
        Err((_, Errno::ENOSYS | Errno::EOPNOTSUPP | Errno::EINVAL)) => {
            tracing::warn!("{} cannot be locked: the file system has no locks", path.display());
            return Ok(FileLock { _file: None });
        }
        Err((_, errno)) => return Err(errno.into()),
    };
    // If the file was replaced meanwhile, other processes lock the new one.
    match std::fs::metadata(path) {
        Ok(current) if current.ino() == inode => Ok(FileLock { _file: Some(locked) }),
        Ok(_) => Err(ErrorKind::WouldBlock.into()),
        Err(error) => Err(error),
    }
}
