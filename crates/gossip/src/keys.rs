//! The shared keys that authenticate datagrams, and the format of the key file.

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

/// Shows the key's number only, so that the secret is never logged.
impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

impl Key {
    /// Creates a key from its number and its 256-bit secret.
    pub fn new(id: u8, secret: [u8; 32]) -> Key {
        Key { id, secret }
    }

    /// Returns the key's number, which datagrams carry to identify the key.
    pub fn id(&self) -> u8 {
        self.id
    }

    fn keyed_mac(&self, data: &[u8]) -> HmacSha256 {
        // HMAC accepts keys of any length, so this cannot fail.
        let mut mac = HmacSha256::new_from_slice(&self.secret)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        mac.update(data);
        mac
    }
}

/// The reason why a key file cannot be used. No value holds any part of the file's text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Users other than the owner have access to the file; the value is its permission bits.
    #[error("the key file has mode {0:o}, and only its owner may have access (chmod 600)")]
    InsecureMode(u32),
    /// The file belongs to another user.
    #[error("the key file belongs to user {owner}, but this process runs as user {process_user}")]
    ForeignOwner {
        /// The id of the user that owns the file.
        owner: u32,
        /// The id of the user that this process runs as.
        process_user: u32,
    },
    /// A line is malformed; the value is the line's number.
    #[error("line {0} of the key file is not `ID HEX`: a number from 1 to 255 and 64 hex digits")]
    MalformedLine(usize),
    /// The file does not hold one or two keys; the value is the number of keys in it.
    #[error("the key file holds {0} keys instead of one, or two during a rotation")]
    KeyCount(usize),
    /// A line repeats the number of an earlier key; the value is the line's number.
    #[error("line {0} of the key file repeats the number of an earlier key")]
    DuplicateNumber(usize),
    /// A line has a trivially guessable key; the value is the line's number.
    #[error("the key on line {0} of the key file repeats a single digit")]
    WeakKey(usize),
}

/// Parses one line without its comment; `number` is the line's number, from 1.
fn parse_key(number: usize, line: &str) -> Result<Key, KeyError> {
    let (id, hex) = line.split_once(char::is_whitespace).ok_or(KeyError::MalformedLine(number))?;
    let hex = hex.trim();
    let id: u8 = id.parse().ok().filter(|id| *id > 0).ok_or(KeyError::MalformedLine(number))?;
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(KeyError::MalformedLine(number));
    }
    if hex.bytes().all(|b| b == hex.as_bytes()[0]) {
        return Err(KeyError::WeakKey(number));
    }
    let mut secret = [0; 32];
    for (byte, pair) in secret.iter_mut().zip(hex.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(pair).unwrap_or("");
        *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyError::MalformedLine(number))?;
    }
    Ok(Key { id, secret })
}

/// Checks a key file's owner and mode, as the system reports them, and parses its text. Each line has the
/// form `ID HEX`; the first key signs, and `#` starts a comment.
///
/// # Errors
/// See [`KeyError`].
pub fn parse_key_file(text: &str, owner: u32, process_user: u32, mode: u32) -> Result<Keyring, KeyError> {
    if owner != process_user {
        return Err(KeyError::ForeignOwner { owner, process_user });
    }
    if mode & 0o077 != 0 {
        return Err(KeyError::InsecureMode(mode & 0o777));
    }
    let mut keys: Vec<Key> = Vec::new();
    let lines = text.lines().enumerate().map(|(i, l)| (i + 1, l.split('#').next().unwrap_or("").trim()));
    for (number, line) in lines.filter(|l| !l.1.is_empty()) {
        let key = parse_key(number, line)?;
        if keys.iter().any(|k| k.id == key.id) {
            return Err(KeyError::DuplicateNumber(number));
        }
        keys.push(key);
    }
    let count = keys.len();
    let mut keys = keys.into_iter();
    match (keys.next(), keys.next(), keys.next()) {
        (Some(signing), accepted, None) => Ok(Keyring { signing, accepted }),
        _ => Err(KeyError::KeyCount(count)),
    }
}

/// The key that signs, and a second one that is also accepted while keys are rotated.
#[derive(Clone, Debug)]
pub struct Keyring {
    signing: Key,
    accepted: Option<Key>,
}

impl Keyring {
    /// Creates a keyring with one key, which signs and is accepted.
    pub fn new(key: Key) -> Keyring {
        Keyring { signing: key, accepted: None }
    }

    /// Returns the keyring with a second key that is accepted but does not sign.
    pub fn with_accepted(self, key: Key) -> Keyring {
        Keyring { accepted: Some(key), ..self }
    }

    /// Returns the number of the key that signs.
    pub fn signing_key(&self) -> u8 {
        self.signing.id
    }

    /// Returns the numbers of all accepted keys, that of the signing key first.
    pub fn accepted_keys(&self) -> Vec<u8> {
        self.keys().map(|k| k.id).collect()
    }

    fn keys(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.signing).chain(&self.accepted)
    }

    /// Appends the authentication tag to a datagram.
    pub fn sign(&self, data: &mut Vec<u8>) {
        let tag = self.signing.keyed_mac(data).finalize().into_bytes();
        data.extend(&tag[..TAG_BYTES]);
    }

    /// Returns whether the tag at the end of `data` is valid under the key numbered `key`. The comparison
    /// takes constant time.
    pub fn verify(&self, key: u8, data: &[u8]) -> bool {
        let Some(body_len) = data.len().checked_sub(TAG_BYTES) else { return false };
        let (body, tag) = data.split_at(body_len);
        let key = self.keys().find(|k| k.id == key);
        key.is_some_and(|k| k.keyed_mac(body).verify_truncated_left(tag).is_ok())
    }
}

#[cfg(test)]
mod tests;
