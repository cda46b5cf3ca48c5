//! Health: outcomes as evidence on cache nodes, ejection, half-open probes and the search for silent nodes.

use super::Router;
use super::{
    EJECT_ABOVE, EJECT_PART, FIRST_TRIAL_MS, HEALTH_STEP, OUTLIER, PACE_BASE_MS, READMIT_BELOW, SAID_MOST,
    SAME_FAILURE_MS, SILENCE_BLAME, SILENCE_SURE, SILENT_MS, SURE_FROM, TRIAL_GAP_MS, TRIAL_PART, UNSEEN_MS,
    WATCH_MS,
};
use crate::api::*;
use crate::rendezvous::spread;
use crate::state::{Attempt, Req, Role, Way};
use std::collections::BTreeSet;

impl Router {
    /// Feeds filters and health from an outcome.
    pub(super) fn learn(&mut self, req: &mut Req, o: &Outcome, crawls: bool, out: &mut Vec<Action>) {
        let a = &req.attempts[o.attempt as usize];
        let (cache, source, sent, shown) = (&a.cache.clone(), &a.source.clone(), a.sent, a.way == Way::Hit);
        let write = self.set.classes[req.ask.class].write;
        let sibling = source != cache && self.caches.get(source).is_some_and(|c| c.role == Role::Edge);
        match o.ending {
            Ending::Completed => {
                self.verdict(cache, 0.0, out);
                let (now, work_ms) = (self.now, req.work_ms);
                // What joined a fill came over its source's link with that fill.
                for id in
                    [Some(cache), Some(source).filter(|_| matches!(o.detail, 2 | 3))].into_iter().flatten()
                {
                    if let Some(c) = self.caches.get_mut(id).filter(|c| sent >= c.born) {
                        c.link.lately.add(now, work_ms, o.elapsed_ms);
                    }
                }
                let filled = matches!(o.detail, 2 | 3) || (o.detail == 0 && !shown);
                if filled && source != cache {
                    self.verdict(source, 0.0, out);
                    let now = self.now;
                    self.caches.entry(source.clone()).and_modify(|s| s.heard = now);
                }
                if !write {
                    self.record(cache, |f| f.add(req.key));
                }
            }
            Ending::LookupMiss => {
                self.record(cache, |f| f.remove(req.key));
                if sibling {
                    self.record(source, |f| f.remove(req.key));
                    req.failed.insert(source.clone());
                }
            }
            // Called off in silence: one that answers now and then is not well again with one answer.
            Ending::Cancelled if a.called_off => self.verdict(cache, SILENCE_BLAME, out),
            Ending::Superseded | Ending::Retracted | Ending::Cancelled => {}
            _ => {
                // A time-out counts only against a machine that has answered nothing since: a slow one is
                // crowded, and ejecting it would crowd the rest and move its homes.
                let quiet = |i: &CacheId| self.caches.get(i).is_some_and(|c| c.heard < sent);
                let late = o.ending == Ending::TimedOut;
                let told = self.set.notes == NoteLevel::All && o.detail != 0;
                let (c, s) = match (o.ending, o.detail) {
                    (Ending::Saturated, 0) if o.elapsed_ms < UNSEEN_MS => (1.0, 0.0),
                    (_, 8..=10) | (Ending::Saturated, 0) => (0.0, 0.0),
                    _ if late && o.elapsed_ms <= req.objective_ms => (0.0, 0.0),
                    _ if late && !quiet(cache) && (shown || crawls || !quiet(source)) => (0.0, 0.0),
                    _ if late && !quiet(cache) => (0.0, 1.0),
                    (_, 6 | 7) => (0.0, 1.0),
                    (Ending::ConnectionRefused, _) => (1.5, 0.0),
                    (Ending::ConnectionLost, _) => (1.0, 0.0),
                    _ if source == cache || shown || self.set.notes == NoteLevel::All => (1.0, 0.0),
                    _ => {
                        // Not told: blame goes by who has been failing with others.
                        let bad = |i: &CacheId| self.caches.get(i).map_or(0.0, |c| c.bad) + 0.05;
                        let part = bad(cache) / (bad(cache) + bad(source));
                        (part, 1.0 - part)
                    }
                };
                for (id, blame) in [(cache, c), (source, s)].into_iter().filter(|b| b.1 > 0.0) {
                    self.verdict(id, blame, out);
                }
                if sibling {
                    self.record(source, |f| f.remove(req.key));
                }
                // A source that turned it away would do so again, to all fronts at once: the second is asked.
                let refused = o.ending == Ending::Saturated && !told && c == 0.0;
                if sibling || refused || told && c == 0.0 || !told && s > c {
                    req.failed.insert(source.clone());
                }
                // After a break the same cache is tried once more: if its process died, that is refused.
                if c > 0.0 && c >= s && (o.ending != Ending::ConnectionLost || req.attempts.len() > 1) {
                    req.failed.insert(cache.clone());
                }
            }
        }
    }

    /// Hears of others: fewer homes and fewer failures until trials only, or a trial at once. Never more.
    pub(super) fn hearsay(&mut self, id: &CacheId, amount: f64) {
        let Some(c) = self.caches.get_mut(id).filter(|_| amount.is_finite()) else { return };
        c.said = amount.clamp(-SAID_MOST, SAID_MOST);
        if c.said < 0.0 {
            c.next_trial = c.next_trial.min(self.now);
        }
    }

