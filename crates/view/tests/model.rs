//! Model checking of the real member table: every order of crashes, true and false failure reports,
//! refutations and deliveries, within bounds.

use fernslip_view::{Fact, FrontState, Id, MemberTable, MergeOutcome};
use stateright::{Checker, Model, Property};

const FRONT_COUNT: usize = 3;
/// The limit on the number of states explored. The bounds of the tests stay far below it; it stops a larger
/// model from exhausting the machine's memory.
const MAX_STATES: usize = 300_000;

/// A fact reduced to the front it is about, its incarnation, whether it reports a failure, and the front that
/// reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct MemberReport {
    of: usize,
    incarnation: u32,
    failed: bool,
    by: usize,
}

impl MemberReport {
    fn to_fact(self) -> Fact {
        Fact {
            name: format!("f{}", self.of),
            addr: ([127, 0, 0, 1], 7000 + self.of as u16).into(),
            gossip: None,
            location: String::new(),
            program: String::new(),
            configuration: 0,
            process_id: self.of as u64,
            generation: 1,
            incarnation: self.incarnation,
            state: if self.failed { FrontState::Failed } else { FrontState::Ready },
            confirmed: true,
            detected_by: Id(if self.failed { 1 + self.by as u64 } else { 0 }),
        }
    }

    fn from_fact(fact: &Fact) -> MemberReport {
        let by = fact.detected_by.0.saturating_sub(1) as usize;
        MemberReport {
            of: fact.process_id as usize,
            incarnation: fact.incarnation,
            failed: fact.state == FrontState::Failed,
            by,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    dead: Vec<bool>,
    /// The view of each front: one report for each front, as held in its member table.
    views: Vec<Vec<MemberReport>>,
    /// All reports ever sent, each with a bit mask of the fronts that received it.
    sent: Vec<(MemberReport, u8)>,
    failure_reports: usize,
    /// Whether some view listed a failed front as live again without a higher incarnation of that front.
    revived: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum FleetAction {
    Crash(usize),
    /// A front reports the failure of another one, which may or may not have crashed.
    ReportFailure {
        by: usize,
        of: usize,
    },
    /// A front receives a report, for the first time or again.
    Deliver {
        report: usize,
        to: usize,
    },
}

struct FleetModel {
    max_failure_reports: usize,
    /// Whether to check the faulty variant, in which a front accepts the latest report whatever its rank.
    accepts_latest: bool,
}

impl FleetModel {
    fn receive(&self, state: &mut FleetState, to: usize, report: MemberReport) {
        let mut table = MemberTable::default();
        for known in &state.views[to] {
            table.merge(&known.to_fact(), 0.0);
        }
        let before = state.views[to][report.of];
        if self.accepts_latest {
            state.views[to][report.of] = report;
        } else if let MergeOutcome::Updated(_) = table.merge(&report.to_fact(), 0.0) {
            let member =
                table.get(report.to_fact().id()).expect("the table has a member for the merged fact");
            state.views[to][report.of] = MemberReport::from_fact(&member.fact);
        }
        let now = state.views[to][report.of];
        if before.failed && !now.failed && now.incarnation <= before.incarnation {
            state.revived = true;
        }
        // A front that receives a report of its own failure refutes it with a higher incarnation.
        if report.of == to && now.failed {
            let refutation = MemberReport { of: to, incarnation: now.incarnation + 1, failed: false, by: 0 };
            state.views[to][to] = refutation;
            state.sent.push((refutation, 1 << to));
        }
    }
}

impl Model for FleetModel {
    type State = FleetState;
    type Action = FleetAction;

    fn init_states(&self) -> Vec<FleetState> {
        let all: Vec<MemberReport> =
            (0..FRONT_COUNT).map(|of| MemberReport { of, incarnation: 0, failed: false, by: 0 }).collect();
        let sent = all.iter().map(|report| (*report, 0b111)).collect();
        vec![FleetState {
            dead: vec![false; FRONT_COUNT],
            views: vec![all; FRONT_COUNT],
            sent,
            failure_reports: 0,
            revived: false,
        }]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<FleetAction>) {
        let live = |i: &usize| !state.dead[*i];
        if state.dead.iter().all(|d| !d) {
            actions.extend((0..FRONT_COUNT).map(FleetAction::Crash));
        }
        for by in (0..FRONT_COUNT).filter(live) {
            for of in (0..FRONT_COUNT).filter(|of| *of != by && !state.views[by][*of].failed) {
                if state.failure_reports < self.max_failure_reports {
                    actions.push(FleetAction::ReportFailure { by, of });
                }
            }
            // Reports may be duplicated; a delayed copy must not undo what was received after the first.
            actions.extend((0..state.sent.len()).map(|report| FleetAction::Deliver { report, to: by }));
        }
    }

    fn next_state(&self, previous: &FleetState, action: FleetAction) -> Option<FleetState> {
        let mut state = previous.clone();
        match action {
            FleetAction::Crash(i) => state.dead[i] = true,
            FleetAction::ReportFailure { by, of } => {
                let report = MemberReport { failed: true, by, ..state.views[by][of] };
                state.failure_reports += 1;
                state.sent.push((report, 1 << by));
                self.receive(&mut state, by, report);
            }
            FleetAction::Deliver { report, to } => {
                let before = state.clone();
                state.sent[report].1 |= 1 << to;
                self.receive(&mut state, to, before.sent[report].0);
                if state == before {
                    return None;
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "fronts that received the same reports have equal views",
                |_, s: &FleetState| {
                    let received =
                        |i: usize| s.sent.iter().map(|(_, to)| to & (1 << i) != 0).collect::<Vec<_>>();
                    (0..FRONT_COUNT)
                        .all(|a| (0..a).all(|b| received(a) != received(b) || s.views[a] == s.views[b]))
                },
            ),
            Property::always(
                "a failed front becomes live only with a higher incarnation of its own",
                |_, s: &FleetState| !s.revived,
            ),
            Property::always(
                "live fronts that received all reports have equal views and list each other as live",
                |_, s: &FleetState| {
                    let live: Vec<usize> = (0..FRONT_COUNT).filter(|i| !s.dead[*i]).collect();
                    let all = s.sent.iter().all(|(_, to)| live.iter().all(|i| to & (1 << i) != 0));
                    !all || live.iter().all(|a| {
                        s.views[*a] == s.views[live[0]] && live.iter().all(|b| !s.views[*a][*b].failed)
                    })
                },
            ),
            Property::sometimes(
                "a failure report is refuted by a higher incarnation",
                |_, s: &FleetState| {
                    s.views.iter().flatten().any(|report| report.incarnation > 0 && !report.failed)
                },
            ),
        ]
    }
}

#[test]
fn the_properties_hold_in_every_order_of_events_within_the_bounds() {
    let done = FleetModel { max_failure_reports: 1, accepts_latest: false }
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    done.assert_properties();
    let states = done.unique_state_count();
    assert!(
        (100..MAX_STATES).contains(&states),
        "the checker explored {states} states, expected 100 to {MAX_STATES}"
    );
}

#[test]
fn the_model_detects_a_front_that_accepts_the_latest_report_whatever_its_rank() {
    let done = FleetModel { max_failure_reports: 1, accepts_latest: true }
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    assert!(done
        .discovery("a failed front becomes live only with a higher incarnation of its own")
        .is_some());
    assert!(done.discovery("fronts that received the same reports have equal views").is_some());
}
