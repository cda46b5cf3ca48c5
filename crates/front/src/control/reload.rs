//! Handling of the signals that control a front, SIGTERM and SIGHUP, and the reload of the configuration that
//! SIGHUP requests while the front runs.

use crate::config::ConfigError;
use crate::failure::retry_with_backoff;
use crate::loaded_config::LoadedConfig;
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

/// The result of reading the configuration and the site document again.
type ReloadResult = Result<Box<LoadedConfig>, ConfigError>;

/// How long reading an unreadable file is retried: the file may be in the middle of being replaced, or the
/// host may be out of file descriptors.
const READ_RETRY_TIME: Duration = Duration::from_secs(5);

/// Flags set by the signals that control a front. Without handlers, either signal would end the process.
pub struct Signals {
    /// Set to true when SIGTERM is received.
    pub terminate_requested: Arc<AtomicBool>,
    /// Set to true when SIGHUP is received; cleared when the reload begins.
    pub reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers. Must be called before any file is read, so that no signal is missed.
    ///
    /// # Errors
    /// Returns the errors of `sigaction(2)`.
    pub fn install_handlers() -> std::io::Result<Signals> {
        let signals = Signals { terminate_requested: Arc::default(), reload_requested: Arc::default() };
        signal_hook::flag::register(signal_hook::consts::SIGTERM, signals.terminate_requested.clone())?;
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.reload_requested.clone())?;
        Ok(signals)
    }
}

/// Reads the configuration and the site document of a front that starts. Files that exist but cannot be read
/// are retried for `READ_RETRY_TIME`.
///
/// # Errors
/// Returns the errors of [`LoadedConfig::read`].
pub fn read_with_retries(
    config: Option<PathBuf>,
    site: Option<PathBuf>,
) -> Result<LoadedConfig, ConfigError> {
    let unreadable = |e: &ConfigError| matches!(e, ConfigError::Read(e) if e.kind() != ErrorKind::NotFound);
    retry_with_backoff(READ_RETRY_TIME, unreadable, |_| LoadedConfig::read(config.clone(), site.clone()))
}

/// Reads the files of a running front again. Unlike [`read_with_retries`], it also retries a missing file,
/// which may be in the middle of being replaced.
fn read_again(config: Option<PathBuf>, site: Option<PathBuf>) -> ReloadResult {
    let unreadable = |e: &ConfigError| matches!(e, ConfigError::Read(_));
    retry_with_backoff(READ_RETRY_TIME, unreadable, |_| LoadedConfig::read(config.clone(), site.clone()))
        .map(Box::new)
}

/// Reloads the configuration and the site document on request, on a separate thread, because the worker
/// thread must not wait for a disk.
pub struct Reload {
    requested: Arc<AtomicBool>,
    config: Option<PathBuf>,
    site: Option<PathBuf>,
    loading: Option<Receiver<ReloadResult>>,
}

impl Reload {
    /// Creates a reloader that reads these files whenever `requested` is set.
    pub fn new(requested: Arc<AtomicBool>, config: Option<PathBuf>, site: Option<PathBuf>) -> Reload {
        Reload { requested, config, site, loading: None }
    }

    /// Starts a requested reload, and returns its result once the files are read; `None` until then. Called
    /// periodically.
    pub fn poll(&mut self) -> Option<ReloadResult> {
        if let Some(loading) = &self.loading {
            let loaded = match loading.try_recv() {
                Ok(loaded) => Some(loaded),
                Err(TryRecvError::Empty) => return None,
                // The reader thread ended without a result, so the reload is requested again.
                Err(TryRecvError::Disconnected) => {
                    tracing::error!(
                        "reload: the reading thread ended without a result; reading the files again"
                    );
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
            // No thread can be created at the moment; the next poll tries again.
            Err(e) => {
                tracing::warn!(
                    "reload: no thread can be started to read the configuration; trying again: {e}"
                );
                self.requested.store(true, Ordering::Release);
            }
        }
        None
    }
}
