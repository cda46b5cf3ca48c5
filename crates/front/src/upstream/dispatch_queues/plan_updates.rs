//! How a reloaded site document is applied to the dispatch queues, by its difference.

use super::endpoint_updates::source_entry;
use super::{DispatchQueues, RoutingTable};
use crate::clock::Clock;
use crate::plan::{Plan, PlannedMember};
use crate::sync::lock;
use crate::upstream::connection_pool::ConnectionPool;
use fernslip::{CacheId, Entry, ListKind, Phase};
use fernslip_pool::{Event, Notified};
use fernslip_site::State;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Why a plan can't be applied to a running front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanRejected {
    /// Members came from the document and come from the event bus now, or the other way round.
    #[error("where the members come from takes a restart")]
    MemberOrigin,
    /// A pool was added, removed or renamed.
    #[error("pools that come or go take a restart")]
    Pools,
    /// Each queue's share of a node's capacity was set at the start.
    #[error("a member that is in more pools than any was takes a restart")]
    PoolsPerMember,
}

/// How many of the site document's members an applied plan has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// New members.
    pub added: u32,
    /// Members that the document names no more.
    pub removed: u32,
    /// Members with another address.
    pub moved: u32,
    /// Members changed otherwise.
    pub changed: u32,
}

impl fmt::Display for MemberChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MemberChanges { added, removed, moved, changed } = self;
        write!(f, "members added={added} gone={removed} moved={moved} changed={changed}")
    }
}

impl DispatchQueues {
    /// Applies a changed plan by its difference; what has changed of the document's members, where they are the front's.
    ///
    /// # Errors
    /// Why it can't be applied; nothing has changed.
    pub fn apply_plan(
        &self,
        clock: &Clock,
        upstream: &ConnectionPool,
        plan: Plan,
    ) -> Result<Option<MemberChanges>, PlanRejected> {
        let queue_of_pool = self.check_plan(&plan)?;
        let members = self.document_members.as_ref();
        let changes = members.map(|m| self.apply_members(clock, upstream, &lock(m), &plan.members));
        for ((spec, answer_timeouts), index) in plan.pools.into_iter().zip(plan.answers).zip(&queue_of_pool) {
            self.queues[*index].reconfigure(clock, spec, answer_timeouts);
        }
        if let Some(members) = members {
            // Only now is nothing sent to removed members any more.
            let mut members = lock(members);
            for id in members.keys().filter(|id| !plan.members.contains_key(*id)) {
                upstream.remove_node(&CacheId(id.clone()));
            }
            *members = plan.members;
            self.register_members(&members);
        } else {
            let listed: Vec<Entry> = lock(&self.listed_nodes).values().cloned().collect();
            self.notify_queues(clock, &listed);
        }
        self.routing.store(Arc::new(RoutingTable { routes: plan.routes, queue_of_pool }));
        Ok(changes)
    }

    /// The index of the queue of each of the plan's pools.
    fn check_plan(&self, plan: &Plan) -> Result<Vec<usize>, PlanRejected> {
        if plan.from_file != self.members_from_file() {
            return Err(PlanRejected::MemberOrigin);
        }
        let queue_named = |name: &str| self.queues.iter().position(|queue| queue.name == name);
        let queue_of_pool: Option<Vec<usize>> = plan.pools.iter().map(|p| queue_named(&p.name)).collect();
        let queue_of_pool = queue_of_pool.filter(|all| all.len() == self.queues.len());
        let queue_of_pool = queue_of_pool.ok_or(PlanRejected::Pools)?;
        if plan.max_pools_per_cache > self.max_pools_per_cache {
            return Err(PlanRejected::PoolsPerMember);
        }
        Ok(queue_of_pool)
    }

    /// Applies new members, other addresses, and sources; members of pools drain and depart with their pools'
    /// specifications.
    fn apply_members(
        &self,
        clock: &Clock,
        upstream: &ConnectionPool,
        old: &BTreeMap<Arc<str>, PlannedMember>,
        new: &BTreeMap<Arc<str>, PlannedMember>,
    ) -> MemberChanges {
        let now_ms = clock.now();
        let mut changes = MemberChanges::default();
        let mut sources = Vec::new();
        let mut old_and_new = old.clone();
        old_and_new.extend(new.iter().map(|(id, m)| (id.clone(), m.clone())));
        self.register_members(&old_and_new);
        for (id, member) in new {
            let before = old.get(id);
            if before == Some(member) {
                continue;
            }
            let moved = before.is_some_and(|b| b.addr != member.addr);
            changes.count(before.is_none(), moved);
            let cache = CacheId(id.clone());
            if before.is_none() || moved {
                upstream.add_node(cache.clone(), member.addr, now_ms);
            }
            upstream.set_timeouts(&cache, member.timeouts);
            if member.is_source {
                // One that is new, or was stopped, may have just started.
                let restarted = before.is_none_or(|b| b.state == State::Stopped) || moved;
                sources.push(source_entry(id, member, if restarted { now_ms } else { 0.0 }));
            } else if moved {
                self.notify_restart(clock, id, now_ms);
            }
        }
        for (id, member) in old.iter().filter(|(id, _)| !new.contains_key(*id)) {
            changes.removed += 1;
            if member.is_source {
                sources.push(Entry { phase: Phase::Out, ..source_entry(id, member, 0.0) });
            }
        }
        if !sources.is_empty() {
            for queue in &self.queues {
                queue.dispatcher.update_endpoints(now_ms, ListKind::Delta, sources.clone());
            }
        }
        changes
    }

    /// Notifies every pool that a member has started now.
    fn notify_restart(&self, clock: &Clock, id: &Arc<str>, started_ms: f64) {
        for queue in &self.queues {
            queue.feed(clock, Event::Notified { id: id.clone(), state: Notified::Up, started_ms });
        }
    }
}

impl MemberChanges {
    /// Counts a member that is new, has moved, or has changed otherwise.
    fn count(&mut self, added: bool, moved: bool) {
        if added {
            self.added += 1;
        } else if moved {
            self.moved += 1;
        } else {
            self.changed += 1;
        }
    }
}
