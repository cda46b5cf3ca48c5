//! Handling of received datagrams: verifies them, handles their items, and limits the reply to the budget.

use super::failure_detection::ReceivedSuspicion;
use super::*;

impl View {
    /// Handles one datagram: verifies it, records that its sender is alive, handles its items, and replies
    /// within the budget.
    pub(super) fn receive_datagram(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = self.open_datagram(now_ms, bytes) else { return };
        self.counters.accepted += 1;
        self.last_received_ms = now_ms;
        let mut reply = self.answer_sender(now_ms, from, &message, actions);
        let sender = self.live_position(message.from, message.process_id);
        self.settlement.merge_holders(message.digest, &message.holders, sender, now_ms);
        let has_hello = message.items.iter().any(|i| matches!(i, Item::Hello(_)));
        if has_hello || message.items.iter().any(|i| matches!(i, Item::FullFact(f) if f.id() == message.from))
        {
            reply.retain(|i| !matches!(i, Item::FactRequest(_)));
        }
        let missing = self.receive_items(now_ms, from, &message, &mut reply, actions);
        self.append_requests(now_ms, &message, missing, &mut reply);
        self.trim_reply(now_ms, message.from, &mut reply);
        if !reply.is_empty() {
            self.send(now_ms, from, reply, actions);
        }
    }

    /// Returns the message of a datagram if it is valid, signed with a known key and not a replay; otherwise
    /// counts the datagram as dropped.
    fn open_datagram(&mut self, now_ms: f64, bytes: &[u8]) -> Option<Message> {
        let Some(message) = Message::open(bytes, &self.keys) else {
            self.counters.malformed += 1;
            return None;
        };
        if message.process_id == self.own.process_id
            || !self.replays.record_if_new(message.process_id, 0, message.sequence, now_ms)
        {
            self.counters.replayed += 1;
            return None;
        }
        Some(message)
    }

