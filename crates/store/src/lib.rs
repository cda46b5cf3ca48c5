//! A front's durable state, as small typed layers over an embedded store (`redb`), and whether the disk beneath it can be
//! trusted.
//!
//! # The contract
//!
//! - [`Store::commit`] takes changes of any layers and makes them durable together or not at all. It blocks; a front
//!   calls it on a thread of its own. An error says that nothing of it may be called durable; the store rejects all
//!   further commits then ([`StoreError::Failed`]), since after a sync that failed nobody knows what the disk holds.
//! - Each value carries its format's version and a checksum. What is damaged is an error and is never handed out; what a
//!   later version wrote is rejected by its number and stays on the disk.
//! - A disk that lost power comes back with all that was committed, unless it lies. A lying disk's loss shows as damage,
//!   or as a state that was once true: no checksum shows that. [`Marks`] do: each start counts one up, durably, before
//!   anything is believed, and each commit counts too. A front tells its marks to others; [`Marks::trust`] compares
//!   what they remember with what the disk says.
//!
//! ```
//! use fernslip_store::{faulty_disk::FaultyDisk, layers::Position, *};
//!
//! let faulty_disk = FaultyDisk::new(1);
//! let (mut store, found) = Store::open(faulty_disk.disk(), 0xd15c)?;
//! assert_eq!(found, None, "a new disk");
//! store.commit(&[Change::put(&(), &Position { epoch: 7, offset: 41, at_unix_ms: 0 })?])?;
//! let reported = store.marks(); // others remember this
//! drop(store);
//! let (store, found) = Store::open(faulty_disk.disk(), 0xbeef)?;
//! assert_eq!(store.get::<Position>(&())?.map(|p| p.offset), Some(41));
//! assert_eq!(Marks::trust(found, Some(reported)), Trust::Current);
//! # Ok::<(), StoreError>(())
//! ```

pub mod faulty_disk;
pub mod layers;
mod marks;
mod ordered;

pub use marks::{Marks, Trust};

use layers::Layer;
use redb::{Database, Durability, StorageBackend, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A disk beneath the store: a file, or [`faulty_disk::FaultyDisk`].
pub use redb::StorageBackend as Disk;

/// A file as a disk, locked for this process alone.
///
/// # Errors
/// [`StoreError::Locked`] where another process has it open.
pub fn file(file: std::fs::File) -> Result<impl Disk, StoreError> {
    redb::backends::FileBackend::new(file).map_err(|e| match e {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
        e => disk_error(e),
    })
}

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("layers");
/// Size of the page cache in bytes: fronts store little.
const CACHE_BYTES: usize = 1 << 20;
/// Longest encoded value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Bytes of a value's format version and checksum.
const FRAME_BYTES: usize = 6;

/// Why the store can't do what was requested.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed, or its contents are no store.
    #[error("disk: {0}")]
    Disk(String),
    /// A value is damaged: its layer, and how.
    #[error("layer {0}: {1}")]
    Damaged(&'static str, &'static str),
    /// A later version of the program wrote it: the layer and the number of its format version.
    #[error("layer {0}: version {1} is of a later program")]
    LaterVersion(&'static str, u16),
    /// A value is too long: the layer and its size in bytes.
    #[error("layer {0}: {1} bytes, {max} at most", max = MAX_VALUE_BYTES)]
    TooLong(&'static str, usize),
    /// Another process has the file open.
    #[error("another process has the file")]
    Locked,
    /// An earlier commit failed; nothing more is written.
    #[error("an earlier commit failed: nothing more is written")]
    Failed,
}

fn disk_error(e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

/// One change of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    key: Vec<u8>,
    value: Option<Vec<u8>>,
}

impl Change {
    /// Stores that value under that key of its layer.
    ///
    /// # Errors
    /// [`StoreError::TooLong`].
    pub fn put<L: Layer>(key: &L::Key, value: &L) -> Result<Change, StoreError> {
        let mut framed = L::VERSION.to_be_bytes().to_vec();
        framed.extend(postcard::to_stdvec(value).map_err(disk_error)?);
        if framed.len() + 4 > MAX_VALUE_BYTES {
            return Err(StoreError::TooLong(L::NAME, framed.len()));
        }
        let key = key_of::<L>(key)?;
        // The key is part of the checksum: a value that turns up under another key is damaged too.
        let checksum = crc32c::crc32c_append(crc32c::crc32c(&key), &framed);
        framed.extend(checksum.to_be_bytes());
        Ok(Change { key, value: Some(framed) })
    }

    /// Removes the value under that key.
    ///
    /// # Errors
    /// The key can't be encoded.
    pub fn remove<L: Layer>(key: &L::Key) -> Result<Change, StoreError> {
        Ok(Change { key: key_of::<L>(key)?, value: None })
    }
}

fn prefix<L: Layer>() -> Vec<u8> {
    [L::NAME.as_bytes(), b"\0"].concat()
}

fn key_of<L: Layer>(key: &L::Key) -> Result<Vec<u8>, StoreError> {
    Ok([prefix::<L>(), postcard::to_stdvec(key).map_err(disk_error)?].concat())
}

fn read<L: Layer>(key: &[u8], framed: &[u8]) -> Result<L, StoreError> {
    if framed.len() < FRAME_BYTES {
        return Err(StoreError::Damaged(L::NAME, "cut short"));
    }
    let (body, checksum) = framed.split_at(framed.len() - 4);
    if crc32c::crc32c_append(crc32c::crc32c(key), body).to_be_bytes() != checksum {
        return Err(StoreError::Damaged(L::NAME, "its checksum is wrong"));
    }
    let version = u16::from_be_bytes([body[0], body[1]]);
    if version > L::VERSION {
        return Err(StoreError::LaterVersion(L::NAME, version));
    }
    L::read(version, &body[2..]).ok_or(StoreError::Damaged(L::NAME, "it can't be read"))
}

/// Runs a read or write of the disk: a library that panics on damage must not end the front.
fn catching_panics<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work)).unwrap_or_else(|_| Err(disk_error("the store can't be read")))
}

