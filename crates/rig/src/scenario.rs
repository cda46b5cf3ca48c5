//! Scenarios: steps at times, faults, and what must hold, as KDL documents.

use kdl::{KdlDocument, KdlNode, KdlValue};
use std::time::Duration;

/// Which fronts a step takes, drawn by the seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Which {
    /// So many.
    Count(usize),
    /// That part of all that run.
    Part(f64),
}

impl Which {
    /// How many of so many; at least one.
    pub fn of(self, all: usize) -> usize {
        match self {
            Which::Count(n) => n.min(all),
            Which::Part(p) => ((all as f64 * p).round() as usize).clamp(1, all.max(1)),
        }
    }
}

/// What a step waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// All fronts that run and reach each other hold the same view, of exactly themselves.
    Even,
    /// The same, and each says that it is settled.
    Settled,
    /// No front that runs counts on one that was killed.
    Known,
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// SIGKILL.
    Kill(Which),
    /// SIGSTOP.
    Stop(Which),
    /// SIGCONT to all that are stopped.
    GoOn,
    /// SIGTERM, and waits until the process has ended.
    Term(Which),
    /// Starts all that were killed or ended; at another address.
    Restart {
        /// At another address than before.
        moved: bool,
        /// With the other program, or the own; without it with the one that it ran.
        to: Option<bool>,
    },
    /// Ends fronts in groups and starts them with the other program, or the own, until all run it.
    Roll {
        /// The other.
        other: bool,
        /// Fronts of a group.
        at_once: usize,
    },
    /// Starts new fronts.
    Join(Which),
    /// Sides that don't reach each other.
    Partition {
        /// How many; fronts are dealt out in turn.
        sides: usize,
        /// Or one side of so many fronts, against the rest.
        alone: Option<usize>,
    },
    /// All links work again.
    Heal,
    /// Part of all datagrams lost.
    Loss(f64),
    /// Fronts that lose that part of what they send and of what is sent to them.
    Lossy(Which, f64),
    /// Delay and jitter, milliseconds, of all that those fronts send and are sent.
    Delay(Which, f64, f64),
    /// Part of datagrams that come twice, and part that come late and out of order.
    Disorder(f64, f64),
    /// So many links lose all in one direction.
    OneWay(usize),
    /// Nothing reaches those fronts; what they send does.
    Deaf(Which),
    /// Their boxes reset all connections and refuse new ones, for the fronts chosen.
    CutBoxes(Which),
    /// Arbitrary bytes, old datagrams and signed nonsense, so many a second for so long.
    Garbage(f64, Duration),
    /// Time passes.
    Wait(Duration),
    /// Must hold within the time; how long it took is measured.
    Await(Goal, Duration),
    /// Steady state is measured over this time: bytes and CPU.
    Measure(Duration),
    /// These steps so often.
    Repeat(usize, Vec<Step>),
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Fronts, where the command does not say.
    pub fronts: usize,
    /// Requests a second of all clients together; 0: no load.
    pub load: f64,
    /// Whether every request must be served: faults are between the fronts alone.
    pub serves_all: bool,
    /// The steps, after all fronts were started and have settled.
    pub steps: Vec<Step>,
}

/// What is wrong with a document, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What.
    pub what: String,
}

impl std::fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)
    }
}

impl std::error::Error for ScenarioError {}

struct Doc<'a> {
    file: &'a str,
    text: &'a str,
}

