//! Polls fronts that are not live in the view, joins again after a long isolation, and removes expired
//! entries.

use super::*;

impl View {
    /// Sends a hello to fronts that may run although they are not live in the view. While this front is not
    /// admitted, polls a random member, seeds and remembered addresses; afterwards, unknown seeds and failed
    /// members at a bounded rate.
    pub(super) fn poll_absent_fronts(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let hello = Item::Hello(self.own.clone());
        if self.duplicate.is_some() || !self.is_admitted {
            let mut targets = self.random_peers(1);
            let seeds: Vec<SocketAddr> =
                self.config.seeds.iter().copied().filter(|s| *s != self.own.addr).collect();
            targets.extend(seeds.choose_multiple(&mut self.rng, 2));
            let remembered = self.config.remembered.iter().map(|r| r.addr);
            let remembered: Vec<SocketAddr> = remembered.filter(|a| *a != self.own.addr).collect();
            targets.extend(remembered.choose_multiple(&mut self.rng, 2));
            for to in targets {
                self.send(now_ms, to, vec![hello.clone()], actions);
            }
            return;
        }
        let live: Vec<SocketAddr> = self.table.live_members().map(|(_, m)| m.fact.addr).collect();
        let seeds = self.config.initial_contacts().filter(|a| *a != self.own.addr);
        let failed = self.table.iter().filter(|(_, m)| m.fact.state == FrontState::Failed);
        let failed = failed.map(|(_, m)| m.fact.addr);
        let unreached: Vec<SocketAddr> = seeds.chain(failed).filter(|a| !live.contains(a)).collect();
        let probability = (unreached.len() as f64 * FLEET_POLLS_PER_S / live.len().max(1) as f64).min(1.0);
        if !unreached.is_empty() && self.rng.random::<f64>() < probability {
            if let Some(to) = unreached.choose(&mut self.rng).copied() {
                self.send(now_ms, to, vec![hello], actions);
            }
        }
    }

    /// Joins the fleet again, after an isolation so long that others may have forgotten departures that this
    /// front missed.
    pub(super) fn rejoin(&mut self, now_ms: f64) {
        let known: Vec<SocketAddr> = self.live_peer_addrs().into_iter().take(MAX_REJOIN_PEERS).collect();
        self.config
            .seeds
            .extend(known.iter().filter(|a| !self.config.seeds.contains(a)).copied().collect::<Vec<_>>());
        self.config.seeds.truncate(MAX_REJOIN_SEEDS);
        self.table.retain_only(self.own.id());
        self.updates.clear();
        self.deferred.clear();
        self.is_admitted = false;
        self.members_changed = true;
        self.last_received_ms = now_ms;
    }

    /// Removes expired members, suspicions, history entries and forwarded pings, and forgets remembered
    /// addresses and a duplicate process that are out of date.
    pub(super) fn expire_old_entries(&mut self, now_ms: f64) {
        self.table.remove_expired(RETENTION_MS, now_ms);
        if self.is_admitted && now_ms > self.remembered_until_ms {
            self.config.remembered.clear();
        }
        let table = &self.table;
        self.detector.remove_expired(|id| table.get(id).is_some_and(|m| m.fact.state.is_live()), now_ms);
        self.history.retain(|id, _| table.get(*id).is_some());
        self.forwarded_pings.retain(|_, ping| now_ms - ping.sent_ms < FORWARDED_PING_LIFETIME_MS);
        if self.duplicate.is_some_and(|d| now_ms - d.last_seen_ms > DUPLICATE_LIFETIME_MS) {
            self.duplicate = None;
        }
        self.ping_number = self.ping_number.wrapping_add(u32::from(self.rng.random::<u8>()));
    }
}
