//! What a front knows on disk, as small typed layers over an embedded store (`redb`), and whether that disk can be
//! believed.
//!
//! # The contract
//!
//! - [`Store::commit`] takes changes of any layers and makes them durable together or not at all. It blocks; a front
//!   calls it on a thread of its own. An error says that nothing of it may be called durable; the store refuses all
//!   further commits then ([`StoreError::Failed`]), since after a sync that failed nobody knows what the disk holds.
//! - Each value carries its format's version and a checksum. What is damaged is an error and is never handed out; what a
//!   later program wrote is refused by its number and stays on the disk.
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
//! let told = store.marks(); // others remember this
//! drop(store);
//! let (store, found) = Store::open(faulty_disk.disk(), 0xbeef)?;
//! assert_eq!(store.get::<Position>(&())?.map(|p| p.offset), Some(41));
//! assert_eq!(Marks::trust(found, Some(told)), Trust::Current);
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

/// A file as a disk; it is held for this process alone.
///
/// # Errors
/// Another process has it.
pub fn file(file: std::fs::File) -> Result<impl Disk, StoreError> {
    redb::backends::FileBackend::new(file).map_err(|e| match e {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::Held,
        e => disk(e),
    })
}

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("layers");
/// What the store keeps in memory of the disk's pages, in bytes: fronts have little.
const CACHE_BYTES: usize = 1 << 20;
/// No value is longer.
pub const MOST_VALUE: usize = 1 << 20;
/// Bytes of a value's version and checksum.
const FRAME: usize = 6;

/// Why the store can't do what it was asked.
#[derive(Debug)]
pub enum StoreError {
    /// The disk failed, or what it holds is no store.
    Disk(String),
    /// A value is damaged: its layer and what is wrong.
    Damaged(&'static str, &'static str),
    /// A later program wrote it: the layer and the number of its version.
    Later(&'static str, u16),
    /// A value is too long: the layer and its bytes.
    TooLong(&'static str, usize),
    /// Another process has the file.
    Held,
    /// An earlier commit failed; nothing more is written.
    Failed,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Disk(why) => write!(f, "disk: {why}"),
            StoreError::Damaged(layer, what) => write!(f, "layer {layer}: {what}"),
            StoreError::Later(layer, version) => {
                write!(f, "layer {layer}: version {version} is of a later program")
            }
            StoreError::TooLong(layer, bytes) => {
                write!(f, "layer {layer}: {bytes} bytes, {MOST_VALUE} at most")
            }
            StoreError::Held => write!(f, "another process has the file"),
            StoreError::Failed => write!(f, "an earlier commit failed: nothing more is written"),
        }
    }
}

impl std::error::Error for StoreError {}

fn disk(e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

/// A step of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    key: Vec<u8>,
    value: Option<Vec<u8>>,
}

impl Change {
    /// Holds that value under that key of its layer.
    ///
    /// # Errors
    /// It is too long.
    pub fn put<L: Layer>(key: &L::Key, value: &L) -> Result<Change, StoreError> {
        let mut framed = L::VERSION.to_be_bytes().to_vec();
        framed.extend(postcard::to_stdvec(value).map_err(disk)?);
        if framed.len() + 4 > MOST_VALUE {
            return Err(StoreError::TooLong(L::NAME, framed.len()));
        }
        let key = key_of::<L>(key)?;
        // The key belongs to the sum: a value that turns up under another one is damage too.
        let sum = crc32c::crc32c_append(crc32c::crc32c(&key), &framed);
        framed.extend(sum.to_be_bytes());
        Ok(Change { key, value: Some(framed) })
    }

    /// Forgets what is under that key.
    ///
    /// # Errors
    /// The key can't be written.
    pub fn remove<L: Layer>(key: &L::Key) -> Result<Change, StoreError> {
        Ok(Change { key: key_of::<L>(key)?, value: None })
    }
}

fn prefix<L: Layer>() -> Vec<u8> {
    [L::NAME.as_bytes(), b"\0"].concat()
}

fn key_of<L: Layer>(key: &L::Key) -> Result<Vec<u8>, StoreError> {
    Ok([prefix::<L>(), postcard::to_stdvec(key).map_err(disk)?].concat())
}

fn read<L: Layer>(key: &[u8], framed: &[u8]) -> Result<L, StoreError> {
    if framed.len() < FRAME {
        return Err(StoreError::Damaged(L::NAME, "cut short"));
    }
    let (body, sum) = framed.split_at(framed.len() - 4);
    if crc32c::crc32c_append(crc32c::crc32c(key), body).to_be_bytes() != sum {
        return Err(StoreError::Damaged(L::NAME, "its checksum is wrong"));
    }
    let version = u16::from_be_bytes([body[0], body[1]]);
    if version > L::VERSION {
        return Err(StoreError::Later(L::NAME, version));
    }
    L::read(version, &body[2..]).ok_or(StoreError::Damaged(L::NAME, "it can't be read"))
}

