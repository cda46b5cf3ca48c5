//! Keeping account of every directive and parameter while the input is read, so that none is lost silently.

use crate::location::Location;
use crate::report::{Entry, Report, Verdict};
use std::collections::HashMap;

/// A directive or parameter that was read: an index into the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Item(usize);

struct Record {
    location: Location,
    directive: String,
    outcome: Option<Outcome>,
}

struct Outcome {
    verdict: Verdict,
    target: String,
    reason: String,
}

/// Everything that was read, each once. What gets no verdict was not understood, and the report says so.
#[derive(Default)]
pub(crate) struct Ledger {
    records: Vec<Record>,
    by_location: HashMap<(Location, String), usize>,
}

impl Ledger {
    /// Records what stands there. What is read again, in a file that is included twice, is the same item.
    pub fn note(&mut self, location: &Location, directive: impl Into<String>) -> Item {
        let key = (location.clone(), directive.into());
        if let Some(index) = self.by_location.get(&key) {
            return Item(*index);
        }
        let index = self.records.len();
        self.records.push(Record { location: key.0.clone(), directive: key.1.clone(), outcome: None });
        self.by_location.insert(key, index);
        Item(index)
    }

    /// Where an item stands.
    pub fn location(&self, item: Item) -> &Location {
        &self.records[item.0].location
    }

    /// The site document says the same, at `target`.
    pub fn mapped(&mut self, item: Item, target: impl Into<String>) {
        self.set(item, Verdict::Mapped, target, "");
    }

    /// The site document says something similar at `target`; `reason` is the difference.
    pub fn approximated(&mut self, item: Item, target: impl Into<String>, reason: impl Into<String>) {
        self.set(item, Verdict::Approximated, target, reason);
    }

    /// The site document says nothing of it.
    pub fn omitted(&mut self, item: Item, reason: impl Into<String>) {
        self.set(item, Verdict::Omitted, "", reason);
    }

    /// Mapped where the value could be used, else omitted.
    pub fn mapped_if(&mut self, usable: bool, item: Item, target: impl Into<String>, otherwise: &str) {
        match usable {
            true => self.mapped(item, target),
            false => self.omitted(item, otherwise),
        }
    }

    /// Omitted: a later value of the same setting, at `by`, replaced it.
    pub fn overridden(&mut self, item: Item, by: Item) {
        let location = self.location(by).clone();
        self.omitted(item, format!("overridden at {location}"));
    }

    /// Sets a verdict; of two the more severe stays.
    fn set(&mut self, item: Item, verdict: Verdict, target: impl Into<String>, reason: impl Into<String>) {
        let outcome = &mut self.records[item.0].outcome;
        if outcome.as_ref().is_none_or(|earlier| verdict > earlier.verdict) {
            *outcome = Some(Outcome { verdict, target: target.into(), reason: reason.into() });
        }
    }

    /// The report, in the order of files and lines.
    pub fn into_report(self) -> Report {
        let mut records = self.records;
        records.sort_by(|a, b| a.location.cmp(&b.location));
        Report::new(records.into_iter().map(Record::into_entry).collect())
    }
}

impl Record {
    fn into_entry(self) -> Entry {
        let not_known = || Outcome {
            verdict: Verdict::Omitted,
            target: String::new(),
            reason: "not known to the importer".to_string(),
        };
        let Outcome { verdict, target, reason } = self.outcome.unwrap_or_else(not_known);
        Entry {
            file: self.location.file.to_string(),
            line: self.location.line,
            column: self.location.column,
            directive: self.directive,
            verdict,
            target,
            reason,
        }
    }
}
