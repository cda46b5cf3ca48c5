//! SIGHUP: the configuration file is read again while the front runs; and SIGTERM beside it, so that both are caught before
//! anything else is done.

use crate::config::ConfigError;
use crate::failure::patiently;
use crate::Start;
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

type Read = Result<Box<Start>, ConfigError>;

/// A file that can't be read may be there in a moment: it is being replaced, or the machine wants for descriptors.
const UNREADABLE: Duration = Duration::from_secs(5);

/// The signals that a front lives by, caught from now on: the default of either would end the process.
pub struct Signals {
    /// SIGTERM came.
    pub term: Arc<AtomicBool>,
    /// SIGHUP came.
    pub hup: Arc<AtomicBool>,
}

impl Signals {
    /// Catches them; to be called before anything is read, so that none is lost.
    ///
    /// # Errors
    /// As `sigaction(2)`.
    pub fn catch() -> std::io::Result<Signals> {
        let signals = Signals { term: Arc::default(), hup: Arc::default() };
        signal_hook::flag::register(signal_hook::consts::SIGTERM, signals.term.clone())?;
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.hup.clone())?;
        Ok(signals)
    }
}

/// Reads the files of a front that starts, again for a while where they are there and can't be read.
///
/// # Errors
/// As [`Start::read`].
pub fn read(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<Start, ConfigError> {
    let unreadable = |e: &ConfigError| matches!(e, ConfigError::Read(e) if e.kind() != ErrorKind::NotFound);
    patiently(UNREADABLE, unreadable, |_| Start::read(config.clone(), site.clone()))
}

/// The same for a front that runs: a file that is missing is being replaced.
fn read_again(config: Option<PathBuf>, site: Option<PathBuf>) -> Read {
    let unreadable = |e: &ConfigError| matches!(e, ConfigError::Read(_));
    patiently(UNREADABLE, unreadable, |_| Start::read(config.clone(), site.clone())).map(Box::new)
}

/// Reads the files again when SIGHUP comes, on a thread of its own: the worker must not wait for a disk.
pub struct Reload {
    asked: Arc<AtomicBool>,
    config: Option<PathBuf>,
    site: Option<PathBuf>,
    reading: Option<Receiver<Read>>,
}

impl Reload {
    /// Reads these files whenever `asked` is set.
    pub fn new(asked: Arc<AtomicBool>, config: Option<PathBuf>, site: Option<PathBuf>) -> Reload {
        Reload { asked, config, site, reading: None }
    }

    /// Now and then: the configuration that was asked for, once it is read.
    pub fn poll(&mut self) -> Option<Read> {
        if let Some(reading) = &self.reading {
            let read = match reading.try_recv() {
                Ok(read) => Some(read),
                Err(TryRecvError::Empty) => return None,
                // The reader ended without a word: what was asked is asked again.
                Err(TryRecvError::Disconnected) => {
                    tracing::error!("reload: the reader of the configuration failed; it is read again");
                    self.asked.store(true, Ordering::Release);
                    None
                }
            };
            self.reading = None;
            return read;
        }
        if !self.asked.swap(false, Ordering::AcqRel) {
            return None;
        }
        let (config, site) = (self.config.clone(), self.site.clone());
        let (to, reading) = channel();
        let reader = std::thread::Builder::new().name("reload".into());
        match reader.spawn(move || to.send(read_again(config, site))) {
            Ok(_) => self.reading = Some(reading),
            // No thread for the moment: the next look tries again.
            Err(e) => {
                tracing::warn!("reload: {e}");
                self.asked.store(true, Ordering::Release);
            }
        }
        None
    }
}
