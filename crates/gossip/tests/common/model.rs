//! A model of the reports on one cache node, for a checker that tries every order: honest fronts, one byzantine peer,
//! datagrams that are lost, late and out of order. The rule that aggregates the reports is the real one, [`fernslip_gossip::aggregate`].

use fernslip_gossip::aggregate::{aggregate, WitnessReport, MAX_SCORE};
use fernslip_gossip::{FrontId, Observation};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// A step of time in milliseconds: a report expires after eight of them.
const STEP_MS: f64 = 4_000.0;

/// What is explored.
#[derive(Clone, Debug)]
pub struct GossipModel {
    /// Fronts; the last is byzantine, unless `honest`.
    pub fronts: usize,
    /// No front is byzantine.
    pub honest: bool,
    /// The cache node is dead; else it is healthy.
    pub dead: bool,
    /// Steps of time.
    pub time_steps: u8,
    /// Datagrams that may be lost.
    pub drops: u8,
    /// Times that honest fronts may be wrong about a healthy node, all together.
    pub alarms: u8,
    /// The trust of the others in the byzantine peer: any record that it may have earned.
    pub trust: f64,
    /// No datagram is in flight when time passes.
    pub fair: bool,
}

/// A report in flight or received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Report {
    against: bool,
    at: u8,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    time: u8,
    /// By receiver, by witness.
    received: Vec<Vec<Option<Report>>>,
    /// From, to, what.
    in_flight: BTreeSet<(usize, usize, Report)>,
    /// By front: when it last reported.
    last_report: Vec<Option<u8>>,
    /// By front: when it last had a successful answer of its own.
    last_success: Vec<Option<u8>>,
    drops: u8,
    alarms: u8,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ModelAction {
    /// A front reports to all others.
    Report(usize, bool),
    /// A front has a successful answer of its own.
    Success(usize),
    /// A datagram is delivered.
    Deliver(usize, usize, Report),
    /// A datagram is lost.
    Drop(usize, usize, Report),
    /// Time passes.
    AdvanceTime,
}

impl GossipModel {
    fn is_byzantine(&self, n: usize) -> bool {
        !self.honest && n + 1 == self.fronts
    }

    /// The node's score by the reports that a front received.
    pub fn hearsay(&self, m: &ModelState, n: usize) -> f64 {
        let reports: Vec<WitnessReport> = m.received[n]
            .iter()
            .enumerate()
            .filter_map(|(w, report)| {
                // Of a front's own reports only accusations count as a witness.
                let report = (*report).filter(|report| w != n || report.against)?;
                Some(WitnessReport {
                    witness: FrontId(w as u32),
                    observation: if report.against { Observation::Failing } else { Observation::Healthy },
                    strength: 1.0,
                    age_ms: f64::from(m.time - report.at) * STEP_MS,
                    trust: match () {
                        () if w == n => 1.0,
                        () if self.is_byzantine(w) => self.trust,
                        () => 0.5,
                    },
                    accused_fraction: 0.0,
                })
            })
            .collect();
        aggregate(&reports, self.fronts, m.last_success[n].map(|at| f64::from(m.time - at) * STEP_MS))
    }

    fn honest_fronts(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.fronts).filter(|n| !self.is_byzantine(*n))
    }
}

impl Model for GossipModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let n = self.fronts;
        vec![ModelState {
            time: 0,
            received: vec![vec![None; n]; n],
            in_flight: BTreeSet::new(),
            last_report: vec![None; n],
            last_success: vec![None; n],
            drops: 0,
            alarms: 0,
        }]
    }

    fn actions(&self, m: &ModelState, actions: &mut Vec<ModelAction>) {
        for n in 0..self.fronts {
            if m.last_report[n] == Some(m.time) {
                continue;
            }
            for against in [true, false] {
                let permitted = match (self.is_byzantine(n), against == self.dead) {
                    (true, _) | (false, true) => true,
                    (false, false) => against && m.alarms < self.alarms,
                };
                if permitted {
                    actions.push(ModelAction::Report(n, against));
                }
            }
            if !self.dead && !self.is_byzantine(n) && m.last_success[n] != Some(m.time) {
                actions.push(ModelAction::Success(n));
            }
        }
        for (from, to, report) in &m.in_flight {
            actions.push(ModelAction::Deliver(*from, *to, *report));
            if m.drops < self.drops {
                actions.push(ModelAction::Drop(*from, *to, *report));
            }
        }
        let all_reported = self.honest_fronts().all(|n| m.last_report[n] == Some(m.time));
        if m.time < self.time_steps && (!self.fair || m.in_flight.is_empty() && all_reported) {
            actions.push(ModelAction::AdvanceTime);
        }
    }

    fn next_state(&self, m: &ModelState, step: ModelAction) -> Option<ModelState> {
        let mut m = m.clone();
        match step {
            ModelAction::Report(n, against) => {
                m.alarms += u8::from(!self.is_byzantine(n) && against && !self.dead);
                m.last_report[n] = Some(m.time);
                let report = Report { against, at: m.time };
                m.received[n][n] = Some(report);
                m.in_flight.extend((0..self.fronts).filter(|to| *to != n).map(|to| (n, to, report)));
            }
            ModelAction::Success(n) => m.last_success[n] = Some(m.time),
            ModelAction::Deliver(from, to, report) => {
                m.in_flight.remove(&(from, to, report));
                let known = &mut m.received[to][from];
                if known.is_none_or(|k| k.at < report.at) {
                    *known = Some(report);
                }
            }
            ModelAction::Drop(from, to, report) => {
                m.in_flight.remove(&(from, to, report));
                m.drops += 1;
            }
            ModelAction::AdvanceTime => m.time += 1,
        }
        Some(m)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // A share of 1 - MAX_SCORE remains whatever is reported: no node is unused because of the score.
            Property::always("capped", |model: &GossipModel, m: &ModelState| {
                model.honest_fronts().all(|n| model.hearsay(m, n).abs() <= MAX_SCORE && MAX_SCORE < 1.0)
            }),
            Property::always(
                "no single accusation of a healthy node has an effect",
                |model: &GossipModel, m: &ModelState| {
                    model.dead || m.alarms > 0 || model.honest_fronts().all(|n| model.hearsay(m, n) <= 0.0)
                },
            ),
            Property::always(
                "an answer of one's own just now outweighs all",
                |model: &GossipModel, m: &ModelState| {
                    model
                        .honest_fronts()
                        .all(|n| m.last_success[n] != Some(m.time) || model.hearsay(m, n) <= 0.0)
                },
            ),
            Property::always(
                "one healthy report protects no dead node",
                |model: &GossipModel, m: &ModelState| {
                    let against = |n: usize| {
                        m.received[n].iter().flatten().filter(|w| w.against && w.at == m.time).count()
                    };
                    !model.dead || model.honest_fronts().all(|n| against(n) < 2 || model.hearsay(m, n) > 0.0)
                },
            ),
            Property::eventually("what all see all hear", |model: &GossipModel, m: &ModelState| {
                !model.dead || !model.fair || model.honest_fronts().all(|n| model.hearsay(m, n) > 0.0)
            }),
            Property::sometimes("reports have an effect at all", |model: &GossipModel, m: &ModelState| {
                !model.dead && model.alarms == 0 || model.honest_fronts().any(|n| model.hearsay(m, n) > 0.0)
            }),
        ]
    }
}

/// Explores everything; how many states there are.
pub fn check(model: GossipModel) -> usize {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.clone().checker().threads(threads).spawn_bfs().join();
    assert!(checker.is_done(), "{model:?}: not all was tried");
    checker.assert_properties();
    checker.unique_state_count()
}
