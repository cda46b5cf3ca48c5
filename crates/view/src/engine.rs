//! One front's part: events and the time in, datagrams and changes of the view out.

use crate::fact::{Fact, Held, Id, Merged, Rank, Stand, Table};
use crate::ring::Rings;
use crate::settle::Settle;
use crate::watch::{Due, Watch, Word};
use crate::wire::{size, Item, Message, MOST_BYTES, TAG_BYTES};
use fernslip_gossip::{Bucket, Keyring, Replays};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Others asked where a ping has no answer.
const ASKED: usize = 3;
/// News is told so many times the logarithm of the fleet, and once more.
const TIMES: f64 = 1.5;
/// Rings are drawn anew no more often than so many milliseconds for each front: in a fleet of a thousand that takes one,
/// and there each of hundreds of newcomers would bring it about.
const RINGS_EACH_MS: f64 = 0.1;
/// More news than this at once is much.
const MANY: usize = 64;
/// Then each piece is told so many times.
const TIMES_OF_MANY: u32 = 4;
/// Between two rounds of news, in milliseconds, while there are any or the view is not settled.
const ROUND_MS: f64 = 100.0;
/// A view that is not settled after so long is told slowly: somebody who is cut off keeps it so.
const PATIENT_MS: f64 = 8_000.0;
/// Between two rounds then.
const SLOW_ROUND_MS: f64 = 1_000.0;
/// Between two comparisons of views with others, at the least.
const COMPARE_MS: f64 = 250.0;
/// Between two calls to a front that is gone, to a seed that is not known, or to a process of our own name.
const CALL_MS: f64 = 1_000.0;
/// A newcomer calls so often.
const HELLO_MS: f64 = 300.0;
/// All fronts together call one that is gone about so often a second: it must not be met by all when it returns.
const CALLS_A_SECOND: f64 = 3.0;
/// Fronts that ended are remembered for so long, so that words on them don't bring them back.
const FORGET_MS: f64 = 900_000.0;
/// A front that heard nobody for so long takes its view for out of date and joins anew: others may have forgotten by
/// then who has ended.
const OUT_OF_TOUCH_MS: f64 = FORGET_MS / 3.0;
/// A tick that comes later than this after it was due tells that this front did not run.
const LATE_MS: f64 = 500.0;
/// Between two rounds of forgetting.
const FADE_MS: f64 = 1_000.0;
/// What is kept of a front for `explain`.
const TALES: usize = 8;
/// Pings made for others that wait for their answers.
const MOST_FORWARDS: usize = 256;
/// Bytes of a message beside its items and the bits of who held the view.
const HEAD_BYTES: usize = 48;
/// Datagrams at once in answer to one.
const MOST_AT_ONCE: usize = 4;
/// Fronts whose texts are asked for at once.
const MOST_WANTED: usize = 48;
/// Others that a round of news goes to.
const FANOUT: usize = 3;
/// What a front that was taken up lately says of who is gone waits for so long: a half that comes back holds all of
/// the other half for gone, and those answer within this time.
const HEAR_OUT_MS: f64 = 1_000.0;
/// Meanwhile it is told so often.
const WARN_MS: f64 = 200.0;
/// One that had ended and has been counted on again for less than this was taken up lately.
const LATELY_MS: f64 = 5_000.0;
/// For so long after ends that not all watchers could tell of, ends that are found are not sure either.
const UNSURE_MS: f64 = 15_000.0;
/// Between two words on a second process of our name.
const TWIN_MS: f64 = 30_000.0;
/// A second process of our name that was not heard of for so long has ended.
const TWIN_LASTS_MS: f64 = 5_000.0;

/// What a front is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, which no other front has.
    pub name: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Where it gossips on suspicions, if it does: told to the others.
    pub gossip: Option<SocketAddr>,
    /// Its location.
    pub location: String,
    /// Its program's version.
    pub program: String,
    /// A hash of its configuration.
    pub configuration: u32,
    /// Fronts to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Fronts that this one knew when it last ran, and where they were then: called beside the seeds. One address that
    /// still holds is enough to bring all together.
    pub remembered: Vec<(String, SocketAddr)>,
    /// Fronts that watch one.
    pub watchers: usize,
    /// Bytes of datagrams a second, whatever happens.
    pub bytes_per_s: u64,
    /// Bytes that may be saved up.
    pub burst_bytes: u64,
}

impl Default for Config {
    /// Seven watchers: where a third of all crashes at once, two are left of nearly each one's. 32 KiB a second: where a hundred join at once each passes
    /// on some 60 KiB in all, and where they are cut in halves each sends some 20 KiB a second until both have settled; in
    /// steady state it is about 1 KiB a second.
    fn default() -> Config {
        Config {
            name: "front".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            gossip: None,
            location: String::new(),
            program: env!("CARGO_PKG_VERSION").into(),
            configuration: 0,
            seeds: Vec::new(),
            remembered: Vec::new(),
            watchers: 7,
            bytes_per_s: 32_768,
            burst_bytes: 131_072,
        }
    }
}

impl Config {
    /// All that may be called before anybody is known: the seeds, and where others were when this front last ran.
    fn begin_with(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().copied().chain(self.remembered.iter().map(|r| r.1))
    }
}

