//! The queue that carries evidence of cache nodes' faults and recoveries from the decision module to the
//! gossip service.

use crate::sync::lock;
use fernslip::{CacheId, Sign};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// The maximum number of pieces of evidence in the queue. Further ones are dropped; the decision module
/// repeats evidence for as long as it applies.
const MAX_QUEUED_EVIDENCE: usize = 1024;

/// One piece of evidence about a cache node, from the decision module.
pub struct QueuedEvidence {
    /// The cache node that the evidence concerns.
    pub cache: CacheId,
    /// What was observed: one of the kinds of fault, or that the node is well.
    pub sign: Sign,
    /// The strength of the evidence, from 0 to 1.
    pub strength: f64,
}

/// A bounded queue of evidence from the decision module to the gossip service. The module only adds to the
/// queue while it decides; the gossip service sends later.
#[derive(Clone, Default)]
pub struct EvidenceQueue(Arc<Mutex<VecDeque<QueuedEvidence>>>);

impl EvidenceQueue {
    /// Adds a piece of evidence to the queue; drops it if the queue is full.
    pub fn push(&self, cache: &CacheId, sign: Sign, strength: f64) {
        let mut queue = lock(&self.0);
        if queue.len() < MAX_QUEUED_EVIDENCE {
            queue.push_back(QueuedEvidence { cache: cache.clone(), sign, strength });
        }
    }

    /// Removes and returns all queued evidence, oldest first.
    pub fn take_all(&self) -> VecDeque<QueuedEvidence> {
        std::mem::take(&mut *lock(&self.0))
    }
}
