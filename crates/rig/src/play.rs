//! One scenario with one seed: steps are taken, what must hold is looked at, figures are read.

use crate::boxes::Boxes;
use crate::fronts::{Fronts, Gone, Programs, Runs};
use crate::links::{Faults, Links};
use crate::load::Load;
use crate::scenario::{Goal, Scenario, Step, Which};
use crate::Ground;
use fernslip_gossip::Keyring;
use fernslip_view::{Id, Item, Message};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Between two looks at all fronts while something is awaited.
const LOOK: Duration = Duration::from_millis(150);
/// Between two looks while time passes.
const GLANCE: Duration = Duration::from_millis(500);
/// All fronts of a scenario settle within this time at first, or the scenario is not played.
const FIRST: Duration = Duration::from_secs(60);
/// Two that were cut from each other may write of each other's end for so long after.
const CUT_LASTS: Duration = Duration::from_secs(8);

/// Between two groups of a roll the view settles within this time.
const ROLL_SETTLES: Duration = Duration::from_secs(20);

/// What a scenario is played with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The programs.
    pub programs: Programs,
    /// Fronts; without it what the scenario says.
    pub fronts: Option<usize>,
    /// For all that is drawn.
    pub seed: u64,
    /// Where a folder for its files is made; local sockets need a short name.
    pub tmp: PathBuf,
    /// Boxes, the origin among them.
    pub boxes: usize,
    /// Whether fronts keep a view. Without one only CPU, load and rules are measured.
    pub with_view: bool,
}

/// What a front's report was at a look.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Milliseconds from the start.
    pub at_ms: f64,
    /// Which.
    pub front: usize,
    /// Fronts that it counts on.
    pub count: usize,
    /// It says that it is settled.
    pub settled: bool,
}

/// What happened when.
#[derive(Clone, Debug)]
pub struct Mark {
    /// Milliseconds from the start.
    pub at_ms: f64,
    /// What.
    pub what: String,
    /// Whether a fault lasts from here on.
    pub fault: bool,
}

/// What did not hold.
#[derive(Clone, Debug)]
pub struct Breach {
    /// What.
    pub what: String,
    /// When, milliseconds from the start.
    pub at_ms: f64,
    /// Reports and log lines of those concerned.
    pub told: Vec<String>,
}

/// A scenario played.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Its name, fronts and seed.
    pub name: String,
    /// Fronts at the start.
    pub fronts: usize,
    /// Its seed.
    pub seed: u64,
    /// Until all fronts had settled first.
    pub start_ms: f64,
    /// How long each `await` took.
    pub awaited: Vec<(Goal, f64)>,
    /// Live fronts that others found gone.
    pub false_gone: Vec<Gone>,
    /// Ended fronts that a front still counts on at the end.
    pub stale_members: usize,
    /// Bytes a second of each front in steady state.
    pub bytes_per_s: Vec<f64>,
    /// Part of a core of each front in steady state.
    pub cpu: Vec<f64>,
    /// Memory of each front then, MB.
    pub memory_mb: Vec<f64>,
    /// Rules broken at the boxes.
    pub rules_broken: usize,
    /// How requests ended.
    pub load: Value,
    /// What did not hold.
    pub breaches: Vec<Breach>,
    /// What each front said over time.
    pub samples: Vec<Sample>,
    /// What happened when.
    pub marks: Vec<Mark>,
}

impl Played {
    /// As JSON, without samples.
    pub fn to_json(&self) -> Value {
        let awaited =
            |(g, ms): &(Goal, f64)| json!({ "goal": format!("{g:?}").to_lowercase(), "ms": ms.round() });
        let breach = |b: &Breach| json!({ "what": b.what, "at_ms": b.at_ms.round(), "told": b.told });
        json!({
            "scenario": self.name, "fronts": self.fronts, "seed": self.seed, "start_ms": self.start_ms.round(),
            "awaited": self.awaited.iter().map(awaited).collect::<Vec<_>>(),
            "false_gone": self.false_gone.iter().map(|g| format!("{} by {}", g.of, g.by)).collect::<Vec<_>>(),
            "stale_members": self.stale_members,
            "bytes_per_s": { "p50": part(&self.bytes_per_s, 0.5), "max": part(&self.bytes_per_s, 1.0) },
            "cpu": { "p50": part(&self.cpu, 0.5), "max": part(&self.cpu, 1.0) },
            "memory_mb": { "p50": part(&self.memory_mb, 0.5), "max": part(&self.memory_mb, 1.0) },
            "rules_broken": self.rules_broken, "load": self.load,
            "breaches": self.breaches.iter().map(breach).collect::<Vec<_>>(),
        })
    }
}

