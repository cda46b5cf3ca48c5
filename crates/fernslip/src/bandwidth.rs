//! How many transfers at full pace a node's link carries, learned from what its answers took.
//!
//! A link that is shared evenly by more transfers than fit at full pace serves each slower by just that much. An answer
//! that took `stretch` times its sending time, while on average `open` were in flight there, thus shows a link that
//! carries `open / stretch` of them: exactly so when it was full, and that at the least when it was not. This is the
//! measure of BBR (delivery rate, with what is limited by its sender marked as such) put into transfers.

/// An answer that took this many times its sending time found the link full: small ones vary by less.
const SATURATED_STRETCH: f64 = 1.25;
/// Weight of an answer that took long beside what it takes besides its sending.
const ANSWER_WEIGHT: f64 = 0.1;
/// Time besides its sending at which an answer counts by half, in milliseconds.
const HALF_WEIGHT_MS: f64 = 50.0;
/// Part of the bandwidth from which a link counts as used: answers in time above it may raise the bandwidth.
const USED: f64 = 0.8;
/// What an answer in time on a used link raises the bandwidth by, as a part of it: a link that was slow for a while, or
/// was taken to be, is found to be wider in some ten answers.
const RISE: f64 = 0.02;

impl crate::api::Settings {
    /// By role, the least that known links let expect of a node's bandwidth, in a location of so many caches; 0: none
    /// are known. Caches that keep anything send more than their link brings in; a parent feeds a location or more.
    pub(crate) fn expected_bandwidth(&self, caches: usize) -> [f64; 3] {
        let links = self.link_in_kb_per_s.iter().map(|kb| kb / self.stream_kb_per_s);
        let listed: Vec<f64> = links.clone().filter(|l| *l > 0.0).collect();
        let own = links.clone().nth(self.zone).unwrap_or(0.0) / caches.max(1) as f64;
        [own, listed.iter().sum::<f64>() / listed.len().max(1) as f64, 0.0]
    }
}

/// What is known of a link's bandwidth, in transfers at full pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bandwidth {
    /// What it was seen to carry; 0: nothing was seen yet.
    pub capacity: f64,
    /// It was seen full: `capacity` is what it can do, not only what it had to.
    pub saturated: bool,
}

impl Bandwidth {
    /// Begins with the listed weight, which is a figure where it is not 1: lists that know none give 1 for all.
    pub fn set_initial(&mut self, listed: f64) {
        if self.capacity == 0.0 && listed != 1.0 {
            *self = Bandwidth { capacity: listed, saturated: true };
        }
    }

    /// Takes an answer in: its sending time, what it took in all, and how many were in flight on average while it was.
    /// Times are in milliseconds; `base_ms` is what any answer takes besides its sending.
    pub fn record_answer(&mut self, work_ms: f64, took_ms: f64, base_ms: f64, open: f64) {
        if !(work_ms > 0.0 && took_ms.is_finite() && open.is_finite()) {
            return;
        }
        let stretch = ((took_ms - base_ms) / work_ms).max(1.0);
        let shown = open.max(1.0) / stretch;
        let weight = ANSWER_WEIGHT * work_ms / (work_ms + HALF_WEIGHT_MS);
        let crowded = stretch > SATURATED_STRETCH;
        if self.capacity == 0.0 {
            self.capacity = shown;
        } else if crowded || shown > self.capacity {
            self.capacity += weight * (shown - self.capacity);
        } else if open >= USED * self.capacity {
            self.capacity *= 1.0 + RISE * weight / ANSWER_WEIGHT;
        }
        self.saturated |= crowded;
    }
}

/// Deliveries are averaged over so long, in milliseconds: some answers of a node in light use.
const DELIVERY_WINDOW_MS: f64 = 500.0;

/// Work that a node was seen to send of late, a moving average: what it can do at the least.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveryRate {
    /// The moving average at the time `updated_ms`.
    rate: f64,
    updated_ms: f64,
}

impl DeliveryRate {
    /// An answer of `work_ms` of sending has come complete at the time `now`, `took_ms` after it was requested: of one
    /// that took long, only the last part came of late.
    pub fn record(&mut self, now: f64, work_ms: f64, took_ms: f64) {
        if work_ms > 0.0 && took_ms >= 0.0 {
            let rate = self.rate(now) + work_ms / took_ms.max(DELIVERY_WINDOW_MS);
            *self = DeliveryRate { rate, updated_ms: now };
        }
    }

    /// In transfers at full pace at the time `now`, this router's own alone.
    pub fn rate(&self, now: f64) -> f64 {
        self.rate * (-(now - self.updated_ms).max(0.0) / DELIVERY_WINDOW_MS).exp()
    }
}

/// A node's link, as its answers show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// What it carries of all that is in flight there. Transfers that wait for their source count too, so that it is
    /// what the load there is to be compared with.
    pub bandwidth: Bandwidth,
    /// What it was seen to send, counted by what came complete: what the budget of a node in slow start may go by.
    pub proven: Bandwidth,
    /// What this router saw it send lately.
    pub delivery: DeliveryRate,
}

impl Link {
    /// Begins with the listed weight.
    pub fn set_initial(&mut self, listed: f64) {
        self.bandwidth.set_initial(listed);
        self.proven.set_initial(listed);
    }

    /// Takes an answer in as [`Bandwidth::record_answer`] does; `routers` send to it, each taken to see as much as this one.
    pub fn record_answer(&mut self, now: f64, answer: Answer, routers: f64) {
        let Answer { work_ms, took_ms, base_ms, open } = answer;
        self.bandwidth.record_answer(work_ms, took_ms, base_ms, open);
        let stretch = ((took_ms - base_ms) / work_ms).max(1.0);
        let sent = self.delivery.rate(now) * routers * stretch;
        self.proven.record_answer(work_ms, took_ms, base_ms, open.min(sent));
    }
}

/// An answer, as [`Bandwidth::record_answer`] takes it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Its sending time, in milliseconds.
    pub work_ms: f64,
    /// What it took in all, in milliseconds.
    pub took_ms: f64,
    /// What any answer takes besides its sending, in milliseconds.
    pub base_ms: f64,
    /// How many were in flight on average.
    pub open: f64,
}

#[cfg(test)]
mod tests;
