//! Durable state of a front: small typed layers over an embedded store (`redb`), and detection of a disk
//! whose contents can't be trusted.
//!
//! # Contract
//!
//! - [`Store::commit`] takes changes of any layers and makes them durable together or not at all. It blocks;
//!   a front calls it on a separate thread. After an error none of the changes may be reported as durable,
//!   and the store rejects all further commits ([`StoreError::Failed`]), since the contents of a disk are
//!   unknown after a failed sync.
//! - Each value is stored with its format version and a checksum. A damaged value is reported as an error
//!   and never returned; a value written by a later version of the program is rejected by its version number
//!   and stays on the disk.
//! - After a loss of power the disk holds all that was committed, unless it ignores syncs. The loss on such
//!   a disk shows as damage or as an earlier valid state, which no checksum reveals. [`DiskMarks`] reveal it:
//!   each start raises a count durably before the contents are trusted, and each commit raises another. A
//!   front reports its marks to other fronts; [`DiskMarks::assess_trust`] compares what these remember with
//!   what the disk holds.
//!
//! ```
//! use fernslip_store::{faulty_disk::FaultyDisk, layers::Position, *};
//!
//! let faulty_disk = FaultyDisk::new(1);
//! let (mut store, found) = Store::open(faulty_disk.open_handle(), 0xd15c)?;
//! assert_eq!(found, None, "a new disk has no marks");
//! store.commit(&[Change::put(&(), &Position { epoch: 7, offset: 41, at_unix_ms: 0 })?])?;
//! let reported = store.marks(); // other fronts remember these marks
//! drop(store);
//! let (store, found) = Store::open(faulty_disk.open_handle(), 0xbeef)?;
//! assert_eq!(store.get::<Position>(&())?.map(|p| p.offset), Some(41));
//! assert_eq!(DiskMarks::assess_trust(found, Some(reported)), DiskTrust::Current);
//! # Ok::<(), StoreError>(())
//! ```

pub mod faulty_disk;
pub mod layers;
mod marks;
mod ordered;

pub use marks::{DiskMarks, DiskTrust};

