//! Every order of crashes, right and wrong failure reports, refutations, and deliveries, within bounds, over the real member
//! table.

use fernslip_view::{Fact, FrontState, Id, MemberTable, MergeOutcome};
use stateright::{Checker, Model, Property};

const FRONTS: usize = 3;
/// The bounds below stay far under this; a model that grows beyond them must not fill the machine.
const MAX_STATES: usize = 300_000;

/// A fact in short: on which front, of which incarnation, failed or live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Report {
    of: usize,
    incarnation: u32,
    failed: bool,
    by: usize,
}

impl Report {
    fn fact(self) -> Fact {
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

    fn of_fact(f: &Fact) -> Report {
        let by = f.detected_by.0.saturating_sub(1) as usize;
        Report {
            of: f.process_id as usize,
            incarnation: f.incarnation,
            failed: f.state == FrontState::Failed,
            by,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    dead: Vec<bool>,
    /// Each front's view: a report for each front, as the table holds them.
    views: Vec<Vec<Report>>,
    /// All reports ever sent, and whom each has reached (a bit each).
    sent: Vec<(Report, u8)>,
    failure_reports: usize,
    /// A front that was held for failed was live again in some view without a higher incarnation of its own.
    revived: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Crash(usize),
    /// One reports another's failure: rightly or not.
    ReportFailure {
        by: usize,
        of: usize,
    },
    /// A report reaches a front, for the first time or again.
    Deliver {
        report: usize,
        to: usize,
    },
}

struct Fleet {
    max_failure_reports: usize,
    /// The mutant: the report that comes last is believed.
    believes_the_last: bool,
}

impl Fleet {
    fn receive(&self, s: &mut State, to: usize, report: Report) {
        let mut table = MemberTable::default();
        for known in &s.views[to] {
            table.merge(&known.fact(), 0.0);
        }
        let before = s.views[to][report.of];
        if self.believes_the_last {
            s.views[to][report.of] = report;
        } else if let MergeOutcome::Updated(_) = table.merge(&report.fact(), 0.0) {
            let member = table.get(report.fact().id()).expect("merged");
            s.views[to][report.of] = Report::of_fact(&member.fact);
        }
        let now = s.views[to][report.of];
        if before.failed && !now.failed && now.incarnation <= before.incarnation {
            s.revived = true;
        }
        // A front that learns of its own failure refutes it with a higher incarnation.
        if report.of == to && now.failed {
            let refutation = Report { of: to, incarnation: now.incarnation + 1, failed: false, by: 0 };
            s.views[to][to] = refutation;
            s.sent.push((refutation, 1 << to));
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let all: Vec<Report> =
            (0..FRONTS).map(|of| Report { of, incarnation: 0, failed: false, by: 0 }).collect();
        let sent = all.iter().map(|report| (*report, 0b111)).collect();
        vec![State {
            dead: vec![false; FRONTS],
            views: vec![all; FRONTS],
            sent,
            failure_reports: 0,
            revived: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Act>) {
        let live = |i: &usize| !s.dead[*i];
        if s.dead.iter().all(|d| !d) {
            out.extend((0..FRONTS).map(Act::Crash));
        }
        for by in (0..FRONTS).filter(live) {
            for of in (0..FRONTS).filter(|of| *of != by && !s.views[by][*of].failed) {
                if s.failure_reports < self.max_failure_reports {
                    out.push(Act::ReportFailure { by, of });
                }
            }
            // A report may be duplicated: a late copy must not undo what came after it.
            out.extend((0..s.sent.len()).map(|report| Act::Deliver { report, to: by }));
        }
    }

    fn next_state(&self, s: &State, act: Act) -> Option<State> {
        let mut s = s.clone();
        match act {
            Act::Crash(i) => s.dead[i] = true,
            Act::ReportFailure { by, of } => {
                let report = Report { failed: true, by, ..s.views[by][of] };
                s.failure_reports += 1;
                s.sent.push((report, 1 << by));
                self.receive(&mut s, by, report);
            }
            Act::Deliver { report, to } => {
                let before = s.clone();
                s.sent[report].1 |= 1 << to;
                self.receive(&mut s, to, before.sent[report].0);
                if s == before {
                    return None;
                }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("fronts that received the same hold the same", |_, s: &State| {
                let received = |i: usize| s.sent.iter().map(|(_, to)| to & (1 << i) != 0).collect::<Vec<_>>();
                (0..FRONTS).all(|a| (0..a).all(|b| received(a) != received(b) || s.views[a] == s.views[b]))
            }),
            Property::always(
                "no failure is undone but by the front's own higher incarnation",
                |_, s: &State| !s.revived,
            ),
            Property::always(
                "once all has reached all live fronts, they hold the same, and each other",
                |_, s: &State| {
                    let live: Vec<usize> = (0..FRONTS).filter(|i| !s.dead[*i]).collect();
                    let all = s.sent.iter().all(|(_, to)| live.iter().all(|i| to & (1 << i) != 0));
                    !all || live.iter().all(|a| {
                        s.views[*a] == s.views[live[0]] && live.iter().all(|b| !s.views[*a][*b].failed)
                    })
                },
            ),
            Property::sometimes("a failure is undone by a higher incarnation", |_, s: &State| {
                s.views.iter().flatten().any(|report| report.incarnation > 0 && !report.failed)
            }),
        ]
    }
}

#[test]
fn every_order_within_the_bounds_keeps_the_properties() {
    let done = Fleet { max_failure_reports: 1, believes_the_last: false }
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    done.assert_properties();
    let states = done.unique_state_count();
    assert!((100..MAX_STATES).contains(&states), "{states}: all of them were checked");
}

#[test]
fn a_front_that_believes_the_last_report_is_caught() {
    let done = Fleet { max_failure_reports: 1, believes_the_last: true }
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    assert!(done.discovery("no failure is undone but by the front's own higher incarnation").is_some());
    assert!(done.discovery("fronts that received the same hold the same").is_some());
}
