//! Reads, creates and rotates the key files of the gossip and the membership view.

use fernslip_gossip::{parse_key_file, KeyError, Keyring};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

/// The maximum length in bytes of a key file, which holds at most two keys and some comments.
const MAX_KEY_FILE_BYTES: u64 = 16 * 1024;

/// The reason why a key file cannot be used or written.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The key file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The key file's owner, mode or content is invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The file already has two keys, so the rotation in progress must be completed first.
    #[error("the key file already holds two keys: complete the rotation in progress first")]
    RotationInProgress,
    /// All 255 key numbers are in use.
    #[error("all key numbers from 1 to 255 are in use")]
    NoFreeKeyNumber,
}

/// A step of a key rotation. Each step is done on every front, followed by SIGHUP, before the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RotationStep {
    /// Adds a new key, which is accepted; the old key still signs.
    Add,
    /// Makes the new key the one that signs; the old key is still accepted.
    Switch,
    /// Removes the key that does not sign.
    Drop,
}

/// A key file's text, with its owner and mode.
struct RawKeyFile {
    text: String,
    owner: u32,
    mode: u32,
}

impl RawKeyFile {
    /// Reads the file at `path`. Owner and mode are taken from the opened file, because the path may name
    /// another file a moment later.
    fn read(path: &Path) -> Result<RawKeyFile, KeyFileError> {
        let file = File::open(path)?;
        let meta = file.metadata()?;
        if !meta.is_file() || meta.len() > MAX_KEY_FILE_BYTES {
            let message = "not a regular file of at most 16384 bytes, as a key file must be";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message).into());
        }
        let mut text = String::new();
        file.take(MAX_KEY_FILE_BYTES).read_to_string(&mut text)?;
        Ok(RawKeyFile { text, owner: meta.uid(), mode: meta.mode() })
    }

    fn parse(&self) -> Result<Keyring, KeyFileError> {
        Ok(parse_key_file(&self.text, self.owner, process_user_id()?, self.mode)?)
    }
}

/// Returns the id of the user that this process runs as, which is the owner of its entry in `/proc`.
fn process_user_id() -> io::Result<u32> {
    std::fs::metadata("/proc/self").map(|m| m.uid())
}

/// Reads and validates a key file.
///
/// # Errors
/// Returns [`KeyFileError::Io`] or [`KeyFileError::Key`].
pub fn read_key_file(path: &Path) -> Result<Keyring, KeyFileError> {
    RawKeyFile::read(path)?.parse()
}

/// Validates a key file and returns its lines that hold keys, without comments.
fn read_key_lines(path: &Path) -> Result<Vec<String>, KeyFileError> {
    let file = RawKeyFile::read(path)?;
    file.parse()?;
    let keys = file.text.lines().map(|l| l.split('#').next().unwrap_or("").trim().to_string());
    Ok(keys.filter(|l| !l.is_empty()).collect())
}

/// Generates a random key and returns its line for a key file, with the lowest key number not in `used_ids`.
fn generate_key_line(used_ids: &[u8]) -> Result<String, KeyFileError> {
    let id = (1..=255).find(|id| !used_ids.contains(id)).ok_or(KeyFileError::NoFreeKeyNumber)?;
    let mut secret = [0u8; 32];
    File::open("/dev/urandom")?.read_exact(&mut secret)?;
    let hex: String = secret.iter().map(|b| format!("{b:02x}")).collect();
    Ok(format!("{id} {hex}"))
}

/// Creates a key file with one new key. An existing file is not changed.
///
/// # Errors
/// Returns [`KeyFileError::Io`], of kind `AlreadyExists` if the file exists.
pub fn create_key_file(path: &Path) -> Result<Keyring, KeyFileError> {
    let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
    writeln!(file, "# fernslip gossip keys: the first signs\n{}", generate_key_line(&[])?)?;
    file.sync_all()?;
    read_key_file(path)
}

/// Performs a step of a key rotation on a key file, which is replaced atomically.
///
/// # Errors
/// Returns the errors of [`read_key_file`], and an error if the number of keys in the file does not allow the
/// step.
pub fn rotate_keys(path: &Path, step: RotationStep) -> Result<Keyring, KeyFileError> {
    let mut keys = read_key_lines(path)?;
    let used_ids = read_key_file(path)?.accepted_keys();
    match (step, keys.len()) {
        (RotationStep::Add, 1) => keys.push(generate_key_line(&used_ids)?),
        (RotationStep::Add, _) => return Err(KeyFileError::RotationInProgress),
        (RotationStep::Switch, 2) => keys.swap(0, 1),
        (RotationStep::Drop, 2) => keys.truncate(1),
        (_, count) => return Err(KeyError::KeyCount(count).into()),
    }
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".new");
    let replacement = path.with_file_name(name);
    let _ = std::fs::remove_file(&replacement);
    let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&replacement)?;
    writeln!(file, "# fernslip gossip keys: the first signs\n{}", keys.join("\n"))?;
    file.sync_all()?;
    std::fs::rename(&replacement, path)?;
    read_key_file(path)
}