use layers::Layer;
use redb::{Database, Durability, StorageBackend, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Storage for a store's bytes: a file, or a [`faulty_disk::FaultyDisk`] in tests.
pub use redb::StorageBackend as Disk;

/// Opens a file as a disk, locked for this process.
///
/// # Errors
/// [`StoreError::Locked`] if another process has the file open.
pub fn open_file_as_disk(file: std::fs::File) -> Result<impl Disk, StoreError> {
    redb::backends::FileBackend::new(file).map_err(|e| match e {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
        e => disk_error(e),
    })
}

const LAYERS_TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("layers");
/// Size of the page cache in bytes; small, since fronts store little.
const CACHE_BYTES: usize = 1 << 20;
/// Maximum size of an encoded value in bytes, with its format version and checksum.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Size of a value's format version and checksum in bytes.
const FRAME_BYTES: usize = 6;

/// Why a store operation failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed, or its contents are not a store; the text is the disk's or the database's error.
    #[error("the disk failed or holds no valid store: {0}")]
    Disk(String),
    /// A value is damaged: the name of its layer, and the kind of damage.
    #[error("damaged value in layer {0}: {1}")]
    Damaged(&'static str, &'static str),
    /// A value was written by a later version of the program: the name of its layer, and its format version.
    #[error("layer {0}: a value has format version {1}, which only a later version of the program can read")]
    LaterVersion(&'static str, u16),
    /// A value exceeds [`MAX_VALUE_BYTES`]: the name of its layer, and its size in bytes without the
    /// checksum.
    #[error("layer {0}: a value has {1} bytes, more than the maximum of {max}", max = MAX_VALUE_BYTES)]
    TooLong(&'static str, usize),
    /// Another process has the store's file open.
    #[error("another process has the store's file open")]
    Locked,
    /// An earlier commit failed, after which the store rejects all commits.
    #[error("an earlier commit failed; the store rejects all further commits")]
    Failed,
}

fn disk_error(e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

/// One change in a commit: a value to be stored or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    key: Vec<u8>,
    value: Option<Vec<u8>>,
}

impl Change {
    /// Stores `value` under `key` in the value's layer.
    ///
    /// # Errors
    /// [`StoreError::TooLong`] if the value exceeds [`MAX_VALUE_BYTES`].
    pub fn put<L: Layer>(key: &L::Key, value: &L) -> Result<Change, StoreError> {
        let mut framed = L::VERSION.to_be_bytes().to_vec();
        framed.extend(postcard::to_stdvec(value).map_err(disk_error)?);
        if framed.len() + 4 > MAX_VALUE_BYTES {
            return Err(StoreError::TooLong(L::NAME, framed.len()));
        }
        let key = encode_key::<L>(key)?;
        // The checksum covers the key, so that a value stored under the wrong key is detected as damaged.
        let checksum = crc32c::crc32c_append(crc32c::crc32c(&key), &framed);
        framed.extend(checksum.to_be_bytes());
        Ok(Change { key, value: Some(framed) })
    }

    /// Removes the value under `key` from layer `L`.
    ///
    /// # Errors
    /// [`StoreError::Disk`] if the key can't be encoded.
    pub fn remove<L: Layer>(key: &L::Key) -> Result<Change, StoreError> {
        Ok(Change { key: encode_key::<L>(key)?, value: None })
    }
}

fn layer_prefix<L: Layer>() -> Vec<u8> {
    [L::NAME.as_bytes(), b"\0"].concat()
}

fn encode_key<L: Layer>(key: &L::Key) -> Result<Vec<u8>, StoreError> {
    Ok([layer_prefix::<L>(), postcard::to_stdvec(key).map_err(disk_error)?].concat())
}

fn decode_value<L: Layer>(key: &[u8], framed: &[u8]) -> Result<L, StoreError> {
    if framed.len() < FRAME_BYTES {
        return Err(StoreError::Damaged(L::NAME, "the value is shorter than its version and checksum"));
    }
    let (body, checksum) = framed.split_at(framed.len() - 4);
    if crc32c::crc32c_append(crc32c::crc32c(key), body).to_be_bytes() != checksum {
        return Err(StoreError::Damaged(L::NAME, "the value's checksum does not match"));
    }
    let version = u16::from_be_bytes([body[0], body[1]]);
    if version > L::VERSION {
        return Err(StoreError::LaterVersion(L::NAME, version));
    }
    L::decode(version, &body[2..]).ok_or(StoreError::Damaged(L::NAME, "the value can't be decoded"))
}

/// Runs a disk operation and turns a panic into an error: the database may panic on damaged contents, which
/// must not end the front.
fn catch_panics<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(disk_error("the database panicked, as it may on damaged contents")))
}

/// All values of one layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerContents<L: Layer> {
    /// Keys and values, in the order of the encoded keys.
    pub entries: Vec<(L::Key, L)>,
    /// Number of values left out because they are damaged.
    pub damaged: usize,
}

/// An open store with the layers of one front.
pub struct Store {
    db: Database,
    marks: DiskMarks,
    failed: bool,
}

impl Store {
    /// Opens the store on a disk, or creates it on an empty one, and counts this start durably. Also returns
    /// the marks of the last commit before this start, or `None` if the disk was empty. An empty disk gets
    /// `new_disk_id` as its id, which must be drawn anew for each call.
    ///
    /// # Errors
    /// The disk fails, or its contents are not a store, are damaged, or were written by a later version.
    /// Nothing is repaired automatically: the caller sets the disk aside and goes on without one, or with an
    /// empty one under a new id.
    pub fn open(
        backend: impl StorageBackend,
        new_disk_id: u64,
    ) -> Result<(Store, Option<DiskMarks>), StoreError> {
        catch_panics(move || {
            let mut db = redb::Builder::new()
                .set_cache_size(CACHE_BYTES)
                .create_with_backend(ordered::OrderedDisk(backend))
                .map_err(disk_error)?;
            // The database verifies page checksums here only; later reads do not check them again.
            if !db.check_integrity().map_err(disk_error)? {
                return Err(disk_error("the checksums of some database pages do not match"));
            }
            let initial = DiskMarks { disk: new_disk_id, boots: 0, commits: 0 };
            let mut store = Store { db, marks: initial, failed: false };
            let found = store.get::<DiskMarks>(&())?;
            let before = found.unwrap_or(initial);
            store.marks = DiskMarks { boots: before.boots + 1, ..before };
            store.commit(&[])?;
            Ok((store, found))
        })
    }

