//! A model check of every order of edits, undos and repeats by two authors who see the rules late, within bounds, over the
//! real state machine; and of variants that are broken on purpose and must be caught.

use fernslip_record::rules::{Answer, Command, Operation, Rules};
use fernslip_record::texts::Digest;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Commands in a run.
const MAX_COMMANDS: usize = 5;
/// The bounds stay far under this; a model that grows beyond them must not fill the machine.
const MAX_STATES: usize = 400_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Defect {
    None,
    /// An undo reverts whatever lies between, acknowledged or not.
    LosesUnacknowledged,
    /// A repeat is applied as another command.
    ForgetsKeys,
    /// An edit is applied whatever version it was made from.
    IgnoresBase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    rules: Rules,
    /// The version that each author last saw as current.
    seen: [u64; 2],
    /// Commands applied so far, with their first answers.
    applied: Vec<(Command, Answer)>,
    /// By version: the edits that are in effect under it.
    in_effect: BTreeMap<u64, BTreeSet<u64>>,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Refresh(usize),
    Edit(usize),
    /// Back to that version, acknowledging what is known to be reverted with it, or nothing.
    Undo(usize, u64, bool),
    /// An answer was lost: the same again.
    Repeat(usize),
}

struct RulesModel(Defect);

impl RulesModel {
    fn apply(&self, s: &mut State, mut c: Command, repeat_of: Option<usize>) {
        let (before, first) = (s.rules.clone(), repeat_of.map(|n| s.applied[n].1.clone()));
        match (self.0, &mut c.operation) {
            (Defect::LosesUnacknowledged, Operation::Undo { to, acknowledged, .. }) => {
                *acknowledged = before.lost_edits(*to);
            }
            (Defect::IgnoresBase, Operation::Edit { base, .. }) => *base = before.current(),
            (Defect::ForgetsKeys, _) => c.key = format!("{}-{}", c.key, s.applied.len()),
            _ => {}
        }
        let answer = s.rules.apply(&c);
        if let (Ok(n), None) = (&answer, repeat_of) {
            if s.rules.current() != *n || *n <= before.current() {
                s.violation = Some("a number that is not the next");
            }
        }
        if let Some(first) = &first {
            if *first != answer || s.rules != before {
                s.violation = Some("a repeat that did something");
            }
        }
        if let (Ok(n), None) = (&answer, &first) {
            let none = BTreeSet::new();
            let was = s.in_effect.get(&before.current()).unwrap_or(&none);
            let force = match &c.operation {
                Operation::Edit { .. } => was.iter().copied().chain([*n]).collect(),
                Operation::Undo { to, .. } => s.in_effect.get(to).unwrap_or(&none).clone(),
            };
            // What its author proposed: the version that was current then, and the edits acknowledged.
            let (acknowledged, base) = match &s.proposed_operation(&c) {
                Operation::Undo { acknowledged, base, .. } => (acknowledged.clone(), *base),
                Operation::Edit { base, .. } => (Vec::new(), *base),
            };
            // What the current version itself brought is what the author wants to undo.
            let parent = before.version(base).map_or(0, |v| v.parent);
            let own = |e: &u64| !s.in_effect.get(&parent).is_some_and(|f| f.contains(e));
            if was.iter().any(|e| !force.contains(e) && !own(e) && !acknowledged.contains(e)) {
                s.violation = Some("an edit is lost unacknowledged");
            }
            if matches!(c.operation, Operation::Edit { .. }) && base != before.current() {
                s.violation = Some("an edit made from another version");
            }
            s.in_effect.insert(*n, force);
        }
        if repeat_of.is_none() {
            s.applied.push((c, answer));
        }
    }
}

thread_local! {
    /// What was really proposed, before a defect changed it.
    static PROPOSED: std::cell::RefCell<Option<Operation>> = const { std::cell::RefCell::new(None) };
}

impl State {
    fn proposed_operation(&self, c: &Command) -> Operation {
        PROPOSED.with(|a| a.borrow().clone()).unwrap_or_else(|| c.operation.clone())
    }
}

impl Model for RulesModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let (rules, applied, in_effect) = Default::default();
        vec![State { rules, seen: [0; 2], applied, in_effect, violation: None }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        for who in 0..2 {
            if s.seen[who] != s.rules.current() {
                out.push(Step::Refresh(who));
            }
            if s.applied.len() < MAX_COMMANDS {
                out.push(Step::Edit(who));
                for v in s.rules.versions() {
                    out.extend([true, false].map(|named| Step::Undo(who, v.number, named)));
                }
            }
        }
        out.extend((0..s.applied.len()).map(Step::Repeat));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let command = |s: &State, operation: Operation| {
            let (author, reason) = ("ops".to_string(), String::new());
            Command { key: format!("k{}", s.applied.len()), author, reason, at_unix_ms: 0, operation }
        };
        let (c, repeat_of) = match step {
            Step::Refresh(who) => {
                s.seen[who] = s.rules.current();
                return Some(s);
            }
            Step::Edit(who) => {
                let text = format!("text {}", s.applied.len());
                let (digest, bytes) = (Digest::of(text.as_bytes()), text.len() as u32);
                (command(&s, Operation::Edit { base: s.seen[who], digest, bytes }), None)
            }
            Step::Undo(who, to, named) => {
                let acknowledged = if named { s.rules.lost_edits(to) } else { Vec::new() };
                (command(&s, Operation::Undo { base: s.seen[who], to, acknowledged }), None)
            }
            Step::Repeat(n) => (s.applied[n].0.clone(), Some(n)),
        };
        PROPOSED.with(|a| *a.borrow_mut() = Some(c.operation.clone()));
        self.apply(&mut s, c, repeat_of);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is lost, repeated or out of order", |_, s: &State| {
                s.violation.is_none()
            }),
            Property::always("the current version is known", |_, s: &State| {
                s.rules.current() == 0 || s.rules.version(s.rules.current()).is_some()
            }),
            Property::sometimes("an undo is undone", |_, s: &State| {
                s.rules.versions().any(|v| {
                    let undone = v.restores.and_then(|r| s.rules.version(r));
                    undone.is_some_and(|u| u.restores.is_some())
                })
            }),
        ]
    }
}

fn check(defect: Defect) -> (usize, Option<&'static str>) {
    let checked = RulesModel(defect).checker().target_state_count(MAX_STATES).spawn_bfs().join();
    let violated = checked.discovery("nothing is lost, repeated or out of order");
    let violation = violated.and_then(|path| path.last_state().violation);
    if defect == Defect::None {
        assert!(checked.discovery("an undo is undone").is_some(), "the model reaches what it is for");
        assert!(checked.discovery("the current version is known").is_none());
    }
    (checked.unique_state_count(), violation)
}

#[test]
fn no_order_of_edits_undos_and_repeats_loses_or_duplicates_an_edit() {
    let (states, violation) = check(Defect::None);
    assert_eq!(violation, None);
    assert!((1_000..MAX_STATES).contains(&states), "{states} states");
}

#[test]
fn the_model_catches_each_deliberate_defect() {
    assert_eq!(check(Defect::LosesUnacknowledged).1, Some("an edit is lost unacknowledged"));
    assert_eq!(check(Defect::ForgetsKeys).1, Some("a repeat that did something"));
    assert_eq!(check(Defect::IgnoresBase).1, Some("an edit made from another version"));
}
