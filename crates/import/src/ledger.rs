//! The record of every directive and parameter that is read, so that each one appears in the report.

use crate::location::Location;
use crate::report::{Entry, Report, Verdict};
use std::collections::HashMap;

/// A directive or parameter that was read, as an index into the ledger's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Item(usize);

/// A directive or parameter at one position in the input. It has no outcome until a verdict is set.
struct Record {
    location: Location,
    directive: String,
    outcome: Option<Outcome>,
}

/// The verdict on a record, with what it became and the reason.
struct Outcome {
    verdict: Verdict,
    target: String,
    reason: String,
}

/// One record for each directive and parameter that was read. A record without a verdict is reported as not
/// supported.
#[derive(Default)]
pub(crate) struct Ledger {
    records: Vec<Record>,
    by_location: HashMap<(Location, String), usize>,
}

impl Ledger {
    /// Records a directive or parameter at a location. A file that is included twice yields the same items
    /// again.
    pub fn record(&mut self, location: &Location, directive: impl Into<String>) -> Item {
        let key = (location.clone(), directive.into());
        if let Some(index) = self.by_location.get(&key) {
            return Item(*index);
        }
        let index = self.records.len();
        self.records.push(Record { location: key.0.clone(), directive: key.1.clone(), outcome: None });
        self.by_location.insert(key, index);
        Item(index)
    }

    /// The location of an item in the input.
    pub fn location(&self, item: Item) -> &Location {
        &self.records[item.0].location
    }

    /// Reports the item as mapped to `target` in the site document.
    pub fn report_mapped(&mut self, item: Item, target: impl Into<String>) {
        self.set_outcome(item, Verdict::Mapped, target, "");
    }

    /// Reports the item as approximated by `target` in the site document; `reason` states the difference.
    pub fn report_approximated(&mut self, item: Item, target: impl Into<String>, reason: impl Into<String>) {
        self.set_outcome(item, Verdict::Approximated, target, reason);
    }

    /// Reports the item as omitted from the site document.
    pub fn report_omitted(&mut self, item: Item, reason: impl Into<String>) {
        self.set_outcome(item, Verdict::Omitted, "", reason);
    }

    /// Reports the item as mapped to `target` if its value is usable, and otherwise as omitted for the reason
    /// `otherwise`.
    pub fn report_mapped_if(&mut self, usable: bool, item: Item, target: impl Into<String>, otherwise: &str) {
        match usable {
            true => self.report_mapped(item, target),
            false => self.report_omitted(item, otherwise),
        }
    }

    /// Reports the item as omitted because the item `by` sets the same parameter again.
    pub fn report_overridden(&mut self, item: Item, by: Item) {
        let location = self.location(by).clone();
        self.report_omitted(item, format!("overridden by the later value at {location}"));
    }

    /// Sets the outcome of an item, unless it already has one that is at least as severe.
    fn set_outcome(
        &mut self,
        item: Item,
        verdict: Verdict,
        target: impl Into<String>,
        reason: impl Into<String>,
    ) {
        let outcome = &mut self.records[item.0].outcome;
        if outcome.as_ref().is_none_or(|earlier| verdict > earlier.verdict) {
            *outcome = Some(Outcome { verdict, target: target.into(), reason: reason.into() });
        }
    }

    /// Converts the ledger to the report, with the entries sorted by file, line and column.
    pub fn into_report(self) -> Report {
        let mut records = self.records;
        records.sort_by(|a, b| a.location.cmp(&b.location));
        Report::new(records.into_iter().map(Record::into_entry).collect())
    }
}

impl Record {
    fn into_entry(self) -> Entry {
        let not_supported = || Outcome {
            verdict: Verdict::Omitted,
            target: String::new(),
            reason: "not supported by the importer".to_string(),
        };
        let Outcome { verdict, target, reason } = self.outcome.unwrap_or_else(not_supported);
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
