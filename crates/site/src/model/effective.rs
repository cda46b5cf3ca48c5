//! Filling in the defaults of everything that a document leaves out.

use super::defaults::*;
use super::{
    Class, Effect, FleetView, Front, Gossip, GossipPeers, Kind, Match, Member, MembersFrom, Order, Pool,
    Protocol, RouteSet, Site, State, Use,
};
use std::collections::HashMap;

impl Site {
    /// The site with every default filled in. What has no default (an absent limit is no limit) stays absent.
    pub fn effective(&self) -> Site {
        let mut site = self.clone();
        site.members_from.get_or_insert(MembersFrom::Bus);
        site.front.iter_mut().for_each(fill_front);
        for zone in &mut site.zones {
            zone.fronts.get_or_insert(1);
        }
        site.classes.iter_mut().for_each(fill_class);
        site.members.iter_mut().for_each(fill_member);
        let members: HashMap<&str, &Member> = site.members.iter().map(|m| (m.id.as_str(), m)).collect();
        site.pools.iter_mut().for_each(|pool| fill_pool(pool, &members));
        site.gossip.iter_mut().for_each(fill_gossip);
        site.view.iter_mut().for_each(fill_view);
        site.routes.iter_mut().for_each(fill_routes);
        site
    }
}

impl Pool {
    /// Whether the pool or any of its members limits requests, so that requests may have to wait for a permit.
    pub(crate) fn is_bounded(&self, members: &HashMap<&str, &Member>) -> bool {
        let member_is_bounded =
            |u: &Use| members.get(u.member.as_str()).is_some_and(|m| m.limits.is_bounded());
        self.limits.in_flight.or(self.limits.connections).is_some()
            || self.members.iter().any(member_is_bounded)
    }
}

impl Use {
    /// The administrative state that takes effect: the stricter of the membership's and the member's own.
    pub(crate) fn effective_state(&self, member: Option<&Member>) -> State {
        let own = member.map_or(State::Ready, |m| m.state);
        self.state.map_or(own, |here| here.stricter(own))
    }
}

fn fill_front(front: &mut Front) {
    front.memory_mb.get_or_insert(MEMORY_MB);
    front.sockets.get_or_insert(SOCKETS);
    front.stream_kb_per_s.get_or_insert(STREAM_KB_PER_S);
}

fn fill_class(class: &mut Class) {
    class.objective_stretch.get_or_insert(0.0);
    class.priority_weight.get_or_insert(1.0);
    class.late_weight.get_or_insert(0.0);
    class.effect.get_or_insert(Effect::Idempotent);
    class.write.get_or_insert(false);
    class.fresh_ms.get_or_insert(0);
    class.grace_ms.get_or_insert(0);
}

fn fill_member(member: &mut Member) {
    member.protocol.get_or_insert(Protocol::Resp);
    member.kind.get_or_insert(Kind::Cache);
    member.weight.get_or_insert(1.0);
    member.link_kb_per_s.get_or_insert(MEMBER_KB_PER_S);
    member.limits.connect_ms.get_or_insert(CONNECT_MS);
    member.limits.idle_ms.get_or_insert(IDLE_MS);
}

fn fill_pool(pool: &mut Pool, members: &HashMap<&str, &Member>) {
    for u in &mut pool.members {
        let member = members.get(u.member.as_str()).copied();
        u.weight = u.weight.or(member.and_then(|m| m.weight));
        u.state = Some(u.effective_state(member));
        u.tier.get_or_insert(0);
    }
    if pool.is_bounded(members) {
        pool.limits.wait_ms.get_or_insert(WAIT_MS);
        pool.limits.waiting.get_or_insert(QUEUED);
    }
    pool.retry.attempts.get_or_insert(ATTEMPTS);
    pool.retry.budget.get_or_insert(RETRY_BUDGET);
    pool.retry.burst.get_or_insert(RETRY_BURST);
    let recovery = &mut pool.recovery;
    recovery.failures.get_or_insert(FAILURES);
    // A default never passes the value that was given for the other: what is shown must be readable.
    let first_default = recovery.max_backoff_ms.unwrap_or(FIRST_BACKOFF_MS).min(FIRST_BACKOFF_MS);
    let first = *recovery.first_backoff_ms.get_or_insert(first_default);
    recovery.max_backoff_ms.get_or_insert(MAX_BACKOFF_MS.max(first));
}

fn fill_gossip(gossip: &mut Gossip) {
    gossip.bytes_per_s.get_or_insert(GOSSIP_BYTES_PER_S);
    gossip.burst_bytes.get_or_insert(GOSSIP_BURST_BYTES);
    gossip.skew_ms.get_or_insert(SKEW_MS);
    gossip.peers.get_or_insert(GossipPeers::Own);
}

fn fill_view(view: &mut FleetView) {
    view.watchers.get_or_insert(WATCHERS);
    view.bytes_per_s.get_or_insert(VIEW_BYTES_PER_S);
    view.burst_bytes.get_or_insert(VIEW_BURST_BYTES);
}

fn fill_routes(set: &mut RouteSet) {
    set.order.get_or_insert(Order::First);
    set.inherit.get_or_insert(false);
    for rule in &mut set.rules {
        rule.matching.get_or_insert(Match::Prefix);
    }
}
