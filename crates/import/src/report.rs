//! What became of every directive and every parameter: each is noted when it is read, and has one verdict in the
//! end.

use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::sync::Arc;

/// Where something stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// The file, as it was named.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// The column, in characters from 1.
    pub column: usize,
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// What became of a directive or a parameter; the later one is the graver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The site document says the same.
    Mapped,
    /// It says something near, and `why` tells the difference.
    Approximated,
    /// It says nothing of it, and `why` tells the reason.
    LeftOut,
}

impl Verdict {
    /// The word in the report.
    pub fn word(self) -> &'static str {
        match self {
            Verdict::Mapped => "mapped",
            Verdict::Approximated => "approximated",
            Verdict::LeftOut => "left_out",
        }
    }
}

/// One line of the report.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, in characters from 1.
    pub column: usize,
    /// The directive, or the directive and its parameter. Values are not repeated: some are secrets.
    pub directive: String,
    /// What became of it.
    pub verdict: Verdict,
    /// What in the site document it became; empty: nothing.
    pub target: String,
    /// The reason; empty where all of it is there.
    pub why: String,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Every directive and parameter once, in the order of files and lines.
    pub entries: Vec<Entry>,
    /// How many have each verdict.
    pub counts: BTreeMap<&'static str, usize>,
}

impl Report {
    /// How many have that verdict.
    pub fn count(&self, verdict: Verdict) -> usize {
        self.counts.get(verdict.word()).copied().unwrap_or(0)
    }

    /// As JSON, ending in a line end.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// As a table for people: what was left out or approximated, and the counts.
    pub fn to_table(&self) -> String {
        let shown: Vec<&Entry> = self.entries.iter().filter(|e| e.verdict != Verdict::Mapped).collect();
        let at: Vec<String> = shown.iter().map(|e| format!("{}:{}:{}", e.file, e.line, e.column)).collect();
        let width = at.iter().map(String::len).max().unwrap_or(0);
        let names = shown.iter().map(|e| e.directive.len()).max().unwrap_or(0);
        let mut out = String::new();
        for (e, at) in shown.iter().zip(at) {
            let _ = write!(out, "{at:width$}  {:12}  {:names$}  ", e.verdict.word(), e.directive);
            if !e.target.is_empty() {
                let _ = write!(out, "-> {}: ", e.target);
            }
            let _ = writeln!(out, "{}", e.why);
        }
        let counts: Vec<String> = self.counts.iter().map(|(word, n)| format!("{n} {word}")).collect();
        let _ = writeln!(out, "{} directives and parameters: {}", self.entries.len(), counts.join(", "));
        out
    }
}

/// A directive or parameter that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Item(usize);

struct Noted {
    place: Place,
    directive: String,
    verdict: Option<(Verdict, String, String)>,
}

/// Notes everything that is read, once. What gets no verdict was not understood, and says so: nothing is lost
/// silently.
#[derive(Default)]
pub(crate) struct Ledger {
    noted: Vec<Noted>,
    by_place: HashMap<(Place, String), usize>,
}

impl Ledger {
    /// Notes what stands there. A file that is included twice is noted once; its verdicts are joined.
    pub fn note(&mut self, place: &Place, directive: impl Into<String>) -> Item {
        let key = (place.clone(), directive.into());
        if let Some(at) = self.by_place.get(&key) {
            return Item(*at);
        }
        let at = self.noted.len();
        self.noted.push(Noted { place: key.0.clone(), directive: key.1.clone(), verdict: None });
        self.by_place.insert(key, at);
        Item(at)
    }

    pub fn place(&self, item: Item) -> &Place {
        &self.noted[item.0].place
    }

    /// Sets a verdict; of two the graver stays.
    pub fn set(&mut self, item: Item, verdict: Verdict, target: impl Into<String>, why: impl Into<String>) {
        let held = &mut self.noted[item.0].verdict;
        if held.as_ref().is_none_or(|h| verdict > h.0) {
            *held = Some((verdict, target.into(), why.into()));
        }
    }

    pub fn mapped(&mut self, item: Item, target: impl Into<String>) {
        self.set(item, Verdict::Mapped, target, "");
    }

    pub fn near(&mut self, item: Item, target: impl Into<String>, why: impl Into<String>) {
        self.set(item, Verdict::Approximated, target, why);
    }

    pub fn left_out(&mut self, item: Item, why: impl Into<String>) {
        self.set(item, Verdict::LeftOut, "", why);
    }

    pub fn report(self) -> Report {
        let mut counts: BTreeMap<&'static str, usize> =
            [Verdict::Mapped, Verdict::Approximated, Verdict::LeftOut].map(|v| (v.word(), 0)).into();
        let mut noted = self.noted;
        noted.sort_by(|a, b| a.place.cmp(&b.place));
        let entries = noted.into_iter().map(|n| {
            let unknown = || (Verdict::LeftOut, String::new(), "not known to the importer".to_string());
            let (verdict, target, why) = n.verdict.unwrap_or_else(unknown);
            *counts.entry(verdict.word()).or_default() += 1;
            Entry {
                file: n.place.file.to_string(),
                line: n.place.line,
                column: n.place.column,
                directive: n.directive,
                verdict,
                target,
                why,
            }
        });
        Report { entries: entries.collect(), counts }
    }
}
