//! Reads a [`Scenario`] from its KDL document.

use super::{FaultStep, Goal, Partition, ProcessStep, Scenario, ScenarioError, Selection, Step};
use crate::programs::Build;
use kdl::{KdlDocument, KdlNode, KdlValue};
use std::time::Duration;

impl Scenario {
    /// Parses a document; `file` is its name in errors.
    ///
    /// # Errors
    /// The first mistake, with its location.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let document = Document { file, text };
        let kdl: KdlDocument = text.parse().map_err(|e: kdl::KdlError| {
            let first = e.diagnostics.first();
            let message = first.and_then(|p| p.message.clone()).unwrap_or_else(|| "no KDL".into());
            document.error(first.map_or(0, |p| p.span.offset()), message)
        })?;
        let [node] = kdl.nodes() else {
            return Err(document.error(0, "a document holds one `scenario`"));
        };
        if node.name().value() != "scenario" {
            return Err(document.error_at(node, "a document holds one `scenario`"));
        }
        document.check_entries(node, &["fronts", "load", "serves-all"], 1)?;
        let name = node.get(0).and_then(|v| v.as_string());
        let name = name.ok_or_else(|| document.error_at(node, "`scenario` needs a name"))?;
        let steps = node.children().ok_or_else(|| document.error_at(node, "`scenario` needs steps"))?;
        Ok(Scenario {
            name: name.into(),
            fronts: document.number(node, "fronts", 2.0, 5_000.0)?.map_or(9, |n| n as usize),
            load: document.number(node, "load", 0.0, 1e6)?.unwrap_or(0.0),
            serves_all: node.get("serves-all").is_none_or(|v| v != &KdlValue::Bool(false)),
            steps: document.steps(steps)?,
        })
    }
}

/// A document that is being parsed.
struct Document<'a> {
    file: &'a str,
    text: &'a str,
}

