//! The report of an import: what became of every directive and every parameter.
//!
//! Its JSON form and the words of the verdicts are pinned by `docs/operate/import.md`.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What became of a directive or a parameter; a later variant is more severe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The site document says the same.
    Mapped,
    /// The site document says something similar; the reason tells the difference.
    Approximated,
    /// The site document says nothing of it; the reason tells why.
    #[serde(rename = "left_out")]
    Omitted,
}

impl Verdict {
    /// Every verdict.
    pub(crate) const ALL: [Verdict; 3] = [Verdict::Mapped, Verdict::Approximated, Verdict::Omitted];

    /// The verdict as the report spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Mapped => "mapped",
            Verdict::Approximated => "approximated",
            Verdict::Omitted => "left_out",
        }
    }
}

/// One directive or parameter of the report.
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
    /// Why not all of it is there; empty where all is.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The complete report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Every directive and parameter once, in the order of files and lines.
    pub entries: Vec<Entry>,
    /// How many entries have each verdict, by the report's spelling.
    pub counts: BTreeMap<&'static str, usize>,
}

impl Report {
    pub(crate) fn new(entries: Vec<Entry>) -> Report {
        let mut counts: BTreeMap<&'static str, usize> = Verdict::ALL.map(|v| (v.as_str(), 0)).into();
        for entry in &entries {
            *counts.entry(entry.verdict.as_str()).or_default() += 1;
        }
        Report { entries, counts }
    }

    /// How many entries have that verdict.
    pub fn count(&self, verdict: Verdict) -> usize {
        self.counts.get(verdict.as_str()).copied().unwrap_or(0)
    }

    /// As JSON, ending in a line end.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// As a table for people: what was omitted or approximated, and the counts.
    pub fn to_table(&self) -> String {
        let shown: Vec<&Entry> = self.entries.iter().filter(|e| e.verdict != Verdict::Mapped).collect();
        let locations: Vec<String> =
            shown.iter().map(|e| format!("{}:{}:{}", e.file, e.line, e.column)).collect();
        let location_width = locations.iter().map(String::len).max().unwrap_or(0);
        let directive_width = shown.iter().map(|e| e.directive.len()).max().unwrap_or(0);
        let mut out = String::new();
        for (e, location) in shown.iter().zip(locations) {
            let verdict = e.verdict.as_str();
            let _ =
                write!(out, "{location:location_width$}  {verdict:12}  {:directive_width$}  ", e.directive);
            if !e.target.is_empty() {
                let _ = write!(out, "-> {}: ", e.target);
            }
            let _ = writeln!(out, "{}", e.reason);
        }
        let counts: Vec<String> = self.counts.iter().map(|(verdict, n)| format!("{n} {verdict}")).collect();
        let _ = writeln!(out, "{} directives and parameters: {}", self.entries.len(), counts.join(", "));
        out
    }
}
