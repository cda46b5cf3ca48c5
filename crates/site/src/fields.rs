//! A node's arguments and properties, each read once and checked; what nobody asked for is a mistake.

use crate::error::{Lines, Problem};
use crate::model::Word;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use std::ops::RangeInclusive;

/// Collects what is wrong.
pub(crate) struct Problems<'a> {
    lines: Lines<'a>,
    pub errors: Vec<Problem>,
    pub warnings: Vec<Problem>,
}

impl<'a> Problems<'a> {
    pub fn new(text: &'a str) -> Problems<'a> {
        Problems { lines: Lines::new(text), errors: Vec::new(), warnings: Vec::new() }
    }

    fn problem(&self, span: SourceSpan, message: String, hint: Option<String>) -> Problem {
        let (line, column) = self.lines.place(span.offset());
        Problem { line, column, span, message, hint }
    }

    pub fn error(&mut self, span: SourceSpan, message: impl Into<String>, hint: Option<String>) {
        let p = self.problem(span, message.into(), hint);
        self.errors.push(p);
    }

    pub fn warn(&mut self, span: SourceSpan, message: impl Into<String>, hint: Option<String>) {
        let p = self.problem(span, message.into(), hint);
        self.warnings.push(p);
    }
}

/// A hint towards the word that was probably meant.
pub(crate) fn meant<'w>(word: &str, known: impl IntoIterator<Item = &'w str>) -> Option<String> {
    let near = known.into_iter().map(|k| (strsim::jaro_winkler(word, k), k)).filter(|(s, _)| *s > 0.8);
    near.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, k)| format!("did you mean `{k}`?"))
}

/// The span of a node's name: a node's own span holds its children too, which is no place to point at.
pub(crate) fn name_span(node: &KdlNode) -> SourceSpan {
    node.name().span()
}

fn described(v: &KdlValue) -> &'static str {
    match v {
        KdlValue::String(_) => "a text",
        KdlValue::Integer(_) | KdlValue::Float(_) => "a number",
        KdlValue::Bool(_) => "true or false",
        KdlValue::Null => "null",
    }
}

/// One node being read.
pub(crate) struct Fields<'n, 'p, 'a> {
    node: &'n KdlNode,
    args: Vec<&'n KdlEntry>,
    next_arg: usize,
    asked: Vec<&'static str>,
    pub problems: &'p mut Problems<'a>,
}

impl<'n, 'p, 'a> Fields<'n, 'p, 'a> {
    pub fn new(node: &'n KdlNode, problems: &'p mut Problems<'a>) -> Self {
        let args = node.entries().iter().filter(|e| e.name().is_none()).collect();
        Fields { node, args, next_arg: 0, asked: Vec::new(), problems }
    }

    pub fn span(&self) -> SourceSpan {
        name_span(self.node)
    }

