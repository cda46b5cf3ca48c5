//! Parses a [`Scenario`] from its KDL document.

use super::{FaultStep, Goal, Partition, ProcessStep, Scenario, ScenarioError, Selection, Step};
use crate::programs::Build;
use kdl::{KdlDocument, KdlNode, KdlValue};
use std::time::Duration;

impl Scenario {
    /// Parses a document. `file` is the name of the document in errors.
    ///
    /// # Errors
    /// The first error in the document, with its location.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let document = Document { file, text };
        let kdl: KdlDocument = text.parse().map_err(|e: kdl::KdlError| {
            let first = e.diagnostics.first();
            let message =
                first.and_then(|p| p.message.clone()).unwrap_or_else(|| "the text is not valid KDL".into());
            document.error_at_offset(first.map_or(0, |p| p.span.offset()), message)
        })?;
        let [node] = kdl.nodes() else {
            return Err(document.error_at_offset(0, "the document must hold exactly one `scenario` node"));
        };
        if node.name().value() != "scenario" {
            return Err(document.error_at_node(node, "the document must hold exactly one `scenario` node"));
        }
        document.check_entries(node, &["fronts", "load", "serves-all"], 1)?;
        let name = node.get(0).and_then(|v| v.as_string());
        let name = name.ok_or_else(|| document.error_at_node(node, "`scenario` needs a name"))?;
        let steps = node
            .children()
            .ok_or_else(|| document.error_at_node(node, "`scenario` needs steps in braces"))?;
        Ok(Scenario {
            name: name.into(),
            fronts: document.optional_number(node, "fronts", 2.0, 5_000.0)?.map_or(9, |n| n as usize),
            load: document.optional_number(node, "load", 0.0, 1e6)?.unwrap_or(0.0),
            serves_all: node.get("serves-all").is_none_or(|v| v != &KdlValue::Bool(false)),
            steps: document.parse_steps(steps)?,
        })
    }
}

/// A document that is being parsed.
struct Document<'a> {
    file: &'a str,
    text: &'a str,
}

