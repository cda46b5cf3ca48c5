//! The report of an import, which says what every directive and parameter became in the site document.
//!
//! `docs/operate/import.md` documents its JSON form and the spelling of the verdicts, so neither may change.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// How completely a directive or parameter was imported. The variants are ordered by increasing severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The site document expresses the directive or parameter completely.
    Mapped,
    /// The site document expresses something similar; the entry's reason gives the difference.
    Approximated,
    /// The site document does not express the directive or parameter; the entry's reason says why.
    #[serde(rename = "left_out")]
    Omitted,
}

impl Verdict {
    /// All verdicts, in increasing severity.
    pub(crate) const ALL: [Verdict; 3] = [Verdict::Mapped, Verdict::Approximated, Verdict::Omitted];

    /// The verdict as it is spelled in the report.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Mapped => "mapped",
            Verdict::Approximated => "approximated",
            Verdict::Omitted => "left_out",
        }
    }
}

/// The report's entry for one directive or parameter.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The path of the input file.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
    /// The directive, or the directive and its parameter. Values are left out because some of them are
    /// secrets.
    pub directive: String,
    /// How completely the directive or parameter was imported.
    pub verdict: Verdict,
    /// What the directive or parameter became in the site document; empty if it was omitted.
    pub target: String,
    /// Why the directive or parameter was approximated or omitted; empty if it was mapped.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The report of one import.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One entry for each directive and parameter, sorted by file, line and column.
    pub entries: Vec<Entry>,
    /// The number of entries with each verdict, keyed by the verdict's spelling in the report.
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

    /// The number of entries with this verdict.
    pub fn count(&self, verdict: Verdict) -> usize {
        self.counts.get(verdict.as_str()).copied().unwrap_or(0)
    }

    /// The report as JSON, with a newline at the end.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// A text table of the omitted and approximated entries, followed by the number of entries with each
    /// verdict.
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
