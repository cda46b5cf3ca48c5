//! State of the replication of committed entries to all fronts: the last status of each peer, and the
//! snapshots retained for the fronts that fetch them.
//!
//! The steps that use it are in `engine/replicating.rs`.

use crate::texts::{Digest, TextRef};
use crate::wire::Status;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of snapshots retained (as texts) for other fronts to fetch.
pub(crate) const MAX_RETAINED_SNAPSHOTS: usize = 3;

/// The front from which a snapshot is fetched, and the record that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSource {
    /// Id of the record that this front must be following (or none yet) to install the snapshot. With 0 the
    /// snapshot was sent by the leader, and the voter installs it on the leader's next message.
    pub(crate) record_id: u64,
    /// Name of the front that has the snapshot.
    pub(crate) from: String,
}

/// A snapshot that this front has offered to others or is fetching.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) text: TextRef,
    /// Where the snapshot is being fetched from; `None` for a snapshot of this front's own state.
    pub(crate) source: Option<SnapshotSource>,
}

/// What a front knows of its peers' progress, and the times of its next status announcement and fetch.
#[derive(Debug)]
pub(crate) struct ReplicationState {
    /// Names of the other fronts that are present.
    pub(crate) peers: Vec<String>,
    /// The rules version that this front serves by.
    pub(crate) serving_version: u64,
    /// The last status received from each other front, by its name.
    pub(crate) peer_status: BTreeMap<String, Status>,
    pub(crate) next_status_ms: f64,
    pub(crate) next_fetch_ms: f64,
    /// Number of ticks on which the last update is still to be announced again.
    pub(crate) repeats_remaining: u32,
    pub(crate) snapshots: VecDeque<Snapshot>,
}

impl ReplicationState {
    pub(crate) fn new(now_ms: f64) -> ReplicationState {
        ReplicationState {
            peers: Vec::new(),
            serving_version: 0,
            peer_status: BTreeMap::new(),
            next_status_ms: now_ms,
            next_fetch_ms: now_ms,
            repeats_remaining: 0,
            snapshots: VecDeque::new(),
        }
    }

    pub(crate) fn snapshot_digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.snapshots.iter().map(|s| s.text.digest)
    }

    /// Retains a snapshot, and drops the oldest one if there are more than [`MAX_RETAINED_SNAPSHOTS`].
    pub(crate) fn retain_snapshot(&mut self, text: TextRef, source: Option<SnapshotSource>) {
        self.snapshots.retain(|s| s.text.digest != text.digest);
        self.snapshots.push_back(Snapshot { text, source });
        if self.snapshots.len() > MAX_RETAINED_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }
}
