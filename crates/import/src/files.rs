//! Where files come from: the disk, or a table in memory.

use crate::error::ImportError;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Limit of an input file, bytes: 50,000 members take a twentieth of it.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

/// A source of files.
pub trait Files {
    /// The bytes of a file, at most [`MAX_FILE_BYTES`].
    ///
    /// # Errors
    /// The system's own; `FileTooLarge` for a longer file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// The files that a pattern with `*`, `?` and `[…]` matches, or all below a directory, sorted by name.
    fn matching(&self, pattern: &str) -> Vec<PathBuf>;
    /// The canonical name of a file: links and `..` are resolved where it exists.
    fn canonical(&self, path: &Path) -> PathBuf;
}

/// Reads a file that the caller named.
pub(crate) fn read_input(files: &dyn Files, path: &Path) -> Result<Vec<u8>, ImportError> {
    let failed = |e: io::Error| ImportError::Read { file: path.display().to_string(), cause: e.to_string() };
    files.read(path).map_err(failed)
}

fn too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, format!("longer than {MAX_FILE_BYTES} bytes"))
}

/// The disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

/// How deep directories below an included one are listed: guards against links that lead back up.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// Adds all files below a directory.
fn collect_files(directory: &Path, depth: usize, out: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(directory) else { return };
    let mut paths: Vec<_> = entries.flatten().map(|e| e.path()).collect();
    paths.sort();
    for p in paths {
        match p.is_dir() {
            true if depth < MAX_DIRECTORY_DEPTH => collect_files(&p, depth + 1, out),
            true => {}
            false => out.push(p),
        }
    }
}

impl Files for Disk {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let file = std::fs::File::open(path)?;
        if !file.metadata()?.is_file() {
            // A pipe may never end, and a directory can't be read.
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a plain file"));
        }
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(too_large());
        }
        Ok(bytes)
    }

    fn matching(&self, pattern: &str) -> Vec<PathBuf> {
        let found = glob::glob(pattern).map(|g| g.flatten().collect::<Vec<_>>()).unwrap_or_default();
        let mut files = Vec::new();
        for path in found {
            if path.is_dir() {
                collect_files(&path, 0, &mut files);
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
    pub fn from_files<'a>(files: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Memory {
        Memory(files.into_iter().map(|(name, bytes)| (name.into(), bytes.to_vec())).collect())
    }
}

impl Files for Memory {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let bytes = self.0.get(&self.canonical(path)).ok_or(io::ErrorKind::NotFound)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(too_large());
        }
        Ok(bytes.clone())
    }

    fn matching(&self, pattern: &str) -> Vec<PathBuf> {
        let Ok(glob) = glob::Pattern::new(pattern) else { return Vec::new() };
        let options = glob::MatchOptions { require_literal_separator: true, ..glob::MatchOptions::default() };
        let matches =
            |p: &Path| p.ancestors().any(|a| !a.as_os_str().is_empty() && glob.matches_path_with(a, options));
        self.0.keys().filter(|p| matches(p)).cloned().collect()
    }

    fn canonical(&self, path: &Path) -> PathBuf {
        let mut out = PathBuf::new();
        for component in path.components() {
            match component {
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
