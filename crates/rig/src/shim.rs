//! Faults of the machine under a real process: system calls that fail as Linux documents, and a wall clock that is stepped.
//!
//! A small library in C (`shim/faults.c`), built with the system's compiler and loaded into the process alone, reads its rates
//! from a file that [`Faults::set`] changes while the process runs. Nothing outside that process is touched.

use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/faults.c");

/// The library, built for this run; its folder goes with it.
pub struct Shim {
    folder: tempfile::TempDir,
}

impl Shim {
    /// Builds it with the system's C compiler, which the Rust tool chain needs for linking anyway.
    ///
    /// # Errors
    /// No folder or no compiler can be had, or it refuses the source.
    pub fn build() -> io::Result<Shim> {
        let folder = tempfile::tempdir()?;
        let source = folder.path().join("faults.c");
        std::fs::write(&source, SOURCE)?;
        let library = folder.path().join("libfaults.so");
        let out = Command::new("cc")
            .args(["-O1", "-Wall", "-shared", "-fPIC", "-o"])
            .arg(&library)
            .arg(&source)
            .arg("-ldl")
            .output()?;
        match out.status.success() {
            true => Ok(Shim { folder }),
            false => Err(io::Error::other(String::from_utf8_lossy(&out.stderr).into_owned())),
        }
    }

    fn library(&self) -> PathBuf {
        self.folder.path().join("libfaults.so")
    }

    /// Faults for one process, none yet. `seed` makes the draws repeatable, as far as threads come in the same order.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn faults(&self, name: &str, seed: u64) -> io::Result<Faults> {
        let path = self.folder.path().join(format!("{name}.faults"));
        let file = std::fs::OpenOptions::new().write(true).create(true).truncate(true).open(&path)?;
        file.set_len((FIELDS * size_of::<i64>()) as u64)?;
        Ok(Faults { file, path, library: self.library(), seed })
    }
}

/// How many figures the library reads.
const FIELDS: usize = 7;

/// What fails, and how often; the place of each in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The wall clock is off by that many nanoseconds.
    WallOffsetNs = 0,
    /// `accept` fails, so many times of a thousand.
    Accept = 1,
    /// `socket` and `connect` fail.
    Connect = 2,
    /// `send` and `recv` fail for a moment, or take one byte alone.
    Transfer = 3,
    /// `epoll_wait` is interrupted.
    Wait = 4,
    /// `epoll_ctl` finds no memory.
    Register = 5,
    /// Files can't be opened, written, synced or renamed.
    Disk = 6,
}

impl Fault {
    /// All whose figure is a rate.
    pub const RATES: [Fault; 6] =
        [Fault::Accept, Fault::Connect, Fault::Transfer, Fault::Wait, Fault::Register, Fault::Disk];
}

/// The faults of one process.
pub struct Faults {
    file: std::fs::File,
    path: PathBuf,
    library: PathBuf,
    seed: u64,
}

impl Faults {
    /// What the process is to have in its environment.
    pub fn environment(&self) -> [(&'static str, String); 3] {
        let text = |p: &Path| p.display().to_string();
        [
            ("LD_PRELOAD", text(&self.library)),
            ("FAULTS_FILE", text(&self.path)),
            ("FAULTS_SEED", self.seed.to_string()),
        ]
    }

    /// From now on that fails so often, in parts of a thousand; the wall clock is off by so many nanoseconds.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set(&self, fault: Fault, figure: i64) -> io::Result<()> {
        self.file.write_all_at(&figure.to_ne_bytes(), fault as u64 * size_of::<i64>() as u64)
    }

    /// Everything works again, and the wall clock stays as it is.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn calm(&self) -> io::Result<()> {
        Fault::RATES.iter().try_for_each(|f| self.set(*f, 0))
    }
}
