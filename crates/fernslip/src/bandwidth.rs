//! Estimates of how many concurrent transfers at the full stream rate a node's link carries, from the
//! duration of its answers.
//!
//! A link that divides its bandwidth evenly among more transfers than fit slows each of them in proportion.
//! If an answer took `slowdown` times its transfer time while `open` transfers were in flight on average, the
//! link carries `open / slowdown` of them. This is exact if the link was full and a lower bound otherwise.
//! The method is that of BBR (delivery rate, with sender-limited samples marked), applied to transfers.

/// An answer that took more than this multiple of its transfer time shows that the link was full; the
/// durations of small answers vary by less.
const SATURATED_SLOWDOWN: f64 = 1.25;
/// Maximum weight of one answer in the estimate, approached by answers with a long transfer time.
const ANSWER_WEIGHT: f64 = 0.1;
/// Transfer time in milliseconds at which an answer counts with half of `ANSWER_WEIGHT`; longer answers count
/// more.
const HALF_WEIGHT_WORK_MS: f64 = 50.0;
/// Fraction of the estimated capacity from which a link counts as used, so that answers in time may raise the
/// estimate.
const USED_CAPACITY_FRACTION: f64 = 0.8;
/// Relative increase of the estimate after a large answer that was in time on a used link. After a link was
/// slow, or was wrongly taken to be slow, some ten answers show that it carries more.
const CAPACITY_RISE: f64 = 0.02;

impl crate::api::Settings {
    /// By role, the lower bound on a node's bandwidth that the configured links imply for a location with
    /// `caches` cache nodes, in concurrent transfers; 0 if no link is known. Cache nodes that hold anything
    /// send more than the location's link brings in, and a parent feeds at least one location.
    pub(crate) fn expected_bandwidth(&self, caches: usize) -> [f64; 3] {
        let links = self.link_in_kb_per_s.iter().map(|kb| kb / self.stream_kb_per_s);
        let listed: Vec<f64> = links.clone().filter(|l| *l > 0.0).collect();
        let own = links.clone().nth(self.zone).unwrap_or(0.0) / caches.max(1) as f64;
        [own, listed.iter().sum::<f64>() / listed.len().max(1) as f64, 0.0]
    }
}

/// Estimated bandwidth of a link, in concurrent transfers at the full stream rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bandwidth {
    /// Transfers that the link was seen to carry; 0 before the first measurement.
    pub capacity: f64,
    /// Whether the link was seen full, so that `capacity` is its limit and not only the load it has had.
    pub saturated: bool,
}

impl Bandwidth {
    /// Starts from the listed weight, unless it is 1: lists without known weights give 1 for all nodes.
    pub fn set_initial(&mut self, listed: f64) {
        if self.capacity == 0.0 && listed != 1.0 {
            *self = Bandwidth { capacity: listed, saturated: true };
        }
    }

    /// Updates the estimate with one answer: its transfer time `work_ms`, its duration `took_ms`, the fixed
    /// part `overhead_ms` of that duration, and the mean number of transfers in flight `open`. All times are
    /// in milliseconds.
    pub fn record_answer(&mut self, work_ms: f64, took_ms: f64, overhead_ms: f64, open: f64) {
        if !(work_ms > 0.0 && took_ms.is_finite() && open.is_finite()) {
            return;
        }
        let slowdown = ((took_ms - overhead_ms) / work_ms).max(1.0);
        let measured = open.max(1.0) / slowdown;
        let weight = ANSWER_WEIGHT * work_ms / (work_ms + HALF_WEIGHT_WORK_MS);
        let link_full = slowdown > SATURATED_SLOWDOWN;
        if self.capacity == 0.0 {
            self.capacity = measured;
        } else if link_full || measured > self.capacity {
            self.capacity += weight * (measured - self.capacity);
        } else if open >= USED_CAPACITY_FRACTION * self.capacity {
            self.capacity *= 1.0 + CAPACITY_RISE * weight / ANSWER_WEIGHT;
        }
        self.saturated |= link_full;
    }
}

/// Averaging window of the delivery rate, in milliseconds, long enough for several answers of a lightly used
/// node.
const DELIVERY_WINDOW_MS: f64 = 500.0;

/// Moving average of the rate at which a node was recently seen to deliver, a lower bound on what it can
/// deliver.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveryRate {
    /// Moving average at time `updated_ms`.
    rate: f64,
    updated_ms: f64,
}

impl DeliveryRate {
    /// Records an answer with `work_ms` of transfer time that ended at time `now` after `took_ms`. Of a long
    /// answer, only the last part was delivered within the window.
    pub fn record(&mut self, now: f64, work_ms: f64, took_ms: f64) {
        if work_ms > 0.0 && took_ms >= 0.0 {
            let rate = self.rate(now) + work_ms / took_ms.max(DELIVERY_WINDOW_MS);
            *self = DeliveryRate { rate, updated_ms: now };
        }
    }

    /// Delivery rate to this router at time `now`, in concurrent transfers at the full stream rate.
    pub fn rate(&self, now: f64) -> f64 {
        self.rate * (-(now - self.updated_ms).max(0.0) / DELIVERY_WINDOW_MS).exp()
    }
}

/// Bandwidth of a node's link, as measured from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Bandwidth relative to all transfers in flight at the node. Transfers that wait for their source are
    /// included, as they are in the load that it is compared with.
    pub bandwidth: Bandwidth,
    /// Bandwidth counted by completed answers only, from which the budget of a node in slow start is
    /// computed.
    pub proven: Bandwidth,
    /// Rate at which the node recently delivered to this router.
    pub delivery: DeliveryRate,
}

impl Link {
    /// Starts both bandwidth estimates from the listed weight.
    pub fn set_initial(&mut self, listed: f64) {
        self.bandwidth.set_initial(listed);
        self.proven.set_initial(listed);
    }

    /// Updates both estimates with one answer, as [`Bandwidth::record_answer`] does. Each of the `routers`
    /// that use the node is assumed to receive as much from it as this one.
    pub fn record_answer(&mut self, now: f64, answer: AnswerSample, routers: f64) {
        let AnswerSample { work_ms, took_ms, overhead_ms, open } = answer;
        self.bandwidth.record_answer(work_ms, took_ms, overhead_ms, open);
        let slowdown = ((took_ms - overhead_ms) / work_ms).max(1.0);
        let sent = self.delivery.rate(now) * routers * slowdown;
        self.proven.record_answer(work_ms, took_ms, overhead_ms, open.min(sent));
    }
}

/// Measurements of one answer, for [`Link::record_answer`].
#[derive(Clone, Copy, Debug)]
pub struct AnswerSample {
    /// Transfer time at the full stream rate, in milliseconds.
    pub work_ms: f64,
    /// Total duration of the answer, in milliseconds.
    pub took_ms: f64,
    /// Duration of an answer besides its transfer time, in milliseconds.
    pub overhead_ms: f64,
    /// Mean number of transfers in flight at the node during the answer.
    pub open: f64,
}

#[cfg(test)]
mod tests;
