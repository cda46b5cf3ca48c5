//! Key files on disk: read with their owner and mode, created, and rotated.

use fernslip_gossip::{parse_key_file, KeyError, Keyring};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

/// No key file is longer: two keys and some comments.
const MAX_FILE_BYTES: u64 = 16 * 1024;

/// Why a key file can't be used or written.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// It can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is not what a key file must be.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// There are two keys already: the rotation in progress is to be completed first.
    #[error("it holds two keys: a rotation is under way")]
    Rotating,
    /// All 255 key numbers are in use.
    #[error("no number is left for a key")]
    NoNumber,
}

/// A step of a rotation. Each is taken on every front, and SIGHUP sent, before the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds a new key that is accepted; the old one still signs.
    Add,
    /// The new key signs; the old one is still accepted.
    Switch,
    /// Drops the one that does not sign.
    Drop,
}

/// A key file's text, with its owner and mode.
struct RawKeyFile {
    text: String,
    owner: u32,
    mode: u32,
}

impl RawKeyFile {
    /// Owner and mode are those of the opened file, not of what the path may name a moment later.
    fn read(path: &Path) -> Result<RawKeyFile, KeyFileError> {
        let file = File::open(path)?;
        let meta = file.metadata()?;
        if !meta.is_file() || meta.len() > MAX_FILE_BYTES {
            let message = "not a plain file of a key file's length";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message).into());
        }
        let mut text = String::new();
        file.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
        Ok(RawKeyFile { text, owner: meta.uid(), mode: meta.mode() })
    }

    fn parse(&self) -> Result<Keyring, KeyFileError> {
        Ok(parse_key_file(&self.text, self.owner, process_user()?, self.mode)?)
    }
}

/// The user that this process runs as: the owner of its own entry in `/proc`.
fn process_user() -> io::Result<u32> {
    std::fs::metadata("/proc/self").map(|m| m.uid())
}

/// Reads and checks a key file.
///
/// # Errors
/// [`KeyFileError::Io`] and [`KeyFileError::Key`].
pub fn read(path: &Path) -> Result<Keyring, KeyFileError> {
    RawKeyFile::read(path)?.parse()
}

/// The lines of a checked file that hold keys.
fn key_lines(path: &Path) -> Result<Vec<String>, KeyFileError> {
    let file = RawKeyFile::read(path)?;
    file.parse()?;
    let keys = file.text.lines().map(|l| l.split('#').next().unwrap_or("").trim().to_string());
    Ok(keys.filter(|l| !l.is_empty()).collect())
}

/// A line with a new random key, of the lowest number that is not in use.
fn new_key_line(used: &[u8]) -> Result<String, KeyFileError> {
    let id = (1..=255).find(|id| !used.contains(id)).ok_or(KeyFileError::NoNumber)?;
    let mut secret = [0u8; 32];
    File::open("/dev/urandom")?.read_exact(&mut secret)?;
    let hex: String = secret.iter().map(|b| format!("{b:02x}")).collect();
    Ok(format!("{id} {hex}"))
}

/// Creates a file with one new key; an existing file is not touched.
///
/// # Errors
/// [`KeyFileError::Io`], of kind `AlreadyExists` if the file exists.
pub fn create(path: &Path) -> Result<Keyring, KeyFileError> {
    let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
    writeln!(file, "# fernslip gossip keys: the first signs\n{}", new_key_line(&[])?)?;
    file.sync_all()?;
    read(path)
}

/// Takes a step of a rotation. The file is replaced atomically.
///
/// # Errors
/// Those of [`read`]; a step that does not fit the keys of the file.
pub fn rotate(path: &Path, step: Step) -> Result<Keyring, KeyFileError> {
    let mut keys = key_lines(path)?;
    let used = read(path)?.accepted_keys();
    match (step, keys.len()) {
        (Step::Add, 1) => keys.push(new_key_line(&used)?),
        (Step::Add, _) => return Err(KeyFileError::Rotating),
        (Step::Switch, 2) => keys.swap(0, 1),
        (Step::Drop, 2) => keys.truncate(1),
        (_, count) => return Err(KeyError::Count(count).into()),
    }
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".new");
    let replacement = path.with_file_name(name);
    let _ = std::fs::remove_file(&replacement);
    let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&replacement)?;
    writeln!(file, "# fernslip gossip keys: the first signs\n{}", keys.join("\n"))?;
    file.sync_all()?;
    std::fs::rename(&replacement, path)?;
    read(path)
}