/// The value below which that part of them lies; 0 of none.
pub fn part(values: &[f64], q: f64) -> f64 {
    let mut all = values.to_vec();
    all.sort_by(f64::total_cmp);
    let i = (q * (all.len().saturating_sub(1)) as f64).round() as usize;
    all.get(i).map_or(0.0, |v| (v * 1e5).round() / 1e5)
}

struct Play<'a> {
    options: &'a Options,
    scenario: &'a Scenario,
    fronts: Fronts,
    load: std::sync::Arc<Load>,
    rng: ChaCha8Rng,
    begun: Instant,
    /// When the last thing happened from which views are to settle.
    since: Instant,
    /// Pairs that were cut until lately, by the faults of then.
    were_cut: Vec<(Faults, Instant)>,
    out: Played,
}

/// Plays a scenario.
///
/// # Errors
/// Addresses, files or processes can't be had. What does not hold is no error: it stands in [`Played::breaches`].
pub async fn play(scenario: &Scenario, options: &Options) -> io::Result<Played> {
    let dir = tempfile::Builder::new().prefix("fernslip-rig-").tempdir_in(&options.tmp)?;
    let n = options.fronts.unwrap_or(scenario.fronts);
    // Restarts at other addresses and joins take more.
    let ground = std::sync::Arc::new(Ground::take(n * 2 + 50)?);
    let links = Links::new(ground.clone(), options.seed);
    let boxes = Boxes::new(ground.clone(), options.boxes);
    let fronts = Fronts::new(ground, dir.path(), options.programs.clone(), links, boxes, options.with_view)?;
    let mut play = Play {
        options,
        scenario,
        fronts,
        load: Load::new(),
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        begun: Instant::now(),
        since: Instant::now(),
        were_cut: Vec::new(),
        out: Played { name: scenario.name.clone(), fronts: n, seed: options.seed, ..Played::default() },
    };
    for _ in 0..n {
        play.fronts.add().await?;
    }
    play.since = Instant::now();
    if options.with_view {
        match play.until(Goal::Settled, FIRST).await {
            Some(ms) => play.out.start_ms = ms,
            None => play.breach("the fronts did not settle at the start".into(), None).await,
        }
    }
    let a_front = scenario.load / n as f64;
    if a_front > 0.0 {
        for i in 0..n {
            let (seed, counts) = (options.seed.wrapping_add(i as u64), play.fronts.all[i].counts.clone());
            play.load.add(play.fronts.clients(i), a_front, seed, counts);
        }
        sleep(Duration::from_secs(1)).await;
    }
    if play.out.breaches.is_empty() {
        play.steps(&scenario.steps).await?;
    }
    play.finish().await;
    Ok(play.out)
}