impl Doc<'_> {
    fn error(&self, offset: usize, what: impl Into<String>) -> ScenarioError {
        let before = self.text.get(..offset).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        ScenarioError { file: self.file.into(), line, column, what: what.into() }
    }

    /// Which program `to` names.
    fn to(&self, node: &KdlNode) -> Result<Option<bool>, ScenarioError> {
        match node.get("to").map(|v| v.as_string()) {
            None => Ok(None),
            Some(Some("own")) => Ok(Some(false)),
            Some(Some("other")) => Ok(Some(true)),
            Some(_) => Err(self.at(node, "`to` is \"own\" or \"other\"")),
        }
    }

    fn at(&self, node: &KdlNode, what: impl Into<String>) -> ScenarioError {
        self.error(node.name().span().offset(), what)
    }

    fn only(&self, node: &KdlNode, known: &[&str], args: usize) -> Result<(), ScenarioError> {
        let label = node.name().value();
        for e in node.entries() {
            if let Some(name) = e.name().filter(|n| !known.contains(&n.value())) {
                let known = known.join(", ");
                return Err(self.error(
                    e.span().offset(),
                    format!("`{label}` has no `{}`; it has: {known}", name.value()),
                ));
            }
        }
        match node.entries().iter().filter(|e| e.name().is_none()).count() {
            n if n == args => Ok(()),
            n => Err(self.at(node, format!("`{label}` takes {args} texts behind its name, not {n}"))),
        }
    }

    fn number(
        &self,
        node: &KdlNode,
        name: &str,
        least: f64,
        most: f64,
    ) -> Result<Option<f64>, ScenarioError> {
        let Some(e) = node.entry(name) else { return Ok(None) };
        let n = match e.value() {
            KdlValue::Integer(n) => *n as f64,
            KdlValue::Float(n) => *n,
            _ => return Err(self.error(e.span().offset(), format!("`{name}` must be a number"))),
        };
        match n >= least && n <= most {
            true => Ok(Some(n)),
            false => Err(self.error(e.span().offset(), format!("`{name}` must be from {least} to {most}"))),
        }
    }

    fn needed(&self, node: &KdlNode, name: &str, least: f64, most: f64) -> Result<f64, ScenarioError> {
        let found = self.number(node, name, least, most)?;
        found.ok_or_else(|| self.at(node, format!("`{}` needs {name}=", node.name().value())))
    }

    fn millis(&self, node: &KdlNode, name: &str) -> Result<Duration, ScenarioError> {
        Ok(Duration::from_secs_f64(self.needed(node, name, 1.0, 3_600_000.0)? / 1000.0))
    }

    fn which(&self, node: &KdlNode) -> Result<Which, ScenarioError> {
        let count = self.number(node, "count", 1.0, 10_000.0)?;
        let part = self.number(node, "part", 0.001, 1.0)?;
        match (count, part) {
            (Some(n), None) => Ok(Which::Count(n as usize)),
            (None, Some(p)) => Ok(Which::Part(p)),
            _ => Err(self.at(node, format!("`{}` needs count= or part=, one of them", node.name().value()))),
        }
    }

    fn steps(&self, doc: &KdlDocument) -> Result<Vec<Step>, ScenarioError> {
        doc.nodes().iter().map(|n| self.step(n)).collect()
    }

    fn step(&self, n: &KdlNode) -> Result<Step, ScenarioError> {
        let label = n.name().value();
        let which = ["count", "part"];
        let (keys, args): (&[&str], usize) = match label {
            "kill" | "stop" | "term" | "join" | "deaf" | "cut-boxes" => (&which, 0),
            "go-on" | "heal" => (&[], 0),
            "restart" => (&["moved", "to"], 0),
            "roll" => (&["to", "at-once"], 0),
            "partition" => (&["sides", "alone"], 0),
            "loss" => (&["part"], 0),
            "lossy" => (&["count", "part", "loses"], 0),
            "delay" => (&["count", "part", "ms", "jitter-ms"], 0),
            "disorder" => (&["doubled", "late"], 0),
            "one-way" => (&["count"], 0),
            "garbage" => (&["a-second", "for-ms"], 0),
            "wait" | "measure" => (&["ms"], 0),
            "await" => (&["within-ms"], 1),
            "repeat" => (&["times"], 0),
            _ => return Err(self.at(n, format!("`{label}` is no step"))),
        };
        self.only(n, keys, args)?;
        if label != "repeat" && n.children().is_some() {
            return Err(self.at(n, format!("`{label}` has no steps of its own")));
        }
        Ok(match label {
            "kill" => Step::Kill(self.which(n)?),
            "stop" => Step::Stop(self.which(n)?),
            "term" => Step::Term(self.which(n)?),
            "join" => Step::Join(self.which(n)?),
            "deaf" => Step::Deaf(self.which(n)?),
            "cut-boxes" => Step::CutBoxes(self.which(n)?),
            "go-on" => Step::GoOn,
            "heal" => Step::Heal,
            "restart" => Step::Restart {
                moved: n.get("moved").is_some_and(|v| v == &KdlValue::Bool(true)),
                to: self.to(n)?,
            },
            "roll" => Step::Roll {
                other: self.to(n)?.ok_or_else(|| self.at(n, "`roll` needs to=\"own\" or to=\"other\""))?,
                at_once: self.number(n, "at-once", 1.0, 10_000.0)?.map_or(1, |a| a as usize),
            },
            "partition" => {
                let alone = self.number(n, "alone", 1.0, 10_000.0)?.map(|a| a as usize);
                let sides = self.number(n, "sides", 2.0, 100.0)?.map(|s| s as usize);
                if alone.is_some() == sides.is_some() {
                    return Err(self.at(n, "`partition` needs sides= or alone=, one of them"));
                }
                Step::Partition { sides: sides.unwrap_or(2), alone }
            }
            "loss" => Step::Loss(self.needed(n, "part", 0.0, 1.0)?),
            "lossy" => Step::Lossy(self.which(n)?, self.needed(n, "loses", 0.0, 1.0)?),
            "delay" => {
                let jitter = self.number(n, "jitter-ms", 0.0, 60_000.0)?.unwrap_or(0.0);
                Step::Delay(self.which(n)?, self.needed(n, "ms", 0.0, 60_000.0)?, jitter)
            }
            "disorder" => Step::Disorder(
                self.number(n, "doubled", 0.0, 1.0)?.unwrap_or(0.0),
                self.number(n, "late", 0.0, 1.0)?.unwrap_or(0.0),
            ),
            "one-way" => Step::OneWay(self.needed(n, "count", 1.0, 1e6)? as usize),
            "garbage" => Step::Garbage(self.needed(n, "a-second", 1.0, 1e5)?, self.millis(n, "for-ms")?),
            "wait" => Step::Wait(self.millis(n, "ms")?),
            "measure" => Step::Measure(self.millis(n, "ms")?),
            "await" => {
                let goal = match n.get(0).and_then(|v| v.as_string()) {
                    Some("even") => Goal::Even,
                    Some("settled") => Goal::Settled,
                    Some("known") => Goal::Known,
                    _ => return Err(self.at(n, "`await` needs \"even\", \"settled\" or \"known\"")),
                };
                Step::Await(goal, self.millis(n, "within-ms")?)
            }
            _ => {
                let times = self.needed(n, "times", 1.0, 1000.0)? as usize;
                let inner = n.children().ok_or_else(|| self.at(n, "`repeat` needs steps of its own"))?;
                Step::Repeat(times, self.steps(inner)?)
            }
        })
    }
}

