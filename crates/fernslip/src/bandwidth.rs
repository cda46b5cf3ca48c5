//! How many transfers at full pace a machine's link carries, learned from what its answers took.
//!
//! A link that is shared evenly by more transfers than fit at full pace serves each slower by just that much. An answer
//! that took `stretch` times its sending time, while on average `open` were under way there, thus shows a link that
//! carries `open / stretch` of them: exactly so when it was full, and that at the least when it was not. This is the
//! measure of BBR (delivery rate, with what is limited by its sender marked as such) put into transfers.

/// An answer that took this many times its sending time found the link full: small ones vary by less.
const FULL: f64 = 1.25;
/// Weight of an answer that took long beside what it takes besides its sending.
const STEP: f64 = 0.1;
/// Time besides its sending at which an answer counts by half, in milliseconds.
const SURE_MS: f64 = 50.0;
/// Part of the width from which a link counts as used: answers in time under it may raise the width.
const USED: f64 = 0.8;
/// What an answer in time on a used link raises the width by, as a part of it: a link that was slow for a while, or
/// was taken to be, is found to be wider in some ten answers.
const RISE: f64 = 0.02;

impl crate::api::Settings {
    /// By role, the least that told links let expect of a machine's width, in a location of so many caches; 0: none are
    /// told. Caches that keep anything send more than their link brings in; a parent feeds a location or more.
    pub(crate) fn told_widths(&self, caches: usize) -> [f64; 3] {
        let links = self.link_in_kb_per_s.iter().map(|kb| kb / self.stream_kb_per_s);
        let told: Vec<f64> = links.clone().filter(|l| *l > 0.0).collect();
        let own = links.clone().nth(self.zone).unwrap_or(0.0) / caches.max(1) as f64;
        [own, told.iter().sum::<f64>() / told.len().max(1) as f64, 0.0]
    }
}

/// What is known of a link's width, in transfers at full pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Width {
    /// What it was seen to carry; 0: nothing was seen yet.
    pub carries: f64,
    /// It was seen full: `carries` is what it can do, not only what it had to.
    pub full: bool,
}

impl Width {
    /// Begins with what a list tells, which is a figure where it is not 1: lists that know none tell 1 of all.
    pub fn guess(&mut self, told: f64) {
        if self.carries == 0.0 && told != 1.0 {
            *self = Width { carries: told, full: true };
        }
    }

    /// Takes an answer in: its sending time, what it took in all, and how many were under way on average while it was.
    /// Times are in milliseconds; `base_ms` is what any answer takes besides its sending.
    pub fn answered(&mut self, work_ms: f64, took_ms: f64, base_ms: f64, open: f64) {
        if !(work_ms > 0.0 && took_ms.is_finite() && open.is_finite()) {
            return;
        }
        let stretch = ((took_ms - base_ms) / work_ms).max(1.0);
        let (carried, sure) = (open.max(1.0) / stretch, STEP * work_ms / (work_ms + SURE_MS));
        let crowded = stretch > FULL;
        if self.carries == 0.0 {
            self.carries = carried;
        } else if crowded || carried > self.carries {
            self.carries += sure * (carried - self.carries);
        } else if open >= USED * self.carries {
            self.carries *= 1.0 + RISE * sure / STEP;
        }
        self.full |= crowded;
    }
}

/// Deliveries are averaged over so long, in milliseconds: some answers of a machine in light use.
const DELIVERED_MS: f64 = 500.0;

/// Work that a machine was seen to send of late, a moving average: what it can do at the least.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivered {
    rate: f64,
    at: f64,
}

impl Delivered {
    /// An answer of `work_ms` of sending has come whole at the time `now`, `took_ms` after it was asked for: of one that
    /// took long, only the last part came of late.
    pub fn add(&mut self, now: f64, work_ms: f64, took_ms: f64) {
        if work_ms > 0.0 && took_ms >= 0.0 {
            *self = Delivered { rate: self.rate(now) + work_ms / took_ms.max(DELIVERED_MS), at: now };
        }
    }

    /// In transfers at full pace at the time `now`, this router's own alone.
    pub fn rate(&self, now: f64) -> f64 {
        self.rate * (-(now - self.at).max(0.0) / DELIVERED_MS).exp()
    }
}

/// A machine's link, as its answers show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// What it carries of all that is under way there. Transfers that wait for their source count too, so that it is
    /// what the load there is to be compared with.
    pub width: Width,
    /// What it was seen to send, counted by what came whole: what a cold machine's budget may go by.
    pub proven: Width,
    /// What this router saw it send lately.
    pub lately: Delivered,
}

impl Link {
    /// Begins with what a list tells.
    pub fn guess(&mut self, told: f64) {
        self.width.guess(told);
        self.proven.guess(told);
    }

    /// Takes an answer in as [`Width::answered`] does; `routers` send to it, each taken to see as much as this one.
    pub fn answered(&mut self, now: f64, answer: Answer, routers: f64) {
        let Answer { work_ms, took_ms, base_ms, open } = answer;
        self.width.answered(work_ms, took_ms, base_ms, open);
        let stretch = ((took_ms - base_ms) / work_ms).max(1.0);
        let sent = self.lately.rate(now) * routers * stretch;
        self.proven.answered(work_ms, took_ms, base_ms, open.min(sent));
    }
}

/// An answer, as [`Width::answered`] takes it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Its sending time, in milliseconds.
    pub work_ms: f64,
    /// What it took in all, in milliseconds.
    pub took_ms: f64,
    /// What any answer takes besides its sending, in milliseconds.
    pub base_ms: f64,
    /// How many were under way on average.
    pub open: f64,
}

#[cfg(test)]
mod tests;
