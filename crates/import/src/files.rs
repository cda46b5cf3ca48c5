//! Where files come from: the disk, or a table in memory.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// A file of the input is this long at the most, in bytes: 50,000 members take a twentieth of it.
pub const MOST_FILE_BYTES: u64 = 64 << 20;

/// A place that files can be read from.
pub trait Files {
    /// The bytes of a file, [`MOST_FILE_BYTES`] at the most.
    ///
    /// # Errors
    /// The system's own; `FileTooLarge` for a longer one.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// The files that a pattern with `*`, `?` and `[…]` names, or all below a folder, in their order.
    fn matching(&self, pattern: &str) -> Vec<PathBuf>;
    /// One name for a file, however it is reached: links and `..` are resolved where it exists.
    fn canonical(&self, path: &Path) -> PathBuf;
}

fn too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, format!("longer than {MOST_FILE_BYTES} bytes"))
}

/// The disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

/// Folders below an included one are looked into this deep: guards against links that lead back up.
const MOST_FOLDERS: usize = 16;

fn below(folder: &Path, depth: usize, out: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(folder) else { return };
    let mut paths: Vec<_> = entries.flatten().map(|e| e.path()).collect();
    paths.sort();
    for p in paths {
        match p.is_dir() {
            true if depth < MOST_FOLDERS => below(&p, depth + 1, out),
            true => {}
            false => out.push(p),
        }
    }
}

impl Files for Disk {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let file = std::fs::File::open(path)?;
        if !file.metadata()?.is_file() {
            // A pipe may never end, and a folder can't be read.
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a plain file"));
        }
        let mut bytes = Vec::new();
        file.take(MOST_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MOST_FILE_BYTES {
            return Err(too_large());
        }
        Ok(bytes)
    }

    fn matching(&self, pattern: &str) -> Vec<PathBuf> {
        let found = glob::glob(pattern).map(|g| g.flatten().collect::<Vec<_>>()).unwrap_or_default();
        let mut files = Vec::new();
        for path in found {
            if path.is_dir() {
                below(&path, 0, &mut files);
            } else {
                files.push(path);
            }
        }
        files
    }

    fn canonical(&self, path: &Path) -> PathBuf {
        std::fs::canonicalize(path).unwrap_or_else(|_| path.to_path_buf())
    }
}

/// Files in memory, by their names.
#[derive(Clone, Debug, Default)]
pub struct Memory(pub BTreeMap<PathBuf, Vec<u8>>);

impl Memory {
    /// A table of these files.
    pub fn of<'a>(files: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Memory {
        Memory(files.into_iter().map(|(name, bytes)| (name.into(), bytes.to_vec())).collect())
    }
}

impl Files for Memory {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let bytes = self.0.get(&self.canonical(path)).ok_or(io::ErrorKind::NotFound)?;
        if bytes.len() as u64 > MOST_FILE_BYTES {
            return Err(too_large());
        }
        Ok(bytes.clone())
    }

    fn matching(&self, pattern: &str) -> Vec<PathBuf> {
        let Ok(glob) = glob::Pattern::new(pattern) else { return Vec::new() };
        let options = glob::MatchOptions { require_literal_separator: true, ..glob::MatchOptions::default() };
        let named =
            |p: &Path| p.ancestors().any(|a| !a.as_os_str().is_empty() && glob.matches_path_with(a, options));
        self.0.keys().filter(|p| named(p)).cloned().collect()
    }

    fn canonical(&self, path: &Path) -> PathBuf {
        let mut out = PathBuf::new();
        for part in path.components() {
            match part {
                std::path::Component::ParentDir => {
                    out.pop();
                }
                std::path::Component::CurDir => {}
                other => out.push(other),
            }
        }
        out
    }
}