    pub(super) fn testify(&self, cache: &CacheId, sign: Sign, strength: f64, out: &mut Vec<Action>) {
        if self.witness && strength > 0.0 {
            out.push(Action::Evidence { cache: cache.clone(), sign, strength: strength.min(1.0) });
        }
    }

    /// One piece of evidence on a machine: 0 good, 1 a failure of its own, between: perhaps its own.
    pub(super) fn verdict(&mut self, id: &CacheId, blame: f64, out: &mut Vec<Action>) {
        let Some(c) = self.caches.get(id) else { return };
        let n = self.fellows(c).count() as f64;
        let out_of_use = self.fellows(c).filter(|f| f.ejected).count() as f64;
        let mean = if n > 0.0 { self.fellows(c).map(|f| f.bad).sum::<f64>() / n } else { 1.0 };
        let now = self.now;
        let Some(c) = self.caches.get_mut(id) else { return };
        if blame > 0.0 && now - c.blamed >= SAME_FAILURE_MS {
            c.blamed = now;
            c.bad += (HEALTH_STEP * blame).min(1.0) * (1.0 - c.bad);
            if !c.ejected
                && c.bad > EJECT_ABOVE * (1.0 - c.said.max(0.0))
                && c.bad > OUTLIER * mean
                && out_of_use < (n + 1.0) * EJECT_PART
            {
                c.ejected = true;
                c.next_trial = now + FIRST_TRIAL_MS;
                out.push(Action::Log(format!("{} fails {:.0}%: trials only", id.0, c.bad * 100.0)));
            }
        } else if blame == 0.0 {
            c.bad *= 1.0 - HEALTH_STEP;
            if c.ejected && c.bad < READMIT_BELOW {
                c.ejected = false;
                out.push(Action::Log(format!("{} answers again: back in use", id.0)));
            }
        }
        let (against, spoken) = (blame > 0.0, c.said != 0.0 || c.bad > SURE_FROM);
        let sure = if against { (c.bad - SURE_FROM) / EJECT_ABOVE } else { 1.0 - c.bad };
        let sign = if against { Sign::Failing } else { Sign::Well };
        self.testify(id, sign, if against || spoken { sure } else { 0.0 }, out);
    }

    /// Calls off what waits at a silent cache, so that it can be tried elsewhere while there is time. Guards
    /// against machines that vanish, partitions and long stalls. Harm: a stall just longer than `SILENT_MS`
    /// costs a retry.
    pub(super) fn watch(&mut self, out: &mut Vec<Action>) {
        self.watching = !self.reqs.is_empty();
        if !self.watching {
            return;
        }
        out.push(Action::Timer { delay_ms: WATCH_MS, token: 0 });
        let (mut silent, mut late) = (BTreeSet::new(), Vec::new());
        for (&id, req) in self.reqs.iter_mut().filter(|(_, r)| !r.done) {
            for a in req.attempts.iter_mut().filter(|a| a.open && a.way == Way::Fill) {
                let took = self.now - a.sent;
                if took > req.objective_ms && !std::mem::replace(&mut a.late, true) {
                    late.push((a.cache.clone(), a.source.clone(), took / (req.work_ms + PACE_BASE_MS)));
                }
            }
            let idem = self.set.classes[req.ask.class].effect == Effect::Idempotent;
            let least = SILENT_MS * TRIAL_PART + req.work_ms;
            let due = |a: &Attempt| a.open && !a.called_off && idem && self.now > a.sent + least;
            for (n, a) in req.attempts.iter_mut().enumerate().filter(|(_, a)| due(a)) {
                let Some(c) = self.caches.get(&a.cache) else { continue };
                if c.silent(self.now) {
                    a.called_off = true;
                    req.failed.insert(a.cache.clone());
                    out.push(Action::Cancel { id, attempt: n as u32 });
                    silent.insert(a.cache.clone());
                }
            }
        }
        // A fill that is late already tells now what its end would tell when the client has left.
        for (cache, source, pace) in late {
            let slow = |id: &CacheId| self.caches.get(id).is_some_and(|c| self.is_slow(c));
            if slow(&cache) || self.caches.get(&cache).is_some_and(|c| self.is_busy(c, pace)) {
                continue;
            }
            if !slow(&source) {
                self.fills.crowded(self.now, f64::from(self.set.near_routers()));
            }
            let now = self.now;
            if let Some(c) = self.caches.get_mut(&source).filter(|c| c.role != Role::Edge) {
                c.paced(now, pace.max(c.pace_at(now)));
            }
        }
        for id in &silent {
            self.tried(id);
            self.testify(id, Sign::Silent, SILENCE_SURE, out);
        }
    }

    /// Its next trial by this router: those of a location keep to `TRIAL_GAP_MS` together, and out of step.
    pub(super) fn tried(&mut self, id: &CacheId) {
        let (spread, routers, now) = (spread(&mut self.seed), f64::from(self.set.near_routers()), self.now);
        if let Some(c) = self.caches.get_mut(id) {
            c.next_trial = now + TRIAL_GAP_MS * spread * if c.role == Role::Edge { routers } else { 1.0 };
        }
    }
}
