//! Receiving datagrams: opening and checking them, dispatching their items, and trimming the reply to the budget.

use super::failure_detection::ReceivedAlert;
use super::*;

impl View {
    /// Takes one datagram: checks it, notes its sender, takes in its items, and answers within the budget.
    pub(super) fn receive_datagram(
        &mut self,
        at: f64,
        from: SocketAddr,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(m) = self.open_datagram(at, bytes) else { return };
        self.counts.taken += 1;
        self.heard_ms = at;
        let mut reply = self.answer_sender(at, from, &m, actions);
        let place = self.place(m.from, m.birth);
        self.settle.heard(m.digest, &m.held, place, at);
        let hello = m.items.iter().any(|i| matches!(i, Item::Hello(_)));
        if hello || m.items.iter().any(|i| matches!(i, Item::Whole(f) if f.id() == m.from)) {
            reply.retain(|i| !matches!(i, Item::Want(_)));
        }
        let wanted = self.receive_items(at, from, &m, &mut reply, actions);
        self.finish_reply(at, &m, wanted, &mut reply);
        if !reply.is_empty() {
            self.send(at, from, reply, actions);
        }
    }

    /// The datagram's message, where it is one of ours under a known key and not a replay; else counts it and drops it.
    fn open_datagram(&mut self, at: f64, bytes: &[u8]) -> Option<Message> {
        let Some(m) = Message::open(bytes, &self.keys) else {
            self.counts.malformed += 1;
            return None;
        };
        if m.birth == self.own.birth || !self.replays.is_new(m.birth, 0, m.sequence, at) {
            self.counts.replayed += 1;
            return None;
        }
        Some(m)
    }

    /// What the sender is to hear of itself first, by what the view holds of its name.
    fn answer_sender(
        &mut self,
        at: f64,
        from: SocketAddr,
        m: &Message,
        actions: &mut Vec<Action>,
    ) -> Vec<Item> {
        let sender = self.table.get(m.from).map(|h| (h.fact.birth, h.fact.stand, h.rank));
        let mut reply = Vec::new();
        match sender {
            Some((birth, stand, _)) if birth == m.birth && stand.counts() => self.watch.heard(m.from, at),
            // It is taken for gone, and is not: it is told, and answers with a higher incarnation.
            Some((birth, Stand::Gone, rank)) if birth == m.birth => reply.push(Item::Short(m.from, rank)),
            Some((_, stand, _)) if m.from != self.id() && stand.counts() => {
                // Another process of that name: it hears whom we hold, and we ask whom it tells of.
                reply.extend(self.table.get(m.from).map(|h| Item::Whole(h.fact.clone())));
            }
            _ if m.from != self.id() => reply.push(Item::Want(vec![m.from])),
            _ => {
                let held = self.table.get(m.from).is_some_and(|h| h.fact.birth == m.birth);
                self.note_duplicate(at, from, held || !self.admitted, actions);
                reply.push(Item::Whole(self.own.clone()));
            }
        }
        reply
    }

