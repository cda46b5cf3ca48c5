//! Polling remembered peers and seeds, rejoining after a long time out of touch, and forgetting old entries.

use super::*;

impl View {
    /// Calls those that may be there though the view does not hold them.
    pub(super) fn poll_unreached(&mut self, at: f64, actions: &mut Vec<Action>) {
        let hello = Item::Hello(self.own.clone());
        if self.twin.is_some() || !self.admitted {
            let mut to = self.random_peers(1);
            let seeds: Vec<SocketAddr> =
                self.config.seeds.iter().copied().filter(|s| *s != self.own.addr).collect();
            to.extend(seeds.choose_multiple(&mut self.rng, 2));
            let before = self.config.remembered.iter().map(|r| r.1);
            let before: Vec<SocketAddr> = before.filter(|a| *a != self.own.addr).collect();
            to.extend(before.choose_multiple(&mut self.rng, 2));
            for to in to {
                self.send(at, to, vec![hello.clone()], actions);
            }
            return;
        }
        let known: Vec<SocketAddr> = self.table.counted().map(|(_, h)| h.fact.addr).collect();
        let seeds = self.config.begin_with().filter(|a| *a != self.own.addr);
        let gone = self.table.iter().filter(|(_, h)| h.fact.stand == Stand::Gone).map(|(_, h)| h.fact.addr);
        let lost: Vec<SocketAddr> = seeds.chain(gone).filter(|a| !known.contains(a)).collect();
        let part = (lost.len() as f64 * CALLS_A_SECOND / known.len().max(1) as f64).min(1.0);
        if !lost.is_empty() && self.rng.random::<f64>() < part {
            if let Some(to) = lost.choose(&mut self.rng).copied() {
                self.send(at, to, vec![hello], actions);
            }
        }
    }

    /// This front was out of touch for so long that others may have forgotten what it missed.
    pub(super) fn rejoin(&mut self, at: f64) {
        let known: Vec<SocketAddr> = self.peers().into_iter().take(64).collect();
        self.config
            .seeds
            .extend(known.iter().filter(|a| !self.config.seeds.contains(a)).copied().collect::<Vec<_>>());
        self.config.seeds.truncate(256);
        self.table.keep_only(self.own.id());
        self.news.clear();
        self.waiting.clear();
        self.admitted = false;
        self.stale = true;
        self.heard_ms = at;
    }

    pub(super) fn expire_old_entries(&mut self, at: f64) {
        self.table.forget(FORGET_MS, at);
        if self.admitted && at > self.remembered_until {
            self.config.remembered.clear();
        }
        let table = &self.table;
        self.watch.fade(|id| table.get(id).is_some_and(|h| h.fact.stand.counts()), at);
        self.tales.retain(|id, _| table.get(*id).is_some());
        self.forwards.retain(|_, f| at - f.2 < 5_000.0);
        if self.twin.is_some_and(|t| at - t.2 > TWIN_LASTS_MS) {
            self.twin = None;
        }
        self.number = self.number.wrapping_add(u32::from(self.rng.random::<u8>()));
    }
}
