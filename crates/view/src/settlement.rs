//! Whether all members hold the same view: each reports, beside its view's digest, which members it knows to have held
//! that view.

/// Which members are known to have held the view of one digest: a bit for each live member, in the order of ids, which
/// is the same for all who hold that view.
#[derive(Clone, Debug, Default)]
pub struct Settlement {
    digest: u64,
    holders: Vec<u8>,
    live_count: usize,
    settled_ms: Option<f64>,
    view_since_ms: f64,
}

impl Settlement {
    /// Sets the current view: its digest, its number of live members, and this front's own position among them.
    pub fn set_view(&mut self, digest: u64, live_count: usize, own: Option<usize>, now_ms: f64) {
        if digest != self.digest || live_count != self.live_count {
            *self = Settlement {
                digest,
                holders: vec![0; live_count.div_ceil(8)],
                live_count,
                settled_ms: None,
                view_since_ms: now_ms,
            };
        }
        if let Some(own) = own {
            self.add_holder(own, now_ms);
        }
    }

    fn add_holder(&mut self, position: usize, now_ms: f64) {
        if position < self.live_count {
            self.holders[position / 8] |= 1 << (position % 8);
        }
        self.update_settled(now_ms);
    }

    fn update_settled(&mut self, now_ms: f64) {
        let known: u32 = self.holders.iter().map(|b| b.count_ones()).sum();
        if known as usize >= self.live_count && self.settled_ms.is_none() {
            self.settled_ms = Some(now_ms);
        }
    }

    /// Merges the holders that another member reports, whose own position is `sender`; returns whether they added any.
    pub fn merge(&mut self, digest: u64, holders: &[u8], sender: Option<usize>, now_ms: f64) -> bool {
        if digest != self.digest || holders.len() != self.holders.len() {
            return false;
        }
        let before = self.holders.clone();
        for (own, other) in self.holders.iter_mut().zip(holders) {
            *own |= other;
        }
        // Bits past the last member belong to none.
        if let Some(last) = self.holders.last_mut().filter(|_| self.live_count % 8 != 0) {
            *last &= (1 << (self.live_count % 8)) - 1;
        }
        if let Some(sender) = sender {
            self.add_holder(sender, now_ms);
        }
        self.update_settled(now_ms);
        before != self.holders
    }

    /// The holders' bits, to be sent to others.
    pub fn holders(&self) -> &[u8] {
        &self.holders
    }

    /// Since when all members are known to hold this view, in milliseconds; `None` while some are not.
    pub fn settled_since(&self) -> Option<f64> {
        self.settled_ms
    }

    /// Since when this front has had this view, in milliseconds.
    pub fn view_since(&self) -> f64 {
        self.view_since_ms
    }

    /// Whether the member at that position is known to have held the view.
    pub fn is_holder(&self, position: usize) -> bool {
        self.holders.get(position / 8).is_some_and(|b| b & (1 << (position % 8)) != 0)
    }
}

#[cfg(test)]
mod tests;
