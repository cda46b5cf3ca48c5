//! Every decision of fernslip. Its interface (settings, events, actions) is the one file `src/api.rs`;
//! `src/state.rs` is what is held of machines and requests, `src/filter.rs` the counting filter,
//! `src/share.rs` a moving count, `src/cold.rs` turns at a cold one, `src/width.rs` what a link carries.
//!
//! Reads in this order: constants, state, events in the order in which a request lives, guards.

use crate::api::*;
use crate::cold::Warming;
use crate::filter::{hash, Change, Filter};
use crate::mates::Mates;
use crate::message::{self, Message};
use crate::place::{mix, score, spread, word};
use crate::purges::Purges;
use crate::share::{Gate, GivenUp, Turned};
use crate::state::{mean_proven, Attempt, Cache, Plan, Req, Role, Way};
use crate::welcome::Welcome;
use crate::width::{Answer, Width};
use std::collections::{BTreeMap, BTreeSet};

// The design's own figures. Counters: some 16 for each key that a cache sees in a generation at 100/s.
const COUNTERS: usize = 16384;
const HASHES: usize = 4;
const GENERATION_MS: f64 = 10_000.0;
/// Requests of a whole location between two messages of one of its routers. 400 a router is the paper's; at
/// the few a second that one of many routers sees, that outlasts the generations.
const SYNC_REQUESTS: u32 = 100;
const MESSAGE_BYTES: usize = 256;
/// Who has learned for less has nothing to tell one that starts; messages with a cache's keys, at the most.
const WELCOME_FROM_MS: f64 = 2_000.0;
const WELCOME_PIECES: usize = 8;
/// Changes of a cache not yet told: beyond it they are not.
const MAX_NOTED: usize = 4096;

// Health: moving share of failures, ejection above the one bound, re-admission below the other.
const HEALTH_STEP: f64 = 0.15; // weight of one outcome
const EJECT_ABOVE: f64 = 0.35;
const READMIT_BELOW: f64 = 0.15;
/// An outlier fails this many times as often as its fellows do; when all fail, none is to blame.
const OUTLIER: f64 = 2.0;
const EJECT_PART: f64 = 0.4; // of a group at the most, lest the rest drown
const SAID_MOST: f64 = 0.8; // of its homes, what hearsay takes from a cache at the most
const SURE_FROM: f64 = 0.05; // share of failures, from which it is evidence for others
const SILENCE_BLAME: f64 = 2.5; // in failures: enough for trials only
const SILENCE_SURE: f64 = 0.8; // how sure silence is as evidence, and a crawl
const SAME_FAILURE_MS: f64 = 5.0; // a broken connection ends all attempts on it: one failure
const FIRST_TRIAL_MS: f64 = 600.0; // from ejection to the first trial
const TRIAL_GAP_MS: f64 = 250.0; // between trials: four a second
/// Turned away sooner than a source can be asked, it was the cache itself: it drains untold, or is full.
const UNSEEN_MS: f64 = 5.0;
/// Silence beyond twice the sending time of what was asked: longer than the stalls of a working cache.
const SILENT_MS: f64 = 800.0;
/// A trial of a silent cache gets this part of `SILENT_MS`, and its sending time.
const TRIAL_PART: f64 = 0.5;

// Load, in answers at full pace over the link that sends them.
const SPILL_GAIN: f64 = 0.6; // of home's load, where a second copy pays
const LATE_MARGIN: f64 = 1.6; // load rises while an answer is sent

// A machine's pace: how many times their sending time its fills (of a cache: its hits) take, a moving average
// that fades.
const PACE_SEEN_MS: f64 = 1_000.0; // until it counts by half at a cold box
const PACE_BASE_MS: f64 = 100.0; // what a fill takes besides its sending
const HIT_BASE_MS: f64 = 10.0; // what a hit takes besides its sending
const SLOW: f64 = 1.5; // times its fellows' pace, from which it is given less
const SLOW_PART: f64 = 0.5; // left to it, under which it alone is to blame for late fills

/// Fills under way at once, at the start, where the list tells what caches can send: a part of it.
const FILLS_PER_WEIGHT: f64 = 0.6;
/// Part of the cold budget that is used: weights are rough and the others' share is a guess.
const COLD_USE: f64 = 0.7;
/// The same where a router's part is less than a request, and the turns of two windows may meet in one.
const COLD_TURNS: f64 = 0.5;

