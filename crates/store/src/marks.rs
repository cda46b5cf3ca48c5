//! Detection of a disk that was lost or restored from an earlier copy.

use crate::layers::Layer;
use serde::{Deserialize, Serialize};

/// Identity and counters of a disk. A front reports them to other fronts, which remember them for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DiskMarks {
    /// Random id drawn when the disk was empty; a disk that was lost and recreated has another id.
    pub disk: u64,
    /// Number of starts of the front on this disk, including the present one.
    pub boots: u64,
    /// Number of commits on this disk.
    pub commits: u64,
}

impl Layer for DiskMarks {
    const NAME: &'static str = "marks";
    const VERSION: u16 = 1;
    type Key = ();
}

/// Whether a front may trust the contents of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskTrust {
    /// The disk is at least as recent as other fronts remember: its contents were true when the front last
    /// ran.
    Current,
    /// The disk is empty, and no other front remembers this front: there is nothing to trust.
    Fresh,
    /// Other fronts remember this disk in a later state, so it was restored from an earlier one. Nothing on
    /// it is trusted.
    Behind {
        /// Minimum number of missing commits, or of missing starts if the commit count does not reveal it.
        by: u64,
    },
    /// Other fronts remember another disk of this front, so this disk is a copy, an older one, or was
    /// recreated. Nothing on it is trusted, and votes that the front gave are lost with the other disk.
    Other,
    /// No other front has answered yet.
    Unknown,
}

impl DiskMarks {
    /// Compares the marks found on the disk at this start with the latest marks that any other front
    /// remembers of this front. `remembered` is `None` if no front has answered yet; a front that remembers
    /// nothing answers `DiskMarks::default()`.
    pub fn assess_trust(found: Option<DiskMarks>, remembered: Option<DiskMarks>) -> DiskTrust {
        match (found, remembered) {
            (_, None) => DiskTrust::Unknown,
            (None, Some(m)) if m == DiskMarks::default() => DiskTrust::Fresh,
            (None, Some(_)) => DiskTrust::Other,
            (Some(_), Some(m)) if m == DiskMarks::default() => DiskTrust::Current,
            (Some(f), Some(m)) if f.disk != m.disk => DiskTrust::Other,
            (Some(f), Some(m)) if f.commits < m.commits => DiskTrust::Behind { by: m.commits - f.commits },
            // Two runs on one disk may reach the same commit count, but each start raises the boot count.
            (Some(f), Some(m)) if f.boots < m.boots => DiskTrust::Behind { by: m.boots - f.boots },
            _ => DiskTrust::Current,
        }
    }

    /// The marks to remember after the front has reported `later`. Reports on one disk may arrive in any
    /// order. For a change of disk the caller passes only reports of a later start of the front, since a
    /// delayed report would bring the old disk back.
    pub fn merged_with(self, later: DiskMarks) -> DiskMarks {
        if self.disk != later.disk {
            return later;
        }
        let (boots, commits) = (self.boots.max(later.boots), self.commits.max(later.commits));
        DiskMarks { disk: self.disk, boots, commits }
    }
}

#[cfg(test)]
mod tests;
