//! A model of the reports on one cache node for a model checker, which explores every order of events: honest
//! fronts, one byzantine peer, and datagrams that are lost, late or out of order. Scores come from the real
//! aggregation, [`fernslip_gossip::aggregate`].

use fernslip_gossip::aggregate::{aggregate_score, WitnessReport, MAX_SCORE};
use fernslip_gossip::{FrontId, Observation};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The duration of a time step, in milliseconds. A report expires after eight of them.
const STEP_MS: f64 = 4_000.0;

/// The bounds and assumptions of the exploration.
#[derive(Clone, Debug)]
pub struct GossipModel {
    /// The number of fronts. The last one is byzantine unless `honest` is set.
    pub fronts: usize,
    /// Whether all fronts are honest.
    pub honest: bool,
    /// Whether the cache node is dead; otherwise it is healthy.
    pub dead: bool,
    /// The greatest number of time steps.
    pub time_steps: u8,
    /// The greatest number of lost datagrams.
    pub drops: u8,
    /// The greatest number of false accusations of a healthy node by honest fronts, all fronts together.
    pub false_alarms: u8,
    /// The other fronts' trust in the byzantine peer, which may have earned any value.
    pub trust: f64,
    /// Whether the network is fair: time advances only when no datagram is in flight and all honest fronts
    /// have reported.
    pub fair: bool,
}

/// A report that is in flight or was received. `at` is the time step of the observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Report {
    accuses: bool,
    observed_at: u8,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    time: u8,
    /// The latest report from each witness, indexed by receiver and then by witness.
    received: Vec<Vec<Option<Report>>>,
    /// The datagrams in flight, as sender, receiver and report.
    in_flight: BTreeSet<(usize, usize, Report)>,
    /// The time step of each front's last report.
    last_report: Vec<Option<u8>>,
    /// The time step of the last successful answer that each front had from the node.
    last_success: Vec<Option<u8>>,
    drops: u8,
    false_alarms: u8,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ModelAction {
    /// A front sends all others a report, which accuses the node if the flag is set.
    SendReport(usize, bool),
    /// A front gets a successful answer from the node.
    ObserveSuccess(usize),
    /// The network delivers a datagram.
    DeliverDatagram(usize, usize, Report),
    /// The network loses a datagram.
    LoseDatagram(usize, usize, Report),
    /// Time advances by one step.
    AdvanceTime,
}

impl GossipModel {
    fn is_byzantine(&self, front: usize) -> bool {
        !self.honest && front + 1 == self.fronts
    }

    /// Returns the node's score by the reports that a front received.
    pub fn peer_score(&self, state: &ModelState, front: usize) -> f64 {
        let reports: Vec<WitnessReport> = state.received[front]
            .iter()
            .enumerate()
            .filter_map(|(w, report)| {
                // A front's own report counts as a witness only if it is an accusation.
                let report = (*report).filter(|report| w != front || report.accuses)?;
                Some(WitnessReport {
                    witness: FrontId(w as u32),
                    observation: if report.accuses { Observation::Failing } else { Observation::Healthy },
                    strength: 1.0,
                    age_ms: f64::from(state.time - report.observed_at) * STEP_MS,
                    trust: match () {
                        () if w == front => 1.0,
                        () if self.is_byzantine(w) => self.trust,
                        () => 0.5,
                    },
                    accused_fraction: 0.0,
                })
            })
            .collect();
        aggregate_score(
            &reports,
            self.fronts,
            state.last_success[front].map(|at| f64::from(state.time - at) * STEP_MS),
        )
    }

    fn honest_fronts(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.fronts).filter(|front| !self.is_byzantine(*front))
    }
}

