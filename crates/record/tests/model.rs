//! Model check of the rules' state machine: every order of edits, undos and repeated commands by two authors
//! who may act on an outdated version, up to a bound. Deliberately defective variants check that the model
//! detects faults.

use fernslip_record::rules::{Answer, Command, Operation, Rules};
use fernslip_record::texts::Digest;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of commands in one run of the model, repeats not counted.
const MAX_COMMANDS: usize = 5;
/// Limit on the number of states, far above what the bounds lead to, so that a model that grows by mistake
/// can't exhaust the machine's memory.
const MAX_STATES: usize = 400_000;

/// A fault that is put into the state machine on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Defect {
    None,
    /// An undo reverts all edits in between, acknowledged or not.
    LosesUnacknowledged,
    /// A repeated command is applied as a new one.
    ForgetsKeys,
    /// An edit is applied whatever version it was made from.
    IgnoresBase,
}

/// State of the model: the rules, what each author knows, and the history needed to detect a violation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    rules: Rules,
    /// The version that each author last saw as current.
    seen: [u64; 2],
    /// Commands applied so far, each with its first answer.
    applied: Vec<(Command, Answer)>,
    /// The edits that are in effect under each version, by version number.
    in_effect: BTreeMap<u64, BTreeSet<u64>>,
    violation: Option<&'static str>,
}

/// A step of the model; the first field is the index of the author, or of the repeated command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    Refresh(usize),
    Edit(usize),
    /// An undo to the version in the second field; if the third field is `true`, the author acknowledges the
    /// edits reverted with it, otherwise none.
    Undo(usize, u64, bool),
    /// The command is sent again with the same key, as after a lost answer.
    Repeat(usize),
}

struct RulesModel(Defect);

impl RulesModel {
    fn apply_command(&self, state: &mut ModelState, mut command: Command, repeat_of: Option<usize>) {
        let (before, first) = (state.rules.clone(), repeat_of.map(|n| state.applied[n].1.clone()));
        match (self.0, &mut command.operation) {
            (Defect::LosesUnacknowledged, Operation::Undo { to, acknowledged, .. }) => {
                *acknowledged = before.edits_reverted_by_undo(*to);
            }
            (Defect::IgnoresBase, Operation::Edit { base, .. }) => *base = before.current(),
            (Defect::ForgetsKeys, _) => command.key = format!("{}-{}", command.key, state.applied.len()),
            _ => {}
        }
        let answer = state.rules.apply_command(&command);
        if let (Ok(n), None) = (&answer, repeat_of) {
            if state.rules.current() != *n || *n <= before.current() {
                state.violation = Some("a new version does not have a higher number or is not current");
            }
        }
        if let Some(first) = &first {
            if *first != answer || state.rules != before {
                state.violation = Some("a repeated command changed the rules or got another answer");
            }
        }
        if let (Ok(n), None) = (&answer, &first) {
            let none = BTreeSet::new();
            let was = state.in_effect.get(&before.current()).unwrap_or(&none);
            let remaining = match &command.operation {
                Operation::Edit { .. } => was.iter().copied().chain([*n]).collect(),
                Operation::Undo { to, .. } => state.in_effect.get(to).unwrap_or(&none).clone(),
            };
            // The edits that the author acknowledged, and the version that the author saw as current.
            let (acknowledged, base) = match &state.proposed_operation(&command) {
                Operation::Undo { acknowledged, base, .. } => (acknowledged.clone(), *base),
                Operation::Edit { base, .. } => (Vec::new(), *base),
            };
            // An undo is meant to revert the current version's own edit, which needs no acknowledgement.
            let parent = before.version(base).map_or(0, |v| v.parent);
            let own = |e: &u64| !state.in_effect.get(&parent).is_some_and(|f| f.contains(e));
            if was.iter().any(|e| !remaining.contains(e) && !own(e) && !acknowledged.contains(e)) {
                state.violation = Some("an undo reverted an edit that was not acknowledged");
            }
            if matches!(command.operation, Operation::Edit { .. }) && base != before.current() {
                state.violation = Some("an edit made from an outdated version was accepted");
            }
            state.in_effect.insert(*n, remaining);
        }
        if repeat_of.is_none() {
            state.applied.push((command, answer));
        }
    }
}

thread_local! {
    /// The operation as its author proposed it, before a defect changed it.
    static PROPOSED: std::cell::RefCell<Option<Operation>> = const { std::cell::RefCell::new(None) };
}

