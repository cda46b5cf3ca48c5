//! Reading of one KDL node: each argument and property is read once and checked, and those that were not
//! requested are mistakes.

use crate::model::Keyword;
use crate::problems::{suggest_similar, Problems};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use std::ops::RangeInclusive;

/// The span of a node's name. Messages point at it, because the span of the node includes all its children.
pub(crate) fn name_span(node: &KdlNode) -> SourceSpan {
    node.name().span()
}

/// The type of a value with its article, as error messages put it before the value.
fn type_name(value: &KdlValue) -> &'static str {
    match value {
        KdlValue::String(_) => "the string",
        KdlValue::Integer(_) | KdlValue::Float(_) => "the number",
        KdlValue::Bool(_) => "the boolean",
        KdlValue::Null => "the value",
    }
}

/// A string value of the document with its position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpannedText<'n> {
    pub text: &'n str,
    pub span: SourceSpan,
}

/// A reader for the arguments, properties and children of one node.
pub(crate) struct NodeReader<'n, 'p, 'a> {
    node: &'n KdlNode,
    args: Vec<&'n KdlEntry>,
    next_arg: usize,
    requested: Vec<&'static str>,
    pub problems: &'p mut Problems<'a>,
}

impl<'n, 'p, 'a> NodeReader<'n, 'p, 'a> {
    /// Starts reading `node`; mistakes are added to `problems`.
    pub fn new(node: &'n KdlNode, problems: &'p mut Problems<'a>) -> Self {
        let args = node.entries().iter().filter(|e| e.name().is_none()).collect();
        NodeReader { node, args, next_arg: 0, requested: Vec::new(), problems }
    }

    /// The span of the node's name.
    pub fn span(&self) -> SourceSpan {
        name_span(self.node)
    }

