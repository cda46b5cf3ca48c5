//! Counting Bloom filters: changes noted for peers and the rank that recent demand gives a request.

use super::Router;
use super::{MAX_NOTED, RANK2_FROM, RANK3_FROM};
use crate::api::*;
use crate::filter::{Change, Filter};
use crate::state::Req;

impl Router {
    pub(super) fn record(&mut self, id: &CacheId, change: impl Fn(&mut Filter) -> Vec<Change>) {
        if let Some(c) = self.caches.get_mut(id) {
            let room = MAX_NOTED.saturating_sub(c.changes.len());
            c.changes.extend(change(&mut c.filter).into_iter().take(room));
        }
    }

    pub(super) fn rank(&self, req: &Req) -> u8 {
        if self.set.classes[req.ask.class].write {
            return 0;
        }
        let seen = self.wanted.count(req.key);
        1 + u8::from(seen >= RANK2_FROM) + u8::from(seen >= RANK3_FROM)
    }
}
