//! Handling of a tick: carries out everything that is due by then.

use super::*;

impl View {
    pub(super) fn tick(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if self.has_left {
            return;
        }
        if self.table.live_count() > 1 && now_ms - self.last_received_ms > REJOIN_AFTER_MS {
            self.rejoin(now_ms);
        }
        self.detect_failures(now_ms, actions);
        self.repeat_notifications(now_ms, actions);
        self.apply_expired_deferrals(now_ms, actions);
        if now_ms >= self.next_poll_ms {
            self.next_poll_ms = now_ms + if self.is_admitted { POLL_INTERVAL_MS } else { JOIN_INTERVAL_MS };
            self.poll_absent_fronts(now_ms, actions);
        }
        if now_ms >= self.next_expiry_ms {
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
            self.expire_old_entries(now_ms);
        }
        if self.gossip_interval_ms().is_some_and(|interval| now_ms >= self.last_gossip_ms + interval) {
            self.last_gossip_ms = now_ms;
            self.gossip_round(now_ms, actions);
        }
    }

    /// Sends the pings and suspicions that are due, and decides whether the suspected members have failed.
    fn detect_failures(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        for due in self.detector.due_messages(now_ms) {
            match due {
                DueMessage::Suspicion(id) => self.broadcast_suspicion(now_ms, id, true, actions),
                DueMessage::Ping { id, indirect } => self.ping_member(now_ms, id, indirect, actions),
            }
        }
        let suspected: Vec<Id> = self.detector.suspected_members().collect();
        for id in suspected {
            self.decide_on_suspected_member(now_ms, id, actions);
        }
    }

    /// Repeats the notification of members whose failure this front detected but still defers: if a partition
    /// heals, the notification reaches the member and lets it refute the failure.
    fn repeat_notifications(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let own = self.own_id();
        let mut renewed = Vec::new();
        for (id, deferred) in &mut self.deferred {
            let is_due = now_ms - deferred.notified_ms >= NOTIFICATION_INTERVAL_MS;
            if deferred.rank.detected_by == own && is_due {
                deferred.notified_ms = now_ms;
                renewed.push((*id, deferred.rank));
            }
        }
        for (id, rank) in renewed {
            self.notify_reported_member(now_ms, id, rank, actions);
        }
    }

    /// Applies the deferred failures that the members concerned did not refute in time.
    fn apply_expired_deferrals(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let expired = self.deferred.iter().filter(|(_, d)| now_ms >= d.until_ms);
        let expired: Vec<(Id, Rank, Id)> = expired.map(|(id, d)| (*id, d.rank, d.from)).collect();
        for (id, rank, from) in expired {
            self.deferred.remove(&id);
            let merged = self.table.merge_rank(id, rank, now_ms);
            self.handle_merge_outcome(now_ms, id, merged, Some(from), false, actions);
        }
    }
}
