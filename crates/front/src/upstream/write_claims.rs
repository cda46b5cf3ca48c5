//! Ids of requests that must run at most once and may have begun to run.
//!
//! Clients choose the ids and are expected never to send one twice. If one comes again after its first request
//! has ended, because the client left or a faulty client repeats the id, a second attempt could run the request
//! a second time. A request therefore claims its id before its first byte is sent, and fails if the id is
//! claimed.
//!
//! While one process of a front replaces another, an id may come to both. Both then claim in one file, under
//! its lock. If that file cannot be used, a warning is logged and each process knows its own claims only.
//!
//! The number of claims is limited. Each id belongs to a bucket of a few ids; a further id displaces the one
//! that was claimed first.

use crate::failure::retry_with_backoff;
use crate::file_lock;
use crate::sync::lock;
use fernslip::RequestId;
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// Number of buckets.
const BUCKETS: u64 = 4096;
/// Number of ids in a bucket.
const BUCKET_IDS: usize = 4;
/// Length of an id in the file, in bytes.
const ID_BYTES: usize = size_of::<u64>();
/// Length of a bucket in the file, in bytes.
const BUCKET_BYTES: usize = BUCKET_IDS * ID_BYTES;
/// How long a claim waits for the other process's.
const LOCK_RETRY_TIME: Duration = Duration::from_millis(100);
/// Spreads ids over the buckets, also if clients count them up (the golden ratio, as in Fibonacci hashing).
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The ids of one bucket, the latest first; 0 where there is none.
type Bucket = [u64; BUCKET_IDS];

/// The outcome of [`WriteClaims::claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// No request with this id has begun. The caller's may begin.
    Granted,
    /// A request with this id may have begun before.
    AlreadyBegun,
}

/// The claimed ids.
#[derive(Debug)]
pub struct WriteClaims {
    own: Mutex<Vec<Bucket>>,
    /// The file that the processes of this front share; `None` if there is only one process.
    shared_file: Option<PathBuf>,
}

impl WriteClaims {
    /// Creates a table without claims, for a process that shares them with other processes in this file, or
    /// with none.
    pub fn new(shared_file: Option<PathBuf>) -> WriteClaims {
        WriteClaims { own: Mutex::new(vec![[0; BUCKET_IDS]; BUCKETS as usize]), shared_file }
    }

    /// Claims an id for a request that is about to begin. Yields while another process uses the file.
    pub fn claim(&self, id: RequestId) -> Claim {
        let own = insert(&mut lock(&self.own)[bucket_index(id) as usize], id);
        let shared = self.in_shared_file(id, |bucket| insert(bucket, id)).unwrap_or(Claim::Granted);
        match (own, shared) {
            (Claim::Granted, Claim::Granted) => Claim::Granted,
            _ => Claim::AlreadyBegun,
        }
    }

    /// Withdraws the claim of a request that has ended and did not run. Yields like [`WriteClaims::claim`].
    pub fn release(&self, id: RequestId) {
        remove(&mut lock(&self.own)[bucket_index(id) as usize], id);
        self.in_shared_file(id, |bucket| remove(bucket, id));
    }

    /// Changes the bucket of an id in the shared file. `None` if there is no such file or it can't be used.
    fn in_shared_file<T>(&self, id: RequestId, change: impl Fn(&mut Bucket) -> T) -> Option<T> {
        let path = self.shared_file.as_ref()?;
        let is_locked = |e: &io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted);
        let changed = retry_with_backoff(LOCK_RETRY_TIME, is_locked, |_| change_in_file(path, id, &change));
        match changed {
            Ok(result) => Some(result),
            Err(error) => {
                tracing::warn!(
                    trace = %format_args!("{:016x}", id.0),
                    "{}: another process of this front cannot be told that a write begins: {error}",
                    path.display()
                );
                None
            }
        }
    }
}

fn bucket_index(id: RequestId) -> u64 {
    (id.0.wrapping_mul(HASH_FACTOR) >> 32) % BUCKETS
}

/// The form of an id in a bucket, which is never 0 but for the largest id; that one is never claimed.
fn stored_form(id: RequestId) -> u64 {
    id.0.wrapping_add(1)
}

fn insert(bucket: &mut Bucket, id: RequestId) -> Claim {
    let stored = stored_form(id);
    if stored != 0 && bucket.contains(&stored) {
        return Claim::AlreadyBegun;
    }
    bucket.rotate_right(1);
    bucket[0] = stored;
    Claim::Granted
}

fn remove(bucket: &mut Bucket, id: RequestId) {
    bucket.iter_mut().filter(|other| **other == stored_form(id)).for_each(|other| *other = 0);
}

/// Changes the bucket of an id in a file, while no other process uses the file.
fn change_in_file<T>(path: &Path, id: RequestId, change: impl Fn(&mut Bucket) -> T) -> io::Result<T> {
    let locked = file_lock::try_lock(path)?;
    let offset = bucket_index(id) * BUCKET_BYTES as u64;
    let mut bytes = [0; BUCKET_BYTES];
    match locked.file().read_exact_at(&mut bytes, offset) {
        // The file ends before the bucket, which is therefore empty.
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => bytes = [0; BUCKET_BYTES],
        other => other?,
    }
    let mut bucket = Bucket::default();
    for (id, stored) in bucket.iter_mut().zip(bytes.chunks_exact(ID_BYTES)) {
        *id = stored.iter().rev().fold(0, |value, byte| value << 8 | u64::from(*byte));
    }
    let result = change(&mut bucket);
    for (id, stored) in bucket.iter().zip(bytes.chunks_exact_mut(ID_BYTES)) {
        stored.copy_from_slice(&id.to_le_bytes());
    }
    locked.file().write_all_at(&bytes, offset)?;
    Ok(result)
}

#[cfg(test)]
#[path = "write_claims/tests.rs"]
mod tests;