impl Scenario {
    /// Reads a document; `file` is only named in errors.
    ///
    /// # Errors
    /// The first mistake, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let d = Doc { file, text };
        let doc: KdlDocument = text.parse().map_err(|e: kdl::KdlError| {
            let first = e.diagnostics.first();
            let what = first.and_then(|p| p.message.clone()).unwrap_or_else(|| "no KDL".into());
            d.error(first.map_or(0, |p| p.span.offset()), what)
        })?;
        let [node] = doc.nodes() else {
            return Err(d.error(0, "a document holds one `scenario`"));
        };
        if node.name().value() != "scenario" {
            return Err(d.at(node, "a document holds one `scenario`"));
        }
        d.only(node, &["fronts", "load", "serves-all"], 1)?;
        let name = node.get(0).and_then(|v| v.as_string());
        let name = name.ok_or_else(|| d.at(node, "`scenario` needs a name"))?;
        let steps = node.children().ok_or_else(|| d.at(node, "`scenario` needs steps"))?;
        Ok(Scenario {
            name: name.into(),
            fronts: d.number(node, "fronts", 2.0, 5_000.0)?.map_or(9, |n| n as usize),
            load: d.number(node, "load", 0.0, 1e6)?.unwrap_or(0.0),
            serves_all: node.get("serves-all").is_none_or(|v| v != &KdlValue::Bool(false)),
            steps: d.steps(steps)?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn steps_are_read_and_mistakes_are_told_with_their_place() {
        let text = "scenario \"a\" fronts=5 load=50 {\n  kill part=0.3\n  repeat times=2 {\n    partition alone=1\n    \
                    heal\n  }\n  await \"settled\" within-ms=5000\n}\n";
        let s = Scenario::parse("a.kdl", text).expect("fine");
        assert_eq!((s.name.as_str(), s.fronts, s.load), ("a", 5, 50.0));
        let inner = vec![Step::Partition { sides: 2, alone: Some(1) }, Step::Heal];
        let wanted = [
            Step::Kill(Which::Part(0.3)),
            Step::Repeat(2, inner),
            Step::Await(Goal::Settled, Duration::from_secs(5)),
        ];
        assert_eq!(s.steps, wanted);
        for (text, place, part) in [
            ("scenario \"a\" {\n  explode\n}", (2, 3), "no step"),
            ("scenario \"a\" {\n  kill\n}", (2, 3), "count= or part="),
            ("scenario \"a\" {\n  kill count=1 part=0.5\n}", (2, 3), "one of them"),
            ("scenario \"a\" {\n  kill count=\"x\"\n}", (2, 8), "must be a number"),
            ("scenario \"a\" {\n  loss part=1.5\n}", (2, 8), "from 0 to 1"),
            ("scenario \"a\" {\n  await \"peace\" within-ms=1\n}", (2, 3), "settled"),
            ("scenario \"a\" {\n  wait ms=5 s=1\n}", (2, 13), "no `s`"),
            ("scenario \"a\" {\n  heal { kill count=1; }\n}", (2, 3), "no steps of its own"),
            ("scenario \"a\"", (1, 1), "needs steps"),
            ("box", (1, 1), "one `scenario`"),
        ] {
            let e = Scenario::parse("a.kdl", text).expect_err(text);
            assert_eq!((e.line, e.column), place, "{e}");
            assert!(e.what.contains(part), "{e}");
        }
        assert!(Scenario::parse("a.kdl", "scenario \"a\" {").is_err());
    }

    #[test]
    fn parts_are_at_least_one() {
        assert_eq!([Which::Part(0.3).of(9), Which::Part(0.01).of(9), Which::Count(20).of(9)], [3, 1, 9]);
    }
}
