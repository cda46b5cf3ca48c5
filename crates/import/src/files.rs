//! Sources of input files: the disk, or files in memory.

use crate::error::ImportError;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// The greatest size of an input file in bytes. A file with 50,000 members has a twentieth of this size.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

/// A source of input files.
pub trait Files {
    /// Reads a file of at most [`MAX_FILE_BYTES`] bytes.
    ///
    /// # Errors
    /// The error of the operating system, or `FileTooLarge` for a larger file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// The files that match a pattern with `*`, `?` and `[…]`, sorted by name. A directory that matches
    /// stands for all files below it.
    fn matching(&self, pattern: &str) -> Vec<PathBuf>;
    /// The canonical path of a file, with symbolic links and `..` resolved if the file exists.
    fn canonical(&self, path: &Path) -> PathBuf;
}

/// Reads a file that the caller named.
pub(crate) fn read_input(files: &dyn Files, path: &Path) -> Result<Vec<u8>, ImportError> {
    let failed = |e: io::Error| ImportError::Read { file: path.display().to_string(), cause: e.to_string() };
    files.read(path).map_err(failed)
}

fn file_too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, format!("the file is longer than {MAX_FILE_BYTES} bytes"))
}

/// Reads input files from the file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskFiles;

/// The greatest depth at which directories below an included directory are listed. It bounds the recursion if
/// symbolic links form a cycle.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// Appends all files below a directory to `out`, sorted by name.
fn collect_files(directory: &Path, depth: usize, out: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(directory) else { return };
    let mut paths: Vec<_> = entries.flatten().map(|e| e.path()).collect();
    paths.sort();
    for path in paths {
        match path.is_dir() {
            true if depth < MAX_DIRECTORY_DEPTH => collect_files(&path, depth + 1, out),
            true => {}
            false => out.push(path),
        }
    }
}

impl Files for DiskFiles {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let file = std::fs::File::open(path)?;
        if !file.metadata()?.is_file() {
            // Reading a pipe might never end, and a directory cannot be read.
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a regular file"));
        }
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(file_too_large());
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

/// Input files in memory, keyed by path.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles(pub BTreeMap<PathBuf, Vec<u8>>);

impl MemoryFiles {
    /// Creates a source from pairs of path and contents.
    pub fn from_files<'a>(files: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> MemoryFiles {
        MemoryFiles(files.into_iter().map(|(name, bytes)| (name.into(), bytes.to_vec())).collect())
    }
}

impl Files for MemoryFiles {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let bytes = self.0.get(&self.canonical(path)).ok_or(io::ErrorKind::NotFound)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(file_too_large());
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
