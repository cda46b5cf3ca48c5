//! All dispatch queues of a front: selects the queue of each request, and limits the requests open in all
//! queues together.
//!
//! Endpoint lists are applied in `endpoint_updates.rs`, reloaded site documents in `plan_updates.rs`. No
//! function here yields.

mod endpoint_updates;
pub mod plan_updates;

use crate::dispatch_host::DispatchHost;
use crate::plan::{Plan, PlannedMember};
use crate::sync::lock;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::upstream::node_registry::NodeRegistry;
use arc_swap::ArcSwap;
use fernslip::facade::Dispatcher;
use fernslip::{CacheId, Entry, RequestId, Settings, SettingsError};
use fernslip_pool::{Pool, RouteDecision, Routes};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Retry-After hint of a request that its pool rejected, in milliseconds, for clients that honour it; the
/// same value as the decision module's own hints.
const RETRY_AFTER_MS: f64 = 400.0;

/// The routes and the queues that they lead to.
struct RoutingTable {
    routes: Routes,
    /// Index of the queue of each pool that the routes name.
    queue_of_pool: Vec<usize>,
}

/// All dispatch queues of a front.
pub struct DispatchQueues {
    queues: Vec<Arc<DispatchQueue>>,
    routing: ArcSwap<RoutingTable>,
    registry: Arc<NodeRegistry>,
    /// The site document's members; `None` if the members come from the discovery bus.
    document_members: Option<Mutex<BTreeMap<Arc<str>, PlannedMember>>>,
    /// Nodes that the discovery bus has listed; recorded only for fronts with pools.
    listed_nodes: Mutex<HashMap<CacheId, Entry>>,
    /// Ids of the requests open in any of several queues; an id may be open only once.
    open_ids: Mutex<HashSet<RequestId>>,
    open_requests: AtomicUsize,
    max_open_requests: usize,
    max_pools_per_cache: u32,
    max_retry_after_ms: f64,
}

/// Reserves a request's id: while it exists, no other open request may have the same id.
pub struct RequestReservation<'q> {
    queues: &'q DispatchQueues,
    id: RequestId,
}

impl Drop for RequestReservation<'_> {
    fn drop(&mut self) {
        lock(&self.queues.open_ids).remove(&self.id);
        self.queues.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl DispatchQueues {
    /// Creates the queues of a plan, or a single queue without a pool if there is no plan. `host` creates
    /// the host of each queue's dispatcher.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(
        base: &Settings,
        seed: u64,
        plan: Option<Plan>,
        registry: Arc<NodeRegistry>,
        host: impl Fn() -> DispatchHost,
    ) -> Result<DispatchQueues, SettingsError> {
        let plan = plan.unwrap_or_else(plan_without_pools);
        let pool_count = plan.pools.len();
        let mut queues = Vec::new();
        for (index, (spec, answer_timeouts)) in plan.pools.into_iter().zip(plan.answer_timeouts).enumerate() {
            let settings = queue_settings(base, pool_count, index, plan.max_pools_per_cache);
            let dispatcher = Dispatcher::new(settings, seed ^ index as u64, host())?;
            let make_pool = |spec| match plan.from_file {
                true => Pool::new(spec, seed),
                false => Pool::awaiting_endpoint_list(spec, seed),
            };
            let queue = DispatchQueue::with_pool(spec, make_pool, answer_timeouts, dispatcher);
            queues.push(Arc::new(queue));
        }
        if queues.is_empty() {
            let dispatcher = Dispatcher::new(base.clone(), seed, host())?;
            queues.push(Arc::new(DispatchQueue::without_pool(dispatcher)));
        }
        let routing = RoutingTable { routes: plan.routes, queue_of_pool: (0..pool_count).collect() };
        Ok(DispatchQueues {
            queues,
            routing: ArcSwap::from_pointee(routing),
            registry,
            document_members: plan.from_file.then(|| Mutex::new(plan.members)),
            listed_nodes: Mutex::default(),
            open_ids: Mutex::default(),
            open_requests: AtomicUsize::new(0),
            max_open_requests: base.max_in_flight as usize,
            max_pools_per_cache: plan.max_pools_per_cache,
            max_retry_after_ms: base.max_retry_after_ms,
        })
    }

    /// All queues, in the order of the plan's pools.
    pub fn as_slice(&self) -> &[Arc<DispatchQueue>] {
        &self.queues
    }

    /// Ids of the site document's members; `None` if the members come from the discovery bus.
    pub fn document_member_ids(&self) -> Option<Vec<CacheId>> {
        let members = self.document_members.as_ref()?;
        Some(lock(members).keys().map(|id| CacheId(id.clone())).collect())
    }

    /// Whether the members come from the site document.
    pub fn members_from_file(&self) -> bool {
        self.document_members.is_some()
    }

    /// How long the client of a rejected request should wait before it tries again, in milliseconds.
    pub fn retry_after_ms(&self) -> f64 {
        RETRY_AFTER_MS.min(self.max_retry_after_ms)
    }

    /// The queue for a request of this class and object; `None` if no route leads to a pool. A request of
    /// this protocol has no host and no path, so routes are matched against the path `/CLASS/OBJECT`.
    pub fn route(&self, class: &str, object: &str) -> Option<&Arc<DispatchQueue>> {
        let routing = self.routing.load();
        if routing.routes.is_empty() {
            return self.queues.first();
        }
        match routing.routes.route("", &format!("/{class}/{object}")) {
            RouteDecision::Pool(pool) => {
                routing.queue_of_pool.get(pool).and_then(|index| self.queues.get(*index))
            }
            RouteDecision::Excluded | RouteDecision::Unrouted => None,
        }
    }

    /// Reserves an id; `None` if the id is open already or too many requests are open. With a single queue
    /// the decision module checks both itself.
    pub fn reserve(&self, id: RequestId) -> Option<RequestReservation<'_>> {
        let is_single = self.queues.len() == 1;
        if !is_single && !lock(&self.open_ids).insert(id) {
            return None;
        }
        let open_before = self.open_requests.fetch_add(1, Ordering::Relaxed);
        let reservation = RequestReservation { queues: self, id };
        (is_single || open_before < self.max_open_requests).then_some(reservation)
    }
}

/// The plan of a front without a site document.
fn plan_without_pools() -> Plan {
    Plan {
        from_file: false,
        members: BTreeMap::new(),
        pools: Vec::new(),
        answer_timeouts: Vec::new(),
        routes: Routes::from_site(&fernslip_site::Site::default()),
        max_pools_per_cache: 1,
    }
}

/// The settings of one of `queue_count` queues. A node's capacity is divided among all that send to it, so
/// each queue counts as a separate front.
fn queue_settings(base: &Settings, queue_count: usize, index: usize, max_pools_per_cache: u32) -> Settings {
    let mut settings = base.clone();
    if queue_count > 1 {
        settings.routers *= queue_count as u32;
        settings.slot = settings.slot * queue_count as u32 + index as u32;
        settings.zone_routers.iter_mut().for_each(|n| *n *= max_pools_per_cache);
        // The queues of one front have the same address, so peers could not tell them apart.
        settings.peers = false;
    }
    settings
}

#[cfg(test)]
mod tests;
