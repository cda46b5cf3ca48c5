//! One request's life: it is admitted, dispatched to an attempt, retried or given up, and ended by its outcomes.

use super::Router;
use super::{
    AIMS, HIT_BASE_MS, LEAST_TRY_MS, MEAN_STEP, PACE_BASE_MS, PART_OF_LEFT, RETRIES_PER_REQUEST,
    RETRIES_SAVED, RETRY_AFTER_MS, SILENCE_SURE, SILENT_MS, SYNC_REQUESTS, TURNED, UNSEEN_MS, UNTOLD,
    WATCH_MS,
};
use crate::api::*;
use crate::filter::hash;
use crate::state::{Attempt, Cache, Req, Role, Way};

impl Router {
    pub(super) fn request(&mut self, ask: Request, out: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(ask.class) else {
            return out.push(Action::Reject { id: ask.id, retry_after_ms: 0.0 });
        };
        if self.reqs.len() >= self.set.max_in_flight as usize || self.reqs.contains_key(&ask.id) {
            return out.push(Action::Reject { id: ask.id, retry_after_ms: RETRY_AFTER_MS });
        }
        let key = hash(&[ask.object.0, u64::from(ask.part)]);
        let mean = &mut self.mean_ms[ask.class];
        let work_ms = match ask.size_kb > 0.0 && ask.size_kb.is_finite() {
            true => ask.size_kb / self.set.stream_kb_per_s * 1000.0,
            false if *mean > 0.0 => *mean,
            false => class.objective_ms * UNTOLD,
        };
        // A client's own figure, however large, moves the sums by what fits into the time it may wait.
        *mean += (work_ms.min(class.deadline_ms) - *mean) * if *mean == 0.0 { 1.0 } else { MEAN_STEP };
        let budget = if ask.budget_ms.is_finite() { ask.budget_ms.max(0.0) } else { class.deadline_ms };
        let deadline = self.now + budget;
        let objective_ms = (class.objective_ms + class.objective_stretch * work_ms).min(class.deadline_ms);
        let id = ask.id;
        let saved = (RETRIES_SAVED / f64::from(self.set.near_routers())).max(1.0);
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(saved);
        let req = Req::new(ask, key, deadline, work_ms, objective_ms);
        self.dispatch(req, out);
        if let Some(r) = self.reqs.get(&id).filter(|r| !self.set.classes[r.ask.class].write) {
            self.wanted.bump(r.key);
        }
        self.since_sync += 1;
        if self.since_sync.saturating_mul(self.set.near_routers()) >= SYNC_REQUESTS {
            self.since_sync = 0;
            self.tell(out);
        }
    }

    /// Makes the next attempt, or gives the request its final answer at once.
    pub(super) fn dispatch(&mut self, mut req: Req, out: &mut Vec<Action>) {
        let plan = self.choose(&req);
        self.turned.held(self.now, matches!(plan, Err(TURNED) | Ok((_, _, Way::Look))));
        let (cache, source, way) = match plan {
            Ok(plan) => plan,
            Err(why) => return self.give_up(req, why, out),
        };
        let class = &self.set.classes[req.ask.class];
        let age_ms = self.age_bound(&req, way == Way::Look);
        let left = self.left(&req);
        let may_retry = req.attempts.len() + 1 < self.set.max_attempts as usize;
        // A fill runs on while the client waits: one that is dropped keeps nothing and is asked for again.
        let short = (req.objective_ms * AIMS).min(left * PART_OF_LEFT).max(LEAST_TRY_MS);
        let time = if may_retry && matches!(way, Way::Hit | Way::Look) { short } else { left };
        let rank = self.rank(&req);
        out.push(Action::Forward {
            id: req.ask.id,
            cache: cache.clone(),
            source: source.clone(),
            until_ms: self.now + time.min(left),
            begin_by_ms: self.repeat_by(&req),
            rank,
            age_ms,
            join: self.set.joins && !class.write,
            renew: class.fresh_ms > 0.0,
        });
        let (now, cost, quiet) = (self.now, self.mean_ms[req.ask.class], SILENT_MS + 2.0 * req.work_ms);
        for id in [&cache, &source] {
            let window = self.set.slow_start_window_ms;
            let Some(c) = self.caches.get_mut(id) else { continue };
            c.sends(now, cost, window);
            if c.ejected || c.silent(now) {
                self.tried(id);
            }
            if cache == source {
                break;
            }
        }
        self.step(&cache, 1.0);
        if way == Way::Fill {
            self.step(&source, 1.0);
        }
        let seen = [&cache, &source].map(|id| self.seen(id));
        if let Some(c) = self.caches.get_mut(&cache) {
            c.quiet_by.get_or_insert(now + quiet);
        }
        if !self.watching && self.set.cancel {
            self.watching = true;
            out.push(Action::Timer { delay_ms: WATCH_MS, token: 0 });
        }
        if way == Way::Fill {
            self.fills.open.step(now, 1.0);
        }
        let attempt = Attempt::new(cache, source, now, seen, way);
        req.attempts.push(attempt);
        self.reqs.insert(req.ask.id, req);
    }

    /// The time that is left for attempts, so that a final answer is still in time.
    pub(super) fn left(&self, req: &Req) -> f64 {
        req.deadline - self.now - 2.0 * self.set.tick_ms
    }