/// The time, by two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The host's own clock, milliseconds; never runs back.
    pub mono_ms: f64,
    /// Unix time, milliseconds; may be wrong: it is only the first guess of a start's generation.
    pub unix_ms: f64,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by.
    Tick,
    /// A datagram came.
    Datagram {
        /// From there.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// This front now does that: [`Stand::Ready`] or [`Stand::Emptying`].
    Stands(Stand),
    /// Its configuration's hash now.
    Configuration(u32),
    /// Other keys from now on.
    Keys(Keyring),
    /// This front ends.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram; it may be lost.
    Send {
        /// To there.
        to: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A front's state changed in the view.
    Changed {
        /// Which.
        name: String,
        /// Before.
        was: Option<Stand>,
        /// Now.
        is: Stand,
        /// Whose datagram told it; `None`: this front found it.
        by: Option<String>,
    },
    /// All that are counted on hold this view now, or no longer.
    Settled(bool),
    /// Another process serves under this front's name; the view holds the older.
    Twin {
        /// There.
        addr: SocketAddr,
        /// Whether the view holds the other one.
        other_is_held: bool,
    },
}

/// What was done, for the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that the budget held back.
    pub held_back: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams dropped: no message of ours, or with a wrong tag.
    pub malformed: u64,
    /// Datagrams dropped: they came before.
    pub replayed: u64,
    /// Times that this front answered to being taken for gone.
    pub refuted: u64,
    /// Changes of the view.
    pub changes: u64,
}

/// A front in the view, for the operators.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What is told of it.
    pub fact: Fact,
    /// Since when it stands so, by this front's clock.
    pub since_ms: f64,
    /// Who speaks against it now: it is suspected.
    pub against: Vec<String>,
}

/// A step in a front's story, for the operators.
#[derive(Clone, Debug)]
pub struct Tale {
    /// When, by this front's clock.
    pub at_ms: f64,
    /// What.
    pub what: String,
    /// Who said so; empty: this front itself.
    pub by: String,
}

/// A word that a front is gone, while that front may answer.
struct Waiting {
    rank: Rank,
    from: Id,
    until_ms: f64,
    told: u32,
    warned_ms: f64,
}

/// One front's part.
pub struct View {
    config: Config,
    keys: Keyring,
    rng: ChaCha8Rng,
    own: Fact,
    table: Table,
    rings: Rings,
    rings_ms: f64,
    /// When they are to be drawn anew, if the view has changed.
    rings_due: Option<f64>,
    watch: Watch,
    settle: Settle,
    bucket: Bucket,
    /// The ids of those that count, in order: places in [`Settle`].
    order: Vec<Id>,
    /// Fronts of which something new is to be told, with how often it was, and whether with all texts.
    news: BTreeMap<Id, (u32, bool)>,
    /// Words that a front is gone which wait for its own answer, and until when.
    waiting: BTreeMap<Id, Waiting>,
    /// By process.
    replays: Replays<u64>,
    forwards: BTreeMap<u32, (SocketAddr, u32, f64)>,
    tales: BTreeMap<Id, VecDeque<Tale>>,
    /// Another process of our name: where, when it was told of, and when it was heard of last.
    twin: Option<(SocketAddr, f64, f64)>,
    number: u32,
    sequence: u32,
    word: u32,
    admitted: bool,
    /// Where others were when this front last ran is let go of then, as one that ended is.
    remembered_until: f64,
    stale: bool,
    settled_told: bool,
    left: bool,
    /// When the last event came.
    last_ms: f64,
    heard_ms: f64,
    round_ms: f64,
    /// When an end was last taken over that not all watchers could tell of.
    unsure_ms: f64,
    compared_ms: f64,
    next_call: f64,
    next_fade: f64,
    counts: Counts,
}

impl View {
    /// A front that knows nobody yet. Two with the same configuration and seed do the same; the seed is to differ from
    /// process to process.
    pub fn new(config: Config, keys: Keyring, seed: u64, now: Now) -> View {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let own = Fact {
            name: config.name.clone(),
            addr: config.addr,
            gossip: config.gossip,
            location: config.location.clone(),
            program: config.program.clone(),
            configuration: config.configuration,
            birth: rng.random(),
            generation: now.unix_ms.max(1.0) as u64,
            incarnation: 0,
            stand: Stand::Joining,
            sure: true,
            by: Id(0),
        };
        let at = now.mono_ms;
        let part: f64 = rng.random();
        let admitted = config.begin_with().all(|s| s == config.addr);
        let mut view = View {
            bucket: Bucket::new(config.bytes_per_s, config.burst_bytes, at),
            keys,
            own,
            table: Table::default(),
            rings: Rings::default(),
            rings_ms: at,
            rings_due: None,
            watch: Watch::default(),
            settle: Settle::default(),
            order: Vec::new(),
            news: BTreeMap::new(),
            waiting: BTreeMap::new(),
            replays: Replays::default(),
            forwards: BTreeMap::new(),
            tales: BTreeMap::new(),
            twin: None,
            number: rng.random(),
            sequence: 0,
            word: 0,
            admitted,
            remembered_until: at + FORGET_MS,
            stale: true,
            settled_told: false,
            left: false,
            last_ms: at,
            heard_ms: at,
            compared_ms: at,
            unsure_ms: f64::MIN,
            round_ms: at - ROUND_MS * part,
            next_call: at,
            next_fade: at + FADE_MS * part,
            counts: Counts::default(),
            rng,
            config,
        };
        view.table.merge(&view.own.clone(), at);
        view.refresh(at, &mut Vec::new());
        view
    }

    /// What it was told.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What it has done.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What this front tells of itself.
    pub fn own(&self) -> &Fact {
        &self.own
    }

    /// All fronts that it knows, itself included, by id.
    pub fn members(&self, now_ms: f64) -> Vec<Seen> {
        let seen = |(id, h): (Id, &Held)| Seen {
            fact: h.fact.clone(),
            since_ms: h.since_ms,
            against: self.watch.against(id, h.fact.birth, now_ms).iter().map(|by| self.name(*by)).collect(),
        };
        self.table.iter().map(seen).collect()
    }

