//! Failure detection: pinging the members this front watches, exchanging suspicions with the other watchers, and the
//! verdict on a member.

use super::*;

/// A suspicion, or its withdrawal, received from another watcher in an [`Item::Suspicion`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedSuspicion {
    /// The member that it is about.
    pub(super) of: Id,
    /// The member's incarnation as the watcher has it.
    pub(super) incarnation: u32,
    /// The suspicion itself.
    pub(super) suspicion: Suspicion,
    /// The number of the watcher's outstanding ping; 0 where there is none.
    pub(super) ping: u32,
}

impl View {
    /// Decides whether a suspected member has failed; a verdict that is not confirmed is deferred, as the member's side of
    /// a partition may join this one at any moment.
    pub(super) fn judge_member(&mut self, now_ms: f64, id: Id, actions: &mut Vec<Action>) {
        let Some(member) = self.table.get(id).filter(|m| m.fact.state.is_live()) else { return };
        let (own, process_id) = (self.id(), member.fact.process_id);
        let watchers = self.rings.watchers(id);
        let member_count = self.table.live_count();
        let verdict = self.detector.verdict(id, process_id, own, watchers, member_count, now_ms);
        let Some(Verdict { is_confirmed }) = verdict else { return };
        // Rings redrawn after an unconfirmed failure lack the unreachable watchers: the others agree, and may all be on one
        // side.
        let confirmed = is_confirmed && now_ms - self.last_unconfirmed_ms > UNCONFIRMED_PERIOD_MS;
        let rank = Rank { state: FrontState::Failed, confirmed, detected_by: own, ..member.rank };
        let suspecting = self.detector.suspected_by(id, process_id, now_ms);
        let names: Vec<String> = suspecting.iter().map(|by| self.name(*by)).collect();
        if confirmed {
            self.record_history(id, now_ms, format!("no answer to {}", names.join(", ")), String::new());
            let merged = self.table.merge_rank(id, rank, now_ms);
            self.apply_merged(now_ms, id, merged, None, false, actions);
        } else if !self.deferred.contains_key(&id) {
            let what = format!("no answer to {}; others who watch it are out of reach", names.join(", "));
            self.record_history(id, now_ms, what, String::new());
            let until_ms = now_ms + self.answer_wait_ms();
            let deferred = DeferredFailure { rank, from: own, until_ms, sent: 0, notified_ms: now_ms };
            self.deferred.insert(id, deferred);
            self.notify_suspected(now_ms, id, rank, actions);
        }
    }

    /// Pings a member; `indirect`: also asks a few others to.
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
                others.choose_multiple(&mut self.rng, INDIRECT_PINGS).copied().collect();
            for to in helpers {
                self.send(now_ms, to, vec![Item::PingRequest(id, process_id, number)], actions);
            }
        }
    }

    /// Takes another watcher's suspicion, or its withdrawal.
    pub(super) fn receive_suspicion(
        &mut self,
        now_ms: f64,
        received: ReceivedSuspicion,
        message: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let ReceivedSuspicion { of, incarnation, suspicion, ping } = received;
        if of == self.id() {
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
        // Shows the watcher that this front is in reach, where no suspicion of its own does.
        if suspicion.is_active && reply.is_empty() && !self.detector.suspects(of) {
            reply.push(Item::Ack(0));
        }
        if self.detector.record(of, message.from, suspicion) {
            let by = self.name(message.from);
            self.record_history(of, now_ms, describe(suspicion.is_active).into(), by);
        }
        self.judge_member(now_ms, of, actions);
    }

    /// Sends this front's own suspicion of a member, or its withdrawal, to all who watch it too and to the member itself.
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
        let (own, number) = (self.id(), self.suspicion_number);
        let is_only_silent = self.detector.is_only_silent(of, now_ms);
        let suspicion = Suspicion { number, at_ms: now_ms, process_id, is_active, is_only_silent };
        if self.detector.record(of, own, suspicion) {
            self.record_history(of, now_ms, describe(is_active).into(), String::new());
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

/// A suspicion, or its withdrawal, as it is shown in a front's history.
fn describe(is_active: bool) -> &'static str {
    if is_active {
        "suspected"
    } else {
        "no longer suspected"
    }
}
