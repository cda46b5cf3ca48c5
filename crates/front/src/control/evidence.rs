//! Evidence of faults and recoveries, queued between the decision crate and the gossip.

use crate::sync::lock;
use fernslip::{CacheId, Sign};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// Evidence that is queued; more is dropped: it comes again as long as it holds.
const MAX_QUEUED_EVIDENCE: usize = 1024;

/// One piece of evidence from the decision module.
pub struct QueuedEvidence {
    /// The cache node that it is on.
    pub cache: CacheId,
    /// For or against it.
    pub sign: Sign,
    /// How much it counts, from 0 to 1.
    pub strength: f64,
}

/// Evidence on its way from the decision module to the gossip. The module pushes while it decides; nothing is sent
/// then.
#[derive(Clone, Default)]
pub struct EvidenceQueue(Arc<Mutex<VecDeque<QueuedEvidence>>>);

impl EvidenceQueue {
    /// Queues a piece of evidence, unless the queue is full.
    pub fn push(&self, cache: &CacheId, sign: Sign, strength: f64) {
        let mut queue = lock(&self.0);
        if queue.len() < MAX_QUEUED_EVIDENCE {
            queue.push_back(QueuedEvidence { cache: cache.clone(), sign, strength });
        }
    }

    /// Takes what is queued, the oldest first.
    pub fn take_all(&self) -> VecDeque<QueuedEvidence> {
        std::mem::take(&mut *lock(&self.0))
    }
}
