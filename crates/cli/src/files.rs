//! Atomic file writes: each file is replaced completely or not at all.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use tempfile::NamedTempFile;

/// The error of a file that could not be written, with its path.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct WriteError {
    path: PathBuf,
    source: io::Error,
}

/// Writes several files. Each content is written to a temporary file in the target's folder; then all are
/// renamed to their targets.
///
/// # Errors
/// Fails if a folder cannot be written to or a path is a folder. An error before the first rename changes no
/// file; an error of a later rename leaves the earlier files completely replaced.
pub fn write_all(files: &[(&Path, &str)]) -> Result<(), WriteError> {
    let error = |path: &Path, source| WriteError { path: path.into(), source };
    let mut written = Vec::new();
    for (path, text) in files {
        if path.is_dir() {
            return Err(error(path, io::ErrorKind::IsADirectory.into()));
        }
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let temporary = NamedTempFile::new_in(folder).and_then(|mut f| {
            f.write_all(text.as_bytes())?;
            f.as_file().sync_all()?;
            make_world_readable(f.as_file())?;
            Ok(f)
        });
        written.push((path, temporary.map_err(|e| error(path, e))?));
    }
    for (path, file) in written {
        file.persist(path).map_err(|e| error(path, e.error))?;
    }
    Ok(())
}

/// Sets the mode 0644: temporary files are created readable by their owner only, which would not suit a site
/// document.
#[cfg(unix)]
fn make_world_readable(file: &std::fs::File) -> io::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    file.set_permissions(std::fs::Permissions::from_mode(0o644))
}

#[cfg(not(unix))]
fn make_world_readable(_: &std::fs::File) -> io::Result<()> {
    Ok(())
}

#[cfg(test)]
mod tests;
