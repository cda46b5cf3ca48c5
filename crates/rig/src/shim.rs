//! Machine faults for a real process: system calls that fail with errors documented for Linux, and a stepped
//! wall clock.
//!
//! A small C library (`shim/faults.c`) is built with the system's compiler and preloaded into that process
//! only. It reads the fault rates from a file that [`ProcessFaults::set_fault`] changes while the process
//! runs. No other process is affected.

use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The source code of the C library.
const LIBRARY_SOURCE: &str = include_str!("../shim/faults.c");

/// The fault injection library, built for this run. Dropping it removes its folder.
pub struct Shim {
    folder: tempfile::TempDir,
}

impl Shim {
    /// Builds the library with the system's C compiler, which the Rust tool chain needs for linking anyway.
    ///
    /// # Errors
    /// The folder can't be created, there is no C compiler, or the compiler rejects the source.
    pub fn build() -> io::Result<Shim> {
        let folder = tempfile::tempdir()?;
        let source = folder.path().join("faults.c");
        std::fs::write(&source, LIBRARY_SOURCE)?;
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

    fn library_path(&self) -> PathBuf {
        self.folder.path().join("libfaults.so")
    }

    /// Creates the fault settings of one process, with all faults off. The same `seed` gives the same faults
    /// as long as threads run in the same order.
    ///
    /// # Errors
    /// The file of fault values can't be written.
    pub fn create_fault_settings(&self, name: &str, seed: u64) -> io::Result<ProcessFaults> {
        let path = self.folder.path().join(format!("{name}.faults"));
        let file = std::fs::OpenOptions::new().write(true).create(true).truncate(true).open(&path)?;
        file.set_len((FAULT_VALUE_COUNT * size_of::<i64>()) as u64)?;
        Ok(ProcessFaults { file, path, library: self.library_path(), seed })
    }
}

/// The number of 64-bit values that the library reads from the file.
const FAULT_VALUE_COUNT: usize = 7;

/// A fault that can be injected; its discriminant is the index of its value in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineFault {
    /// The offset of the wall clock, in nanoseconds.
    WallOffsetNs = 0,
    /// `accept` fails. The values of this variant and of all that follow are rates per thousand calls.
    Accept = 1,
    /// `socket` and `connect` fail.
    Connect = 2,
    /// `send` and `recv` fail with a temporary error, or transfer a single byte.
    Transfer = 3,
    /// `epoll_wait` is interrupted.
    Wait = 4,
    /// `epoll_ctl` fails for lack of memory.
    Register = 5,
    /// Opening, writing, syncing and renaming files fail.
    Disk = 6,
}

impl MachineFault {
    /// All faults whose value is a rate in a thousand.
    pub const RATE_FAULTS: [MachineFault; 6] = [
        MachineFault::Accept,
        MachineFault::Connect,
        MachineFault::Transfer,
        MachineFault::Wait,
        MachineFault::Register,
        MachineFault::Disk,
    ];
}

/// The fault settings of one process.
pub struct ProcessFaults {
    file: std::fs::File,
    path: PathBuf,
    library: PathBuf,
    seed: u64,
}

impl ProcessFaults {
    /// Returns the environment variables that preload and configure the library in the process.
    pub fn environment_variables(&self) -> [(&'static str, String); 3] {
        let text = |p: &Path| p.display().to_string();
        [
            ("LD_PRELOAD", text(&self.library)),
            ("FAULTS_FILE", text(&self.path)),
            ("FAULTS_SEED", self.seed.to_string()),
        ]
    }

    /// Sets the value of a fault from now on: a rate in a thousand, or the offset of the wall clock in
    /// nanoseconds.
    ///
    /// # Errors
    /// The file of fault values can't be written.
    pub fn set_fault(&self, fault: MachineFault, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), fault as u64 * size_of::<i64>() as u64)
    }

    /// Sets every rate to 0; the offset of the wall clock does not change.
    ///
    /// # Errors
    /// The file of fault values can't be written.
    pub fn clear_rates(&self) -> io::Result<()> {
        MachineFault::RATE_FAULTS.iter().try_for_each(|f| self.set_fault(*f, 0))
    }
}