impl Document<'_> {
    /// Returns an error located at a byte offset of the text.
    fn error_at_offset(&self, offset: usize, message: impl Into<String>) -> ScenarioError {
        let before = self.text.get(..offset).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        ScenarioError { file: self.file.into(), line, column, message: message.into() }
    }

    /// Parses the build in the property `to`, if the node has it.
    fn parse_build(&self, node: &KdlNode) -> Result<Option<Build>, ScenarioError> {
        match node.get("to").map(|v| v.as_string()) {
            None => Ok(None),
            Some(Some("own")) => Ok(Some(Build::Own)),
            Some(Some("other")) => Ok(Some(Build::Other)),
            Some(_) => Err(self.error_at_node(node, "`to` must be \"own\" or \"other\"")),
        }
    }

    /// Returns an error located at the name of a node.
    fn error_at_node(&self, node: &KdlNode, message: impl Into<String>) -> ScenarioError {
        self.error_at_offset(node.name().span().offset(), message)
    }

    /// Rejects a node with a property that is not in `known`, or with a number of arguments other than
    /// `args`.
    fn check_entries(&self, node: &KdlNode, known: &[&str], args: usize) -> Result<(), ScenarioError> {
        let label = node.name().value();
        for entry in node.entries() {
            if let Some(name) = entry.name().filter(|n| !known.contains(&n.value())) {
                let known = known.join(", ");
                return Err(self.error_at_offset(
                    entry.span().offset(),
                    format!("`{label}` has no `{}`; expected one of: {known}", name.value()),
                ));
            }
        }
        match node.entries().iter().filter(|e| e.name().is_none()).count() {
            n if n == args => Ok(()),
            n => Err(self.error_at_node(
                node,
                format!("`{label}` takes {args} arguments after its name, but has {n}"),
            )),
        }
    }

    /// Parses a numeric property within bounds, if the node has it.
    fn optional_number(
        &self,
        node: &KdlNode,
        name: &str,
        min: f64,
        max: f64,
    ) -> Result<Option<f64>, ScenarioError> {
        let Some(entry) = node.entry(name) else { return Ok(None) };
        let offset = entry.span().offset();
        let number = match entry.value() {
            KdlValue::Integer(n) => *n as f64,
            KdlValue::Float(n) => *n,
            _ => return Err(self.error_at_offset(offset, format!("`{name}` must be a number"))),
        };
        match number >= min && number <= max {
            true => Ok(Some(number)),
            false => Err(self
                .error_at_offset(offset, format!("`{name}` is {number}, but must be from {min} to {max}"))),
        }
    }

    /// Parses a numeric property within bounds that the node must have.
    fn required_number(&self, node: &KdlNode, name: &str, min: f64, max: f64) -> Result<f64, ScenarioError> {
        let found = self.optional_number(node, name, min, max)?;
        found.ok_or_else(|| {
            self.error_at_node(node, format!("`{}` needs the property {name}=", node.name().value()))
        })
    }

    /// Parses a required property that is a duration in milliseconds, from 1 ms to an hour.
    fn required_millis(&self, node: &KdlNode, name: &str) -> Result<Duration, ScenarioError> {
        Ok(Duration::from_secs_f64(self.required_number(node, name, 1.0, 3_600_000.0)? / 1000.0))
    }

    /// Parses the selection of fronts in the property `count` or `part`.
    fn parse_selection(&self, node: &KdlNode) -> Result<Selection, ScenarioError> {
        let count = self.optional_number(node, "count", 1.0, 10_000.0)?;
        let fraction = self.optional_number(node, "part", 0.001, 1.0)?;
        match (count, fraction) {
            (Some(n), None) => Ok(Selection::Count(n as usize)),
            (None, Some(fraction)) => Ok(Selection::Fraction(fraction)),
            _ => Err(self.error_at_node(
                node,
                format!("`{}` needs exactly one of count= and part=", node.name().value()),
            )),
        }
    }

    fn parse_steps(&self, doc: &KdlDocument) -> Result<Vec<Step>, ScenarioError> {
        doc.nodes().iter().map(|n| self.parse_step(n)).collect()
    }

    fn parse_step(&self, node: &KdlNode) -> Result<Step, ScenarioError> {
        let label = node.name().value();
        let Some(entries) = entries_of_step(label) else {
            return Err(self.error_at_node(node, format!("`{label}` is not a step of a scenario")));
        };
        self.check_entries(node, entries.properties, entries.arguments)?;
        if label != "repeat" && node.children().is_some() {
            return Err(self.error_at_node(node, format!("`{label}` takes no nested steps")));
        }
        if let Some(step) = self.parse_process_step(node)? {
            return Ok(Step::Process(step));
        }
        if let Some(step) = self.parse_fault_step(node)? {
            return Ok(Step::Fault(step));
        }
        Ok(match label {
            "garbage" => Step::Garbage {
                per_second: self.required_number(node, "a-second", 1.0, 1e5)?,
                duration: self.required_millis(node, "for-ms")?,
            },
            "wait" => Step::Wait(self.required_millis(node, "ms")?),
            "measure" => Step::Measure(self.required_millis(node, "ms")?),
            "await" => {
                let goal = self.parse_goal(node)?;
                Step::Await { goal, within: self.required_millis(node, "within-ms")? }
            }
            _ => {
                let times = self.required_number(node, "times", 1.0, 1000.0)? as usize;
                let steps = node
                    .children()
                    .ok_or_else(|| self.error_at_node(node, "`repeat` needs nested steps in braces"))?;
                Step::Repeat { times, steps: self.parse_steps(steps)? }
            }
        })
    }

    /// Parses a node as a step that acts on processes; `None` if the step is of another kind.
    fn parse_process_step(&self, node: &KdlNode) -> Result<Option<ProcessStep>, ScenarioError> {
        Ok(Some(match node.name().value() {
            "kill" => ProcessStep::Kill(self.parse_selection(node)?),
            "stop" => ProcessStep::Stop(self.parse_selection(node)?),
            "term" => ProcessStep::Terminate(self.parse_selection(node)?),
            "join" => ProcessStep::Join(self.parse_selection(node)?),
            "go-on" => ProcessStep::Resume,
            "restart" => ProcessStep::Restart {
                new_address: node.get("moved").is_some_and(|v| v == &KdlValue::Bool(true)),
                build: self.parse_build(node)?,
            },
            "roll" => ProcessStep::Roll {
                build: self
                    .parse_build(node)?
                    .ok_or_else(|| self.error_at_node(node, "`roll` needs to=\"own\" or to=\"other\""))?,
                batch: self.optional_number(node, "at-once", 1.0, 10_000.0)?.map_or(1, |n| n as usize),
            },
            _ => return Ok(None),
        }))
    }

    /// Parses a node as a step that changes link faults; `None` if the step is of another kind.
    fn parse_fault_step(&self, node: &KdlNode) -> Result<Option<FaultStep>, ScenarioError> {
        Ok(Some(match node.name().value() {
            "partition" => FaultStep::Partition(self.parse_partition(node)?),
            "heal" => FaultStep::Heal,
            "loss" => FaultStep::Loss(self.required_number(node, "part", 0.0, 1.0)?),
            "lossy" => FaultStep::LossyFronts {
                fronts: self.parse_selection(node)?,
                loss: self.required_number(node, "loses", 0.0, 1.0)?,
            },
            "delay" => {
                let jitter_ms = self.optional_number(node, "jitter-ms", 0.0, 60_000.0)?.unwrap_or(0.0);
                let fronts = self.parse_selection(node)?;
                FaultStep::Delay {
                    fronts,
                    base_ms: self.required_number(node, "ms", 0.0, 60_000.0)?,
                    jitter_ms,
                }
            }
            "disorder" => FaultStep::Disorder {
                duplicated: self.optional_number(node, "doubled", 0.0, 1.0)?.unwrap_or(0.0),
                reordered: self.optional_number(node, "late", 0.0, 1.0)?.unwrap_or(0.0),
            },
            "one-way" => FaultStep::OneWay(self.required_number(node, "count", 1.0, 1e6)? as usize),
            "deaf" => FaultStep::BlockInbound(self.parse_selection(node)?),
            "cut-boxes" => FaultStep::DisconnectCacheNodes(self.parse_selection(node)?),
            _ => return Ok(None),
        }))
    }

    fn parse_partition(&self, node: &KdlNode) -> Result<Partition, ScenarioError> {
        let isolated = self.optional_number(node, "alone", 1.0, 10_000.0)?;
        let sides = self.optional_number(node, "sides", 2.0, 100.0)?;
        match (sides, isolated) {
            (Some(sides), None) => Ok(Partition::Sides(sides as usize)),
            (None, Some(fronts)) => Ok(Partition::Isolated(fronts as usize)),
            _ => Err(self.error_at_node(node, "`partition` needs exactly one of sides= and alone=")),
        }
    }

    fn parse_goal(&self, node: &KdlNode) -> Result<Goal, ScenarioError> {
        match node.get(0).and_then(|v| v.as_string()) {
            Some("even") => Ok(Goal::Even),
            Some("settled") => Ok(Goal::Settled),
            Some("known") => Ok(Goal::Known),
            _ => Err(self.error_at_node(node, "`await` needs the goal \"even\", \"settled\" or \"known\"")),
        }
    }
}

/// The properties and arguments that the node of a step may have.
struct StepEntries {
    properties: &'static [&'static str],
    arguments: usize,
}

/// Returns the properties and the number of arguments of a step; `None` if there is no step of this name.
fn entries_of_step(label: &str) -> Option<StepEntries> {
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
    Some(StepEntries { properties, arguments })
}
