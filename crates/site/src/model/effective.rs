//! Filling in the defaults of the settings that a document does not contain.

use super::defaults::*;
use super::{
    Class, Effect, FleetView, Front, Gossip, GossipPeers, Kind, Match, Member, MembersFrom, Order, Pool,
    Protocol, RouteSet, Site, State, Use,
};
use std::collections::HashMap;

impl Site {
    /// Returns the site with every default filled in. Settings without a default stay `None`: an absent limit
    /// means no limit.
    pub fn with_defaults(&self) -> Site {
        let mut site = self.clone();
        site.members_from.get_or_insert(MembersFrom::Bus);
        site.front.iter_mut().for_each(fill_front_defaults);
        for zone in &mut site.zones {
            zone.fronts.get_or_insert(1);
        }
        site.classes.iter_mut().for_each(fill_class_defaults);
        site.members.iter_mut().for_each(fill_member_defaults);
        let members: HashMap<&str, &Member> = site.members.iter().map(|m| (m.id.as_str(), m)).collect();
        site.pools.iter_mut().for_each(|pool| fill_pool_defaults(pool, &members));
        site.gossip.iter_mut().for_each(fill_gossip_defaults);
        site.view.iter_mut().for_each(fill_view_defaults);
        site.routes.iter_mut().for_each(fill_routes_defaults);
        site
    }
}

impl Pool {
    /// Whether the pool or any of its members has a limit, so that requests may have to wait for a permit.
    pub(crate) fn is_bounded(&self, members: &HashMap<&str, &Member>) -> bool {
        let member_is_bounded =
            |u: &Use| members.get(u.member.as_str()).is_some_and(|m| m.limits.is_bounded());
        self.limits.in_flight.or(self.limits.connections).is_some()
            || self.members.iter().any(member_is_bounded)
    }
}

impl Use {
    /// The administrative state that takes effect: the stricter of the state in this pool and the member's
    /// own.
    pub(crate) fn effective_state(&self, member: Option<&Member>) -> State {
        let own = member.map_or(State::Ready, |m| m.state);
        self.state.map_or(own, |in_pool| in_pool.stricter(own))
    }
}

fn fill_front_defaults(front: &mut Front) {
    front.memory_mb.get_or_insert(MEMORY_MB);
    front.sockets.get_or_insert(MAX_SOCKETS);
    front.stream_kb_per_s.get_or_insert(STREAM_KB_PER_S);
}

fn fill_class_defaults(class: &mut Class) {
    class.objective_stretch.get_or_insert(0.0);
    class.priority_weight.get_or_insert(1.0);
    class.late_weight.get_or_insert(0.0);
    class.effect.get_or_insert(Effect::Idempotent);
    class.write.get_or_insert(false);
    class.fresh_ms.get_or_insert(0);
    class.grace_ms.get_or_insert(0);
}

fn fill_member_defaults(member: &mut Member) {
    member.protocol.get_or_insert(Protocol::Resp);
    member.kind.get_or_insert(Kind::Cache);
    member.weight.get_or_insert(1.0);
    member.link_kb_per_s.get_or_insert(MEMBER_LINK_KB_PER_S);
    member.limits.connect_ms.get_or_insert(CONNECT_TIMEOUT_MS);
    member.limits.idle_ms.get_or_insert(IDLE_TIMEOUT_MS);
}

fn fill_pool_defaults(pool: &mut Pool, members: &HashMap<&str, &Member>) {
    for u in &mut pool.members {
        let member = members.get(u.member.as_str()).copied();
        u.weight = u.weight.or(member.and_then(|m| m.weight));
        u.state = Some(u.effective_state(member));
        u.tier.get_or_insert(0);
    }
    if pool.is_bounded(members) {
        pool.limits.wait_ms.get_or_insert(QUEUE_WAIT_MS);
        pool.limits.waiting.get_or_insert(MAX_QUEUED);
    }
    pool.retry.attempts.get_or_insert(MAX_ATTEMPTS);
    pool.retry.budget.get_or_insert(RETRY_BUDGET);
    pool.retry.burst.get_or_insert(RETRY_BURST);
    let recovery = &mut pool.recovery;
    recovery.failures.get_or_insert(EJECT_AFTER_FAILURES);
    // A default must not conflict with the value given for the other setting, because the printed site has to
    // be accepted when it is parsed.
    let first_default = recovery.max_backoff_ms.unwrap_or(FIRST_BACKOFF_MS).min(FIRST_BACKOFF_MS);
    let first = *recovery.first_backoff_ms.get_or_insert(first_default);
    recovery.max_backoff_ms.get_or_insert(MAX_BACKOFF_MS.max(first));
}

fn fill_gossip_defaults(gossip: &mut Gossip) {
    gossip.bytes_per_s.get_or_insert(GOSSIP_BYTES_PER_S);
    gossip.burst_bytes.get_or_insert(GOSSIP_BURST_BYTES);
    gossip.skew_ms.get_or_insert(GOSSIP_SKEW_MS);
    gossip.peers.get_or_insert(GossipPeers::Own);
}

fn fill_view_defaults(view: &mut FleetView) {
    view.watchers.get_or_insert(WATCHERS_PER_FRONT);
    view.bytes_per_s.get_or_insert(VIEW_BYTES_PER_S);
    view.burst_bytes.get_or_insert(VIEW_BURST_BYTES);
}

fn fill_routes_defaults(set: &mut RouteSet) {
    set.order.get_or_insert(Order::First);
    set.inherit.get_or_insert(false);
    for rule in &mut set.rules {
        rule.matching.get_or_insert(Match::Prefix);
    }
}