/// Runs what reads or writes the disk: a library that panics on damage must not end the front.
fn guarded<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work)).unwrap_or_else(|_| Err(disk("the store can't be read")))
}

/// All of a layer by key, and how many of its values are damaged.
pub type All<L> = (Vec<(<L as Layer>::Key, L)>, usize);

/// The layers of one front.
pub struct Store {
    db: Database,
    marks: Marks,
    failed: bool,
}

impl Store {
    /// Opens what is on a disk, or makes it on an empty one, and counts this start, durably. Returned beside the store
    /// are the marks that were found: those of the last commit before this start; `None` on a disk that was empty.
    /// `fresh` becomes the id of a disk that was empty, and is drawn anew for each call.
    ///
    /// # Errors
    /// The disk fails, or what it holds is no store, is damaged, or is of a later program. Nothing is mended by itself: the
    /// host sets the disk aside and goes on without, or with an empty one under a fresh id.
    pub fn open(backend: impl StorageBackend, fresh: u64) -> Result<(Store, Option<Marks>), StoreError> {
        guarded(move || {
            let mut db = redb::Builder::new()
                .set_cache_size(CACHE_BYTES)
                .create_with_backend(ordered::Ordered(backend))
                .map_err(disk)?;
            // Pages are checked against their sums here; later reads would trust them.
            if !db.check_integrity().map_err(disk)? {
                return Err(disk("pages did not match their sums"));
            }
            let none = Marks { disk: fresh, boots: 0, commits: 0 };
            let mut store = Store { db, marks: none, failed: false };
            let found = store.get::<Marks>(&())?;
            let before = found.unwrap_or(none);
            store.marks = Marks { boots: before.boots + 1, ..before };
            store.commit(&[])?;
            Ok((store, found))
        })
    }

    /// What this disk says of itself: told to others.
    pub fn marks(&self) -> Marks {
        self.marks
    }

    /// Whether a commit has failed: nothing is durable from then on.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Makes changes durable, all or none. When it returns they are, and the marks have risen.
    ///
    /// # Errors
    /// The disk failed or is full, now or before.
    pub fn commit(&mut self, changes: &[Change]) -> Result<Marks, StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let marks = Marks { commits: self.marks.commits + 1, ..self.marks };
        let mark = Change::put(&(), &marks)?;
        let db = &self.db;
        let done = guarded(|| {
            let mut write = db.begin_write().map_err(disk)?;
            write.set_durability(Durability::Immediate);
            {
                let mut table = write.open_table(TABLE).map_err(disk)?;
                for c in changes.iter().chain([&mark]) {
                    match &c.value {
                        Some(v) => table.insert(&c.key[..], &v[..]).map_err(disk)?,
                        None => table.remove(&c.key[..]).map_err(disk)?,
                    };
                }
            }
            write.commit().map_err(disk)
        });
        match done {
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

    /// What is held under a key.
    ///
    /// # Errors
    /// The disk fails, or the value is damaged or of a later program.
    pub fn get<L: Layer>(&self, key: &L::Key) -> Result<Option<L>, StoreError> {
        let key = key_of::<L>(key)?;
        guarded(|| {
            let read_only = self.db.begin_read().map_err(disk)?;
            let table = match read_only.open_table(TABLE) {
                Ok(t) => t,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                Err(e) => return Err(disk(e)),
            };
            let held = table.get(&key[..]).map_err(disk)?;
            held.map(|v| read(&key, v.value())).transpose()
        })
    }

    /// All of a layer, by key. What is damaged is left out and counted: the second value.
    ///
    /// # Errors
    /// The disk fails, or a value is of a later program.
    pub fn all<L: Layer>(&self) -> Result<All<L>, StoreError> {
        let first = prefix::<L>();
        guarded(|| {
            let read_only = self.db.begin_read().map_err(disk)?;
            let table = match read_only.open_table(TABLE) {
                Ok(t) => t,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok((Vec::new(), 0)),
                Err(e) => return Err(disk(e)),
            };
            let (mut all, mut damaged) = (Vec::new(), 0);
            for entry in table.range(&first[..]..).map_err(disk)? {
                let (key, value) = entry.map_err(disk)?;
                let Some(own) = key.value().strip_prefix(&first[..]) else { break };
                match (postcard::from_bytes(own), read::<L>(key.value(), value.value())) {
                    (_, Err(e @ StoreError::Later(..))) => return Err(e),
                    (Ok(k), Ok(v)) => all.push((k, v)),
                    _ => damaged += 1,
                }
            }
            Ok((all, damaged))
        })
    }
}
