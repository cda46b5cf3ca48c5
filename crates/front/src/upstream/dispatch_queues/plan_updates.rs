//! Applies the changes in a reloaded site document to the dispatch queues.

use super::endpoint_updates::source_entry;
use super::{DispatchQueues, RoutingTable};
use crate::clock::Clock;
use crate::plan::{Plan, PlannedMember};
use crate::sync::lock;
use crate::upstream::connection_pool::ConnectionPool;
use fernslip::{CacheId, Entry, ListKind, Phase};
use fernslip_pool::{Event, ListedState};
use fernslip_site::State;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Why a plan can't be applied to a running front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanRejected {
    /// The members came from the site document and now come from the discovery bus, or the other way round.
    #[error("changing where the members come from requires a restart")]
    MemberOrigin,
    /// A pool was added, removed or renamed.
    #[error("adding, removing or renaming a pool requires a restart")]
    Pools,
    /// A member is in more pools than any member was at the start, when each queue's part of a node's
    /// capacity was set.
    #[error("putting a member into more pools than any member was in at the start requires a restart")]
    PoolsPerMember,
}

/// How many members of the site document were changed by an applied plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// Number of new members.
    pub added: u32,
    /// Number of members that the document no longer names.
    pub removed: u32,
    /// Number of members with a new address.
    pub moved: u32,
    /// Number of members that are neither new nor have a new address, and were changed in another way.
    pub changed: u32,
}

impl fmt::Display for MemberChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MemberChanges { added, removed, moved, changed } = self;
        write!(f, "members added={added} gone={removed} moved={moved} changed={changed}")
    }
}

impl DispatchQueues {
    /// Applies the differences between a changed plan and the current one. Returns the changes of the site
    /// document's members, or `None` if the members come from the discovery bus.
    ///
    /// # Errors
    /// Why the plan can't be applied; nothing was changed.
    pub fn apply_plan(
        &self,
        clock: &Clock,
        upstream: &ConnectionPool,
        plan: Plan,
    ) -> Result<Option<MemberChanges>, PlanRejected> {
        let queue_of_pool = self.check_plan(&plan)?;
        let members = self.document_members.as_ref();
        let changes = members.map(|m| self.apply_members(clock, upstream, &lock(m), &plan.members));
        for ((spec, answer_timeouts), index) in
            plan.pools.into_iter().zip(plan.answer_timeouts).zip(&queue_of_pool)
        {
            self.queues[*index].reconfigure(clock, spec, answer_timeouts);
        }
        if let Some(members) = members {
            // Only now, after the queues were reconfigured, is nothing more sent to removed members.
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

    /// Checks whether the plan can be applied; returns the index of the queue of each of its pools.
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

    /// Applies new members, changed addresses, and sources. Does not drain or remove members of pools: the
    /// queues do that when [`DispatchQueues::apply_plan`] passes them their pools' new specifications.
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
            changes.count_change(before.is_none(), moved);
            let cache = CacheId(id.clone());
            if before.is_none() || moved {
                upstream.add_node(cache.clone(), member.addr, now_ms);
            }
            upstream.set_timeouts(&cache, member.timeouts);
            if member.is_source {
                // A source that is new, or that was stopped before, may have just started.
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

    /// Notifies every pool that a member started at `started_ms`.
    fn notify_restart(&self, clock: &Clock, id: &Arc<str>, started_ms: f64) {
        for queue in &self.queues {
            queue.handle_event(
                clock,
                Event::EndpointReported { id: id.clone(), state: ListedState::Up, started_ms },
            );
        }
    }
}

impl MemberChanges {
    /// Counts one member as added, moved or changed otherwise.
    fn count_change(&mut self, added: bool, moved: bool) {
        if added {
            self.added += 1;
        } else if moved {
            self.moved += 1;
        } else {
            self.changed += 1;
        }
    }
}