    /// The final answer of a request that is given up. A refusal is said only where the rules allow it.
    pub(super) fn give_up(&mut self, req: Req, why: &'static str, out: &mut Vec<Action>) {
        self.given_up.count(why);
        let retry_after_ms = self.hint();
        let class = &self.set.classes[req.ask.class];
        let ran = req.attempts.iter().any(|a| !a.ending.is_some_and(Ending::never_ran));
        let refuse = match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !ran || class.scope == DedupScope::All,
            Effect::AtMostOnce => !ran,
        };
        out.push(match refuse {
            true => Action::Reject { id: req.ask.id, retry_after_ms },
            false => Action::Fail { id: req.ask.id },
        });
        self.finish(req);
    }

    /// Keeps a finished request as long as outcomes of its attempts are still to come.
    pub(super) fn finish(&mut self, mut req: Req) {
        req.done = true;
        if req.is_open() {
            self.reqs.insert(req.ask.id, req);
        }
    }

    pub(super) fn withdrawn(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.reqs.remove(&id) else { return };
        for (n, _) in req.attempts.iter().enumerate().filter(|(_, a)| a.open && self.set.cancel) {
            out.push(Action::Cancel { id, attempt: n as u32 });
        }
        self.finish(req);
    }

    pub(super) fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let Some(mut req) = self.reqs.remove(&o.id) else { return };
        let Some(a) = req.attempts.get_mut(o.attempt as usize).filter(|a| a.open) else {
            self.reqs.insert(o.id, req);
            return;
        };
        a.open = false;
        a.ending = Some(o.ending);
        let (cache, source, way) = (a.cache.clone(), a.source.clone(), a.way);
        let (seen, late) = (a.seen, a.late);
        let in_time = o.elapsed_ms <= req.objective_ms;
        let (now, routers) = (self.now, f64::from(self.set.near_routers()));
        // A fill through a cache that crawls or is itself crowded tells nothing of its source or the links.
        let crawls = self.caches.get(&cache).is_some_and(|c| self.is_slow(c));
        let fill_pace = o.elapsed_ms / (req.work_ms + PACE_BASE_MS);
        let busy = self.caches.get(&cache).is_some_and(|c| self.is_busy(c, fill_pace));
        self.testify(&cache, Sign::Crawling, if crawls { SILENCE_SURE } else { 0.0 }, out);
        let slow = crawls || busy || self.caches.get(&source).is_some_and(|c| self.is_slow(c));
        // Out of time before it was wanted, its client had no patience: that tells nothing of anybody.
        let overdue = o.ending == Ending::TimedOut && !in_time;
        let hit = o.ending == Ending::Completed
            && (o.detail == 1 || o.detail == 0 && matches!(way, Way::Hit | Way::Look));
        if hit || way == Way::Fill && (o.ending == Ending::Completed || overdue) {
            let (id, base) = if hit { (&cache, HIT_BASE_MS) } else { (&source, PACE_BASE_MS) };
            let took = o.elapsed_ms / (req.work_ms + base);
            let edge = |c: &Cache| c.role == Role::Edge;
            if let Some(c) = self.caches.get_mut(id).filter(|c| hit == edge(c) && (hit || !crawls && !busy)) {
                c.paced(now, took);
                let seen = seen[usize::from(!hit)];
                self.measure(&id.clone(), req.work_ms, o.elapsed_ms, base, seen);
            }
        }
        let by_source = o.ending == Ending::Saturated && o.elapsed_ms >= UNSEEN_MS;
        if by_source || !hit && o.ending == Ending::Completed && way != Way::Write {
            self.turned.ended(now, !by_source);
        }
        let crowded = match o.ending {
            _ if slow => false,
            Ending::Completed => !in_time,
            // A break or an error is the cache's or one connection's: it tells nothing of links and sources.
            Ending::Saturated => o.elapsed_ms >= UNSEEN_MS,
            _ => overdue,
        };
        if way == Way::Fill {
            self.fills.ended(now, routers, crowded && !late, o.ending == Ending::Completed && !crowded);
        }
        self.step(&cache, -1.0);
        if way == Way::Fill {
            self.step(&source, -1.0);
        }
        let silent = o.ending.never_sent()
            || matches!(o.ending, Ending::TimedOut | Ending::Cancelled | Ending::ConnectionRefused);
        if let Some(c) = self.caches.get_mut(&cache) {
            if let Some(reported_in_flight) = o.reported_in_flight {
                c.open.told(now, reported_in_flight);
            }
            if !silent {
                c.quiet_by = None;
                c.heard = now;
            }
        }
        self.learn(&mut req, &o, crawls, out);
        req.done |= o.over;
        // A look that found nothing cost nobody anything, nor did what was never sent.
        let free = o.ending.never_sent() || way == Way::Look && o.ending == Ending::LookupMiss;
        let cost = f64::from(u8::from(!free));
        let errors = req.attempts.iter().filter(|a| a.ending == Some(Ending::Errored)).count();
        let why = match o.ending {
            // The machine knew first that its client has left or its time is over: so will the next.
            Ending::Superseded => Some("over already"),
            _ if self.retries < cost => Some("too many retries"),
            // Two machines found an error in it: it is the request's own, and would be the next one's too.
            _ if errors > 1 => Some("errors"),
            _ => None,
        };
        match why {
            _ if req.is_open() => drop(self.reqs.insert(o.id, req)),
            _ if req.done => {}
            Some(why) => self.give_up(req, why, out),
            None => {
                self.retries -= cost;
                self.dispatch(req, out);
            }
        }
    }
}