// Attempts at what is shown to be there: the part of what is left that one may take, and its time in aims.
// Long, since cutting a slow transfer short wastes it; a silent machine is found by its silence instead.
const PART_OF_LEFT: f64 = 0.8;
const AIMS: f64 = 1.8;
const WATCH_MS: f64 = 50.0; // between looks for silent machines
const LEAST_TRY_MS: f64 = 30.0; // less is not worth an attempt
const RETRIES_PER_REQUEST: f64 = 0.25; // retry budget, a token bucket
const RETRIES_SAVED: f64 = 20.0; // its size, for a sudden loss, over all routers of the location
const RETRY_AFTER_MS: f64 = 400.0; // hint, spread by half
const PURGE_MARGIN_MS: f64 = 5.0; // copies must be younger than a purge by so much, besides the tick
const NO_SOURCE: &str = "no source is up";
const TURNED: &str = "sources turn fills away";
// Ranks: keys counted this often lately are kept at the higher ranks.
const RANK2_FROM: u8 = 1;
const RANK3_FROM: u8 = 4;
const MEAN_STEP: f64 = 0.02;
/// Sending time where no size is told and none was seen, in aims.
const UNTOLD: f64 = 0.1;

/// The decisions of one router.
pub struct Router {
    set: Settings,
    now: f64,
    seed: u64,
    caches: BTreeMap<CacheId, Cache>,
    reqs: BTreeMap<RequestId, Req>,
    purges: Purges,
    wanted: Filter,
    next_age: f64,
    watching: bool,
    /// By role, what machines were seen to carry, on average.
    typical: [f64; 3],
    /// By role, the least that told links let expect; 0: none are told.
    first: [f64; 3],
    fills: Gate,
    turned: Turned,
    pub(crate) given_up: GivenUp,
    since_sync: u32,
    mates: Mates,
    retries: f64,
    mean_ms: Vec<f64>,
    witness: bool,
    odd: u64,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.check()?;
        let n = settings.classes.len();
        Ok(Router {
            set: settings,
            now: 0.0,
            seed,
            caches: BTreeMap::new(),
            reqs: BTreeMap::new(),
            purges: Purges::default(),
            wanted: Filter::new(COUNTERS, HASHES),
            next_age: 0.0,
            watching: false,
            typical: [0.0; 3],
            first: [0.0; 3],
            fills: Gate::default(),
            turned: Turned::default(),
            given_up: GivenUp::default(),
            since_sync: 0,
            mates: Mates::default(),
            retries: RETRIES_SAVED,
            mean_ms: vec![0.0; n],
            witness: false,
            odd: 0,
        })
    }

    /// Takes one event at the time `now_ms` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now = self.now.max(now_ms);
        }
        self.mates.event(self.now);
        self.age(actions);
        match event {
            Event::Fleet { kind, entries } => self.fleet(kind, entries, actions),
            Event::Request(ask) => self.request(ask, actions),
            Event::Outcome(o) => self.outcome(o, actions),
            Event::Withdrawn { id } => self.withdrawn(id, actions),
            Event::Purged { object, group, age_ms } => self.purged(object, group, age_ms),
            Event::Peer { from, data } => self.heard(from, &data, actions),
            Event::Hearsay { cache, amount } => self.hearsay(&cache, amount),
            Event::Timer { .. } => self.watch(actions),
            Event::Opened { .. } | Event::Probed { .. } => {}
        }
    }

    /// Logs what was given up; begins a new generation and drops what has had its time.
    fn age(&mut self, out: &mut Vec<Action>) {
        let line = self.given_up.line(self.now);
        out.extend(line.map(|l| Action::Log(format!("{l}; fills: {:.1}", self.fills.limit))));
        if self.now < self.next_age {
            return;
        }
        self.next_age = self.now + GENERATION_MS;
        // Greets all when it starts, and once a generation while a router of the location was not heard of:
        // finds strangers, restarts and late joiners. Where one is gone for good it costs a few bytes.
        if self.set.peers && !self.mates.are_all(self.set.near_routers()) {
            out.push(Action::TellAll { data: message::greeting(self.set.zone as u8, true) });
        }
        self.caches.values_mut().for_each(|c| c.filter.age());
        self.wanted.age();
        self.caches.retain(|_, c| c.phase != Phase::Out || c.open.own.now > 0.0);
        let keep = self.set.purge_done_ms.max(2.0 * GENERATION_MS) + GENERATION_MS;
        self.purges.drop_before(self.now - keep);
    }

    fn fleet(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed || (kind == ListKind::Cached && self.set.ask_for_lists) {
            out.push(Action::Subscribe);
        }
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let listed: BTreeSet<&CacheId> = entries.iter().map(|e| &e.cache).collect();
            for (id, c) in
                self.caches.iter_mut().filter(|(id, c)| !listed.contains(id) && c.phase != Phase::Out)
            {
                c.phase = Phase::Out;
                out.push(Action::Log(format!("{} is off the list: not used", id.0)));
            }
        }
        for e in entries {
            let role = match e.kind {
                Some(k) if Some(k) == self.set.parent_kind => Role::Parent,
                Some(k) if Some(k) == self.set.origin_kind => Role::Origin,
                _ => Role::Edge,
            };
            // Caches of other locations are never targets nor sources: work and memory go with the location.
            if role == Role::Edge && e.zone != Some(self.set.zone) {
                continue;
            }
            let counters = if role == Role::Edge { COUNTERS } else { 0 };
            let c = self.caches.entry(e.cache).or_insert_with_key(|id| {
                Cache::new(
                    word(hash(&id.0.bytes().map(u64::from).collect::<Vec<_>>())),
                    e.born_ms,
                    e.phase,
                    counters,
                    HASHES,
                )
            });
            if e.born_ms > c.born || (c.phase == Phase::Out && e.phase == Phase::In) {
                c.begin_again(e.born_ms);
            }
            (c.role, c.zone, c.cell, c.phase) = (role, e.zone, e.cell, e.phase);
            c.told = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            c.link.guess(c.told);
        }
        // Caches that keep anything send more than their link brings in; a parent feeds a location or more.
        let n = self.caches.values().filter(|c| c.role == Role::Edge && c.phase != Phase::Out).count();
        self.first = self.set.told_widths(n);
        // Where links are told, pooled caches need fills for a part of what they can send.
        let told = self.caches.values().filter(|c| c.role == Role::Edge && c.told != 1.0);
        self.fills.guess(told.map(|c| c.told).sum::<f64>() * FILLS_PER_WEIGHT);
    }

    // ---- a request arrives ----

    fn request(&mut self, ask: Request, out: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(ask.class) else {
            return out.push(Action::Refuse { id: ask.id, retry_after_ms: 0.0 });
        };
        if self.reqs.len() >= self.set.max_open as usize || self.reqs.contains_key(&ask.id) {
            return out.push(Action::Refuse { id: ask.id, retry_after_ms: RETRY_AFTER_MS });
        }
        let key = hash(&[ask.object.0, u64::from(ask.part)]);
        let mean = &mut self.mean_ms[ask.class];
        let work_ms = match ask.size_kb > 0.0 && ask.size_kb.is_finite() {
            true => ask.size_kb / self.set.stream_kb_per_s * 1000.0,
            false if *mean > 0.0 => *mean,
            false => class.aim_ms * UNTOLD,
        };
        // A client's own figure, however large, moves the sums by what fits into the time it may wait.
        *mean += (work_ms.min(class.deadline_ms) - *mean) * if *mean == 0.0 { 1.0 } else { MEAN_STEP };
        let budget = if ask.budget_ms.is_finite() { ask.budget_ms.max(0.0) } else { class.deadline_ms };
        let deadline = self.now + budget;
        let aim_ms = (class.aim_ms + class.aim_stretch * work_ms).min(class.deadline_ms);
        let id = ask.id;
        let saved = (RETRIES_SAVED / f64::from(self.set.near_routers())).max(1.0);
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(saved);
        let req = Req::new(ask, key, deadline, work_ms, aim_ms);
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
    fn dispatch(&mut self, mut req: Req, out: &mut Vec<Action>) {
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
        let short = (req.aim_ms * AIMS).min(left * PART_OF_LEFT).max(LEAST_TRY_MS);
        let time = if may_retry && matches!(way, Way::Hit | Way::Look) { short } else { left };
        let rank = self.rank(&req);
        out.push(Action::Get {
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
            let window = self.set.cold_window_ms;
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
    fn left(&self, req: &Req) -> f64 {
        req.deadline - self.now - 2.0 * self.set.tick_ms
    }

    /// When a refused client may come back, spread so that the refused don't return as one wave.
    fn hint(&mut self) -> f64 {
        (RETRY_AFTER_MS * spread(&mut self.seed)).min(self.set.max_retry_after_ms)
    }

    /// The final answer of a request that is given up. A refusal is said only where the rules allow it.
    fn give_up(&mut self, req: Req, why: &'static str, out: &mut Vec<Action>) {
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
            true => Action::Refuse { id: req.ask.id, retry_after_ms },
            false => Action::Fail { id: req.ask.id },
        });
        self.finish(req);
    }

    /// Keeps a finished request as long as outcomes of its attempts are still to come.
    fn finish(&mut self, mut req: Req) {
        req.done = true;
        if req.is_open() {
            self.reqs.insert(req.ask.id, req);
        }
    }

    // ---- where it goes ----

    fn choose(&self, req: &Req) -> Result<Plan, &'static str> {
        let class = &self.set.classes[req.ask.class];
        let left = self.left(req);
        if req.attempts.len() >= self.set.max_attempts as usize || left < LEAST_TRY_MS {
            return Err("no time or attempts left");
        }
        // Home is the first in hash order; a cold cache's weight grows as it warms: it takes only its part.
        let place = word(req.key);
        let own = self.caches.iter().filter(|(_, c)| c.role == Role::Edge && c.phase == Phase::In);
        let share = |c: &Cache| self.gives(c) * (1.0 - c.said.max(0.0));
        let mut scored: Vec<_> = own.map(|o| (score(o.1.tag, place, share(o.1)), o)).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        let order: Vec<(&CacheId, &Cache)> = scored.into_iter().map(|s| s.1).collect();
        let sendable = order.iter().copied().filter(|(_, c)| self.may_send(req, c));
        let mut fits: Vec<_> = sendable.clone().filter(|(id, c)| self.fits(id, c, req)).collect();
        if fits.is_empty() {
            fits = sendable.filter(|(_, c)| self.has_room(c, req)).collect();
        }
        let first = fits.first().ok_or("no cache may be sent it")?.1;
        // Links are shared evenly, so what is asked takes its sending time times the load. Where home would
        // be late, the next in hash order that would not be serves; with none it is refused at once, the
        // large first. Guards against hot objects, bursts, lost caches. Harm: second copies; a late answer's
        // worth. Nothing is faster than its sending time: what cannot end while the client waits only fills
        // the links.
        let aim = req.aim_ms.min(left);
        let alone = |c: &Cache| if self.quickness(c) < 1.0 { c.pace_at(self.now) } else { 1.0 };
        let load = |c: &Cache| if c.link.width.full { self.load(c) * LATE_MARGIN } else { 0.0 };
        let in_time = |c: &Cache| req.work_ms * load(c).max(alone(c)) <= aim;
        let eased = |c: &Cache| self.is_slow(first) || self.load(c) < SPILL_GAIN * self.load(first);
        let spill = fits[1..].iter().find(|f| in_time(f.1) && eased(f.1));
        let home = fits.first().filter(|f| in_time(f.1)).or(spill);
        let &(id, home) = home.ok_or("caches are crowded")?;
        let (parent, origin) = (self.source(req, Role::Parent), self.source(req, Role::Origin));
        let late = |id: &CacheId| self.is_late(&self.caches[id], req);
        let parent = parent.filter(|p| !late(p) || origin.is_none_or(late));
        if class.write {
            let source = if req.attempts.len() % 2 == 0 { origin.or(parent) } else { parent.or(origin) };
            let source = source.ok_or(NO_SOURCE)?;
            return Ok((id.clone(), source.clone(), Way::Write));
        }
        let drawn = mix(req.ask.id.0 ^ self.seed ^ req.attempts.len() as u64);
        let held_back = self.turned.holds_back(self.now, drawn);
        if home.filter.shows(req.key) {
            // Where sources turn fills away, a copy past its fresh time is better than none.
            let refused = req.attempts.last().is_some_and(|a| a.ending == Some(Ending::Saturated));
            let looks = held_back || refused && class.grace_ms > 0.0;
            let (source, way) =
                if looks { (id, Way::Look) } else { (parent.or(origin).unwrap_or(id), Way::Hit) };
            return Ok((id.clone(), source.clone(), way));
        }
        let held = |i: &CacheId, c: &Cache| {
            i != id && c.filter.shows(req.key) && self.fits(i, c, req) && !self.is_slow(c)
        };
        let asks = self.set.neighbours != Neighbours::None;
        let sibling = order.iter().find(|(i, c)| asks && held(i, c)).map(|s| s.0);
        let source = sibling.or(parent).or(origin).ok_or(NO_SOURCE)?;
        // Without room for another fill, a miss is refused at once: it would only hold a place at the cache
        // that what is kept there needs. Guards against a slow origin, crowded links, flushes and scans.
        let shut = self.fills.is_shut(self.now, f64::from(self.set.near_routers()));
        if sibling.is_none() && (shut || held_back) {
            return Err(if shut { "no room for fills" } else { TURNED });
        }
        Ok((id.clone(), source.clone(), Way::Fill))
    }

    /// The parent (or the origin) to ask: the first that may be, in the object's hash order over all of them.
    fn source(&self, req: &Req, role: Role) -> Option<&CacheId> {
        let up = self.caches.iter().filter(|(_, c)| c.role == role && c.phase == Phase::In);
        let scored = up
            .filter(|(id, c)| self.fits(id, c, req))
            .map(|(id, c)| (score(c.tag, req.ask.object.0, c.told * self.quickness(c)), id));
        scored.min_by(|a, b| b.0.total_cmp(&a.0)).map(|s| s.1)
    }

    /// Whether a fill from a source would come later than wanted, as its others did.
    fn is_late(&self, c: &Cache, req: &Req) -> bool {
        let pace = if c.role == Role::Origin { c.pace_at(self.now) } else { c.pace_of_quick(self.now) };
        (req.work_ms + PACE_BASE_MS) * pace > req.aim_ms
    }

    /// Whether a machine may be used for this request, as target or source.
    fn fits(&self, id: &CacheId, c: &Cache, req: &Req) -> bool {
        let usable = !(c.ejected || c.silent(self.now)) || self.now >= c.next_trial;
        usable && !req.failed.contains(id) && self.has_room(c, req)
    }

    /// Its next trial by this router: those of a location keep to `TRIAL_GAP_MS` together, and out of step.
    fn tried(&mut self, id: &CacheId) {
        let (spread, routers, now) = (spread(&mut self.seed), f64::from(self.set.near_routers()), self.now);
        if let Some(c) = self.caches.get_mut(id) {
            c.next_trial = now + TRIAL_GAP_MS * spread * if c.role == Role::Edge { routers } else { 1.0 };
        }
    }

    /// The others that do the same as it.
    fn fellows<'a>(&'a self, c: &'a Cache) -> impl Iterator<Item = &'a Cache> {
        let same = move |f: &&Cache| f.role == c.role && f.phase == Phase::In && f.tag != c.tag;
        self.caches.values().filter(same)
    }

    /// The part of its weight that is left to a machine slower than its fellows. Guards against parents that
    /// slow, pause or crowd, and caches that crawl. Harm: what a merely busy one holds is fetched anew.
    fn quickness(&self, c: &Cache) -> f64 {
        let n = self.fellows(c).count().max(1) as f64;
        let others = self.fellows(c).map(|f| f.pace_at(self.now)).sum::<f64>() / n;
        if others > 0.0 {
            (SLOW * others / c.pace_at(self.now).max(0.01)).powi(2).min(1.0)
        } else {
            1.0
        }
    }

    /// Whether what went through a cache took no longer than its hits do: its own link is the crowded one.
    fn is_busy(&self, c: &Cache, pace: f64) -> bool {
        c.pace_at(self.now) > SLOW && pace < SLOW * c.pace_at(self.now)
    }

    fn is_slow(&self, c: &Cache) -> bool {
        self.quickness(c) < SLOW_PART
    }

    /// Its part of the homes.
    fn gives(&self, c: &Cache) -> f64 {
        c.told * self.warmth(c) * self.quickness(c)
    }

    /// What it carries when warm: as it showed, else as its fellows did, else as told links let expect.
    fn width(&self, c: &Cache, shown: Width) -> f64 {
        let role = c.role as usize;
        let least = shown.carries.max(1.0);
        if shown.full {
            least
        } else {
            least.max(self.typical[role]).max(self.first[role])
        }
    }

    /// What it carries now. One that warms up carries at least what the rules tell, and what it has shown.
    fn carries(&self, c: &Cache) -> f64 {
        (self.width(c, c.link.width) * self.warmth(c)).max(c.link.lately.rate(self.now) * self.sharers(c))
    }

    /// How many routers may send to it or fill from it.
    fn sharers(&self, c: &Cache) -> f64 {
        f64::from(if c.role == Role::Edge { self.set.near_routers() } else { self.set.routers.max(1) })
    }

    /// One more, or one less, is under way at a machine.
    fn step(&mut self, id: &CacheId, by: f64) {
        let Some(routers) = self.caches.get(id).map(|c| self.sharers(c)) else { return };
        let now = self.now;
        self.caches.entry(id.clone()).and_modify(|c| c.open.step(now, by, routers));
    }

    /// The sum over time of what was under way at a machine.
    fn seen(&self, id: &CacheId) -> f64 {
        self.caches.get(id).map_or(0.0, |c| c.open.seen(self.now, self.sharers(c)))
    }

    /// Takes in what an answer shows of a link: a cache's by its hits, a source's by the fills from it.
    fn measure(&mut self, id: &CacheId, work_ms: f64, took_ms: f64, base_ms: f64, seen: f64) {
        let (now, open) = (self.now, (self.seen(id) - seen) / took_ms.max(1.0));
        let routers = self.caches.get(id).map_or(1.0, |c| self.sharers(c));
        let cold = self.caches.get(id).is_none_or(|c| self.warming(c).is_some());
        let Some(c) = self.caches.get_mut(id).filter(|_| !cold) else { return };
        c.link.answered(now, Answer { work_ms, took_ms, base_ms, open }, routers);
        let role = c.role as usize;
        self.typical[role] = mean_proven(self.caches.values(), role);
    }

    /// How it warms up, and the part of its budget that all routers together use; `None`: it is warm.
    fn warming(&self, c: &Cache) -> Option<Warming> {
        let [from, ms, multiple] = self.set.cold(c.role == Role::Parent);
        let cold = c.born > 0.0 && c.role != Role::Origin && self.now - c.born < ms;
        let rate = multiple * self.width(c, c.link.proven) * COLD_USE;
        cold.then_some(Warming { from, ms, multiple, rate })
    }

    fn warmth(&self, c: &Cache) -> f64 {
        self.warming(c).map_or(1.0, |w| w.warmth(self.now - c.born))
    }

    /// Whether a cold machine can be sent one more within its budget, shared among the routers that reach it.
    fn has_room(&self, c: &Cache, req: &Req) -> bool {
        let Some(warming) = self.warming(c) else { return true };
        let (near, slot) = (self.set.near_routers(), self.set.slot);
        let (place, routers) = match c.role {
            Role::Parent => (slot, self.set.routers.max(1)),
            _ => (self.mates.place(slot, near), near),
        };
        let (window, age) = (self.set.cold_window_ms, self.now - c.born);
        let spent = c.spent(self.now, window);
        let part = warming.rate * warming.warmth(age) * window / f64::from(routers);
        // What a router saw it send lately it can send now, and may be asked for within the same multiple.
        // One of several goes by that only where it knows no width: two ways at once would add up.
        let blind = routers == 1 || !c.link.width.full && self.typical[c.role as usize] == 0.0;
        let shown = if blind { c.link.lately.rate(self.now) } else { 0.0 };
        let part = part.max(warming.multiple * COLD_USE * shown * window);
        let cost = self.mean_ms[req.ask.class];
        let turn = self.mean_ms.iter().copied().fold(cost, f64::max);
        if part >= turn {
            return spent + cost <= part;
        }
        // Less than a request each: by turns. A turn is good for a window, so those of two may meet in one.
        let warming = Warming { rate: warming.rate * COLD_TURNS / COLD_USE, ..warming };
        // What is left of a turn after a small request is good for a large one, or most of it would be lost.
        spent + cost.min(turn / 2.0) <= turn * f64::from(warming.turns(age, window, turn, place, routers))
    }

    fn load(&self, c: &Cache) -> f64 {
        let routers = f64::from(self.set.near_routers());
        let counted = c.open.of_all(self.now, routers) / self.carries(c);
        if self.warmth(c) >= 1.0 {
            return counted;
        }
        // Its warmth is the least it may be, and others' parts are a guess: what its hits took tells more.
        let fresh = (-(self.now - c.paced) / PACE_SEEN_MS).exp2() * (1.0 - 1.0 / routers);
        counted + (counted.min(c.pace) - counted) * fresh
    }

    /// Whether its class lets this request be sent to that cache now.
    fn may_send(&self, req: &Req, to: &Cache) -> bool {
        let class = &self.set.classes[req.ask.class];
        let mut ran = req.attempts.iter().filter(|a| !a.ending.is_some_and(Ending::never_ran));
        match (class.effect, ran.next()) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some(first)) => {
                let group = self.caches.get(&first.cache).is_some_and(|f| match class.scope {
                    DedupScope::All => true,
                    DedupScope::Zone => f.zone == to.zone,
                    DedupScope::Cell => f.cell == to.cell,
                });
                group && self.now < self.repeat_by(req)
            }
        }
    }

    /// When a repeat must have begun: machines know it for what it is up to the end of their window alone.
    fn repeat_by(&self, req: &Req) -> f64 {
        let class = &self.set.classes[req.ask.class];
        let mut ran = req.attempts.iter().filter(|a| !a.ending.is_some_and(Ending::never_ran));
        let first = ran.next().filter(|_| class.effect == Effect::Deduplicated);
        first.map_or(f64::INFINITY, |a| a.sent + class.repeat_window_ms - 2.0 * self.set.tick_ms)
    }

    /// The oldest copy that will do, also to join a fill; 0: the class's bound. `late`: past its fresh time.
    fn age_bound(&self, req: &Req, late: bool) -> f64 {
        let class = &self.set.classes[req.ask.class];
        let grace = if late && class.fresh_ms > 0.0 { class.grace_ms } else { 0.0 };
        let most = class.fresh_ms + grace;
        let bound = |at: f64| (self.now - at - PURGE_MARGIN_MS - self.set.tick_ms).max(1.0);
        let purged = self.purges.of(req.ask.object.0, req.ask.group).map(bound);
        purged.filter(|&b| most == 0.0 || b < most).unwrap_or(if grace > 0.0 { most } else { 0.0 })
    }

    fn rank(&self, req: &Req) -> u8 {
        if self.set.classes[req.ask.class].write {
            return 0;
        }
        let seen = self.wanted.count(req.key);
        1 + u8::from(seen >= RANK2_FROM) + u8::from(seen >= RANK3_FROM)
    }

    // ---- what came of it ----

    fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let Some(mut req) = self.reqs.remove(&o.id) else { return };
        let Some(a) = req.attempts.get_mut(o.attempt as usize).filter(|a| a.open) else {
            self.reqs.insert(o.id, req);
            return;
        };
        a.open = false;
        a.ending = Some(o.ending);
        let (cache, source, way) = (a.cache.clone(), a.source.clone(), a.way);
        let (seen, late) = (a.seen, a.late);
        let in_time = o.elapsed_ms <= req.aim_ms;
        let (now, routers) = (self.now, f64::from(self.set.near_routers()));
        // A fill through a cache that crawls or is itself crowded tells nothing of its source or the links.
        let crawls = self.caches.get(&cache).is_some_and(|c| self.is_slow(c));
        let fill_pace = o.elapsed_ms / (req.work_ms + PACE_BASE_MS);
        let busy = self.caches.get(&cache).is_some_and(|c| self.is_busy(c, fill_pace));
        self.testify(&cache, Sign::Crawling, if crawls { SILENCE_SURE } else { 0.0 }, out);
        let slow = crawls || busy || self.caches.get(&source).is_some_and(|c| self.is_slow(c));
        // Out of time before it was wanted, its client had no patience: that tells nothing of anybody.
        let overdue = o.ending == Ending::Overdue && !in_time;
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
            || matches!(o.ending, Ending::Overdue | Ending::Recalled | Ending::RefusedConn);
        if let Some(c) = self.caches.get_mut(&cache) {
            if let Some(holds) = o.holds {
                c.open.told(now, holds);
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

    /// Feeds filters and health from an outcome.
    fn learn(&mut self, req: &mut Req, o: &Outcome, crawls: bool, out: &mut Vec<Action>) {
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
            Ending::Recalled if a.called_off => self.verdict(cache, SILENCE_BLAME, out),
            Ending::Superseded | Ending::Retracted | Ending::Recalled => {}
            _ => {
                // A time-out counts only against a machine that has answered nothing since: a slow one is
                // crowded, and ejecting it would crowd the rest and move its homes.
                let quiet = |i: &CacheId| self.caches.get(i).is_some_and(|c| c.heard < sent);
                let late = o.ending == Ending::Overdue;
                let told = self.set.notes == NoteLevel::All && o.detail != 0;
                let (c, s) = match (o.ending, o.detail) {
                    (Ending::Saturated, 0) if o.elapsed_ms < UNSEEN_MS => (1.0, 0.0),
                    (_, 8..=10) | (Ending::Saturated, 0) => (0.0, 0.0),
                    _ if late && o.elapsed_ms <= req.aim_ms => (0.0, 0.0),
                    _ if late && !quiet(cache) && (shown || crawls || !quiet(source)) => (0.0, 0.0),
                    _ if late && !quiet(cache) => (0.0, 1.0),
                    (_, 6 | 7) => (0.0, 1.0),
                    (Ending::RefusedConn, _) => (1.5, 0.0),
                    (Ending::Severed, _) => (1.0, 0.0),
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
                if c > 0.0 && c >= s && (o.ending != Ending::Severed || req.attempts.len() > 1) {
                    req.failed.insert(cache.clone());
                }
            }
        }
    }

    fn record(&mut self, id: &CacheId, change: impl Fn(&mut Filter) -> Vec<Change>) {
        if let Some(c) = self.caches.get_mut(id) {
            let room = MAX_NOTED.saturating_sub(c.changes.len());
            c.changes.extend(change(&mut c.filter).into_iter().take(room));
        }
    }

    /// Hears of others: fewer homes and fewer failures until trials only, or a trial at once. Never more.
    fn hearsay(&mut self, id: &CacheId, amount: f64) {
        let Some(c) = self.caches.get_mut(id).filter(|_| amount.is_finite()) else { return };
        c.said = amount.clamp(-SAID_MOST, SAID_MOST);
        if c.said < 0.0 {
            c.next_trial = c.next_trial.min(self.now);
        }
    }

    /// From now on tells what its answers show of machines, for other routers.
    pub fn bear_witness(&mut self) {
        self.witness = true;
    }

    fn testify(&self, cache: &CacheId, sign: Sign, strength: f64, out: &mut Vec<Action>) {
        if self.witness && strength > 0.0 {
            out.push(Action::Evidence { cache: cache.clone(), sign, strength: strength.min(1.0) });
        }
    }

    /// One piece of evidence on a machine: 0 good, 1 a failure of its own, between: perhaps its own.
    fn verdict(&mut self, id: &CacheId, blame: f64, out: &mut Vec<Action>) {
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
    fn watch(&mut self, out: &mut Vec<Action>) {
        self.watching = !self.reqs.is_empty();
        if !self.watching {
            return;
        }
        out.push(Action::Timer { delay_ms: WATCH_MS, token: 0 });
        let (mut silent, mut late) = (BTreeSet::new(), Vec::new());
        for (&id, req) in self.reqs.iter_mut().filter(|(_, r)| !r.done) {
            for a in req.attempts.iter_mut().filter(|a| a.open && a.way == Way::Fill) {
                let took = self.now - a.sent;
                if took > req.aim_ms && !std::mem::replace(&mut a.late, true) {
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

    fn withdrawn(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.reqs.remove(&id) else { return };
        for (n, _) in req.attempts.iter().enumerate().filter(|(_, a)| a.open && self.set.cancel) {
            out.push(Action::Cancel { id, attempt: n as u32 });
        }
        self.finish(req);
    }

    fn purged(&mut self, object: Option<ObjectId>, group: u64, age_ms: f64) {
        let at = self.now - if age_ms.is_finite() { age_ms.max(0.0) } else { 0.0 };
        self.purges.note(object.map(|o| o.0), group, at);
    }

    // ---- peers ----

    /// Sends the location's routers what changed in the filters since the last time.
    fn tell(&mut self, out: &mut Vec<Action>) {
        for c in self.caches.values_mut() {
            let changes = std::mem::take(&mut c.changes);
            for data in message::changes(self.set.zone as u8, c.tag, &changes, MESSAGE_BYTES) {
                out.extend(self.mates.all().map(|to| Action::Tell { to, data: data.clone() }));
            }
        }
    }

    /// Takes a message: it shows its sender's location, and brings a mate's changes or is a greeting.
    fn heard(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        let known = self.set.peers && from != self.set.slot && from < self.set.routers;
        if let Some((_, w)) = Welcome::read(data).filter(|w| known && w.0 == self.set.zone as u8) {
            return self.adopt(&w);
        }
        // Malformed or foreign: counted, and it changes nothing else.
        let Some((zone, message)) = message::read(data, COUNTERS).filter(|_| known) else {
            self.odd += 1;
            return;
        };
        self.mates.heard(from, zone == self.set.zone as u8);
        match message {
            _ if zone != self.set.zone as u8 => {}
            Message::Greeting(true) => self.welcome(from, out),
            Message::Greeting(false) => {}
            Message::Changes(tag, changes) => {
                let named = |c: &&mut Cache| c.tag.to_be_bytes().starts_with(&tag) && c.phase == Phase::In;
                if let Some(c) = self.caches.values_mut().find(named) {
                    c.filter.apply(&changes);
                }
            }
        }
    }

    /// Tells one that has just started what it can't know. Guards against restarts of a part of all routers:
    /// each would fill without a limit, and send to what the others know to be slow or failing.
    fn welcome(&self, to: u32, out: &mut Vec<Action>) {
        let (zone, known_ms) = (self.set.zone as u8, self.mates.known_ms(self.now));
        out.push(Action::Tell { to, data: message::greeting(zone, false) });
        if known_ms < WELCOME_FROM_MS {
            return;
        }
        let up = self.caches.values().filter(|c| c.phase == Phase::In);
        let w = Welcome::of(up.clone(), self.now, known_ms, self.fills.limit);
        out.push(Action::Tell { to, data: w.encode(zone, MESSAGE_BYTES) });
        // The keys that caches are known to hold: one of its mates tells them, the next by number.
        if self.mates.comes_after(self.set.slot, to) {
            for c in up.filter(|c| c.role == Role::Edge) {
                let keys = message::changes(zone, c.tag, &c.filter.shown(), MESSAGE_BYTES);
                out.extend(keys.into_iter().take(WELCOME_PIECES).map(|data| Action::Tell { to, data }));
            }
        }
    }

    /// Takes over what one that has known the location for longer has learned.
    fn adopt(&mut self, w: &Welcome) {
        if self.mates.take_over(self.now, w.known_ms) {
            self.fills.limit = w.fills;
            w.fill_in(self.caches.values_mut(), self.now, self.mates.began.unwrap_or(self.now));
            self.typical = [0, 1, 2].map(|role| mean_proven(self.caches.values(), role));
        }
    }

    /// How many messages made no sense or came from no router of the tier.
    pub fn odd_messages(&self) -> u64 {
        self.odd
    }

    /// How many requests, purges and untold filter changes are held: for watching memory.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.reqs.len(), self.purges.len(), self.caches.values().map(|c| c.changes.len()).sum())
    }
}
