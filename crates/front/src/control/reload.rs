//! The front's signals, caught before anything else is done: SIGTERM, and SIGHUP, which reloads the configuration while
//! the front runs.

use crate::config::ConfigError;
use crate::failure::retry_with_backoff;
use crate::loaded_config::LoadedConfig;
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

/// What a reload read.
type Loaded = Result<Box<LoadedConfig>, ConfigError>;

/// How long an unreadable file is retried: it may be being replaced, or the host may be out of descriptors.
const READ_RETRY_TIME: Duration = Duration::from_secs(5);

/// The signals that control a front, as flags; the default action of either would end the process.
pub struct Signals {
    /// Set by SIGTERM.
    pub term: Arc<AtomicBool>,
    /// Set by SIGHUP.
    pub hup: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers; to be called before anything is read, so that no signal is lost.
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

/// Reads the files of a front that starts, retrying for a while where they exist and can't be read.
///
/// # Errors
/// As [`LoadedConfig::read`].
pub fn read(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<LoadedConfig, ConfigError> {
    let unreadable = |e: &ConfigError| matches!(e, ConfigError::Read(e) if e.kind() != ErrorKind::NotFound);
    retry_with_backoff(READ_RETRY_TIME, unreadable, |_| LoadedConfig::read(config.clone(), site.clone()))
}

/// The same for a running front, for which a missing file is one that is being replaced.
fn read_again(config: Option<PathBuf>, site: Option<PathBuf>) -> Loaded {
    let unreadable = |e: &ConfigError| matches!(e, ConfigError::Read(_));
    retry_with_backoff(READ_RETRY_TIME, unreadable, |_| LoadedConfig::read(config.clone(), site.clone()))
        .map(Box::new)
}

/// Reloads the files on request, on a thread of its own: the worker must not wait for a disk.
pub struct Reload {
    requested: Arc<AtomicBool>,
    config: Option<PathBuf>,
    site: Option<PathBuf>,
    loading: Option<Receiver<Loaded>>,
}

impl Reload {
    /// Reloads these files whenever `requested` is set.
    pub fn new(requested: Arc<AtomicBool>, config: Option<PathBuf>, site: Option<PathBuf>) -> Reload {
        Reload { requested, config, site, loading: None }
    }

    /// The configuration that was requested, once it is read; called periodically.
    pub fn poll(&mut self) -> Option<Loaded> {
        if let Some(loading) = &self.loading {
            let loaded = match loading.try_recv() {
                Ok(loaded) => Some(loaded),
                Err(TryRecvError::Empty) => return None,
                // The reader ended without a result: the request is renewed.
                Err(TryRecvError::Disconnected) => {
                    tracing::error!("reload: the reader of the configuration failed; it is read again");
                    self.requested.store(true, Ordering::Release);
                    None
                }
            };
            self.loading = None;
            return loaded;
        }
        if !self.requested.swap(false, Ordering::AcqRel) {
            return None;
        }
        let (config, site) = (self.config.clone(), self.site.clone());
        let (sender, receiver) = channel();
        let reader = std::thread::Builder::new().name("reload".into());
        match reader.spawn(move || sender.send(read_again(config, site))) {
            Ok(_) => self.loading = Some(receiver),
            // No thread for the moment: the next poll tries again.
            Err(e) => {
                tracing::warn!("reload: {e}");
                self.requested.store(true, Ordering::Release);
            }
        }
        None
    }
}
