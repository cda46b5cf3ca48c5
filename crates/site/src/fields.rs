//! A node's arguments and properties, each read once and checked; what was not requested is a mistake.

use crate::model::Keyword;
use crate::problems::{suggestion, Problems};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use std::ops::RangeInclusive;

/// The span of a node's name: a node's own span holds its children too, which is too much to point at.
pub(crate) fn name_span(node: &KdlNode) -> SourceSpan {
    node.name().span()
}

fn type_name(v: &KdlValue) -> &'static str {
    match v {
        KdlValue::String(_) => "a text",
        KdlValue::Integer(_) | KdlValue::Float(_) => "a number",
        KdlValue::Bool(_) => "true or false",
        KdlValue::Null => "null",
    }
}

/// A text of the document, and where it stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spanned<'n> {
    pub text: &'n str,
    pub span: SourceSpan,
}

/// One node being read.
pub(crate) struct Fields<'n, 'p, 'a> {
    node: &'n KdlNode,
    args: Vec<&'n KdlEntry>,
    next_arg: usize,
    requested: Vec<&'static str>,
    pub problems: &'p mut Problems<'a>,
}

impl<'n, 'p, 'a> Fields<'n, 'p, 'a> {
    pub fn new(node: &'n KdlNode, problems: &'p mut Problems<'a>) -> Self {
        let args = node.entries().iter().filter(|e| e.name().is_none()).collect();
        Fields { node, args, next_arg: 0, requested: Vec::new(), problems }
    }

    pub fn span(&self) -> SourceSpan {
        name_span(self.node)
    }

    fn label(&self) -> &'n str {
        self.node.name().value()
    }

    fn entry(&mut self, name: &'static str) -> Option<&'n KdlEntry> {
        self.requested.push(name);
        let mut found = self.node.entries().iter().filter(|e| e.name().is_some_and(|n| n.value() == name));
        let first = found.next()?;
        if let Some(again) = found.next() {
            // KDL lets the last one win; two values for one setting are a slip that would hide itself.
            self.problems.error(again.span(), format!("`{name}` is there twice"), None);
        }
        Some(first)
    }

    fn wrong_type(&mut self, e: &KdlEntry, name: &str, what: &str) {
        let got = type_name(e.value());
        self.problems.error(e.span(), format!("`{name}` must be {what}, not {got}"), None);
    }

    /// The next argument, a text that must be there.
    pub fn arg(&mut self, what: &str) -> Option<Spanned<'n>> {
        let Some(e) = self.args.get(self.next_arg).copied() else {
            let (span, label) = (self.span(), self.label());
            self.problems.error(
                span,
                format!("`{label}` needs {what}"),
                Some(format!("write it behind the name: {label} \"…\"")),
            );
            return None;
        };
        self.next_arg += 1;
        match e.value() {
            KdlValue::String(text) => Some(Spanned { text, span: e.span() }),
            _ => {
                self.wrong_type(e, what, "a text");
                None
            }
        }
    }

    /// All further arguments.
    pub fn args(&mut self, what: &str) -> Vec<Spanned<'n>> {
        let mut all = Vec::new();
        while self.next_arg < self.args.len() {
            all.extend(self.arg(what));
        }
        all
    }

    /// A property with a text.
    pub fn text(&mut self, name: &'static str) -> Option<Spanned<'n>> {
        let e = self.entry(name)?;
        match e.value() {
            KdlValue::String(text) => Some(Spanned { text, span: e.span() }),
            _ => {
                self.wrong_type(e, name, "a text");
                None
            }
        }
    }

    /// A property with a text, copied.
    pub fn owned(&mut self, name: &'static str) -> Option<String> {
        self.text(name).map(|t| t.text.to_string())
    }

    /// Reports a property that must be there and is not; one of a wrong value is reported already.
    pub fn required<T>(&mut self, name: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.node.entry(name).is_none() {
            let (span, label) = (self.span(), self.label());
            self.problems.error(span, format!("`{label}` needs `{name}`"), None);
        }
        value
    }

    /// A property that is `#true` or `#false`.
    pub fn flag(&mut self, name: &'static str) -> Option<bool> {
        let e = self.entry(name)?;
        match e.value() {
            KdlValue::Bool(b) => Some(*b),
            _ => {
                self.wrong_type(e, name, "#true or #false");
                None
            }
        }
    }

    /// A property with a whole number of that range.
    pub fn integer(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let e = self.entry(name)?;
        match e.value() {
            KdlValue::Integer(i) => match u64::try_from(*i).ok().filter(|n| range.contains(n)) {
                Some(n) => Some(n),
                None => {
                    let (min, max) = range.into_inner();
                    self.problems.error(
                        e.span(),
                        format!("`{name}` must be from {min} to {max}, not {i}"),
                        None,
                    );
                    None
                }
            },
            _ => {
                self.wrong_type(e, name, "a whole number");
                None
            }
        }
    }

    /// A time in milliseconds, at most a day: a longer one is a mistaken unit.
    pub fn ms(&mut self, name: &'static str) -> Option<u64> {
        self.integer(name, 0..=86_400_000)
    }

    /// A property with a number from `min` to `max`.
    pub fn number(&mut self, name: &'static str, min: f64, max: f64) -> Option<f64> {
        let e = self.entry(name)?;
        let v = match e.value() {
            KdlValue::Integer(i) => *i as f64,
            KdlValue::Float(f) => *f,
            _ => {
                self.wrong_type(e, name, "a number");
                return None;
            }
        };
        if v >= min && v <= max {
            return Some(v);
        }
        self.problems.error(e.span(), format!("`{name}` must be from {min} to {max}, not {v}"), None);
        None
    }

    /// A property with one of the keywords of a set.
    pub fn keyword<K: Keyword>(&mut self, name: &'static str) -> Option<K> {
        let Spanned { text, span } = self.text(name)?;
        let found = K::from_keyword(text);
        if found.is_none() {
            let all: Vec<&str> = K::KEYWORDS.iter().map(|(keyword, _)| *keyword).collect();
            let hint = suggestion(text, all.iter().copied()).unwrap_or(format!("one of: {}", all.join(", ")));
            self.problems.error(span, format!("`{name}` can't be `{text}`"), Some(hint));
        }
        found
    }

    /// The children, each of which must have one of these names; those of other names are mistakes.
    pub fn children(&mut self, names: &[&'static str]) -> Vec<&'n KdlNode> {
        let label = self.label();
        let Some(doc) = self.node.children() else { return Vec::new() };
        known_nodes(doc, label, names, self.problems)
    }

    /// Ends the reading: what was not requested is a mistake.
    pub fn done(self) {
        let label = self.label();
        for e in &self.args[self.next_arg.min(self.args.len())..] {
            self.problems.error(e.span(), format!("`{label}` takes no further value"), None);
        }
        for e in self.node.entries() {
            let Some(name) = e.name() else { continue };
            if !self.requested.contains(&name.value()) {
                let hint = suggestion(name.value(), self.requested.iter().copied())
                    .unwrap_or(format!("it has: {}", self.requested.join(", ")));
                let message = format!("`{label}` has no `{}`", name.value());
                self.problems.error(e.span(), message, Some(hint));
            }
        }
    }
}

/// The nodes of a document that have one of these names; the others are mistakes.
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
        let hint =
            suggestion(name, names.iter().copied()).unwrap_or(format!("known here: {}", names.join(", ")));
        problems.error(name_span(node), format!("{inside} has no `{name}`"), Some(hint));
    }
    found
}
