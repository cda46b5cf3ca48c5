//! A disk on which writes are not reordered across a change of length.

use redb::StorageBackend;
use std::io;

/// Syncs before and after each change of the file's length, so that neither earlier nor later writes are
/// reordered with it.
///
/// A disk may retain a write but lose the change of length before it when power fails. Part of a write past
/// the old end then sets the length, the file ends within a page, and a store whose commits were all durable
/// can no longer be opened. Growing and shrinking are rare, so two additional syncs each are cheap.
#[derive(Debug)]
pub(crate) struct OrderedDisk<B>(pub B);

impl<B: StorageBackend> StorageBackend for OrderedDisk<B> {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.sync_data(false)?;
        self.0.set_len(len)?;
        self.0.sync_data(false)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}
