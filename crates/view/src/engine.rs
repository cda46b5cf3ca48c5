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

mod budget;
mod dissemination;
mod duplicate_name;
mod facts;
mod failure_detection;
mod greeting;
mod receive;
mod rejoin;
#[cfg(test)]
mod tests;

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
        self.counted_peers().map(|(_, h)| h.fact.addr).collect()
    }

    /// The others that are counted on and gossip: names and addresses.
    pub fn gossips(&self) -> Vec<(String, SocketAddr)> {
        self.counted_peers().filter_map(|(_, h)| Some((h.fact.name.clone(), h.fact.gossip?))).collect()
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
        let round = self.gossip_interval_ms().map_or(f64::MAX, |every| self.round_ms + every);
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
            Event::Datagram { from, bytes } => self.receive_datagram(at, from, &bytes, actions),
            Event::Stands(stand) => {
                if self.own.stand != stand && !self.left {
                    self.own.stand = stand;
                    self.bump_incarnation(at, actions);
                }
            }
            Event::Configuration(hash) => {
                if self.own.configuration != hash {
                    self.own.configuration = hash;
                    self.bump_incarnation(at, actions);
                }
            }
            Event::Keys(keys) => self.keys = keys,
            Event::Leave => {
                self.own.stand = Stand::Left;
                self.bump_incarnation(at, actions);
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

    fn counted_peers(&self) -> impl Iterator<Item = (Id, &Held)> {
        let own = self.id();
        self.table.counted().filter(move |(id, _)| *id != own)
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

    fn tick(&mut self, at: f64, actions: &mut Vec<Action>) {
        if self.left {
            return;
        }
        if self.table.count() > 1 && at - self.heard_ms > OUT_OF_TOUCH_MS {
            self.rejoin(at);
        }
        for due in self.watch.due(at) {
            match due {
                Due::Speak(id) => self.broadcast_suspicion(at, id, true, actions),
                Due::Ping(id, again) => self.probe_member(at, id, again, actions),
            }
        }
        let doubted: Vec<Id> =
            self.watch.subjects.iter().filter(|(_, s)| s.doubted_ms.is_some()).map(|(id, _)| *id).collect();
        for id in doubted {
            self.judge_member(at, id, actions);
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
            self.notify_suspected(at, id, rank, actions);
        }
        let over = self.waiting.iter().filter(|(_, w)| at >= w.until_ms);
        let over: Vec<(Id, Rank, Id)> = over.map(|(id, w)| (*id, w.rank, w.from)).collect();
        for (id, rank, from) in over {
            self.waiting.remove(&id);
            let merged = self.table.merge_rank(id, rank, at);
            self.apply_merged(at, id, merged, Some(from), false, actions);
        }
        if at >= self.next_call {
            self.next_call = at + if self.admitted { CALL_MS } else { HELLO_MS };
            self.poll_unreached(at, actions);
        }
        if at >= self.next_fade {
            self.next_fade = at + FADE_MS;
            self.expire_old_entries(at);
        }
        if self.gossip_interval_ms().is_some_and(|every| at >= self.round_ms + every) {
            self.round_ms = at;
            self.gossip_round(at, actions);
        }
    }
}
