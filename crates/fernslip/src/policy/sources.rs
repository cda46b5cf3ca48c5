//! Sources: which parent or origin fills a miss, and whether its fills come late.

use super::Router;
use super::PACE_BASE_MS;
use crate::api::*;
use crate::rendezvous::score;
use crate::state::{Node, PendingRequest, Role};

impl Router {
    /// The parent (or the origin) to fill from: the first usable one, in the object's hash order over all of them.
    pub(super) fn source(&self, req: &PendingRequest, role: Role) -> Option<&CacheId> {
        let object = req.request.object.0;
        let weight = |node: &Node| node.listed_weight * self.speed_factor(node);
        self.nodes
            .iter()
            .filter(|(_, node)| node.role == role && node.phase == Phase::In)
            .filter(|(id, node)| self.is_usable(id, node, req))
            .map(|(id, node)| (score(node.tag, object, weight(node)), id))
            .min_by(|a, b| b.0.total_cmp(&a.0))
            .map(|(_, id)| id)
    }

    /// Whether a fill from a source would come after the request's latency objective, as its others did.
    pub(super) fn is_late(&self, node: &Node, req: &PendingRequest) -> bool {
        let pace = match node.role {
            Role::Origin => node.pace_at(self.now_ms),
            Role::Edge | Role::Parent => node.quick_pace_at(self.now_ms),
        };
        (req.work_ms + PACE_BASE_MS) * pace > req.objective_ms
    }
}
