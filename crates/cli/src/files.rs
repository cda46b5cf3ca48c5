//! Files that are written whole or not at all.

use std::io::{self, Write};
use std::path::Path;
use tempfile::NamedTempFile;

/// Writes several files: each beside its place first, then all are renamed. An error before the first rename changes
/// nothing; one of a later rename, such as a folder of that name, leaves the earlier files new and whole.
pub fn write_all(files: &[(&Path, &str)]) -> Result<(), (String, io::Error)> {
    let named = |path: &Path, e| (path.display().to_string(), e);
    let mut ready = Vec::new();
    for (path, text) in files {
        if path.is_dir() {
            return Err(named(path, io::ErrorKind::IsADirectory.into()));
        }
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let written = NamedTempFile::new_in(folder).and_then(|mut f| {
            f.write_all(text.as_bytes())?;
            f.as_file().sync_all()?;
            readable(f.as_file())?;
            Ok(f)
        });
        ready.push((path, written.map_err(|e| named(path, e))?));
    }
    for (path, file) in ready {
        file.persist(path).map_err(|e| named(path, e.error))?;
    }
    Ok(())
}

/// Temporary files are their owner's alone; a site document is a file as any other.
#[cfg(unix)]
fn readable(file: &std::fs::File) -> io::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    file.set_permissions(std::fs::Permissions::from_mode(0o644))
}

#[cfg(not(unix))]
fn readable(_: &std::fs::File) -> io::Result<()> {
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_or_nothing() {
        let folder = tempfile::tempdir().expect("a folder");
        let (a, b) = (folder.path().join("a"), folder.path().join("no-folder/b"));
        std::fs::write(&a, "old").expect("a file");
        assert!(write_all(&[(&a, "new"), (&b, "new")]).is_err());
        assert_eq!(std::fs::read_to_string(&a).expect("it"), "old");
        assert_eq!(std::fs::read_dir(folder.path()).expect("it").count(), 1, "nothing is left behind");
        assert!(write_all(&[(&a, "new"), (folder.path(), "x")]).is_err());
        assert_eq!(std::fs::read_to_string(&a).expect("it"), "old");
        write_all(&[(&a, "new")]).expect("written");
        assert_eq!(std::fs::read_to_string(&a).expect("it"), "new");
    }
}