    fn node_name(&self) -> &'n str {
        self.node.name().value()
    }

    /// The property of this name, if the node has it; a second one of the same name is reported.
    fn property(&mut self, name: &'static str) -> Option<&'n KdlEntry> {
        self.requested.push(name);
        let mut found = self.node.entries().iter().filter(|e| e.name().is_some_and(|n| n.value() == name));
        let first = found.next()?;
        if let Some(again) = found.next() {
            // KDL uses the last of several values without a message, which would hide the operator's mistake.
            self.problems.add_error(again.span(), format!("property `{name}` is given more than once"), None);
        }
        Some(first)
    }

    fn report_wrong_type(&mut self, entry: &KdlEntry, subject: &str, expected: &str) {
        let received = type_name(entry.value());
        self.problems.add_error(
            entry.span(),
            format!("{subject} must be {expected}, not {received} `{}`", entry.value()),
            None,
        );
    }

    /// Reads the next argument, which must be present and a string; `what` describes it in messages.
    pub fn text_argument(&mut self, what: &str) -> Option<SpannedText<'n>> {
        let Some(e) = self.args.get(self.next_arg).copied() else {
            let (span, label) = (self.span(), self.node_name());
            self.problems.add_error(
                span,
                format!("`{label}` requires {what}"),
                Some(format!("write {what} in quotes after the node's name: {label} \"…\"")),
            );
            return None;
        };
        self.next_arg += 1;
        match e.value() {
            KdlValue::String(text) => Some(SpannedText { text, span: e.span() }),
            _ => {
                self.report_wrong_type(e, what, "a string");
                None
            }
        }
    }

    /// Reads all remaining arguments, which must be strings; `what` describes one of them in messages.
    pub fn text_arguments(&mut self, what: &str) -> Vec<SpannedText<'n>> {
        let mut all = Vec::new();
        while self.next_arg < self.args.len() {
            all.extend(self.text_argument(what));
        }
        all
    }

    /// Reads a property whose value is a string.
    pub fn text_property(&mut self, name: &'static str) -> Option<SpannedText<'n>> {
        let e = self.property(name)?;
        match e.value() {
            KdlValue::String(text) => Some(SpannedText { text, span: e.span() }),
            _ => {
                self.report_wrong_type(e, &format!("`{name}`"), "a string");
                None
            }
        }
    }

    /// Reads a property whose value is a string, as an owned copy.
    pub fn owned_text_property(&mut self, name: &'static str) -> Option<String> {
        self.text_property(name).map(|t| t.text.to_string())
    }

    /// Reports a mandatory property that is absent; one that is present with an invalid value was already
    /// reported.
    pub fn require<T>(&mut self, name: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.node.entry(name).is_none() {
            let (span, label) = (self.span(), self.node_name());
            self.problems.add_error(span, format!("`{label}` requires the property `{name}`"), None);
        }
        value
    }

    /// Reads a property that is `#true` or `#false`.
    pub fn bool_property(&mut self, name: &'static str) -> Option<bool> {
        let e = self.property(name)?;
        match e.value() {
            KdlValue::Bool(b) => Some(*b),
            _ => {
                self.report_wrong_type(e, &format!("`{name}`"), "#true or #false");
                None
            }
        }
    }

    /// Reads a property that is a whole number in `range`.
    pub fn integer_property(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let e = self.property(name)?;
        match e.value() {
            KdlValue::Integer(i) => match u64::try_from(*i).ok().filter(|n| range.contains(n)) {
                Some(n) => Some(n),
                None => {
                    let (min, max) = range.into_inner();
                    self.problems.add_error(
                        e.span(),
                        format!("`{name}` must be from {min} to {max}, not {i}"),
                        None,
                    );
                    None
                }
            },
            _ => {
                self.report_wrong_type(e, &format!("`{name}`"), "a whole number");
                None
            }
        }
    }

    /// Reads a time in milliseconds, at most one day: a larger number was probably written in another unit.
    pub fn milliseconds_property(&mut self, name: &'static str) -> Option<u64> {
        self.integer_property(name, 0..=86_400_000)
    }

    /// Reads a property that is a number from `min` to `max`.
    pub fn number_property(&mut self, name: &'static str, min: f64, max: f64) -> Option<f64> {
        let e = self.property(name)?;
        let v = match e.value() {
            KdlValue::Integer(i) => *i as f64,
            KdlValue::Float(f) => *f,
            _ => {
                self.report_wrong_type(e, &format!("`{name}`"), "a number");
                return None;
            }
        };
        if v >= min && v <= max {
            return Some(v);
        }
        self.problems.add_error(e.span(), format!("`{name}` must be from {min} to {max}, not {v}"), None);
        None
    }

    /// Reads a property whose value is one of the keywords of `K`.
    pub fn keyword_property<K: Keyword>(&mut self, name: &'static str) -> Option<K> {
        let SpannedText { text, span } = self.text_property(name)?;
        let found = K::from_keyword(text);
        if found.is_none() {
            let all: Vec<&str> = K::KEYWORDS.iter().map(|(keyword, _)| *keyword).collect();
            let hint = suggest_similar(text, all.iter().copied())
                .unwrap_or(format!("accepted values: {}", all.join(", ")));
            self.problems.add_error(span, format!("`{name}` does not accept the value `{text}`"), Some(hint));
        }
        found
    }

    /// The child nodes that have one of these names; children with other names are reported.
    pub fn known_children(&mut self, names: &[&'static str]) -> Vec<&'n KdlNode> {
        let label = self.node_name();
        let Some(doc) = self.node.children() else { return Vec::new() };
        known_nodes(doc, label, names, self.problems)
    }

    /// Ends the reading of the node and reports the arguments and properties that were not requested.
    pub fn finish(self) {
        let label = self.node_name();
        for e in &self.args[self.next_arg.min(self.args.len())..] {
            self.problems.add_error(
                e.span(),
                format!("`{label}` does not accept the additional argument `{}`", e.value()),
                None,
            );
        }
        for e in self.node.entries() {
            let Some(name) = e.name() else { continue };
            if !self.requested.contains(&name.value()) {
                let hint = suggest_similar(name.value(), self.requested.iter().copied())
                    .unwrap_or(format!("accepted properties: {}", self.requested.join(", ")));
                let message = format!("`{label}` does not accept the property `{}`", name.value());
                self.problems.add_error(e.span(), message, Some(hint));
            }
        }
    }
}

/// The nodes of a document, or of a block of children, that have one of these names; the others are reported.
/// `inside` names the document or the parent node in messages.
pub(crate) fn known_nodes<'n>(
    doc: &'n KdlDocument,
    inside: &str,
    names: &[&'static str],
    problems: &mut Problems<'_>,
) -> Vec<&'n KdlNode> {
    let mut found = Vec::new();
    for node in doc.nodes() {
        let name = node.name().value();
        if names.contains(&name) {
            found.push(node);
            continue;
        }
        let hint = suggest_similar(name, names.iter().copied())
            .unwrap_or(format!("accepted nodes: {}", names.join(", ")));
        problems.add_error(name_span(node), format!("unknown node `{name}` in {inside}"), Some(hint));
    }
    found
}
