//! Choice of the parent or origin that fills a miss, and a check whether its fill would be late.

use super::Router;
use super::FILL_OVERHEAD_MS;
use crate::api::*;
use crate::rendezvous::rendezvous_score;
use crate::state::{Node, PendingRequest, Role};

impl Router {
    /// Chooses the source with the given role: the first usable node in the object's hash order over all
    /// sources.
    pub(super) fn choose_source(&self, req: &PendingRequest, role: Role) -> Option<&CacheId> {
        let object = req.request.object.0;
        let weight = |node: &Node| node.listed_weight * self.speed_factor(node);
        self.nodes
            .iter()
            .filter(|(_, node)| node.role == role && node.phase == Phase::In)
            .filter(|(id, node)| self.is_usable(id, node, req))
            .map(|(id, node)| (rendezvous_score(node.tag, object, weight(node)), id))
            .min_by(|a, b| b.0.total_cmp(&a.0))
            .map(|(_, id)| id)
    }

    /// Whether a fill from the node would exceed the request's latency objective at the node's current
    /// slowdown.
    pub(super) fn would_fill_late(&self, node: &Node, req: &PendingRequest) -> bool {
        let slowdown = match node.role {
            Role::Origin => node.slowdown_at(self.now_ms),
            Role::Edge | Role::Parent => node.low_slowdown_at(self.now_ms),
        };
        (req.work_ms + FILL_OVERHEAD_MS) * slowdown > req.objective_ms
    }
}
