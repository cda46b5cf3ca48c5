//! Every order of edits, undos and repeats by two who see the rules late, within bounds, over the real state machine; and
//! variants of it that are broken on purpose and must be caught.

use fernslip_record::rules::{Answer, Ask, Command, Digest, Rules};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Commands in a run.
const MOST: usize = 5;
/// The bounds stay far under this; a model that grows beyond them must not fill the machine.
const MOST_STATES: usize = 400_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Broken {
    Nothing,
    /// An undo takes whatever lies between with it, named or not.
    LosesUnsaid,
    /// A repeat is taken for another command.
    ForgetsKeys,
    /// An edit is taken whatever version it was made from.
    IgnoresBase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    rules: Rules,
    /// What each of the two saw last as current.
    saw: [u64; 2],
    /// Commands taken so far, with what they were answered first.
    taken: Vec<(Command, Answer)>,
    /// By version: the edits that are in force under it.
    force: BTreeMap<u64, BTreeSet<u64>>,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Look(usize),
    Edit(usize),
    /// Back to that version, naming what is known to go with it, or nothing.
    Undo(usize, u64, bool),
    /// An answer was lost: the same again.
    Again(usize),
}

struct Play(Broken);

impl Play {
    fn take(&self, s: &mut State, mut c: Command, again: Option<usize>) {
        let (before, first) = (s.rules.clone(), again.map(|n| s.taken[n].1.clone()));
        match (self.0, &mut c.ask) {
            (Broken::LosesUnsaid, Ask::Undo { to, with, .. }) => *with = before.lost(*to),
            (Broken::IgnoresBase, Ask::Edit { base, .. }) => *base = before.current(),
            (Broken::ForgetsKeys, _) => c.key = format!("{}-{}", c.key, s.taken.len()),
            _ => {}
        }
        let answer = s.rules.take(&c);
        if let (Ok(n), None) = (&answer, again) {
            if s.rules.current() != *n || *n <= before.current() {
                s.wrong = Some("a number that is not the next");
            }
        }
        if let Some(first) = &first {
            if *first != answer || s.rules != before {
                s.wrong = Some("a repeat that did something");
            }
        }
        if let (Ok(n), None) = (&answer, &first) {
            let none = BTreeSet::new();
            let was = s.force.get(&before.current()).unwrap_or(&none);
            let force = match &c.ask {
                Ask::Edit { .. } => was.iter().copied().chain([*n]).collect(),
                Ask::Undo { to, .. } => s.force.get(to).unwrap_or(&none).clone(),
            };
            // What was said: the version that was current when it was asked, and those named by who asked.
            let (asked, base) = match &s.taken_ask(&c) {
                Ask::Undo { with, base, .. } => (with.clone(), *base),
                Ask::Edit { base, .. } => (Vec::new(), *base),
            };
            // What the current version itself brought is what is asked to go.
            let parent = before.version(base).map_or(0, |v| v.parent);
            let own = |e: &u64| !s.force.get(&parent).is_some_and(|f| f.contains(e));
            if was.iter().any(|e| !force.contains(e) && !own(e) && !asked.contains(e)) {
                s.wrong = Some("an edit is lost unsaid");
            }
            if matches!(c.ask, Ask::Edit { .. }) && base != before.current() {
                s.wrong = Some("an edit made from another version");
            }
            s.force.insert(*n, force);
        }
        if again.is_none() {
            s.taken.push((c, answer));
        }
    }
}

thread_local! {
    /// What was really asked, before a broken variant changed it.
    static ASKED: std::cell::RefCell<Option<Ask>> = const { std::cell::RefCell::new(None) };
}

impl State {
    fn taken_ask(&self, c: &Command) -> Ask {
        ASKED.with(|a| a.borrow().clone()).unwrap_or_else(|| c.ask.clone())
    }
}

impl Model for Play {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let (rules, taken, force) = Default::default();
        vec![State { rules, saw: [0; 2], taken, force, wrong: None }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Act>) {
        for who in 0..2 {
            if s.saw[who] != s.rules.current() {
                out.push(Act::Look(who));
            }
            if s.taken.len() < MOST {
                out.push(Act::Edit(who));
                for v in s.rules.versions() {
                    out.extend([true, false].map(|named| Act::Undo(who, v.number, named)));
                }
            }
        }
        out.extend((0..s.taken.len()).map(Act::Again));
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut s = last.clone();
        let command = |s: &State, ask: Ask| {
            let (author, reason) = ("ops".to_string(), String::new());
            Command { key: format!("k{}", s.taken.len()), author, reason, at_unix_ms: 0, ask }
        };
        let (c, again) = match act {
            Act::Look(who) => {
                s.saw[who] = s.rules.current();
                return Some(s);
            }
            Act::Edit(who) => {
                let text = format!("text {}", s.taken.len());
                let (digest, bytes) = (Digest::of(text.as_bytes()), text.len() as u32);
                (command(&s, Ask::Edit { base: s.saw[who], digest, bytes }), None)
            }
            Act::Undo(who, to, named) => {
                let with = if named { s.rules.lost(to) } else { Vec::new() };
                (command(&s, Ask::Undo { base: s.saw[who], to, with }), None)
            }
            Act::Again(n) => (s.taken[n].0.clone(), Some(n)),
        };
        ASKED.with(|a| *a.borrow_mut() = Some(c.ask.clone()));
        self.take(&mut s, c, again);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is lost, repeated or out of order", |_, s: &State| s.wrong.is_none()),
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

fn play(broken: Broken) -> (usize, Option<&'static str>) {
    let checked = Play(broken).checker().target_state_count(MOST_STATES).spawn_bfs().join();
    let wrong = checked.discovery("nothing is lost, repeated or out of order");
    let what = wrong.and_then(|path| path.last_state().wrong);
    if broken == Broken::Nothing {
        assert!(checked.discovery("an undo is undone").is_some(), "the model plays what it is for");
        assert!(checked.discovery("the current version is known").is_none());
    }
    (checked.unique_state_count(), what)
}

#[test]
fn no_order_of_edits_undos_and_repeats_loses_or_doubles_anything() {
    let (states, wrong) = play(Broken::Nothing);
    assert_eq!(wrong, None);
    assert!((1_000..MOST_STATES).contains(&states), "{states} states");
}

#[test]
fn broken_variants_are_caught() {
    assert_eq!(play(Broken::LosesUnsaid).1, Some("an edit is lost unsaid"));
    assert_eq!(play(Broken::ForgetsKeys).1, Some("a repeat that did something"));
    assert_eq!(play(Broken::IgnoresBase).1, Some("an edit made from another version"));
}
