//! Counting Bloom filters: changes that peers have not been sent yet, and the rank that recent demand gives a request.

use super::Router;
use super::{MAX_PENDING_CHANGES, RANK2_FROM, RANK3_FROM};
use crate::api::*;
use crate::filter::{Change, Filter};
use crate::state::PendingRequest;

impl Router {
    /// Changes a node's filter, and notes the changes for peers as far as there is capacity for them.
    pub(super) fn record_change(&mut self, id: &CacheId, change: impl Fn(&mut Filter) -> Vec<Change>) {
        if let Some(node) = self.nodes.get_mut(id) {
            let capacity = MAX_PENDING_CHANGES.saturating_sub(node.changes.len());
            node.changes.extend(change(&mut node.filter).into_iter().take(capacity));
        }
    }

    /// The rank at which a cache is to keep what is fetched: 0 for writes, else 1 to 3 by recent demand.
    pub(super) fn rank(&self, req: &PendingRequest) -> u8 {
        if self.settings.classes[req.request.class].write {
            return 0;
        }
        let recent = self.demand.count(req.key);
        1 + u8::from(recent >= RANK2_FROM) + u8::from(recent >= RANK3_FROM)
    }
}
