//! The shared keys that datagrams are authenticated with, and the key file's format.

use crate::codec::TAG_BYTES;
use hmac::{Hmac, Mac};
use sha2::Sha256;

type HmacSha256 = Hmac<Sha256>;

/// A shared key and its number.
#[derive(Clone)]
pub struct Key {
    id: u8,
    secret: [u8; 32],
}

/// Secrets are not shown.
impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

impl Key {
    /// A key of 256 bits.
    pub fn new(id: u8, secret: [u8; 32]) -> Key {
        Key { id, secret }
    }

    /// Its number, which datagrams name it by.
    pub fn id(&self) -> u8 {
        self.id
    }

    fn mac(&self, data: &[u8]) -> HmacSha256 {
        // HMAC takes a key of any length, so this can't fail.
        let mut mac = HmacSha256::new_from_slice(&self.secret).unwrap_or_else(|_| unreachable!("any length"));
        mac.update(data);
        mac
    }
}

/// Why a key file can't be used. None of these holds any of the file's text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Users other than the owner may access it; the file's permission bits.
    #[error("its mode is {0:o}: only its owner may read it (chmod 600)")]
    Mode(u32),
    /// Another user owns it.
    #[error("user {owner} owns it, and this process is user {process_user}")]
    Owner {
        /// The file's owner.
        owner: u32,
        /// The user that this process runs as.
        process_user: u32,
    },
    /// A malformed line, by its number.
    #[error("line {0}: not `ID HEX`, with a number from 1 to 255 and 64 hex digits")]
    Line(usize),
    /// Neither one key nor two; how many there are.
    #[error("it holds {0} keys; one, or two while they are rotated")]
    Count(usize),
    /// A line whose key number was used before.
    #[error("line {0}: that number is there twice")]
    Duplicate(usize),
    /// A line with a trivially guessed key.
    #[error("line {0}: a key of one digit only")]
    Weak(usize),
}

/// Parses one line, without its comment; `number` is the line's, from 1.
fn parse_key(number: usize, line: &str) -> Result<Key, KeyError> {
    let (id, hex) = line.split_once(char::is_whitespace).ok_or(KeyError::Line(number))?;
    let hex = hex.trim();
    let id: u8 = id.parse().ok().filter(|id| *id > 0).ok_or(KeyError::Line(number))?;
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(KeyError::Line(number));
    }
    if hex.bytes().all(|b| b == hex.as_bytes()[0]) {
        return Err(KeyError::Weak(number));
    }
    let mut secret = [0; 32];
    for (byte, pair) in secret.iter_mut().zip(hex.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(pair).unwrap_or("");
        *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyError::Line(number))?;
    }
    Ok(Key { id, secret })
}

/// Checks a key file's owner and mode, as the system reports them, and parses its text: `ID HEX` a line, the first key
/// signs, `#` begins a comment.
///
/// # Errors
/// See [`KeyError`].
pub fn parse_key_file(text: &str, owner: u32, process_user: u32, mode: u32) -> Result<Keyring, KeyError> {
    if owner != process_user {
        return Err(KeyError::Owner { owner, process_user });
    }
    if mode & 0o077 != 0 {
        return Err(KeyError::Mode(mode & 0o777));
    }
    let mut keys: Vec<Key> = Vec::new();
    let lines = text.lines().enumerate().map(|(i, l)| (i + 1, l.split('#').next().unwrap_or("").trim()));
    for (number, line) in lines.filter(|l| !l.1.is_empty()) {
        let key = parse_key(number, line)?;
        if keys.iter().any(|k| k.id == key.id) {
            return Err(KeyError::Duplicate(number));
        }
        keys.push(key);
    }
    let count = keys.len();
    let mut keys = keys.into_iter();
    match (keys.next(), keys.next(), keys.next()) {
        (Some(signing), accepted, None) => Ok(Keyring { signing, accepted }),
        _ => Err(KeyError::Count(count)),
    }
}

/// The key that signs, and one more that is accepted while keys are rotated.
#[derive(Clone, Debug)]
pub struct Keyring {
    signing: Key,
    accepted: Option<Key>,
}

impl Keyring {
    /// One key, which signs and is accepted.
    pub fn new(key: Key) -> Keyring {
        Keyring { signing: key, accepted: None }
    }

    /// With one more key that is accepted.
    pub fn with_accepted(self, key: Key) -> Keyring {
        Keyring { accepted: Some(key), ..self }
    }

    /// The number of the key that signs.
    pub fn signing_key(&self) -> u8 {
        self.signing.id
    }

    /// The numbers of all keys that are accepted, the signing one first.
    pub fn accepted_keys(&self) -> Vec<u8> {
        self.keys().map(|k| k.id).collect()
    }

    fn keys(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.signing).chain(&self.accepted)
    }

    /// Appends the authentication tag to a datagram.
    pub fn sign(&self, data: &mut Vec<u8>) {
        let tag = self.signing.mac(data).finalize().into_bytes();
        data.extend(&tag[..TAG_BYTES]);
    }

    /// Whether the tag that ends `data` is valid under the key numbered `key`; compared in constant time.
    pub fn verify(&self, key: u8, data: &[u8]) -> bool {
        let Some(body_len) = data.len().checked_sub(TAG_BYTES) else { return false };
        let (body, tag) = data.split_at(body_len);
        let key = self.keys().find(|k| k.id == key);
        key.is_some_and(|k| k.mac(body).verify_truncated_left(tag).is_ok())
    }
}

#[cfg(test)]
mod tests;