impl ModelState {
    fn proposed_operation(&self, command: &Command) -> Operation {
        PROPOSED.with(|a| a.borrow().clone()).unwrap_or_else(|| command.operation.clone())
    }
}

impl Model for RulesModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let (rules, applied, in_effect) = Default::default();
        vec![ModelState { rules, seen: [0; 2], applied, in_effect, violation: None }]
    }

    fn actions(&self, state: &ModelState, out: &mut Vec<ModelAction>) {
        for author_index in 0..2 {
            if state.seen[author_index] != state.rules.current() {
                out.push(ModelAction::Refresh(author_index));
            }
            if state.applied.len() < MAX_COMMANDS {
                out.push(ModelAction::Edit(author_index));
                for v in state.rules.versions() {
                    out.extend([true, false].map(|with_acknowledgement| {
                        ModelAction::Undo(author_index, v.number, with_acknowledgement)
                    }));
                }
            }
        }
        out.extend((0..state.applied.len()).map(ModelAction::Repeat));
    }

    fn next_state(&self, last: &ModelState, step: ModelAction) -> Option<ModelState> {
        let mut s = last.clone();
        let command = |s: &ModelState, operation: Operation| {
            let (author, reason) = ("ops".to_string(), String::new());
            Command { key: format!("k{}", s.applied.len()), author, reason, at_unix_ms: 0, operation }
        };
        let (c, repeat_of) = match step {
            ModelAction::Refresh(author_index) => {
                s.seen[author_index] = s.rules.current();
                return Some(s);
            }
            ModelAction::Edit(author_index) => {
                let text = format!("text {}", s.applied.len());
                let (digest, bytes) = (Digest::of(text.as_bytes()), text.len() as u32);
                (command(&s, Operation::Edit { base: s.seen[author_index], digest, bytes }), None)
            }
            ModelAction::Undo(author_index, to, with_acknowledgement) => {
                let acknowledged =
                    if with_acknowledgement { s.rules.edits_reverted_by_undo(to) } else { Vec::new() };
                (command(&s, Operation::Undo { base: s.seen[author_index], to, acknowledged }), None)
            }
            ModelAction::Repeat(n) => (s.applied[n].0.clone(), Some(n)),
        };
        PROPOSED.with(|a| *a.borrow_mut() = Some(c.operation.clone()));
        self.apply_command(&mut s, c, repeat_of);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no edit is lost, applied twice or applied out of order",
                |_, s: &ModelState| s.violation.is_none(),
            ),
            Property::always("the current version is retained", |_, s: &ModelState| {
                s.rules.current() == 0 || s.rules.version(s.rules.current()).is_some()
            }),
            Property::sometimes("an undo can be undone", |_, s: &ModelState| {
                s.rules.versions().any(|v| {
                    let undone = v.restores.and_then(|r| s.rules.version(r));
                    undone.is_some_and(|u| u.restores.is_some())
                })
            }),
        ]
    }
}

fn check_model(defect: Defect) -> (usize, Option<&'static str>) {
    let checked = RulesModel(defect).checker().target_state_count(MAX_STATES).spawn_bfs().join();
    let violated = checked.discovery("no edit is lost, applied twice or applied out of order");
    let violation = violated.and_then(|path| path.last_state().violation);
    if defect == Defect::None {
        assert!(
            checked.discovery("an undo can be undone").is_some(),
            "the model reaches a state in which an undo was undone"
        );
        assert!(checked.discovery("the current version is retained").is_none());
    }
    (checked.unique_state_count(), violation)
}

#[test]
fn no_order_of_edits_undos_and_repeats_loses_or_duplicates_an_edit() {
    let (states, violation) = check_model(Defect::None);
    assert_eq!(violation, None);
    assert!(
        (1_000..MAX_STATES).contains(&states),
        "the model visited {states} states, expected 1000 to {MAX_STATES}"
    );
}

#[test]
fn the_model_catches_each_deliberate_defect() {
    assert_eq!(
        check_model(Defect::LosesUnacknowledged).1,
        Some("an undo reverted an edit that was not acknowledged")
    );
    assert_eq!(
        check_model(Defect::ForgetsKeys).1,
        Some("a repeated command changed the rules or got another answer")
    );
    assert_eq!(
        check_model(Defect::IgnoresBase).1,
        Some("an edit made from an outdated version was accepted")
    );
}
