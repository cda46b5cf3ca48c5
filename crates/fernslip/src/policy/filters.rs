//! Updates of the counting Bloom filters, and the cache rank of a request by the recent demand for its key.

use super::Router;
use super::{MAX_PENDING_FILTER_CHANGES, RANK_2_MIN_REQUESTS, RANK_3_MIN_REQUESTS};
use crate::api::*;
use crate::filter::{CounterChange, Filter};
use crate::state::PendingRequest;

impl Router {
    /// Applies a change to a node's filter and queues the resulting counter changes for peers. Counter
    /// changes beyond `MAX_PENDING_FILTER_CHANGES` are not queued.
    pub(super) fn update_filter(&mut self, id: &CacheId, change: impl Fn(&mut Filter) -> Vec<CounterChange>) {
        if let Some(node) = self.nodes.get_mut(id) {
            let capacity = MAX_PENDING_FILTER_CHANGES.saturating_sub(node.changes.len());
            node.changes.extend(change(&mut node.filter).into_iter().take(capacity));
        }
    }

    /// Rank at which a cache node is to store the fetched object: 0 for writes, otherwise 1 to 3 by recent
    /// demand.
    pub(super) fn cache_rank(&self, req: &PendingRequest) -> u8 {
        if self.settings.classes[req.request.class].write {
            return 0;
        }
        let recent = self.demand.estimate_count(req.key);
        1 + u8::from(recent >= RANK_2_MIN_REQUESTS) + u8::from(recent >= RANK_3_MIN_REQUESTS)
    }
}
