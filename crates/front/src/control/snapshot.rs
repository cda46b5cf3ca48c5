//! The front's durable state: a snapshot of its peers in a `fernslip-store` file, kept across restarts and written on a
//! thread of its own, so that the request path never waits for a disk and a front whose disk fails serves on and logs it.

use crate::view::Fleet;
use fernslip_store::layers::Peer;
use fernslip_store::{Change, Disk, LayerContents, Marks, Store, StoreError};
use fernslip_view::PeerAddress;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait for the store to open at start; a slower disk is not waited for, and its contents are not used.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks for peer changes to write.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Most peers stored; any one address that is still valid is enough to rejoin.
const MAX_REMEMBERED_PEERS: usize = 256;

/// The state restored from the snapshot at start.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// The peers found in the snapshot, by name, with their last known address.
    pub peers: Vec<PeerAddress>,
    /// The store's marks at the last commit before this start; `None` where the store was empty.
    pub marks: Option<Marks>,
}

/// An open snapshot store and the peers last written to it.
pub struct Snapshot {
    store: Store,
    /// The peers in the store, by name.
    stored: BTreeMap<String, Peer>,
}

fn open_file(path: &Path) -> Result<impl Disk, StoreError> {
    let opened = std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
    let opened = opened.map_err(|e| StoreError::Disk(e.to_string()))?;
    fernslip_store::file(opened)
}

/// Renames an unreadable file, with the time in its new name, so that it can be inspected.
fn set_aside(path: &Path) -> Option<PathBuf> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let aside = path.with_extension(format!("bad-{unix}"));
    std::fs::rename(path, &aside).is_ok().then_some(aside)
}

impl Snapshot {
    /// Opens the store at `path` and reads the peers in it; a damaged file is renamed aside and an empty store begun.
    ///
    /// # Errors
    /// The store was written by a later version, is open in another process, or no empty store can be begun: the front
    /// goes on without a snapshot.
    pub fn open(path: &Path, new_disk_id: u64) -> Result<(Snapshot, RestoredState), StoreError> {
        let opened = open_file(path).and_then(|f| Store::open(f, new_disk_id));
        let (store, marks) = match opened {
            Ok(opened) => opened,
            // Of a later version, or open in another process: not this one's to set aside.
            Err(e @ (StoreError::LaterVersion(..) | StoreError::Locked)) => return Err(e),
            Err(e) => {
                let aside = set_aside(path);
                tracing::error!(file = %path.display(), aside = ?aside, "store: {e}; an empty one is begun");
                Store::open(open_file(path)?, new_disk_id)?
            }
        };
        let LayerContents { entries, damaged } = store.all::<Peer>()?;
        if damaged > 0 {
            tracing::error!(damaged, "store: peers that can't be read are left out");
        }
        let stored: BTreeMap<String, Peer> = entries.into_iter().collect();
        let address = |(name, peer): (&String, &Peer)| {
            Some(PeerAddress { name: name.clone(), addr: peer.addr.parse().ok()? })
        };
        let peers = stored.iter().filter_map(address).collect();
        Ok((Snapshot { store, stored }, RestoredState { peers, marks }))
    }

    /// [`Snapshot::open`] on a thread of its own, waiting at most `OPEN_TIMEOUT` (2 s); a disk that stalls blocks that
    /// thread, not the front. `None`, logged, where it fails or times out.
    pub fn open_with_timeout(path: &Path, new_disk_id: u64) -> Option<(Snapshot, RestoredState)> {
        let (sender, receiver) = mpsc::channel();
        let owned_path = path.to_path_buf();
        let thread = std::thread::Builder::new().name("store-open".into()).spawn(move || {
            let _ = sender.send(Snapshot::open(&owned_path, new_disk_id));
        });
        let reason = match thread.map(|_| receiver.recv_timeout(OPEN_TIMEOUT)) {
            Ok(Ok(Ok(opened))) => return Some(opened),
            Ok(Ok(Err(e))) => e.to_string(),
            Ok(Err(_)) => format!("not open after {} ms", OPEN_TIMEOUT.as_millis()),
            Err(e) => e.to_string(),
        };
        tracing::error!(file = %path.display(), "store: {reason}; nothing is kept and nothing from before is known");
        None
    }

    /// Writes the current peers where they changed. Departed peers are removed only while the present ones number at
    /// least half of those stored: after a power loss none are present, and the stored addresses are needed to rejoin.
    fn write_changes(&mut self, fleet: &Fleet) -> Result<(), StoreError> {
        let present: BTreeMap<String, Peer> =
            fleet.peers_to_store().into_iter().take(MAX_REMEMBERED_PEERS).collect();
        if present.is_empty() || present == self.stored {
            return Ok(());
        }
        let mut changes = Vec::new();
        for (name, peer) in present.iter().filter(|(n, p)| self.stored.get(*n) != Some(p)) {
            changes.push(Change::put(name, peer)?);
        }
        // Peers that restart together are absent for a while: half must be present before the absent ones are removed.
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

    /// Writes peer changes every `CHECK_INTERVAL` (2 s) until a write fails; runs on a thread of its own.
    pub fn run(mut self, fleet: Arc<Fleet>) {
        let Marks { boots, commits, .. } = self.store.marks();
        tracing::info!(boots, commits, "store: open");
        loop {
            std::thread::sleep(CHECK_INTERVAL);
            if let Err(e) = self.write_changes(&fleet) {
                tracing::error!("store: {e}; nothing more is kept until a restart");
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