impl Play<'_> {
    fn ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    fn mark(&mut self, what: impl Into<String>, fault: bool) {
        let at_ms = self.ms();
        self.out.marks.push(Mark { at_ms, what: what.into(), fault });
        self.since = Instant::now();
    }

    fn change(&mut self, what: &str, fault: bool, f: impl FnOnce(&mut Faults)) {
        // Of those cut until now, words may be on their way yet.
        self.were_cut.push((self.fronts.links.faults(), Instant::now()));
        self.fronts.links.change(f);
        self.mark(what, fault);
    }

    fn pick(&mut self, which: Which) -> Vec<usize> {
        let running = self.fronts.those(Runs::Yes);
        // One stays, to tell of the others.
        let n = which.of(running.len()).min(running.len().saturating_sub(1));
        running.choose_multiple(&mut self.rng, n).copied().collect()
    }

    fn places(&mut self, which: Which) -> Vec<usize> {
        self.pick(which).into_iter().map(|i| self.fronts.all[i].place).collect()
    }

    async fn steps(&mut self, steps: &[Step]) -> io::Result<()> {
        for step in steps {
            if let Step::Repeat(times, inner) = step {
                for _ in 0..*times {
                    Box::pin(self.steps(inner)).await?;
                }
            } else {
                self.step(step).await?;
            }
            self.look_for_false();
        }
        Ok(())
    }

    #[allow(
        clippy::too_many_lines,
        clippy::cognitive_complexity,
        reason = "one arm a step of the scenario language, each a few lines"
    )]
    async fn step(&mut self, step: &Step) -> io::Result<()> {
        match step {
            Step::Kill(which) => {
                for i in self.pick(*which) {
                    self.fronts.kill(i).await?;
                }
                self.mark("kill", false);
            }
            Step::Term(which) => {
                for i in self.pick(*which) {
                    if !self.fronts.term(i).await? {
                        self.breach(format!("{} did not end", self.fronts.all[i].name), Some(i)).await;
                    }
                }
                self.mark("term", false);
            }
            Step::Stop(which) => {
                for i in self.pick(*which) {
                    self.fronts.stop(i)?;
                }
                self.mark("stop", true);
            }
            Step::GoOn => {
                for i in self.fronts.those(Runs::Stopped) {
                    self.fronts.go_on(i)?;
                }
                self.mark("go on", false);
            }
            Step::Roll { other, at_once } => {
                let all: Vec<usize> = (0..self.fronts.all.len()).collect();
                let due: Vec<usize> =
                    all.into_iter().filter(|i| self.fronts.all[*i].runs_other != *other).collect();
                for group in due.chunks(*at_once) {
                    for i in group {
                        if !self.fronts.term(*i).await? {
                            self.breach(format!("{} did not end", self.fronts.all[*i].name), Some(*i)).await;
                        }
                        self.fronts.all[*i].runs_other = *other;
                        self.fronts.restart(*i, false).await?;
                    }
                    self.mark("roll", false);
                    Box::pin(self.step(&Step::Await(Goal::Settled, ROLL_SETTLES))).await?;
                }
            }
            Step::Restart { moved, to } => {
                for i in self.fronts.those(Runs::No) {
                    self.fronts.all[i].runs_other = to.unwrap_or(self.fronts.all[i].runs_other);
                    self.fronts.restart(i, *moved).await?;
                }
                self.mark("restart", false);
            }
            Step::Join(which) => {
                for _ in 0..which.of(self.fronts.all.len()) {
                    self.fronts.add().await?;
                }
                self.mark("join", false);
            }
            Step::Partition { sides, alone } => {
                let mut places: Vec<usize> = self.fronts.all.iter().map(|f| f.place).collect();
                places.shuffle(&mut self.rng);
                let side = |k: usize| match alone {
                    Some(n) => usize::from(k < *n),
                    None => k % sides,
                };
                let dealt: BTreeMap<usize, usize> =
                    places.iter().enumerate().map(|(k, p)| (*p, side(k))).collect();
                self.change("partition", true, |f| f.sides = dealt);
            }
            Step::Heal => {
                self.change("heal", false, |f| *f = Faults::default());
                (0..self.fronts.all.len())
                    .for_each(|i| self.fronts.boxes.cut(self.fronts.all[i].place, false));
            }
            Step::Loss(part) => self.change("loss", *part > 0.0, |f| f.loss = *part),
            Step::Lossy(which, part) => {
                let places = self.places(*which);
                self.change("lossy", true, |f| f.loses.extend(places.into_iter().map(|p| (p, *part))));
            }
            Step::Delay(which, ms, jitter) => {
                let places = self.places(*which);
                self.change("delay", true, |f| {
                    f.delays.extend(places.into_iter().map(|p| (p, (*ms, *jitter))))
                });
            }
            Step::Disorder(doubled, late) => {
                self.change("disorder", true, |f| (f.doubled, f.late) = (*doubled, *late));
            }
            Step::OneWay(count) => {
                let mut pairs = BTreeSet::new();
                while pairs.len() < *count {
                    let two = self.places(Which::Count(2));
                    let [a, b] = two[..] else { break };
                    pairs.insert((a, b));
                }
                self.change("one way", true, |f| f.one_way.extend(pairs));
            }
            Step::Deaf(which) => {
                let places = self.places(*which);
                self.change("deaf", true, |f| f.deaf.extend(places));
            }
            Step::CutBoxes(which) => {
                for p in self.places(*which) {
                    self.fronts.boxes.cut(p, true);
                }
                self.mark("boxes cut", true);
            }
            Step::Garbage(a_second, lasts) => self.garbage(*a_second, *lasts).await,
            Step::Wait(time) => self.wait(*time).await,
            Step::Await(goal, within) => match self.until(*goal, *within).await {
                Some(ms) => self.out.awaited.push((*goal, ms)),
                None => {
                    let odd = self.odd_one(*goal).await;
                    self.breach(format!("not {goal:?} within {} ms", within.as_millis()), odd).await;
                }
            },
            Step::Measure(time) => self.measure(*time).await,
            Step::Repeat(..) => {}
        }
        Ok(())
    }

    async fn wait(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.options.with_view {
                self.look().await;
            }
            sleep(GLANCE.min(end.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// All reports of those that run; `None` for one that gave none.
    async fn look(&mut self) -> Vec<(usize, Option<Value>)> {
        let running = self.fronts.those(Runs::Yes);
        let asked = running.iter().map(|i| {
            let fronts = &self.fronts;
            async move { (*i, fronts.ask(*i, "summary").await) }
        });
        let mut all = Vec::with_capacity(running.len());
        // In turn: what is asked costs the fronts little, and all at once would cost the machine.
        for one in asked {
            all.push(one.await);
        }
        let at_ms = self.ms();
        for (front, v) in &all {
            let Some(v) = v else { continue };
            let count = v["count"].as_u64().unwrap_or(0) as usize;
            self.out.samples.push(Sample { at_ms, front: *front, count, settled: v["settled"] == true });
        }
        all
    }

    fn holds(&self, goal: Goal, reports: &[(usize, Option<Value>)]) -> Result<(), usize> {
        let faults = self.fronts.links.faults();
        let mut sides: BTreeMap<usize, (Option<String>, usize)> = BTreeMap::new();
        for (i, _) in reports {
            sides.entry(faults.side(self.fronts.all[*i].place)).or_default().1 += 1;
        }
        for (i, v) in reports {
            let side = faults.side(self.fronts.all[*i].place);
            let (Some(v), Some((digest, count))) = (v, sides.get_mut(&side)) else { return Err(*i) };
            let listed = v["count"].as_u64().unwrap_or(0) as usize;
            let same = match goal {
                Goal::Known => listed <= *count,
                _ => {
                    let own = v["digest"].as_str().map(str::to_string);
                    let first = digest.get_or_insert_with(|| own.clone().unwrap_or_default());
                    listed == *count && own.as_ref() == Some(first)
                }
            };
            if !same || (goal == Goal::Settled && v["settled"] != true) {
                return Err(*i);
            }
        }
        Ok(())
    }

    /// Waits until that holds; milliseconds since the last thing that happened.
    async fn until(&mut self, goal: Goal, within: Duration) -> Option<f64> {
        let since = self.since;
        loop {
            let begun = Instant::now();
            let reports = self.look().await;
            if self.holds(goal, &reports).is_ok() {
                return Some(begun.saturating_duration_since(since).as_secs_f64() * 1000.0);
            }
            if begun.saturating_duration_since(since) > within {
                return None;
            }
            sleep(LOOK.saturating_sub(begun.elapsed())).await;
        }
    }

    async fn odd_one(&mut self, goal: Goal) -> Option<usize> {
        let reports = self.look().await;
        self.holds(goal, &reports).err()
    }

    async fn breach(&mut self, what: String, of: Option<usize>) {
        let at_ms = self.ms();
        let mut told = Vec::new();
        let first = self.fronts.those(Runs::Yes).first().copied();
        for i in of.into_iter().chain(first) {
            if let Some(v) = self.fronts.ask(i, "summary").await {
                told.push(v.to_string());
            }
            told.extend(self.fronts.lines(i, 12));
        }
        self.out.breaches.push(Breach { what, at_ms, told });
    }

    /// Words of a live front's end that nothing explains.
    fn look_for_false(&mut self) {
        self.were_cut.retain(|(_, until)| until.elapsed() < CUT_LASTS);
        let now = self.fronts.links.faults();
        let cut = |by: usize, of: usize| {
            let is = |f: &Faults| f.is_cut(by, of) || f.is_cut(of, by) || f.deaf.contains(&of);
            is(&now) || self.were_cut.iter().any(|(f, _)| is(f))
        };
        let found = self.fronts.false_gone(cut);
        self.out.false_gone.extend(found);
    }

    /// Bytes and CPU of each front while nothing happens and nobody asks.
    async fn measure(&mut self, time: Duration) {
        let begun = Instant::now();
        let (sent, used) = (self.fronts.links.sent(), self.fronts.used());
        sleep(time).await;
        let seconds = begun.elapsed().as_secs_f64();
        let (sent_now, used_now) = (self.fronts.links.sent(), self.fronts.used());
        let before: BTreeMap<usize, f64> = used.iter().map(|(i, cpu, _)| (*i, *cpu)).collect();
        for (i, cpu, mb) in used_now {
            let place = self.fronts.all[i].place;
            let bytes = sent_now.get(place).map_or(0, |s| s.1) - sent.get(place).map_or(0, |s| s.1);
            self.out.bytes_per_s.push(bytes as f64 / seconds);
            self.out.memory_mb.push(mb);
            self.out.cpu.extend(before.get(&i).map(|b| (cpu - b) / seconds));
        }
    }

    /// Old datagrams, bytes of any kind, and messages with a good tag that make no sense, from and to any front.
    async fn garbage(&mut self, a_second: f64, lasts: Duration) {
        self.mark("garbage", true);
        let keys = fernslip_front::keyfile::read(self.fronts.keys()).ok();
        let old = self.fronts.links.kept();
        let end = Instant::now() + lasts;
        let places: Vec<usize> = self.fronts.all.iter().map(|f| f.place).collect();
        while Instant::now() < end {
            let (Some(from), Some(to)) = (places.choose(&mut self.rng), places.choose(&mut self.rng)) else {
                break;
            };
            let bytes = match (self.rng.random_range(0..3), &keys) {
                (0, _) if !old.is_empty() => old[self.rng.random_range(0..old.len())].2.clone(),
                (1, Some(keys)) => nonsense(keys, &mut self.rng),
                _ => (0..self.rng.random_range(0..1400)).map(|_| self.rng.random()).collect(),
            };
            self.fronts.links.deliver(*from, *to, bytes, Duration::ZERO);
            sleep(Duration::from_secs_f64(1.0 / a_second)).await;
        }
        self.mark("garbage over", false);
    }

    async fn finish(&mut self) {
        self.load.end();
        self.look_for_false();
        if self.options.with_view && self.out.breaches.is_empty() {
            let running = self.fronts.those(Runs::Yes);
            let live: BTreeSet<String> = running.iter().map(|i| self.fronts.all[*i].name.clone()).collect();
            for i in running {
                let Some(v) = self.fronts.ask(i, "members").await else { continue };
                let all = v["members"].as_array().cloned().unwrap_or_default();
                let counts = |m: &&Value| !matches!(m["state"].as_str(), Some("gone" | "left"));
                let stale = all
                    .iter()
                    .filter(counts)
                    .filter(|m| m["name"].as_str().is_some_and(|n| !live.contains(n)));
                self.out.stale_members += stale.count();
            }
        }
        if self.scenario.load > 0.0 {
            // The last requests get their time.
            sleep(crate::load::PATIENCE / 4).await;
            let ends = self.load.ends();
            self.out.load = ends.to_json();
            let missed = ends.errors + ends.unanswered + ends.odd;
            if self.scenario.serves_all && missed > 0 {
                let what =
                    format!("{missed} requests were not served, though only links between fronts were bad");
                self.breach(what, None).await;
            }
            if ends.served == 0 {
                self.breach("no request was served: the load is no load".into(), None).await;
            }
        }
        let (broken, words) = self.fronts.boxes.broken();
        self.out.rules_broken = broken;
        if broken > 0 {
            let at_ms = self.ms();
            self.out.breaches.push(Breach { what: "rules broken at the boxes".into(), at_ms, told: words });
        }
    }
}

/// A message with a good tag and items of any kind.
fn nonsense(keys: &Keyring, rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut m =
        Message::new(keys.signs(), Id(rng.random()), rng.random(), rng.random(), rng.random(), vec![255; 13]);
    m.items = vec![
        Item::Ack(rng.random()),
        Item::Want((0..20).map(|_| Id(rng.random())).collect()),
        Item::Differ(rng.random()),
        Item::Ask(Id(rng.random()), rng.random(), rng.random()),
        Item::Alert {
            of: Id::of(&format!("f{}", rng.random_range(0..100))),
            birth: rng.random(),
            incarnation: rng.random(),
            word: u32::MAX,
            ping: rng.random(),
            stands: true,
            alone: true,
        },
    ];
    m.seal(keys)
}