    /// Takes in each item of the message, adding answers to `reply`; returns the members whose texts are lacking.
    fn receive_items(
        &mut self,
        at: f64,
        from: SocketAddr,
        m: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) -> Vec<Id> {
        let mut wanted = Vec::new();
        for (i, item) in m.items.iter().enumerate() {
            match item {
                Item::Ping(n) => reply.push(Item::Ack(*n)),
                Item::Ack(n) => self.receive_ack(at, *n, m, actions),
                Item::Ask(id, birth, n) => self.forward_ping(at, *id, *birth, *n, from, actions),
                Item::Hello(fact) => self.answer_greeting(at, fact, m, reply, actions),
                Item::Namesake(addr) if *addr != self.own.addr => {
                    self.note_duplicate(at, *addr, false, actions)
                }
                Item::Namesake(_) => {}
                Item::Whole(fact) => {
                    // Told by others, this process has been taken up.
                    self.admitted |= fact.birth == self.own.birth && fact.stand.counts();
                    self.receive_fact(at, fact, m.from, actions);
                }
                Item::Short(id, rank) => {
                    let confirms = *id == self.id() && rank.birth == self.own.birth && rank.stand.counts();
                    self.admitted |= confirms;
                    if self.receive_rank(at, *id, *rank, m.from, actions) && wanted.len() < MOST_WANTED {
                        wanted.push(*id);
                    }
                }
                Item::Want(ids) => {
                    let whole = |id: &Id| self.table.get(*id).map(|h| Item::Whole(h.fact.clone()));
                    let own = ids.contains(&self.id()).then(|| Item::Whole(self.own.clone()));
                    let known = ids.iter().filter(|id| **id != self.id()).filter_map(whole);
                    reply.extend(own.into_iter().chain(known.take(MOST_WANTED)));
                }
                Item::Sums(theirs) => {
                    if self.budget_has_room(at) {
                        self.digest_difference(theirs, reply);
                    }
                }
                Item::Differ(bits) => self.fill_difference(*bits, &m.items[i + 1..], reply),
                Item::Alert { of, birth, incarnation, word, ping, stands, alone } => {
                    let word =
                        Word { number: *word, at_ms: at, birth: *birth, stands: *stands, alone: *alone };
                    let alert = ReceivedAlert { of: *of, incarnation: *incarnation, word, ping: *ping };
                    self.receive_alert(at, alert, m, reply, actions);
                }
            }
        }
        wanted
    }

    /// Asks for lacking texts and compares digests, then trims the reply to what may be sent now.
    fn finish_reply(&mut self, at: f64, m: &Message, wanted: Vec<Id>, reply: &mut Vec<Item>) {
        if !wanted.is_empty() && self.budget_has_room(at) {
            reply.push(Item::Want(wanted));
        }
        let differs = m.digest != self.table.digest() && at - self.compared_ms >= COMPARE_MS;
        if differs
            && self.admitted
            && !m.items.iter().any(|i| matches!(i, Item::Sums(_)))
            && self.budget_has_room(at)
        {
            self.compared_ms = at;
            reply.push(Item::Sums(self.table.sums()));
        }
        if !self.admitted {
            // This front's own fact reaches the others by its call alone, until it is taken up: another process of its
            // name may be there.
            let own = self.id();
            reply.retain(|i| match i {
                Item::Whole(f) => f.id() != own,
                Item::Short(id, _) => *id != own,
                Item::Sums(_) | Item::Differ(_) => false,
                _ => true,
            });
        }
        if !self.budget_has_room(at) {
            // What is left of the budget is for answers: a seed that spends all on newcomers would be taken for gone.
            // A newcomer that gets no answer calls again; one that got half of one would know nobody and call no more.
            let about = m.from;
            reply.retain(|i| match i {
                Item::Ack(_) => true,
                Item::Short(id, rank) => *id == about && !rank.stand.counts(),
                _ => false,
            });
        }
    }

    pub(super) fn receive_ack(&mut self, at: f64, number: u32, m: &Message, actions: &mut Vec<Action>) {
        if let Some((to, theirs, _)) = self.forwards.remove(&number) {
            self.send(at, to, vec![Item::Ack(theirs)], actions);
            return;
        }
        if let Some((id, true)) = self.watch.answered(number, Some((m.from, m.birth)), at) {
            self.broadcast_suspicion(at, id, false, actions);
        }
    }

    pub(super) fn forward_ping(
        &mut self,
        at: f64,
        id: Id,
        birth: u64,
        number: u32,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let to = self.table.get(id).filter(|h| h.fact.birth == birth && id != self.id()).map(|h| h.fact.addr);
        if let Some(to) = to.filter(|_| self.forwards.len() < MOST_FORWARDS) {
            let own = self.next_probe_number();
            self.forwards.insert(own, (from, number, at));
            self.send(at, to, vec![Item::Ping(own)], actions);
        }
    }
}
