//! Failure detection: pinging the members this front watches, the watchers' suspicions, and the verdict on a member.

use super::*;

/// A suspicion raised or withdrawn by another watcher of a member, as it came in an [`Item::Alert`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedAlert {
    /// The member that the alert is about.
    pub(super) of: Id,
    /// The member's incarnation as the watcher held it.
    pub(super) incarnation: u32,
    /// The watcher's word: its count, the member's birth, and whether the suspicion stands.
    pub(super) word: Word,
    /// The number of the watcher's ping that waits for an answer; 0 where none does.
    pub(super) ping: u32,
}

impl View {
    /// Looks whether one that does not answer is gone.
    pub(super) fn judge_member(&mut self, at: f64, id: Id, actions: &mut Vec<Action>) {
        let Some(h) = self.table.get(id).filter(|h| h.fact.stand.counts()) else { return };
        let own = self.id();
        let watchers = self.rings.watchers(id);
        let Some(sure) = self.watch.verdict(id, h.fact.birth, own, watchers, self.table.count(), at) else {
            return;
        };
        // Once some were out of reach, the rings are drawn without them: those left agree, and may all be of one side.
        let sure = sure && at - self.unsure_ms > UNSURE_MS;
        let rank = Rank { stand: Stand::Gone, sure, by: own, ..h.rank };
        let against = self.watch.against(id, h.fact.birth, at);
        let names: Vec<String> = against.iter().map(|by| self.name(*by)).collect();
        if !sure && !self.waiting.contains_key(&id) {
            // Its side of a partition may join ours in this moment; its own answer comes first then.
            self.record_history(
                id,
                at,
                format!("no answer to {}; others who watch it are out of reach", names.join(", ")),
                String::new(),
            );
            let from = own;
            let until_ms = at + self.answer_wait_ms();
            self.waiting.insert(id, Waiting { rank, from, until_ms, told: 0, warned_ms: at });
            return self.notify_suspected(at, id, rank, actions);
        }
        if sure {
            self.record_history(id, at, format!("no answer to {}", names.join(", ")), String::new());
            let merged = self.table.merge_rank(id, rank, at);
            self.apply_merged(at, id, merged, None, false, actions);
        }
    }

    pub(super) fn probe_member(&mut self, at: f64, id: Id, again: bool, actions: &mut Vec<Action>) {
        let Some((to, birth)) = self.table.get(id).map(|h| (h.fact.addr, h.fact.birth)) else { return };
        let number = self.next_probe_number();
        self.send(at, to, vec![Item::Ping(number)], actions);
        self.watch.pinged(id, number, at);
        if again {
            let others: Vec<SocketAddr> =
                self.counted_peers().filter(|(o, _)| *o != id).map(|(_, h)| h.fact.addr).collect();
            for to in others.choose_multiple(&mut self.rng, ASKED).copied().collect::<Vec<_>>() {
                self.send(at, to, vec![Item::Ask(id, birth, number)], actions);
            }
        }
    }

    /// Another watcher's word.
    pub(super) fn receive_alert(
        &mut self,
        at: f64,
        alert: ReceivedAlert,
        m: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let ReceivedAlert { of, incarnation, word, ping } = alert;
        if of == self.id() {
            if word.birth == self.own.birth {
                reply.push(Item::Ack(ping));
            }
            return;
        }
        let Some(h) = self.table.get(of) else { return };
        if !h.fact.stand.counts() || h.fact.birth != word.birth || h.fact.incarnation > incarnation {
            reply.push(Item::Short(of, h.rank));
            return;
        }
        if !self.rings.watchers(of).contains(&m.from) {
            return;
        }
        // The answer tells the watcher that we are in reach, where no word of our own does.
        if word.stands && reply.is_empty() && !self.watch.speaks_against(of) {
            reply.push(Item::Ack(0));
        }
        if self.watch.word(of, m.from, word) {
            let (by, what) =
                (self.name(m.from), if word.stands { "suspected" } else { "no longer suspected" });
            self.record_history(of, at, what.into(), by);
        }
        self.judge_member(at, of, actions);
    }

    /// This front's own word on one that it watches, to all who watch it too and to itself.
    pub(super) fn broadcast_suspicion(&mut self, at: f64, of: Id, stands: bool, actions: &mut Vec<Action>) {
        let Some(h) = self.table.get(of).filter(|h| h.fact.stand.counts()) else { return };
        let (birth, incarnation, itself) = (h.fact.birth, h.fact.incarnation, h.fact.addr);
        self.word += 1;
        let own = self.id();
        let alone = self.watch.is_alone(of, at);
        if self.watch.word(of, own, Word { number: self.word, at_ms: at, birth, stands, alone }) {
            self.record_history(
                of,
                at,
                if stands { "suspected" } else { "no longer suspected" }.into(),
                String::new(),
            );
        }
        let ping = self.watch.waits_for(of).unwrap_or(0);
        let item = Item::Alert { of, birth, incarnation, word: self.word, ping, stands, alone };
        let watchers = self.rings.watchers(of).iter().filter(|w| **w != own);
        let mut to: Vec<SocketAddr> =
            watchers.filter_map(|w| self.table.get(*w)).map(|h| h.fact.addr).collect();
        to.extend(stands.then_some(itself));
        for to in to {
            self.send(at, to, vec![item.clone()], actions);
        }
    }
}
