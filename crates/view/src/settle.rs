//! Whether all fronts hold the same view: each tells, beside its view's digest, which fronts it knows to have held it.

/// Who has held the view of this digest: a bit for each that counts in it, in the order of ids, which is the same for
/// all who hold it.
#[derive(Clone, Debug, Default)]
pub struct Settle {
    digest: u64,
    held: Vec<u8>,
    count: usize,
    since_ms: Option<f64>,
    begun_ms: f64,
}

impl Settle {
    /// The view now: its digest, how many count in it, and this front's own place among them.
    pub fn view(&mut self, digest: u64, count: usize, own: Option<usize>, now_ms: f64) {
        if digest != self.digest || count != self.count {
            *self =
                Settle { digest, held: vec![0; count.div_ceil(8)], count, since_ms: None, begun_ms: now_ms };
        }
        if let Some(own) = own {
            self.mark(own, now_ms);
        }
    }

    fn mark(&mut self, place: usize, now_ms: f64) {
        if place < self.count {
            self.held[place / 8] |= 1 << (place % 8);
        }
        self.look(now_ms);
    }

    fn look(&mut self, now_ms: f64) {
        let all: u32 = self.held.iter().map(|b| b.count_ones()).sum();
        if all as usize >= self.count && self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
        }
    }

    /// What another front knows, and its place among those that count; whether it was news.
    pub fn heard(&mut self, digest: u64, held: &[u8], place: Option<usize>, now_ms: f64) -> bool {
        if digest != self.digest || held.len() != self.held.len() {
            return false;
        }
        let before = self.held.clone();
        for (own, other) in self.held.iter_mut().zip(held) {
            *own |= other;
        }
        // Bits behind the last front are nobody's.
        if let Some(last) = self.held.last_mut().filter(|_| self.count % 8 != 0) {
            *last &= (1 << (self.count % 8)) - 1;
        }
        if let Some(place) = place {
            self.mark(place, now_ms);
        }
        self.look(now_ms);
        before != self.held
    }

    /// The bits, for others.
    pub fn bits(&self) -> &[u8] {
        &self.held
    }

    /// Since when all have held this view; `None` while some are not known to.
    pub fn since(&self) -> Option<f64> {
        self.since_ms
    }

    /// When this view began here.
    pub fn begun(&self) -> f64 {
        self.begun_ms
    }

    /// Whether that place is known to have held it.
    pub fn has(&self, place: usize) -> bool {
        self.held.get(place / 8).is_some_and(|b| b & (1 << (place % 8)) != 0)
    }
}

#[cfg(test)]
mod tests;