    /// Returns the first items of the reply, which depend on what the view knows of the sender's name.
    fn answer_sender(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Vec<Item> {
        let known = self.table.get(message.from).map(|k| (k.fact.process_id, k.fact.state, k.rank));
        let mut reply = Vec::new();
        match known {
            Some((process_id, state, _)) if process_id == message.process_id && state.is_live() => {
                self.detector.received_from(message.from, now_ms);
            }
            // The view lists the sender as failed. It is notified, and refutes that with a higher
            // incarnation.
            Some((process_id, FrontState::Failed, rank)) if process_id == message.process_id => {
                reply.push(Item::FactRank(message.from, rank));
            }
            Some((_, state, _)) if message.from != self.own_id() && state.is_live() => {
                // The view lists another process of the sender's name; the reply says which one.
                reply.extend(self.full_fact(message.from));
            }
            _ if message.from != self.own_id() => reply.push(Item::FactRequest(vec![message.from])),
            _ => {
                let is_listed =
                    self.table.get(message.from).is_some_and(|k| k.fact.process_id == message.process_id);
                self.record_duplicate(now_ms, from, is_listed || !self.is_admitted, actions);
                reply.push(Item::FullFact(self.own.clone()));
            }
        }
        reply
    }

    /// Handles each item of the message and appends answers to `reply`; returns the members whose complete
    /// facts are missing.
    fn receive_items(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        message: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) -> Vec<Id> {
        let mut missing = Vec::new();
        for (i, item) in message.items.iter().enumerate() {
            match item {
                Item::Ping(number) => reply.push(Item::Ack(*number)),
                Item::Ack(number) => self.receive_ack(now_ms, *number, message, actions),
                Item::PingRequest(id, process_id, number) => {
                    self.forward_ping(now_ms, *id, *process_id, *number, from, actions);
                }
                Item::Hello(fact) => self.receive_hello(now_ms, fact, message, reply, actions),
                Item::DuplicateName(addr) if *addr != self.own.addr => {
                    self.record_duplicate(now_ms, *addr, false, actions);
                }
                Item::DuplicateName(_) => {}
                Item::FullFact(fact) => {
                    // Another front announces this process as live, so it has been admitted.
                    self.is_admitted |= fact.process_id == self.own.process_id && fact.state.is_live();
                    self.receive_fact(now_ms, fact, message.from, actions);
                }
                Item::FactRank(id, rank) => {
                    let is_own = *id == self.own_id() && rank.process_id == self.own.process_id;
                    self.is_admitted |= is_own && rank.state.is_live();
                    let is_missing = self.receive_rank(now_ms, *id, *rank, message.from, actions);
                    if is_missing && missing.len() < MAX_REQUESTED_FACTS {
                        missing.push(*id);
                    }
                }
                Item::FactRequest(ids) => {
                    let own = ids.contains(&self.own_id()).then(|| Item::FullFact(self.own.clone()));
                    let others = ids.iter().filter(|id| **id != self.own_id());
                    let known = others.filter_map(|id| self.full_fact(*id));
                    reply.extend(own.into_iter().chain(known.take(MAX_REQUESTED_FACTS)));
                }
                Item::BucketSums(theirs) => {
                    if self.has_spare_budget(now_ms) {
                        self.answer_bucket_sums(theirs, reply);
                    }
                }
                Item::DifferingBuckets(buckets) => {
                    self.answer_differing_buckets(*buckets, &message.items[i + 1..], reply);
                }
                &Item::Suspicion { of, process_id, incarnation, number, ping, is_active, is_only_silent } => {
                    let suspicion =
                        Suspicion { number, at_ms: now_ms, process_id, is_active, is_only_silent };
                    let received = ReceivedSuspicion { of, incarnation, suspicion, ping };
                    self.receive_suspicion(now_ms, received, message, reply, actions);
                }
            }
        }
        missing
    }

    /// Returns the complete fact about a member as an item; `None` if the member is unknown.
    fn full_fact(&self, id: Id) -> Option<Item> {
        self.table.get(id).map(|m| Item::FullFact(m.fact.clone()))
    }

    /// Appends a request for the missing facts and, if the digests differ, the bucket sums that start a
    /// comparison of the views.
    fn append_requests(&mut self, now_ms: f64, message: &Message, missing: Vec<Id>, reply: &mut Vec<Item>) {
        if !missing.is_empty() && self.has_spare_budget(now_ms) {
            reply.push(Item::FactRequest(missing));
        }
        let is_comparison_due = message.digest != self.table.digest()
            && now_ms - self.last_comparison_ms >= COMPARISON_INTERVAL_MS;
        if is_comparison_due
            && self.is_admitted
            && !message.items.iter().any(|i| matches!(i, Item::BucketSums(_)))
            && self.has_spare_budget(now_ms)
        {
            self.last_comparison_ms = now_ms;
            reply.push(Item::BucketSums(self.table.bucket_sums()));
        }
    }

    /// Removes from a reply to `sender` the items that may not be sent before this front is admitted or
    /// without spare budget.
    fn trim_reply(&mut self, now_ms: f64, sender: Id, reply: &mut Vec<Item>) {
        if !self.is_admitted {
            // Until this front is admitted, its own fact is sent in its hello alone, because another process
            // of its name may be live.
            let own = self.own_id();
            reply.retain(|i| match i {
                Item::FullFact(f) => f.id() != own,
                Item::FactRank(id, _) => *id != own,
                Item::BucketSums(_) | Item::DifferingBuckets(_) => false,
                _ => true,
            });
        }
        if !self.has_spare_budget(now_ms) {
            // The remaining budget is reserved for acknowledgements: a seed that spends it all on newcomers
            // would appear to have failed. A newcomer without an answer polls again, whereas one that got
            // only part of an answer would know no other front and stop polling.
            reply.retain(|i| match i {
                Item::Ack(_) => true,
                Item::FactRank(id, rank) => *id == sender && !rank.state.is_live(),
                _ => false,
            });
        }
    }

    /// Handles the answer to a ping. If the ping was sent on behalf of another front, forwards the answer to
    /// that front.
    fn receive_ack(&mut self, now_ms: f64, number: u32, message: &Message, actions: &mut Vec<Action>) {
        if let Some(forwarded) = self.forwarded_pings.remove(&number) {
            self.send(now_ms, forwarded.origin, vec![Item::Ack(forwarded.number)], actions);
            return;
        }
        let sender = FrontProcess { id: message.from, process_id: message.process_id };
        let answered = self.detector.ping_answered(number, Some(sender), now_ms);
        if let Some(AnsweredPing { id, ends_suspicion: true }) = answered {
            self.broadcast_suspicion(now_ms, id, false, actions);
        }
    }

    /// Pings a process of a member on behalf of the front at `from`, which expects the answer under `number`.
    fn forward_ping(
        &mut self,
        now_ms: f64,
        id: Id,
        process_id: u64,
        number: u32,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let member = self.table.get(id).filter(|m| m.fact.process_id == process_id && id != self.own_id());
        if let Some(to) =
            member.map(|m| m.fact.addr).filter(|_| self.forwarded_pings.len() < MAX_FORWARDED_PINGS)
        {
            let own_number = self.next_ping_number();
            self.forwarded_pings.insert(own_number, ForwardedPing { origin: from, number, sent_ms: now_ms });
            self.send(now_ms, to, vec![Item::Ping(own_number)], actions);
        }
    }
}