    fn label(&self) -> &'n str {
        self.node.name().value()
    }

    fn entry(&mut self, name: &'static str) -> Option<&'n KdlEntry> {
        self.asked.push(name);
        let mut found = self.node.entries().iter().filter(|e| e.name().is_some_and(|n| n.value() == name));
        let first = found.next()?;
        if let Some(again) = found.next() {
            // KDL lets the last one win; two values for one setting are a slip that would hide itself.
            self.problems.error(again.span(), format!("`{name}` is there twice"), None);
        }
        Some(first)
    }

    fn wanted(&mut self, e: &KdlEntry, name: &str, what: &str) {
        let got = described(e.value());
        self.problems.error(e.span(), format!("`{name}` must be {what}, not {got}"), None);
    }

    /// The next argument, a text that must be there.
    pub fn arg(&mut self, what: &str) -> Option<(&'n str, SourceSpan)> {
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
            KdlValue::String(s) => Some((s, e.span())),
            _ => {
                self.wanted(e, what, "a text");
                None
            }
        }
    }

    /// All further arguments.
    pub fn args(&mut self, what: &str) -> Vec<(&'n str, SourceSpan)> {
        let mut all = Vec::new();
        while self.next_arg < self.args.len() {
            all.extend(self.arg(what));
        }
        all
    }

    pub fn text(&mut self, name: &'static str) -> Option<(&'n str, SourceSpan)> {
        let e = self.entry(name)?;
        match e.value() {
            KdlValue::String(s) => Some((s, e.span())),
            _ => {
                self.wanted(e, name, "a text");
                None
            }
        }
    }

    pub fn owned(&mut self, name: &'static str) -> Option<String> {
        self.text(name).map(|t| t.0.to_string())
    }

    pub fn needed<T>(&mut self, name: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.node.entry(name).is_none() {
            let (span, label) = (self.span(), self.label());
            self.problems.error(span, format!("`{label}` needs `{name}`"), None);
        }
        value
    }

    pub fn flag(&mut self, name: &'static str) -> Option<bool> {
        let e = self.entry(name)?;
        match e.value() {
            KdlValue::Bool(b) => Some(*b),
            _ => {
                self.wanted(e, name, "#true or #false");
                None
            }
        }
    }

    pub fn whole(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let e = self.entry(name)?;
        match e.value() {
            KdlValue::Integer(i) => match u64::try_from(*i).ok().filter(|n| range.contains(n)) {
                Some(n) => Some(n),
                None => {
                    let (least, most) = range.into_inner();
                    self.problems.error(
                        e.span(),
                        format!("`{name}` must be from {least} to {most}, not {i}"),
                        None,
                    );
                    None
                }
            },
            _ => {
                self.wanted(e, name, "a whole number");
                None
            }
        }
    }

    /// A time in milliseconds, a day at most: more is a mistaken unit.
    pub fn ms(&mut self, name: &'static str) -> Option<u64> {
        self.whole(name, 0..=86_400_000)
    }

    pub fn number(&mut self, name: &'static str, least: f64, most: f64) -> Option<f64> {
        let e = self.entry(name)?;
        let v = match e.value() {
            KdlValue::Integer(i) => *i as f64,
            KdlValue::Float(f) => *f,
            _ => {
                self.wanted(e, name, "a number");
                return None;
            }
        };
        if v >= least && v <= most {
            return Some(v);
        }
        self.problems.error(e.span(), format!("`{name}` must be from {least} to {most}, not {v}"), None);
        None
    }

    pub fn word<W: Word>(&mut self, name: &'static str) -> Option<W> {
        let (text, span) = self.text(name)?;
        let found = W::of(text);
        if found.is_none() {
            let all: Vec<&str> = W::WORDS.iter().map(|w| w.0).collect();
            let hint = meant(text, all.iter().copied()).unwrap_or(format!("one of: {}", all.join(", ")));
            self.problems.error(span, format!("`{name}` can't be `{text}`"), Some(hint));
        }
        found
    }

    /// The children, each of which must have one of these names; those of other names are mistakes.
    pub fn children(&mut self, names: &[&'static str]) -> Vec<&'n KdlNode> {
        let label = self.label();
        let Some(doc) = self.node.children() else { return Vec::new() };
        known(doc, label, names, self.problems)
    }

    /// What was not asked for is a mistake.
    pub fn done(self) {
        let label = self.label();
        for e in &self.args[self.next_arg.min(self.args.len())..] {
            self.problems.error(e.span(), format!("`{label}` takes no further value"), None);
        }
        for e in self.node.entries() {
            let Some(name) = e.name() else { continue };
            if !self.asked.contains(&name.value()) {
                let hint = meant(name.value(), self.asked.iter().copied())
                    .unwrap_or(format!("it has: {}", self.asked.join(", ")));
                let message = format!("`{label}` has no `{}`", name.value());
                self.problems.error(e.span(), message, Some(hint));
            }
        }
    }
}

/// The nodes of a document that have one of these names; the others are mistakes.
pub(crate) fn known<'n>(
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
        let hint = meant(name, names.iter().copied()).unwrap_or(format!("known here: {}", names.join(", ")));
        problems.error(name_span(node), format!("{inside} has no `{name}`"), Some(hint));
    }
    found
}
