//! What a front knows of the others while committed entries reach all fronts: their last status, and the snapshots
//! retained for those that fetch them.
//!
//! The steps that use it are in `engine/replicating.rs`.

use crate::texts::{Digest, TextRef};
use crate::wire::Status;
use std::collections::{BTreeMap, VecDeque};

/// Snapshots (as texts) that are retained for those that fetch them, at the most.
pub(crate) const MAX_SNAPSHOTS: usize = 3;

/// Where a snapshot is fetched from.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSource {
    /// The record that it must be of to be installed here; 0: the voter installs it by the leader's message.
    pub(crate) record_id: u64,
    /// The front that has it.
    pub(crate) from: String,
}

/// A snapshot that was offered to others or is being fetched.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) text: TextRef,
    /// Where it is being fetched from; `None`: it is this front's own.
    pub(crate) source: Option<SnapshotSource>,
}

/// What a front knows of the others, and when it sends and fetches next.
#[derive(Debug)]
pub(crate) struct Replication {
    /// Names of the other fronts that are present.
    pub(crate) peers: Vec<String>,
    /// The version of the rules that this front serves by.
    pub(crate) serving_version: u64,
    /// The last status of other fronts, by name.
    pub(crate) peer_status: BTreeMap<String, Status>,
    pub(crate) next_status_ms: f64,
    pub(crate) next_fetch_ms: f64,
    /// Ticks over which an update is still repeated.
    pub(crate) repeats_remaining: u32,
    pub(crate) snapshots: VecDeque<Snapshot>,
}

impl Replication {
    pub(crate) fn new(now_ms: f64) -> Replication {
        Replication {
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

    /// Retains a snapshot, in place of the oldest if there are too many.
    pub(crate) fn retain_snapshot(&mut self, text: TextRef, source: Option<SnapshotSource>) {
        self.snapshots.retain(|s| s.text.digest != text.digest);
        self.snapshots.push_back(Snapshot { text, source });
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }
}
