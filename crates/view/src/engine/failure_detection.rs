//! Failure detection: pings the members that this front watches, exchanges suspicions with the other
//! watchers, and decides whether a member has failed.

use super::*;

/// A suspicion, or the withdrawal of one, received from another watcher in an [`Item::Suspicion`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedSuspicion {
    /// The member that is or was suspected.
    pub(super) of: Id,
    /// The incarnation of the member in the watcher's view.
    pub(super) incarnation: u32,
    /// The suspicion or its withdrawal, with the time at which it was received.
    pub(super) suspicion: Suspicion,
    /// The number of the watcher's unanswered ping to the member; 0 if there is none.
    pub(super) ping: u32,
}

impl View {
    /// Decides whether a suspected member has failed. An unconfirmed verdict is deferred, because a partition
    /// between the member and this front may heal at any moment.
    pub(super) fn decide_on_suspected_member(&mut self, now_ms: f64, id: Id, actions: &mut Vec<Action>) {
        let Some(member) = self.table.get(id).filter(|m| m.fact.state.is_live()) else { return };
        let (own, process_id) = (self.own_id(), member.fact.process_id);
        let watchers = self.rings.watchers(id);
        let member_count = self.table.live_count();
        let verdict = self.detector.verdict(id, process_id, own, watchers, member_count, now_ms);
        let Some(Verdict { is_confirmed }) = verdict else { return };
        // Rings recomputed after an unconfirmed failure no longer contain the unreachable watchers. The
        // remaining watchers agree, but may all be on the same side of a partition.
        let confirmed = is_confirmed && now_ms - self.last_unconfirmed_ms > UNCONFIRMED_PERIOD_MS;
        let rank = Rank { state: FrontState::Failed, confirmed, detected_by: own, ..member.rank };
        let suspecting = self.detector.suspecting_watchers(id, process_id, now_ms);
        let names: Vec<String> = suspecting.iter().map(|by| self.front_name(*by)).collect();
        if confirmed {
            self.record_history(id, now_ms, format!("no answer to {}", names.join(", ")), String::new());
            let merged = self.table.merge_rank(id, rank, now_ms);
            self.handle_merge_outcome(now_ms, id, merged, None, false, actions);
        } else if !self.deferred.contains_key(&id) {
            let what = format!("no answer to {}; others who watch it are out of reach", names.join(", "));
            self.record_history(id, now_ms, what, String::new());
            let until_ms = now_ms + self.refutation_wait_ms();
            let deferred = DeferredFailure { rank, from: own, until_ms, sent: 0, notified_ms: now_ms };
            self.deferred.insert(id, deferred);
            self.notify_reported_member(now_ms, id, rank, actions);
        }
    }

    /// Pings a member. If `indirect` is set, also asks a few other members to ping it.
    pub(super) fn ping_member(&mut self, now_ms: f64, id: Id, indirect: bool, actions: &mut Vec<Action>) {
        let Some((to, process_id)) = self.table.get(id).map(|m| (m.fact.addr, m.fact.process_id)) else {
            return;
        };
        let number = self.next_ping_number();
        self.send(now_ms, to, vec![Item::Ping(number)], actions);
        self.detector.ping_sent(id, number, now_ms);
        if indirect {
            let others: Vec<SocketAddr> =
                self.live_peers().filter(|(other, _)| *other != id).map(|(_, m)| m.fact.addr).collect();
            let helpers: Vec<SocketAddr> =
                others.choose_multiple(&mut self.rng, INDIRECT_PING_HELPERS).copied().collect();
            for to in helpers {
                self.send(now_ms, to, vec![Item::PingRequest(id, process_id, number)], actions);
            }
        }
    }

    /// Handles the suspicion, or the withdrawal of one, that another watcher sent.
    pub(super) fn receive_suspicion(
        &mut self,
        now_ms: f64,
        received: ReceivedSuspicion,
        message: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let ReceivedSuspicion { of, incarnation, suspicion, ping } = received;
        if of == self.own_id() {
            if suspicion.process_id == self.own.process_id {
                reply.push(Item::Ack(ping));
            }
            return;
        }
        let Some(member) = self.table.get(of) else { return };
        let fact = &member.fact;
        if !fact.state.is_live() || fact.process_id != suspicion.process_id || fact.incarnation > incarnation
        {
            reply.push(Item::FactRank(of, member.rank));
            return;
        }
        if !self.rings.watchers(of).contains(&message.from) {
            return;
        }
        // Acknowledges with ping number 0, so that the watcher sees that this front is in reach although it
        // does not suspect the member.
        if suspicion.is_active && reply.is_empty() && !self.detector.suspects(of) {
            reply.push(Item::Ack(0));
        }
        if self.detector.record_suspicion(of, message.from, suspicion) {
            let by = self.front_name(message.from);
            self.record_history(of, now_ms, describe_suspicion(suspicion.is_active).into(), by);
        }
        self.decide_on_suspected_member(now_ms, of, actions);
    }

    /// Sends this front's own suspicion of a member, or the withdrawal of it, to all other watchers of that
    /// member, and a suspicion also to the member itself.
    pub(super) fn broadcast_suspicion(
        &mut self,
        now_ms: f64,
        of: Id,
        is_active: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.table.get(of).filter(|m| m.fact.state.is_live()) else { return };
        let Fact { process_id, incarnation, addr: member_addr, .. } = member.fact;
        self.suspicion_number += 1;
        let (own, number) = (self.own_id(), self.suspicion_number);
        let is_only_silent = self.detector.is_only_silent(of, now_ms);
        let suspicion = Suspicion { number, at_ms: now_ms, process_id, is_active, is_only_silent };
        if self.detector.record_suspicion(of, own, suspicion) {
            self.record_history(of, now_ms, describe_suspicion(is_active).into(), String::new());
        }
        let ping = self.detector.outstanding_ping(of).unwrap_or(0);
        let item = Item::Suspicion { of, process_id, incarnation, number, ping, is_active, is_only_silent };
        let watchers = self.rings.watchers(of).iter().filter(|w| **w != own);
        let mut to: Vec<SocketAddr> =
            watchers.filter_map(|w| self.table.get(*w)).map(|m| m.fact.addr).collect();
        to.extend(is_active.then_some(member_addr));
        for to in to {
            self.send(now_ms, to, vec![item.clone()], actions);
        }
    }
}

/// Returns the text for a suspicion or its withdrawal in the history of a front.
fn describe_suspicion(is_active: bool) -> &'static str {
    if is_active {
        "suspected"
    } else {
        "no longer suspected"
    }
}