impl Model for GossipModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let count = self.fronts;
        vec![ModelState {
            time: 0,
            received: vec![vec![None; count]; count],
            in_flight: BTreeSet::new(),
            last_report: vec![None; count],
            last_success: vec![None; count],
            drops: 0,
            false_alarms: 0,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        for front in 0..self.fronts {
            if state.last_report[front] == Some(state.time) {
                continue;
            }
            for accuses in [true, false] {
                let permitted = match (self.is_byzantine(front), accuses == self.dead) {
                    (true, _) | (false, true) => true,
                    (false, false) => accuses && state.false_alarms < self.false_alarms,
                };
                if permitted {
                    actions.push(ModelAction::SendReport(front, accuses));
                }
            }
            if !self.dead && !self.is_byzantine(front) && state.last_success[front] != Some(state.time) {
                actions.push(ModelAction::ObserveSuccess(front));
            }
        }
        for (from, to, report) in &state.in_flight {
            actions.push(ModelAction::DeliverDatagram(*from, *to, *report));
            if state.drops < self.drops {
                actions.push(ModelAction::LoseDatagram(*from, *to, *report));
            }
        }
        let all_reported = self.honest_fronts().all(|front| state.last_report[front] == Some(state.time));
        if state.time < self.time_steps && (!self.fair || state.in_flight.is_empty() && all_reported) {
            actions.push(ModelAction::AdvanceTime);
        }
    }

    fn next_state(&self, state: &ModelState, step: ModelAction) -> Option<ModelState> {
        let mut state = state.clone();
        match step {
            ModelAction::SendReport(front, accuses) => {
                state.false_alarms += u8::from(!self.is_byzantine(front) && accuses && !self.dead);
                state.last_report[front] = Some(state.time);
                let report = Report { accuses, observed_at: state.time };
                state.received[front][front] = Some(report);
                state
                    .in_flight
                    .extend((0..self.fronts).filter(|to| *to != front).map(|to| (front, to, report)));
            }
            ModelAction::ObserveSuccess(front) => state.last_success[front] = Some(state.time),
            ModelAction::DeliverDatagram(from, to, report) => {
                state.in_flight.remove(&(from, to, report));
                let known = &mut state.received[to][from];
                if known.is_none_or(|k| k.observed_at < report.observed_at) {
                    *known = Some(report);
                }
            }
            ModelAction::LoseDatagram(from, to, report) => {
                state.in_flight.remove(&(from, to, report));
                state.drops += 1;
            }
            ModelAction::AdvanceTime => state.time += 1,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // A load of 1 - MAX_SCORE remains whatever is reported, so no node goes unused because of its
            // score.
            Property::always("every score is within the cap", |model: &GossipModel, state: &ModelState| {
                model
                    .honest_fronts()
                    .all(|front| model.peer_score(state, front).abs() <= MAX_SCORE && MAX_SCORE < 1.0)
            }),
            Property::always(
                "no single accusation of a healthy node has an effect",
                |model: &GossipModel, state: &ModelState| {
                    model.dead
                        || state.false_alarms > 0
                        || model.honest_fronts().all(|front| model.peer_score(state, front) <= 0.0)
                },
            ),
            Property::always(
                "a successful answer just received by the front itself outweighs all reports",
                |model: &GossipModel, state: &ModelState| {
                    model.honest_fronts().all(|front| {
                        state.last_success[front] != Some(state.time) || model.peer_score(state, front) <= 0.0
                    })
                },
            ),
            Property::always(
                "one report of a dead node as healthy does not cancel the accusations",
                |model: &GossipModel, state: &ModelState| {
                    let accusations = |front: usize| {
                        state.received[front]
                            .iter()
                            .flatten()
                            .filter(|w| w.accuses && w.observed_at == state.time)
                            .count()
                    };
                    !model.dead
                        || model
                            .honest_fronts()
                            .all(|front| accusations(front) < 2 || model.peer_score(state, front) > 0.0)
                },
            ),
            Property::eventually(
                "every honest front learns of the dead node",
                |model: &GossipModel, state: &ModelState| {
                    !model.dead
                        || !model.fair
                        || model.honest_fronts().all(|front| model.peer_score(state, front) > 0.0)
                },
            ),
            Property::sometimes(
                "some reports have an effect on a score",
                |model: &GossipModel, state: &ModelState| {
                    !model.dead && model.false_alarms == 0
                        || model.honest_fronts().any(|front| model.peer_score(state, front) > 0.0)
                },
            ),
        ]
    }
}

/// Explores all states, checks the properties and returns the number of states.
pub fn explore(model: GossipModel) -> usize {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.clone().checker().threads(threads).spawn_bfs().join();
    assert!(checker.is_done(), "not all states of {model:?} were explored");
    checker.assert_properties();
    checker.unique_state_count()
}
