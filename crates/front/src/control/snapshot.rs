//! The front's durable state: a snapshot of its peers in a `fernslip-store` file, kept across restarts and written on a
//! thread of its own, so that the request path never waits for a disk and a front whose disk fails serves on and logs it.

use crate::view::Fleet;
use fernslip_store::layers::Fellow;
use fernslip_store::{Change, Disk, Marks, Store, StoreError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait for the snapshot at start; a slower disk is not waited for, and its contents are not used.
const OPENS_IN: Duration = Duration::from_secs(2);
/// Interval between two checks for peer changes to write.
const LOOK: Duration = Duration::from_secs(2);
/// Most peers stored; any one address that is still valid is enough to rejoin.
const MAX_REMEMBERED_PEERS: usize = 256;

/// The state restored from the snapshot at start.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// The peers found in the snapshot, by name, with their last known address.
    pub peers: Vec<(String, SocketAddr)>,
    /// The store's marks at the last commit before this start; `None` where the store was empty.
    pub marks: Option<Marks>,
}

/// An open snapshot store and the peers last written to it.
pub struct Snapshot {
    store: Store,
    kept: BTreeMap<String, Fellow>,
}

fn file(path: &Path) -> Result<impl Disk, StoreError> {
    let opened = std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
    let opened = opened.map_err(|e| StoreError::Disk(e.to_string()))?;
    fernslip_store::file(opened)
}

/// What can't be read is set aside, under the time, for whoever wants to look at it.
fn set_aside(path: &Path) -> Option<PathBuf> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let aside = path.with_extension(format!("bad-{unix}"));
    std::fs::rename(path, &aside).is_ok().then_some(aside)
}

impl Snapshot {
    /// Opens the store at `path` and reads the peers in it; a damaged file is renamed aside and an empty store begun.
    ///
    /// # Errors
    /// The store was written by a later version, is held by another process, or no empty store can be begun: the front
    /// goes on without a snapshot.
    pub fn open(path: &Path, fresh: u64) -> Result<(Snapshot, RestoredState), StoreError> {
        let opened = file(path).and_then(|f| Store::open(f, fresh));
        let (store, marks) = match opened {
            Ok(opened) => opened,
            // Of a later program, or held by another process: not this one's to set aside.
            Err(e @ (StoreError::Later(..) | StoreError::Held)) => return Err(e),
            Err(e) => {
                let aside = set_aside(path);
                tracing::error!(file = %path.display(), aside = ?aside, "store: {e}; an empty one is begun");
                Store::open(file(path)?, fresh)?
            }
        };
        let (all, damaged) = store.all::<Fellow>()?;
        if damaged > 0 {
            tracing::error!(damaged, "store: fellows that can't be read are left out");
        }
        let kept: BTreeMap<String, Fellow> = all.into_iter().collect();
        let place = |(n, f): (&String, &Fellow)| Some((n.clone(), f.addr.parse().ok()?));
        let peers = kept.iter().filter_map(place).collect();
        Ok((Snapshot { store, kept }, RestoredState { peers, marks }))
    }

    /// [`Snapshot::open`] on a thread of its own, waiting at most `OPENS_IN` (2 s); a disk that stalls holds that thread,
    /// not the front. `None`, logged, where it fails or is late.
    pub fn open_soon(path: &Path, fresh: u64) -> Option<(Snapshot, RestoredState)> {
        let (tell, hear) = mpsc::channel();
        let own = path.to_path_buf();
        let opens = std::thread::Builder::new().name("store-open".into()).spawn(move || {
            let _ = tell.send(Snapshot::open(&own, fresh));
        });
        let why = match opens.map(|_| hear.recv_timeout(OPENS_IN)) {
            Ok(Ok(Ok(opened))) => return Some(opened),
            Ok(Ok(Err(e))) => e.to_string(),
            Ok(Err(_)) => format!("not open after {} ms", OPENS_IN.as_millis()),
            Err(e) => e.to_string(),
        };
        tracing::error!(file = %path.display(), "store: {why}; nothing is kept and nothing from before is known");
        None
    }

    /// Writes the current peers where they changed. Departed peers are removed only while the present ones number at
    /// least half of those stored: after a power loss none are present, and the stored addresses are needed to rejoin.
    fn look(&mut self, fleet: &Fleet) -> Result<(), StoreError> {
        let now: BTreeMap<String, Fellow> = fleet.fellows().into_iter().take(MAX_REMEMBERED_PEERS).collect();
        if now.is_empty() || now == self.kept {
            return Ok(());
        }
        let mut changes = Vec::new();
        for (name, fellow) in now.iter().filter(|(n, f)| self.kept.get(*n) != Some(f)) {
            changes.push(Change::put(name, fellow)?);
        }
        // One that restarts with the others is away for a while: half of them must be there to let go of the rest.
        let lets_go = 2 * now.len() >= self.kept.len();
        for name in self.kept.keys().filter(|n| lets_go && !now.contains_key(*n)) {
            changes.push(Change::remove::<Fellow>(name)?);
        }
        if changes.is_empty() {
            return Ok(());
        }
        self.store.commit(&changes)?;
        if lets_go {
            self.kept = now;
        } else {
            self.kept.extend(now);
        }
        Ok(())
    }

    /// Writes peer changes every `LOOK` (2 s) until a write fails; runs on a thread of its own.
    pub fn run(mut self, fleet: Arc<Fleet>) {
        let Marks { boots, commits, .. } = self.store.marks();
        tracing::info!(boots, commits, "store: open");
        loop {
            std::thread::sleep(LOOK);
            if let Err(e) = self.look(&fleet) {
                tracing::error!("store: {e}; nothing more is kept until a restart");
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "snapshot/tests.rs"]
mod tests;