impl Document<'_> {
    /// An error at a byte offset of the text.
    fn error(&self, offset: usize, message: impl Into<String>) -> ScenarioError {
        let before = self.text.get(..offset).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        ScenarioError { file: self.file.into(), line, column, message: message.into() }
    }

    /// The build that `to` names.
    fn build(&self, node: &KdlNode) -> Result<Option<Build>, ScenarioError> {
        match node.get("to").map(|v| v.as_string()) {
            None => Ok(None),
            Some(Some("own")) => Ok(Some(Build::Own)),
            Some(Some("other")) => Ok(Some(Build::Other)),
            Some(_) => Err(self.error_at(node, "`to` is \"own\" or \"other\"")),
        }
    }

    /// An error at a node's name.
    fn error_at(&self, node: &KdlNode, message: impl Into<String>) -> ScenarioError {
        self.error(node.name().span().offset(), message)
    }

    /// Rejects properties that the node does not have, and another number of arguments.
    fn check_entries(&self, node: &KdlNode, known: &[&str], args: usize) -> Result<(), ScenarioError> {
        let label = node.name().value();
        for entry in node.entries() {
            if let Some(name) = entry.name().filter(|n| !known.contains(&n.value())) {
                let known = known.join(", ");
                return Err(self.error(
                    entry.span().offset(),
                    format!("`{label}` has no `{}`; it has: {known}", name.value()),
                ));
            }
        }
        match node.entries().iter().filter(|e| e.name().is_none()).count() {
            n if n == args => Ok(()),
            n => Err(self.error_at(node, format!("`{label}` takes {args} texts behind its name, not {n}"))),
        }
    }

    /// A number within bounds, where the node has that property.
    fn number(&self, node: &KdlNode, name: &str, min: f64, max: f64) -> Result<Option<f64>, ScenarioError> {
        let Some(entry) = node.entry(name) else { return Ok(None) };
        let offset = entry.span().offset();
        let number = match entry.value() {
            KdlValue::Integer(n) => *n as f64,
            KdlValue::Float(n) => *n,
            _ => return Err(self.error(offset, format!("`{name}` must be a number"))),
        };
        match number >= min && number <= max {
            true => Ok(Some(number)),
            false => Err(self.error(offset, format!("`{name}` must be from {min} to {max}"))),
        }
    }

    /// A number within bounds that must be there.
    fn required(&self, node: &KdlNode, name: &str, min: f64, max: f64) -> Result<f64, ScenarioError> {
        let found = self.number(node, name, min, max)?;
        found.ok_or_else(|| self.error_at(node, format!("`{}` needs {name}=", node.name().value())))
    }

    /// A duration in milliseconds, up to an hour.
    fn millis(&self, node: &KdlNode, name: &str) -> Result<Duration, ScenarioError> {
        Ok(Duration::from_secs_f64(self.required(node, name, 1.0, 3_600_000.0)? / 1000.0))
    }

    /// The fronts that `count` or `part` select.
    fn selection(&self, node: &KdlNode) -> Result<Selection, ScenarioError> {
        let count = self.number(node, "count", 1.0, 10_000.0)?;
        let fraction = self.number(node, "part", 0.001, 1.0)?;
        match (count, fraction) {
            (Some(n), None) => Ok(Selection::Count(n as usize)),
            (None, Some(fraction)) => Ok(Selection::Fraction(fraction)),
            _ => {
                Err(self
                    .error_at(node, format!("`{}` needs count= or part=, one of them", node.name().value())))
            }
        }
    }

    fn steps(&self, doc: &KdlDocument) -> Result<Vec<Step>, ScenarioError> {
        doc.nodes().iter().map(|n| self.step(n)).collect()
    }

    fn step(&self, node: &KdlNode) -> Result<Step, ScenarioError> {
        let label = node.name().value();
        let Some(entries) = entries_of_step(label) else {
            return Err(self.error_at(node, format!("`{label}` is no step")));
        };
        self.check_entries(node, entries.properties, entries.arguments)?;
        if label != "repeat" && node.children().is_some() {
            return Err(self.error_at(node, format!("`{label}` has no steps of its own")));
        }
        if let Some(step) = self.process_step(node)? {
            return Ok(Step::Process(step));
        }
        if let Some(step) = self.fault_step(node)? {
            return Ok(Step::Fault(step));
        }
        Ok(match label {
            "garbage" => Step::Garbage {
                per_second: self.required(node, "a-second", 1.0, 1e5)?,
                duration: self.millis(node, "for-ms")?,
            },
            "wait" => Step::Wait(self.millis(node, "ms")?),
            "measure" => Step::Measure(self.millis(node, "ms")?),
            "await" => {
                let goal = self.goal(node)?;
                Step::Await { goal, within: self.millis(node, "within-ms")? }
            }
            _ => {
                let times = self.required(node, "times", 1.0, 1000.0)? as usize;
                let steps =
                    node.children().ok_or_else(|| self.error_at(node, "`repeat` needs steps of its own"))?;
                Step::Repeat { times, steps: self.steps(steps)? }
            }
        })
    }

    /// The step that a node stands for if it is one about processes.
    fn process_step(&self, node: &KdlNode) -> Result<Option<ProcessStep>, ScenarioError> {
        Ok(Some(match node.name().value() {
            "kill" => ProcessStep::Kill(self.selection(node)?),
            "stop" => ProcessStep::Stop(self.selection(node)?),
            "term" => ProcessStep::Terminate(self.selection(node)?),
            "join" => ProcessStep::Join(self.selection(node)?),
            "go-on" => ProcessStep::Resume,
            "restart" => ProcessStep::Restart {
                new_address: node.get("moved").is_some_and(|v| v == &KdlValue::Bool(true)),
                build: self.build(node)?,
            },
            "roll" => ProcessStep::Roll {
                build: self
                    .build(node)?
                    .ok_or_else(|| self.error_at(node, "`roll` needs to=\"own\" or to=\"other\""))?,
                batch: self.number(node, "at-once", 1.0, 10_000.0)?.map_or(1, |n| n as usize),
            },
            _ => return Ok(None),
        }))
    }

    /// The step that a node stands for if it is one about faults of links.
    fn fault_step(&self, node: &KdlNode) -> Result<Option<FaultStep>, ScenarioError> {
        Ok(Some(match node.name().value() {
            "partition" => FaultStep::Partition(self.partition(node)?),
            "heal" => FaultStep::Heal,
            "loss" => FaultStep::Loss(self.required(node, "part", 0.0, 1.0)?),
            "lossy" => FaultStep::LossyFronts {
                fronts: self.selection(node)?,
                loss: self.required(node, "loses", 0.0, 1.0)?,
            },
            "delay" => {
                let jitter_ms = self.number(node, "jitter-ms", 0.0, 60_000.0)?.unwrap_or(0.0);
                let fronts = self.selection(node)?;
                FaultStep::Delay { fronts, base_ms: self.required(node, "ms", 0.0, 60_000.0)?, jitter_ms }
            }
            "disorder" => FaultStep::Disorder {
                duplicated: self.number(node, "doubled", 0.0, 1.0)?.unwrap_or(0.0),
                reordered: self.number(node, "late", 0.0, 1.0)?.unwrap_or(0.0),
            },
            "one-way" => FaultStep::OneWay(self.required(node, "count", 1.0, 1e6)? as usize),
            "deaf" => FaultStep::BlockInbound(self.selection(node)?),
            "cut-boxes" => FaultStep::DisconnectCacheNodes(self.selection(node)?),
            _ => return Ok(None),
        }))
    }

    fn partition(&self, node: &KdlNode) -> Result<Partition, ScenarioError> {
        let isolated = self.number(node, "alone", 1.0, 10_000.0)?;
        let sides = self.number(node, "sides", 2.0, 100.0)?;
        match (sides, isolated) {
            (Some(sides), None) => Ok(Partition::Sides(sides as usize)),
            (None, Some(fronts)) => Ok(Partition::Isolated(fronts as usize)),
            _ => Err(self.error_at(node, "`partition` needs sides= or alone=, one of them")),
        }
    }

    fn goal(&self, node: &KdlNode) -> Result<Goal, ScenarioError> {
        match node.get(0).and_then(|v| v.as_string()) {
            Some("even") => Ok(Goal::Even),
            Some("settled") => Ok(Goal::Settled),
            Some("known") => Ok(Goal::Known),
            _ => Err(self.error_at(node, "`await` needs \"even\", \"settled\" or \"known\"")),
        }
    }
}

/// The entries that a step's node may have.
struct Entries {
    properties: &'static [&'static str],
    arguments: usize,
}

/// The entries of a step; `None` where there is no step of that name.
fn entries_of_step(label: &str) -> Option<Entries> {
    let (properties, arguments): (&[&str], usize) = match label {
        "kill" | "stop" | "term" | "join" | "deaf" | "cut-boxes" => (&["count", "part"], 0),
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
        _ => return None,
    };
    Some(Entries { properties, arguments })
}
