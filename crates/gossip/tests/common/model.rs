//! A model of what is said of one box, for a checker that tries every order: honest fronts, one liar, datagrams that
//! are lost, late and out of order. The rule that joins the words is the real one, [`fernslip_gossip::weigh`].

use fernslip_gossip::weigh::{weigh, Said, CAP};
use fernslip_gossip::{FrontId, Kind};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// A step of time, milliseconds: a word lives through eight of them.
const STEP_MS: f64 = 4_000.0;

/// What is tried.
#[derive(Clone, Debug)]
pub struct Talk {
    /// Fronts; the last is the liar, unless `honest`.
    pub fronts: usize,
    /// There is no liar.
    pub honest: bool,
    /// The box is dead; else it is healthy.
    pub dead: bool,
    /// Steps of time.
    pub steps: u8,
    /// Datagrams that may be lost.
    pub drops: u8,
    /// Times that honest fronts may be wrong about a healthy box, all together.
    pub alarms: u8,
    /// What the others think of the liar: any record that it may have earned.
    pub trust: f64,
    /// Nothing is left on its way when time passes.
    pub fair: bool,
}

/// A word on its way or held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Word {
    against: bool,
    at: u8,
}

/// A moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Moment {
    time: u8,
    /// By holder, by witness.
    held: Vec<Vec<Option<Word>>>,
    /// From, to, what.
    flying: BTreeSet<(usize, usize, Word)>,
    /// By front: when it last said something.
    said: Vec<Option<u8>>,
    /// By front: when it last had a good answer of its own.
    good: Vec<Option<u8>>,
    drops: u8,
    alarms: u8,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A front says something to all.
    Say(usize, bool),
    /// A front has a good answer of its own.
    Good(usize),
    /// A datagram arrives.
    Arrive(usize, usize, Word),
    /// A datagram is lost.
    Lose(usize, usize, Word),
    /// Time passes.
    Pass,
}

impl Talk {
    fn is_liar(&self, n: usize) -> bool {
        !self.honest && n + 1 == self.fronts
    }

    /// What the words that a front holds amount to.
    pub fn hearsay(&self, m: &Moment, n: usize) -> f64 {
        let said: Vec<Said> = m.held[n]
            .iter()
            .enumerate()
            .filter_map(|(w, word)| {
                // Of a front's own words only those against the box are a witness.
                let word = (*word).filter(|word| w != n || word.against)?;
                Some(Said {
                    witness: FrontId(w as u32),
                    kind: if word.against { Kind::Failing } else { Kind::Well },
                    strength: 1.0,
                    age_ms: f64::from(m.time - word.at) * STEP_MS,
                    trust: match () {
                        () if w == n => 1.0,
                        () if self.is_liar(w) => self.trust,
                        () => 0.5,
                    },
                    accuses: 0.0,
                })
            })
            .collect();
        weigh(&said, self.fronts, m.good[n].map(|at| f64::from(m.time - at) * STEP_MS))
    }

    fn honest_fronts(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.fronts).filter(|n| !self.is_liar(*n))
    }
}

impl Model for Talk {
    type State = Moment;
    type Action = Step;

    fn init_states(&self) -> Vec<Moment> {
        let n = self.fronts;
        vec![Moment {
            time: 0,
            held: vec![vec![None; n]; n],
            flying: BTreeSet::new(),
            said: vec![None; n],
            good: vec![None; n],
            drops: 0,
            alarms: 0,
        }]
    }

    fn actions(&self, m: &Moment, actions: &mut Vec<Step>) {
        for n in 0..self.fronts {
            if m.said[n] == Some(m.time) {
                continue;
            }
            for against in [true, false] {
                let may = match (self.is_liar(n), against == self.dead) {
                    (true, _) | (false, true) => true,
                    (false, false) => against && m.alarms < self.alarms,
                };
                if may {
                    actions.push(Step::Say(n, against));
                }
            }
            if !self.dead && !self.is_liar(n) && m.good[n] != Some(m.time) {
                actions.push(Step::Good(n));
            }
        }
        for (from, to, word) in &m.flying {
            actions.push(Step::Arrive(*from, *to, *word));
            if m.drops < self.drops {
                actions.push(Step::Lose(*from, *to, *word));
            }
        }
        let all_said = self.honest_fronts().all(|n| m.said[n] == Some(m.time));
        if m.time < self.steps && (!self.fair || m.flying.is_empty() && all_said) {
            actions.push(Step::Pass);
        }
    }

    fn next_state(&self, m: &Moment, step: Step) -> Option<Moment> {
        let mut m = m.clone();
        match step {
            Step::Say(n, against) => {
                m.alarms += u8::from(!self.is_liar(n) && against && !self.dead);
                m.said[n] = Some(m.time);
                let word = Word { against, at: m.time };
                m.held[n][n] = Some(word);
                m.flying.extend((0..self.fronts).filter(|to| *to != n).map(|to| (n, to, word)));
            }
            Step::Good(n) => m.good[n] = Some(m.time),
            Step::Arrive(from, to, word) => {
                m.flying.remove(&(from, to, word));
                let held = &mut m.held[to][from];
                if held.is_none_or(|h| h.at < word.at) {
                    *held = Some(word);
                }
            }
            Step::Lose(from, to, word) => {
                m.flying.remove(&(from, to, word));
                m.drops += 1;
            }
            Step::Pass => m.time += 1,
        }
        Some(m)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // A share of 1 - CAP is left whatever is said: no box is unused because of hearsay.
            Property::always("capped", |t: &Talk, m: &Moment| {
                t.honest_fronts().all(|n| t.hearsay(m, n).abs() <= CAP && CAP < 1.0)
            }),
            Property::always("no single word against a healthy box is heard", |t: &Talk, m: &Moment| {
                t.dead || m.alarms > 0 || t.honest_fronts().all(|n| t.hearsay(m, n) <= 0.0)
            }),
            Property::always("an answer of one's own just now outweighs all", |t: &Talk, m: &Moment| {
                t.honest_fronts().all(|n| m.good[n] != Some(m.time) || t.hearsay(m, n) <= 0.0)
            }),
            Property::always("praise from one keeps no dead box", |t: &Talk, m: &Moment| {
                let against =
                    |n: usize| m.held[n].iter().flatten().filter(|w| w.against && w.at == m.time).count();
                !t.dead || t.honest_fronts().all(|n| against(n) < 2 || t.hearsay(m, n) > 0.0)
            }),
            Property::eventually("what all see all hear", |t: &Talk, m: &Moment| {
                !t.dead || !t.fair || t.honest_fronts().all(|n| t.hearsay(m, n) > 0.0)
            }),
            Property::sometimes("hearsay is heard at all", |t: &Talk, m: &Moment| {
                !t.dead && t.alarms == 0 || t.honest_fronts().any(|n| t.hearsay(m, n) > 0.0)
            }),
        ]
    }
}

/// Tries everything; how many moments there are.
pub fn check(talk: Talk) -> usize {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = talk.clone().checker().threads(threads).spawn_bfs().join();
    assert!(checker.is_done(), "{talk:?}: not all was tried");
    checker.assert_properties();
    checker.unique_state_count()
}