/// The contents of a layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerContents<L: Layer> {
    /// The values by key, in the order of their encoded keys.
    pub entries: Vec<(L::Key, L)>,
    /// Number of values left out because they are damaged.
    pub damaged: usize,
}

/// An open store with the layers of one front.
pub struct Store {
    db: Database,
    marks: Marks,
    failed: bool,
}

impl Store {
    /// Opens the store on a disk, or creates it on an empty one, and durably counts this start. Returned beside the store
    /// are the marks found: those of the last commit before this start; `None` on an empty disk. `new_disk_id` becomes the
    /// id of an empty disk, and is to be drawn anew for each call.
    ///
    /// # Errors
    /// The disk fails, or its contents are no store, are damaged, or were written by a later version. Nothing is repaired
    /// automatically: the host sets the disk aside and goes on without, or with an empty one under a new id.
    pub fn open(
        backend: impl StorageBackend,
        new_disk_id: u64,
    ) -> Result<(Store, Option<Marks>), StoreError> {
        catching_panics(move || {
            let mut db = redb::Builder::new()
                .set_cache_size(CACHE_BYTES)
                .create_with_backend(ordered::Ordered(backend))
                .map_err(disk_error)?;
            // Pages are checked against their checksums here; later reads trust them.
            if !db.check_integrity().map_err(disk_error)? {
                return Err(disk_error("pages did not match their sums"));
            }
            let initial = Marks { disk: new_disk_id, boots: 0, commits: 0 };
            let mut store = Store { db, marks: initial, failed: false };
            let found = store.get::<Marks>(&())?;
            let before = found.unwrap_or(initial);
            store.marks = Marks { boots: before.boots + 1, ..before };
            store.commit(&[])?;
            Ok((store, found))
        })
    }

    /// The disk's current marks, to be reported to others.
    pub fn marks(&self) -> Marks {
        self.marks
    }

    /// Whether a commit has failed, after which nothing more becomes durable.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Makes changes durable, all or none, before it returns the new marks. Blocks for the disk.
    ///
    /// # Errors
    /// The disk failed or is full, in this commit or an earlier one.
    pub fn commit(&mut self, changes: &[Change]) -> Result<Marks, StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let marks = Marks { commits: self.marks.commits + 1, ..self.marks };
        let marks_change = Change::put(&(), &marks)?;
        let db = &self.db;
        let committed = catching_panics(|| {
            let mut write = db.begin_write().map_err(disk_error)?;
            write.set_durability(Durability::Immediate);
            {
                let mut table = write.open_table(TABLE).map_err(disk_error)?;
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

    /// The value under a key.
    ///
    /// # Errors
    /// The disk fails, or the value is damaged or of a later version.
    pub fn get<L: Layer>(&self, key: &L::Key) -> Result<Option<L>, StoreError> {
        let key = key_of::<L>(key)?;
        catching_panics(|| {
            let read_only = self.db.begin_read().map_err(disk_error)?;
            let table = match read_only.open_table(TABLE) {
                Ok(t) => t,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                Err(e) => return Err(disk_error(e)),
            };
            let stored = table.get(&key[..]).map_err(disk_error)?;
            stored.map(|v| read(&key, v.value())).transpose()
        })
    }

    /// All values of a layer by key; damaged ones are left out and counted.
    ///
    /// # Errors
    /// The disk fails, or a value is of a later version.
    pub fn all<L: Layer>(&self) -> Result<LayerContents<L>, StoreError> {
        let prefix = prefix::<L>();
        catching_panics(|| {
            let read_only = self.db.begin_read().map_err(disk_error)?;
            let table = match read_only.open_table(TABLE) {
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
                match (postcard::from_bytes(layer_key), read::<L>(key.value(), value.value())) {
                    (_, Err(e @ StoreError::LaterVersion(..))) => return Err(e),
                    (Ok(k), Ok(v)) => contents.entries.push((k, v)),
                    _ => contents.damaged += 1,
                }
            }
            Ok(contents)
        })
    }
}
