//! Tracks whether all members hold the same view. Each message carries the digest of its sender's view and
//! the set of members that the sender knows to have held that view.

/// The members that are known to have held the view with the current digest, as one bit for each live member
/// in the order of ids. This order is the same for all fronts that hold that view.
#[derive(Clone, Debug, Default)]
pub struct Settlement {
    digest: u64,
    holders: Vec<u8>,
    live_count: usize,
    settled_ms: Option<f64>,
    view_since_ms: f64,
}

impl Settlement {
    /// Sets the current view: its digest, its number of live members, and the position of this front among
    /// them (`None` if the view does not list this process). A different view clears the holders.
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

    /// Merges the holders that another member reports. `sender` is the position of that member among the live
    /// members, if it has one. Returns whether any holder was added.
    pub fn merge_holders(&mut self, digest: u64, holders: &[u8], sender: Option<usize>, now_ms: f64) -> bool {
        if digest != self.digest || holders.len() != self.holders.len() {
            return false;
        }
        let before = self.holders.clone();
        for (own, other) in self.holders.iter_mut().zip(holders) {
            *own |= other;
        }
        // Bits beyond the last member belong to no member and are cleared.
        if let Some(last) = self.holders.last_mut().filter(|_| self.live_count % 8 != 0) {
            *last &= (1 << (self.live_count % 8)) - 1;
        }
        if let Some(sender) = sender {
            self.add_holder(sender, now_ms);
        }
        self.update_settled(now_ms);
        before != self.holders
    }

    /// Returns the bits of the known holders, for sending to other fronts.
    pub fn holders(&self) -> &[u8] {
        &self.holders
    }

    /// Returns the time at which all members were first known to hold this view, in milliseconds; `None`
    /// while some are not.
    pub fn settled_since(&self) -> Option<f64> {
        self.settled_ms
    }

    /// Returns the time at which this front adopted its current view, in milliseconds.
    pub fn view_since(&self) -> f64 {
        self.view_since_ms
    }

    /// Whether the member at `position` is known to have held the view.
    pub fn is_holder(&self, position: usize) -> bool {
        self.holders.get(position / 8).is_some_and(|b| b & (1 << (position % 8)) != 0)
    }
}

#[cfg(test)]
mod tests;
