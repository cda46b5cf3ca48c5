//! SIGHUP: the configuration file is read again while the front runs.

use crate::config::{Config, ConfigError};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

type Read = Result<Box<Config>, ConfigError>;

/// Catches SIGHUP, whose default would end the process, and reads the file on a thread of its own: the worker
/// must not wait for a disk.
pub struct Reload {
    asked: Arc<AtomicBool>,
    file: Option<PathBuf>,
    reading: Option<Receiver<Read>>,
}

impl Reload {
    /// Catches the signal from now on; `file` is what is read then.
    pub fn catch(file: Option<PathBuf>) -> std::io::Result<Reload> {
        let asked = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal_hook::consts::SIGHUP, asked.clone())?;
        Ok(Reload { asked, file, reading: None })
    }

    /// Now and then: the configuration that was asked for, once it is read.
    pub fn poll(&mut self) -> Option<Read> {
        if let Some(reading) = &self.reading {
            let read = reading.try_recv().ok()?;
            self.reading = None;
            return Some(read);
        }
        let file = self.file.clone().filter(|_| self.asked.swap(false, Ordering::AcqRel))?;
        let (to, reading) = channel();
        std::thread::spawn(move || to.send(Config::read(&file).map(Box::new)));
        self.reading = Some(reading);
        None
    }
}
