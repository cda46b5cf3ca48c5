//! The front's durable state: a snapshot of its peers in a `fernslip-store` file, which outlasts restarts. It
//! is written on a separate thread, so that the request path never waits for a disk; if the disk fails, the
//! front logs it and continues to serve.

use crate::view::ViewService;
use fernslip_store::layers::Peer;
use fernslip_store::{Change, Disk, DiskMarks, LayerContents, Store, StoreError};
use fernslip_view::PeerAddress;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The maximum wait at start for the store to open; with a slower disk the front starts without the stored
/// peers.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between two checks for changes of the peers that must be written.
const PEER_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of peers stored; a single address that is still valid is enough to rejoin the fleet.
const MAX_REMEMBERED_PEERS: usize = 256;

/// The state that is restored from the snapshot at start.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// The peers found in the snapshot, in order of name, with their last known addresses.
    pub peers: Vec<PeerAddress>,
    /// The store's marks (its counts of starts and commits) at the last commit before this start. `None` if
    /// the store was empty.
    pub marks: Option<DiskMarks>,
}

/// An open snapshot store and the peers last written to it.
pub struct Snapshot {
    store: Store,
    /// The peers that the store contains, by name.
    stored: BTreeMap<String, Peer>,
}

fn open_store_file(path: &Path) -> Result<impl Disk, StoreError> {
    let opened = std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
    let opened = opened.map_err(|e| StoreError::Disk(e.to_string()))?;
    fernslip_store::open_file_as_disk(opened)
}

/// Renames a damaged file so that it can be inspected later; the new name contains the time. Returns the new
/// path, or `None` if renaming failed.
fn rename_damaged_file(path: &Path) -> Option<PathBuf> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let aside = path.with_extension(format!("bad-{unix}"));
    std::fs::rename(path, &aside).is_ok().then_some(aside)
}

impl Snapshot {
    /// Opens the store at `path` and reads the peers in it. A damaged file is renamed and an empty store is
    /// created.
    ///
    /// # Errors
    /// Returns an error if the store was written by a later version or is open in another process, or if no
    /// empty store can be created. The front then continues without a snapshot.
    pub fn open(path: &Path, new_disk_id: u64) -> Result<(Snapshot, RestoredState), StoreError> {
        let opened = open_store_file(path).and_then(|f| Store::open(f, new_disk_id));
        let (store, marks) = match opened {
            Ok(opened) => opened,
            // A store of a later version, or one that is open in another process, is not damaged and stays in
            // place.
            Err(e @ (StoreError::LaterVersion(..) | StoreError::Locked)) => return Err(e),
            Err(e) => {
                let aside = rename_damaged_file(path);
                tracing::error!(
                    file = %path.display(),
                    aside = ?aside,
                    "store: the store cannot be opened and is replaced by an empty one: {e}"
                );
                Store::open(open_store_file(path)?, new_disk_id)?
            }
        };
        let LayerContents { entries, damaged } = store.all_values::<Peer>()?;
        if damaged > 0 {
            tracing::error!(damaged, "store: stored peers that cannot be read are ignored");
        }
        let stored: BTreeMap<String, Peer> = entries.into_iter().collect();
        let address = |(name, peer): (&String, &Peer)| {
            Some(PeerAddress { name: name.clone(), addr: peer.addr.parse().ok()? })
        };
        let peers = stored.iter().filter_map(address).collect();
        Ok((Snapshot { store, stored }, RestoredState { peers, marks }))
    }

    /// Calls [`Snapshot::open`] on a separate thread and waits at most `OPEN_TIMEOUT` (2 s) for it, so that a
    /// stalled disk blocks that thread and not the front. Returns `None` and logs the reason if opening fails
    /// or times out.
    pub fn open_with_timeout(path: &Path, new_disk_id: u64) -> Option<(Snapshot, RestoredState)> {
        let (sender, receiver) = mpsc::channel();
        let owned_path = path.to_path_buf();
        let thread = std::thread::Builder::new().name("store-open".into()).spawn(move || {
            let _ = sender.send(Snapshot::open(&owned_path, new_disk_id));
        });
        let reason = match thread.map(|_| receiver.recv_timeout(OPEN_TIMEOUT)) {
            Ok(Ok(Ok(opened))) => return Some(opened),
            Ok(Ok(Err(e))) => e.to_string(),
            Ok(Err(_)) => format!("the store is not open after {} ms", OPEN_TIMEOUT.as_millis()),
            Err(e) => e.to_string(),
        };
        tracing::error!(
            file = %path.display(),
            "store: no peers are restored or stored, because the store cannot be opened: {reason}"
        );
        None
    }

    /// Writes the peers that changed since the last write. Absent peers are removed only while the present
    /// ones number at least half of those stored: after a power loss none are present, and the stored
    /// addresses are needed to rejoin.
    fn write_changes(&mut self, fleet: &ViewService) -> Result<(), StoreError> {
        let present: BTreeMap<String, Peer> =
            fleet.peers_to_store().into_iter().take(MAX_REMEMBERED_PEERS).collect();
        if present.is_empty() || present == self.stored {
            return Ok(());
        }
        let mut changes = Vec::new();
        for (name, peer) in present.iter().filter(|(n, p)| self.stored.get(*n) != Some(p)) {
            changes.push(Change::put(name, peer)?);
        }
        // Peers that restart together are absent for a while, so absent peers are removed only if half of
        // those stored are present.
        let removes_absent = 2 * present.len() >= self.stored.len();
        for name in self.stored.keys().filter(|n| removes_absent && !present.contains_key(*n)) {
            changes.push(Change::remove::<Peer>(name)?);
        }
        if changes.is_empty() {
            return Ok(());
        }
        self.store.commit(&changes)?;
        if removes_absent {
            self.stored = present;
        } else {
            self.stored.extend(present);
        }
        Ok(())
    }

    /// Writes changes of the peers every `PEER_CHECK_INTERVAL` (2 s) until a write fails; called on a
    /// separate thread.
    pub fn run(mut self, fleet: Arc<ViewService>) {
        let DiskMarks { boots, commits, .. } = self.store.marks();
        tracing::info!(boots, commits, "store: open");
        loop {
            std::thread::sleep(PEER_CHECK_INTERVAL);
            if let Err(e) = self.write_changes(&fleet) {
                tracing::error!(
                    "store: no more peers are stored until a restart, because a write failed: {e}"
                );
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