    /// Addresses of the others that are counted on, for whoever wants to send them something.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.others().map(|(_, h)| h.fact.addr).collect()
    }

    /// The others that are counted on and gossip: names and addresses.
    pub fn gossips(&self) -> Vec<(String, SocketAddr)> {
        self.others().filter_map(|(_, h)| Some((h.fact.name.clone(), h.fact.gossip?))).collect()
    }

    /// The view's digest: equal for all who hold the same.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Since when all that are counted on are known to hold this view; `None` where some are not, or where this front
    /// has reason to doubt it: it is cut off, or one that it watches is silent.
    pub fn settled_since(&self, now_ms: f64) -> Option<f64> {
        // One that others have not taken up yet holds a view of itself alone, and they may hold another: nothing that it
        // would rest on is settled.
        let doubts = !self.admitted || self.watch.subjects.values().any(|s| s.doubted_ms.is_some());
        let alone = self.table.count() > 1 && now_ms - self.heard_ms > 3_000.0;
        self.settle.since().filter(|_| !doubts && !alone && self.twin.is_none())
    }

    /// Those that are counted on and not known to hold this view; before anybody has answered, those that this front knew
    /// when it last ran.
    pub fn missing(&self) -> Vec<String> {
        if !self.admitted {
            return self.config.remembered.iter().map(|r| r.0.clone()).collect();
        }
        let all = self.table.counted().enumerate();
        all.filter(|(i, _)| !self.settle.has(*i)).map(|(_, (_, h))| h.fact.name.clone()).collect()
    }

    /// Another process under this front's name, if there is one.
    pub fn twin(&self) -> Option<SocketAddr> {
        self.twin.map(|t| t.0)
    }

    /// What happened to a front, the oldest first.
    pub fn explain(&self, name: &str) -> Vec<Tale> {
        self.tales.get(&Id::of(name)).into_iter().flatten().cloned().collect()
    }

    /// When the next [`Event::Tick`] is due, on the host's own clock.
    pub fn wake_at(&self) -> f64 {
        if self.left {
            return f64::MAX;
        }
        let waiting = self.waiting.values().map(|w| w.until_ms).fold(f64::MAX, f64::min);
        let round = self.round_every().map_or(f64::MAX, |every| self.round_ms + every);
        let rings = self.rings_due.unwrap_or(f64::MAX);
        self.watch.wake_at().min(rings).min(round).min(self.next_call).min(self.next_fade).min(waiting)
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        let at = now.mono_ms;
        // Whatever comes first after a stop. What fell due by an event was due then, not before it.
        let late = at - self.wake_at().max(self.last_ms);
        if late > LATE_MS && !self.left {
            self.watch.woke(late, at);
        }
        self.last_ms = at;
        match event {
            Event::Tick => self.tick(at, actions),
            Event::Datagram { from, bytes } => self.datagram(at, from, &bytes, actions),
            Event::Stands(stand) => {
                if self.own.stand != stand && !self.left {
                    self.own.stand = stand;
                    self.raise(at, actions);
                }
            }
            Event::Configuration(hash) => {
                if self.own.configuration != hash {
                    self.own.configuration = hash;
                    self.raise(at, actions);
                }
            }
            Event::Keys(keys) => self.keys = keys,
            Event::Leave => {
                self.own.stand = Stand::Left;
                self.raise(at, actions);
                let peers: Vec<SocketAddr> = self.peers();
                for to in peers.choose_multiple(&mut self.rng, 8).copied().collect::<Vec<_>>() {
                    self.send(at, to, vec![Item::Whole(self.own.clone())], actions);
                }
                self.left = true;
            }
        }
        self.refresh(at, actions);
    }

    fn name(&self, id: Id) -> String {
        self.table.get(id).map_or_else(|| format!("{:016x}", id.0), |h| h.fact.name.clone())
    }

    fn id(&self) -> Id {
        self.own.id()
    }

    fn others(&self) -> impl Iterator<Item = (Id, &Held)> {
        let own = self.id();
        self.table.counted().filter(move |(id, _)| *id != own)
    }

    /// How often a piece of news is told. Of many at once each is told a few times only: who misses some asks for them,
    /// as views are compared, and what all tell each other grows with their number and not faster.
    fn times(&self) -> u32 {
        if self.news.len() > MANY {
            return TIMES_OF_MANY;
        }
        (TIMES * (self.table.count().max(2) as f64).log2()).ceil() as u32 + 1
    }

    /// Between two rounds of news; `None` while there is nothing to tell.
    fn round_every(&self) -> Option<f64> {
        if self.table.count() < 2 || !self.admitted {
            return None;
        }
        if !self.news.is_empty() || self.waiting.values().any(|w| w.told < self.times()) {
            return Some(ROUND_MS);
        }
        // Somebody who is cut off keeps a view unsettled for as long as it lasts.
        let fresh = self.heard_ms - self.settle.begun() < PATIENT_MS;
        let open = self.settle.since().is_none();
        open.then_some(if fresh { ROUND_MS } else { SLOW_ROUND_MS })
    }

    /// After events: who watches whom, and whether the view is settled.
    fn refresh(&mut self, at: f64, actions: &mut Vec<Action>) {
        let own = self.id();
        if std::mem::take(&mut self.stale) {
            self.order = self.table.counted().map(|(id, _)| id).collect();
            self.rings_due =
                self.rings_due.or(Some(at.max(self.rings_ms + self.order.len() as f64 * RINGS_EACH_MS)));
            let place = self.place(own, self.own.birth);
            self.settle.view(self.table.digest(), self.order.len(), place, at);
        }
        if self.rings_due.is_some_and(|due| at >= due) {
            (self.rings_due, self.rings_ms) = (None, at);
            self.rings = Rings::new(&self.order, own, self.config.watchers);
            let birth = |id: &Id| self.table.get(*id).map(|h| (*id, h.fact.birth));
            let subjects: Vec<(Id, u64)> = self.rings.subjects().iter().filter_map(birth).collect();
            let part: f64 = self.rng.random();
            self.watch.assign(&subjects, at, part);
        }
        let settled = self.settled_since(at).is_some();
        if settled != self.settled_told {
            self.settled_told = settled;
            actions.push(Action::Settled(settled));
        }
    }

    /// A process's place among those that count; `None` where the view holds another of its name, or none.
    fn place(&self, id: Id, birth: u64) -> Option<usize> {
        let held = self.table.get(id).filter(|h| h.fact.birth == birth);
        held.and_then(|_| self.order.binary_search(&id).ok())
    }

    // ---- sending ----

    /// Sends items, in as many datagrams as they take, up to [`MOST_AT_ONCE`].
    fn send(&mut self, at: f64, to: SocketAddr, items: Vec<Item>, actions: &mut Vec<Action>) -> bool {
        let room = MOST_BYTES.saturating_sub(TAG_BYTES + HEAD_BYTES + self.settle.bits().len());
        let mut parts: Vec<Vec<Item>> = vec![Vec::new()];
        let mut used = 0;
        for item in items {
            let size = size(&item);
            if used + size > room && used > 0 {
                parts.push(Vec::new());
                used = 0;
            }
            used += size;
            if let Some(part) = parts.last_mut() {
                part.push(item);
            }
        }
        for items in parts.into_iter().take(MOST_AT_ONCE) {
            let (digest, held) = (self.table.digest(), self.settle.bits().to_vec());
            let (key, sequence) = (self.keys.signs(), self.sequence + 1);
            let mut message = Message::new(key, self.id(), self.own.birth, sequence, digest, held);
            message.items = items;
            let bytes = message.seal(&self.keys);
            if bytes.len() > MOST_BYTES || !self.bucket.take(at, bytes.len()) {
                self.counts.held_back += 1;
                return false;
            }
            self.sequence += 1;
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            actions.push(Action::Send { to, bytes });
        }
        true
    }

    /// Whether there is room for what can wait: pings, answers and words against a front go before it.
    fn has_room(&mut self, at: f64) -> bool {
        self.bucket.left(at) as u64 > self.config.burst_bytes / 8
    }

    fn fresh_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn random_others(&mut self, many: usize) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.others().map(|(_, h)| h.fact.addr).collect();
        all.choose_multiple(&mut self.rng, many).copied().collect()
    }

    // ---- own fact ----

    /// This front says something new of itself.
    fn raise(&mut self, at: f64, actions: &mut Vec<Action>) {
        self.own.incarnation += 1;
        self.assert(at, actions);
    }

    fn assert(&mut self, at: f64, actions: &mut Vec<Action>) {
        let (id, fact) = (self.id(), self.own.clone());
        let merged = self.table.merge(&fact, at);
        self.took(at, id, merged, None, true, actions);
    }

    /// Another word on this front's own name.
    fn namesake(&mut self, at: f64, other: &Fact, actions: &mut Vec<Action>) {
        if other.birth == self.own.birth {
            if other.rank() > self.own.rank() && !self.left {
                // Others took this process for gone: it answers with a higher incarnation.
                self.own.incarnation = other.incarnation + 1;
                self.counts.refuted += 1;
                self.assert(at, actions);
                // At once, and from what the budget keeps for answers: others wait for it.
                for to in self.random_others(2 * FANOUT) {
                    self.send(at, to, vec![Item::Whole(self.own.clone())], actions);
                }
            }
            return;
        }
        if !other.stand.counts() || other.addr == self.own.addr {
            // A process before this one, that has ended; its clock may have been ahead. The address is ours now.
            if other.rank() >= self.own.rank() {
                self.own.generation = other.generation + 1;
            }
            if self.twin.take().is_some() || !self.admitted {
                self.next_call = at;
            }
            self.assert(at, actions);
            return;
        }
        // A lower fact may be of a process that has ended since; that it runs is told by its own messages alone.
        if other.rank() > self.own.rank() || !self.admitted {
            self.meet_twin(at, other.addr, true, actions);
        }
    }

    fn meet_twin(&mut self, at: f64, addr: SocketAddr, other_is_held: bool, actions: &mut Vec<Action>) {
        match &mut self.twin {
            Some((known, told, seen)) if *known == addr && at - *told < TWIN_MS => *seen = at,
            twin => {
                *twin = Some((addr, at, at));
                actions.push(Action::Twin { addr, other_is_held });
            }
        }
    }

    // ---- facts ----

    fn tale(&mut self, id: Id, at_ms: f64, what: String, by: String) {
        let tales = self.tales.entry(id).or_default();
        if tales.len() >= TALES {
            tales.pop_front();
        }
        tales.push_back(Tale { at_ms, what, by });
    }

    fn took(
        &mut self,
        at: f64,
        id: Id,
        merged: Merged,
        by: Option<Id>,
        whole: bool,
        actions: &mut Vec<Action>,
    ) {
        let Merged::New(was) = merged else { return };
        let Some(h) = self.table.get(id) else { return };
        let (is, name, rank) = (h.fact.stand, h.fact.name.clone(), h.rank);
        let whole = whole || self.news.get(&id).is_some_and(|n| n.1);
        self.news.insert(id, (0, whole));
        self.waiting.remove(&id);
        self.stale = true;
        let by = by.map(|b| self.name(b));
        let mut what =
            format!("{} (generation {}, incarnation {})", is.name(), rank.generation, rank.incarnation);
        if is == Stand::Gone {
            what = format!("{what}, found by {}", self.name(rank.by));
        }
        self.tale(id, at, what, by.clone().unwrap_or_default());
        if is == Stand::Gone && !rank.sure {
            self.unsure_ms = at;
        }
        // Who had ended before it was ever counted on here is no news.
        if was != Some(is) && (was.is_some() || is.counts()) {
            self.counts.changes += 1;
            actions.push(Action::Changed { name, was, is, by });
        }
    }

    /// Whether a word that a front is gone is to wait for that front's own answer: some who watch it were out of reach
    /// too, so that it may be of another side of a partition; or it comes from one that this front itself did not
    /// count on until lately, as after one.
    fn hears_out(&mut self, at: f64, id: Id, rank: &Rank, from: Id) -> bool {
        let held = self.table.get(id).filter(|h| h.fact.stand.counts() && h.rank < *rank);
        if !held.is_some_and(|h| rank.stand == Stand::Gone && h.rank.birth == rank.birth) {
            return false;
        }
        let lately = |h: &Held| !h.fact.stand.counts() || h.back_ms.is_some_and(|b| at - b < LATELY_MS);
        if rank.sure && (rank.by == self.id() || !self.table.get(rank.by).is_none_or(lately)) {
            return false;
        }
        let until_ms = at + self.hear_out_ms();
        self.waiting.entry(id).or_insert(Waiting { rank: *rank, from, until_ms, told: 0, warned_ms: at });
        true
    }

    /// A fact came: what is to be told the one it concerns, where it is taken for gone.
    fn take(&mut self, at: f64, fact: &Fact, from: Id, actions: &mut Vec<Action>) {
        let id = fact.id();
        if !fact.is_sound() {
            return;
        }
        if id == self.id() {
            self.namesake(at, fact, actions);
        } else if self.hears_out(at, id, &fact.rank(), from) {
            return self.warn(at, id, fact.rank(), actions);
        }
        let merged = self.table.merge(fact, at);
        self.took(at, id, merged, Some(from), true, actions);
    }

    /// The same for a rank alone; whether the texts are lacking.
    fn take_rank(&mut self, at: f64, id: Id, rank: Rank, from: Id, actions: &mut Vec<Action>) -> bool {
        if id == self.id() && rank.birth == self.own.birth {
            let Rank { generation, incarnation, stand, sure, by, .. } = rank;
            let fact = Fact { generation, incarnation, stand, sure, by, ..self.own.clone() };
            if fact.is_sound() {
                self.namesake(at, &fact, actions);
            }
            return false;
        }
        if id == self.id() {
            // Another process's texts come with a whole fact.
            return rank > self.own.rank();
        }
        if self.hears_out(at, id, &rank, from) {
            self.warn(at, id, rank, actions);
            return false;
        }
        let merged = self.table.merge_rank(id, rank, at);
        self.took(at, id, merged, Some(from), false, actions);
        merged == Merged::Lacks
    }

    /// How long a word of an end waits for an answer: longer where answers usually take long.
    fn hear_out_ms(&self) -> f64 {
        HEAR_OUT_MS + 2.0 * self.watch.usual_ms()
    }

    /// Tells a front that it is taken for gone, so that it can answer.
    fn warn(&mut self, at: f64, id: Id, rank: Rank, actions: &mut Vec<Action>) {
        if let Some(to) = self.table.get(id).map(|h| h.fact.addr) {
            self.send(at, to, vec![Item::Short(id, rank)], actions);
        }
    }

    /// Looks whether one that does not answer is gone.
    fn judge(&mut self, at: f64, id: Id, actions: &mut Vec<Action>) {
        let Some(h) = self.table.get(id).filter(|h| h.fact.stand.counts()) else { return };
        let own = self.id();
        let watchers = self.rings.watchers(id);
        let Some(sure) = self.watch.verdict(id, h.fact.birth, own, watchers, self.table.count(), at) else {
            return;
        };
        // Once some were out of reach, the rings are drawn without them: those left agree, and may all be of one side.
        let sure = sure && at - self.unsure_ms > UNSURE_MS;
        let rank = Rank { stand: Stand::Gone, sure, by: own, ..h.rank };
        let against = self.watch.against(id, h.fact.birth, at);
        let names: Vec<String> = against.iter().map(|by| self.name(*by)).collect();
        if !sure && !self.waiting.contains_key(&id) {
            // Its side of a partition may join ours in this moment; its own answer comes first then.
            self.tale(
                id,
                at,
                format!("no answer to {}; others who watch it are out of reach", names.join(", ")),
                String::new(),
            );
            let from = own;
            let until_ms = at + self.hear_out_ms();
            self.waiting.insert(id, Waiting { rank, from, until_ms, told: 0, warned_ms: at });
            return self.warn(at, id, rank, actions);
        }
        if sure {
            self.tale(id, at, format!("no answer to {}", names.join(", ")), String::new());
            let merged = self.table.merge_rank(id, rank, at);
            self.took(at, id, merged, None, false, actions);
        }
    }

    // ---- receiving ----

    fn datagram(&mut self, at: f64, from: SocketAddr, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some(m) = Message::open(bytes, &self.keys) else {
            self.counts.malformed += 1;
            return;
        };
        if m.birth == self.own.birth || !self.replays.is_new(m.birth, 0, m.sequence, at) {
            self.counts.replayed += 1;
            return;
        }
        self.counts.taken += 1;
        self.heard_ms = at;
        let sender = self.table.get(m.from).map(|h| (h.fact.birth, h.fact.stand, h.rank));
        let mut reply = Vec::new();
        match sender {
            Some((birth, stand, _)) if birth == m.birth && stand.counts() => self.watch.heard(m.from, at),
            // It is taken for gone, and is not: it is told, and answers with a higher incarnation.
            Some((birth, Stand::Gone, rank)) if birth == m.birth => reply.push(Item::Short(m.from, rank)),
            Some((_, stand, _)) if m.from != self.id() && stand.counts() => {
                // Another process of that name: it hears whom we hold, and we ask whom it tells of.
                reply.extend(self.table.get(m.from).map(|h| Item::Whole(h.fact.clone())));
            }
            _ if m.from != self.id() => reply.push(Item::Want(vec![m.from])),
            _ => {
                let held = self.table.get(m.from).is_some_and(|h| h.fact.birth == m.birth);
                self.meet_twin(at, from, held || !self.admitted, actions);
                reply.push(Item::Whole(self.own.clone()));
            }
        }
        let place = self.place(m.from, m.birth);
        self.settle.heard(m.digest, &m.held, place, at);
        let hello = m.items.iter().any(|i| matches!(i, Item::Hello(_)));
        if hello || m.items.iter().any(|i| matches!(i, Item::Whole(f) if f.id() == m.from)) {
            reply.retain(|i| !matches!(i, Item::Want(_)));
        }
        let mut wanted = Vec::new();
        for (i, item) in m.items.iter().enumerate() {
            match item {
                Item::Ping(n) => reply.push(Item::Ack(*n)),
                Item::Ack(n) => self.ack(at, *n, &m, actions),
                Item::Ask(id, birth, n) => self.ask(at, *id, *birth, *n, from, actions),
                Item::Hello(fact) => self.hello(at, fact, &m, &mut reply, actions),
                Item::Namesake(addr) if *addr != self.own.addr => self.meet_twin(at, *addr, false, actions),
                Item::Namesake(_) => {}
                Item::Whole(fact) => {
                    // Told by others, this process has been taken up.
                    self.admitted |= fact.birth == self.own.birth && fact.stand.counts();
                    self.take(at, fact, m.from, actions);
                }
                Item::Short(id, rank) => {
                    let confirms = *id == self.id() && rank.birth == self.own.birth && rank.stand.counts();
                    self.admitted |= confirms;
                    if self.take_rank(at, *id, *rank, m.from, actions) && wanted.len() < MOST_WANTED {
                        wanted.push(*id);
                    }
                }
                Item::Want(ids) => {
                    let whole = |id: &Id| self.table.get(*id).map(|h| Item::Whole(h.fact.clone()));
                    let own = ids.contains(&self.id()).then(|| Item::Whole(self.own.clone()));
                    let known = ids.iter().filter(|id| **id != self.id()).filter_map(whole);
                    reply.extend(own.into_iter().chain(known.take(MOST_WANTED)));
                }
                Item::Sums(theirs) => {
                    if self.has_room(at) {
                        self.differ(theirs, &mut reply);
                    }
                }
                Item::Differ(bits) => self.fill(*bits, &m.items[i + 1..], &mut reply),
                Item::Alert { of, birth, incarnation, word, ping, stands, alone } => {
                    let word =
                        Word { number: *word, at_ms: at, birth: *birth, stands: *stands, alone: *alone };
                    self.alert(at, *of, *incarnation, word, *ping, &m, &mut reply, actions);
                }
            }
        }
        if !wanted.is_empty() && self.has_room(at) {
            reply.push(Item::Want(wanted));
        }
        let differs = m.digest != self.table.digest() && at - self.compared_ms >= COMPARE_MS;
        if differs
            && self.admitted
            && !m.items.iter().any(|i| matches!(i, Item::Sums(_)))
            && self.has_room(at)
        {
            self.compared_ms = at;
            reply.push(Item::Sums(self.table.sums()));
        }
        if !self.admitted {
            // This front's own fact reaches the others by its call alone, until it is taken up: another process of its
            // name may be there.
            let own = self.id();
            reply.retain(|i| match i {
                Item::Whole(f) => f.id() != own,
                Item::Short(id, _) => *id != own,
                Item::Sums(_) | Item::Differ(_) => false,
                _ => true,
            });
        }
        if !self.has_room(at) {
            // What is left of the budget is for answers: a seed that spends all on newcomers would be taken for gone.
            // A newcomer that gets no answer calls again; one that got half of one would know nobody and call no more.
            let about = m.from;
            reply.retain(|i| match i {
                Item::Ack(_) => true,
                Item::Short(id, rank) => *id == about && !rank.stand.counts(),
                _ => false,
            });
        }
        if !reply.is_empty() {
            self.send(at, from, reply, actions);
        }
    }

    fn ack(&mut self, at: f64, number: u32, m: &Message, actions: &mut Vec<Action>) {
        if let Some((to, theirs, _)) = self.forwards.remove(&number) {
            self.send(at, to, vec![Item::Ack(theirs)], actions);
            return;
        }
        if let Some((id, true)) = self.watch.answered(number, Some((m.from, m.birth)), at) {
            self.speak(at, id, false, actions);
        }
    }

    fn ask(&mut self, at: f64, id: Id, birth: u64, number: u32, from: SocketAddr, actions: &mut Vec<Action>) {
        let to = self.table.get(id).filter(|h| h.fact.birth == birth && id != self.id()).map(|h| h.fact.addr);
        if let Some(to) = to.filter(|_| self.forwards.len() < MOST_FORWARDS) {
            let own = self.fresh_number();
            self.forwards.insert(own, (from, number, at));
            self.send(at, to, vec![Item::Ping(own)], actions);
        }
    }

    /// A newcomer, or one that calls since it holds us for gone.
    fn hello(&mut self, at: f64, fact: &Fact, m: &Message, reply: &mut Vec<Item>, actions: &mut Vec<Action>) {
        let id = fact.id();
        if id != m.from || fact.birth != m.birth || !fact.is_sound() {
            return;
        }
        let held = self.table.get(id).map(|h| h.fact.clone());
        let other = held.filter(|h| h.birth != fact.birth);
        if let Some(h) = other {
            let replaces = !h.stand.counts() || h.addr == fact.addr;
            if !replaces || h.rank() >= fact.rank() {
                // It hears whom we hold: it waits, or comes again with a higher generation.
                if id == self.id() {
                    self.namesake(at, fact, actions);
                } else if h.stand.counts() {
                    // The one that is held hears of it too: the other does not know it.
                    self.send(at, h.addr, vec![Item::Namesake(fact.addr)], actions);
                }
                reply.push(Item::Whole(if id == self.id() { self.own.clone() } else { h }));
                return;
            }
        }
        self.take(at, fact, m.from, actions);
        if let Some(h) = self.table.get(id) {
            reply.push(Item::Short(id, h.rank));
        }
        if m.digest != self.table.digest() {
            reply.push(Item::Whole(self.own.clone()));
            // A few others, so that newcomers don't all turn to the seeds.
            let all: Vec<Item> = self.others().map(|(_, h)| Item::Whole(h.fact.clone())).collect();
            reply.extend(all.choose_multiple(&mut self.rng, 8).cloned());
        }
    }

    /// What is held in the buckets that differ, a datagram's worth after each list of them.
    fn differ(&mut self, theirs: &[u32], reply: &mut Vec<Item>) {
        let own = self.table.sums();
        // From another one on each time: where all differ, a few fit in an answer.
        let from = self.rng.random_range(0..own.len());
        let all = (0..own.len()).map(|b| (b + from) % own.len());
        for bucket in all.filter(|b| theirs.get(*b).is_some_and(|t| *t != own[*b])) {
            reply.push(Item::Differ(1 << bucket));
            let here = self.table.iter().filter(|(id, _)| Table::bucket(*id) == bucket);
            reply.extend(here.map(|(id, h)| Item::Short(id, h.rank)));
        }
    }

    /// What is held here in those buckets and was not among what follows, or is higher.
    fn fill(&self, bits: u32, follows: &[Item], reply: &mut Vec<Item>) {
        let theirs: BTreeMap<Id, Rank> = follows
            .iter()
            .take_while(|i| matches!(i, Item::Short(..)))
            .filter_map(|i| if let Item::Short(id, rank) = i { Some((*id, *rank)) } else { None })
            .collect();
        let here = self.table.iter().filter(|(id, _)| bits & (1 << Table::bucket(*id)) != 0);
        let higher = here.filter(|(id, h)| theirs.get(id).is_none_or(|t| *t < h.rank));
        reply.extend(higher.map(|(id, h)| Item::Short(id, h.rank)));
    }

    /// Another watcher's word.
    #[allow(clippy::too_many_arguments)]
    fn alert(
        &mut self,
        at: f64,
        of: Id,
        incarnation: u32,
        word: Word,
        ping: u32,
        m: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        if of == self.id() {
            if word.birth == self.own.birth {
                reply.push(Item::Ack(ping));
            }
            return;
        }
        let Some(h) = self.table.get(of) else { return };
        if !h.fact.stand.counts() || h.fact.birth != word.birth || h.fact.incarnation > incarnation {
            reply.push(Item::Short(of, h.rank));
            return;
        }
        if !self.rings.watchers(of).contains(&m.from) {
            return;
        }
        // The answer tells the watcher that we are in reach, where no word of our own does.
        if word.stands && reply.is_empty() && !self.watch.speaks_against(of) {
            reply.push(Item::Ack(0));
        }
        if self.watch.word(of, m.from, word) {
            let (by, what) =
                (self.name(m.from), if word.stands { "suspected" } else { "no longer suspected" });
            self.tale(of, at, what.into(), by);
        }
        self.judge(at, of, actions);
    }

    /// This front's own word on one that it watches, to all who watch it too and to itself.
    fn speak(&mut self, at: f64, of: Id, stands: bool, actions: &mut Vec<Action>) {
        let Some(h) = self.table.get(of).filter(|h| h.fact.stand.counts()) else { return };
        let (birth, incarnation, itself) = (h.fact.birth, h.fact.incarnation, h.fact.addr);
        self.word += 1;
        let own = self.id();
        let alone = self.watch.is_alone(of, at);
        if self.watch.word(of, own, Word { number: self.word, at_ms: at, birth, stands, alone }) {
            self.tale(of, at, if stands { "suspected" } else { "no longer suspected" }.into(), String::new());
        }
        let ping = self.watch.waits_for(of).unwrap_or(0);
        let item = Item::Alert { of, birth, incarnation, word: self.word, ping, stands, alone };
        let watchers = self.rings.watchers(of).iter().filter(|w| **w != own);
        let mut to: Vec<SocketAddr> =
            watchers.filter_map(|w| self.table.get(*w)).map(|h| h.fact.addr).collect();
        to.extend(stands.then_some(itself));
        for to in to {
            self.send(at, to, vec![item.clone()], actions);
        }
    }

    // ---- time ----

    fn tick(&mut self, at: f64, actions: &mut Vec<Action>) {
        if self.left {
            return;
        }
        if self.table.count() > 1 && at - self.heard_ms > OUT_OF_TOUCH_MS {
            self.begin_again(at);
        }
        for due in self.watch.due(at) {
            match due {
                Due::Speak(id) => self.speak(at, id, true, actions),
                Due::Ping(id, again) => self.ping(at, id, again, actions),
            }
        }
        let doubted: Vec<Id> =
            self.watch.subjects.iter().filter(|(_, s)| s.doubted_ms.is_some()).map(|(id, _)| *id).collect();
        for id in doubted {
            self.judge(at, id, actions);
        }
        // Its side may join ours at any moment: who found it goes on telling it.
        let own = self.id();
        let mut again = Vec::new();
        for (id, w) in
            self.waiting.iter_mut().filter(|(_, w)| w.rank.by == own && at - w.warned_ms >= WARN_MS)
        {
            w.warned_ms = at;
            again.push((*id, w.rank));
        }
        for (id, rank) in again {
            self.warn(at, id, rank, actions);
        }
        let over = self.waiting.iter().filter(|(_, w)| at >= w.until_ms);
        let over: Vec<(Id, Rank, Id)> = over.map(|(id, w)| (*id, w.rank, w.from)).collect();
        for (id, rank, from) in over {
            self.waiting.remove(&id);
            let merged = self.table.merge_rank(id, rank, at);
            self.took(at, id, merged, Some(from), false, actions);
        }
        if at >= self.next_call {
            self.next_call = at + if self.admitted { CALL_MS } else { HELLO_MS };
            self.call(at, actions);
        }
        if at >= self.next_fade {
            self.next_fade = at + FADE_MS;
            self.fade(at);
        }
        if self.round_every().is_some_and(|every| at >= self.round_ms + every) {
            self.round_ms = at;
            self.round(at, actions);
        }
    }

    fn ping(&mut self, at: f64, id: Id, again: bool, actions: &mut Vec<Action>) {
        let Some((to, birth)) = self.table.get(id).map(|h| (h.fact.addr, h.fact.birth)) else { return };
        let number = self.fresh_number();
        self.send(at, to, vec![Item::Ping(number)], actions);
        self.watch.pinged(id, number, at);
        if again {
            let others: Vec<SocketAddr> =
                self.others().filter(|(o, _)| *o != id).map(|(_, h)| h.fact.addr).collect();
            for to in others.choose_multiple(&mut self.rng, ASKED).copied().collect::<Vec<_>>() {
                self.send(at, to, vec![Item::Ask(id, birth, number)], actions);
            }
        }
    }

    /// Tells some others what is new, and who holds this view.
    fn round(&mut self, at: f64, actions: &mut Vec<Action>) {
        let times = self.times();
        for to in self.random_others(FANOUT) {
            if !self.has_room(at) {
                return;
            }
            let mut room = MOST_BYTES.saturating_sub(TAG_BYTES + HEAD_BYTES + self.settle.bits().len());
            let mut order: Vec<(u32, Id, bool)> = self.news.iter().map(|(id, n)| (n.0, *id, n.1)).collect();
            order.sort_unstable();
            let mut items = Vec::new();
            for (told, id, whole) in order {
                let Some(h) = self.table.get(id) else {
                    self.news.remove(&id);
                    continue;
                };
                let item = if whole { Item::Whole(h.fact.clone()) } else { Item::Short(id, h.rank) };
                let size = size(&item);
                if size > room {
                    break;
                }
                room -= size;
                items.push(item);
                if told + 1 >= times {
                    self.news.remove(&id);
                } else {
                    self.news.insert(id, (told + 1, whole));
                }
            }
            // A word that waits here is passed on meanwhile, so that it waits everywhere at the same time.
            for (id, w) in self.waiting.iter_mut().filter(|(_, w)| w.told < times) {
                let item = Item::Short(*id, w.rank);
                let size = size(&item);
                if size > room {
                    break;
                }
                room -= size;
                items.push(item);
                w.told += 1;
            }
            self.send(at, to, items, actions);
        }
    }

    /// Calls those that may be there though the view does not hold them.
    fn call(&mut self, at: f64, actions: &mut Vec<Action>) {
        let hello = Item::Hello(self.own.clone());
        if self.twin.is_some() || !self.admitted {
            let mut to = self.random_others(1);
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
    fn begin_again(&mut self, at: f64) {
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

    fn fade(&mut self, at: f64) {
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

#[cfg(test)]
mod tests {
    use super::*;
    use fernslip_gossip::Key;

    #[test]
    fn a_front_whom_many_newcomers_call_still_answers_pings() {
        let keys = Keyring::new(Key::new(1, [7; 32]));
        let now = Now { mono_ms: 0.0, unix_ms: 1.8e12 };
        let config = Config { bytes_per_s: 4096, burst_bytes: 65_536, ..Config::default() };
        let mut view = View::new(config, keys.clone(), 1, now);
        let from = SocketAddr::from(([127, 0, 0, 2], 9));
        let call = Item::Hello(view.own.clone());
        let mut gets = |birth: u64, sequence: u32, item: Item| {
            let fact = Fact { name: format!("n{birth}"), addr: from, birth, ..view.own.clone() };
            let item = if let Item::Hello(_) = item { Item::Hello(fact.clone()) } else { item };
            let mut m = Message::new(1, fact.id(), birth, sequence, 0, Vec::new());
            m.items = vec![item];
            let mut actions = Vec::new();
            view.handle(now, Event::Datagram { from, bytes: m.seal(&keys) }, &mut actions);
            let sent = actions.into_iter().filter_map(|a| match a {
                Action::Send { bytes, .. } => Message::open(&bytes, &keys),
                _ => None,
            });
            sent.flat_map(|m| m.items).collect::<Vec<Item>>()
        };
        for birth in 1..=400 {
            gets(birth, 1, call.clone());
        }
        // Many, as a few small ones pass where a large one does not.
        for n in 2..32 {
            assert!(gets(7, n, Item::Ping(n)).contains(&Item::Ack(n)), "ping {n}");
        }
    }
}