    /// The disk's current marks, to be reported to other fronts.
    pub fn marks(&self) -> DiskMarks {
        self.marks
    }

    /// Whether a commit has failed, after which nothing more becomes durable.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Makes all changes durable together or none of them, and returns the new marks. Blocks until the disk
    /// has synced.
    ///
    /// # Errors
    /// The disk failed or is full, in this commit or an earlier one.
    pub fn commit(&mut self, changes: &[Change]) -> Result<DiskMarks, StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let marks = DiskMarks { commits: self.marks.commits + 1, ..self.marks };
        let marks_change = Change::put(&(), &marks)?;
        let db = &self.db;
        let committed = catch_panics(|| {
            let mut write = db.begin_write().map_err(disk_error)?;
            write.set_durability(Durability::Immediate);
            {
                let mut table = write.open_table(LAYERS_TABLE).map_err(disk_error)?;
                for c in changes.iter().chain([&marks_change]) {
                    match &c.value {
                        Some(v) => table.insert(&c.key[..], &v[..]).map_err(disk_error)?,
                        None => table.remove(&c.key[..]).map_err(disk_error)?,
                    };
                }
            }
            write.commit().map_err(disk_error)
        });
        match committed {
            Ok(()) => {
                self.marks = marks;
                Ok(marks)
            }
            Err(e) => {
                self.failed = true;
                Err(e)
            }
        }
    }

    /// The value under a key; `None` if there is none.
    ///
    /// # Errors
    /// The disk fails, or the value is damaged or of a later version.
    pub fn get<L: Layer>(&self, key: &L::Key) -> Result<Option<L>, StoreError> {
        let key = encode_key::<L>(key)?;
        catch_panics(|| {
            let read_only = self.db.begin_read().map_err(disk_error)?;
            let table = match read_only.open_table(LAYERS_TABLE) {
                Ok(t) => t,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                Err(e) => return Err(disk_error(e)),
            };
            let stored = table.get(&key[..]).map_err(disk_error)?;
            stored.map(|v| decode_value(&key, v.value())).transpose()
        })
    }

    /// All values of a layer with their keys; damaged values are left out and counted.
    ///
    /// # Errors
    /// The disk fails, or a value is of a later version.
    pub fn all_values<L: Layer>(&self) -> Result<LayerContents<L>, StoreError> {
        let prefix = layer_prefix::<L>();
        catch_panics(|| {
            let read_only = self.db.begin_read().map_err(disk_error)?;
            let table = match read_only.open_table(LAYERS_TABLE) {
                Ok(t) => t,
                Err(redb::TableError::TableDoesNotExist(_)) => {
                    return Ok(LayerContents { entries: Vec::new(), damaged: 0 })
                }
                Err(e) => return Err(disk_error(e)),
            };
            let mut contents = LayerContents { entries: Vec::new(), damaged: 0 };
            for entry in table.range(&prefix[..]..).map_err(disk_error)? {
                let (key, value) = entry.map_err(disk_error)?;
                let Some(layer_key) = key.value().strip_prefix(&prefix[..]) else { break };
                match (postcard::from_bytes(layer_key), decode_value::<L>(key.value(), value.value())) {
                    (_, Err(e @ StoreError::LaterVersion(..))) => return Err(e),
                    (Ok(k), Ok(v)) => contents.entries.push((k, v)),
                    _ => contents.damaged += 1,
                }
            }
            Ok(contents)
        })
    }
}
