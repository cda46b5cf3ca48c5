//! Whether the state on a disk is current or was restored from an earlier time.

use crate::layers::Layer;
use serde::{Deserialize, Serialize};

/// How far a disk has come; reported to other fronts, which remember it for this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Marks {
    /// Drawn when the disk was empty: a disk that was lost and recreated has another.
    pub disk: u64,
    /// Starts of the front on this disk, this one included.
    pub boots: u64,
    /// Commits on this disk.
    pub commits: u64,
}

impl Layer for Marks {
    const NAME: &'static str = "marks";
    const VERSION: u16 = 1;
    type Key = ();
}

/// How far a front may trust its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// At least as far as others remember: its contents were true when the front last ran.
    Current,
    /// The disk is empty, and nobody remembers another: there is nothing to trust.
    Fresh,
    /// Others remember this disk at a later state: it was restored from an earlier one. Nothing on it is trusted.
    Behind {
        /// Least number of missing commits, or of starts where commits don't show it.
        by: u64,
    },
    /// Others remember another disk of this front: this one is a copy, an older one, or was recreated. Nothing on it is
    /// trusted, and votes that the front gave are lost with the other.
    Other,
    /// Nobody has answered yet.
    Unknown,
}

impl Marks {
    /// Compares what was found on the disk at this start with the furthest that any other remembers of this front:
    /// `None` where nobody has answered yet. One who remembers nothing of it answers `Marks::default()`.
    pub fn trust(found: Option<Marks>, remembered: Option<Marks>) -> Trust {
        match (found, remembered) {
            (_, None) => Trust::Unknown,
            (None, Some(m)) if m == Marks::default() => Trust::Fresh,
            (None, Some(_)) => Trust::Other,
            (Some(_), Some(m)) if m == Marks::default() => Trust::Current,
            (Some(f), Some(m)) if f.disk != m.disk => Trust::Other,
            (Some(f), Some(m)) if f.commits < m.commits => Trust::Behind { by: m.commits - f.commits },
            // The commit counts of two runs of one disk may be equal; the starts between them are not.
            (Some(f), Some(m)) if f.boots < m.boots => Trust::Behind { by: m.boots - f.boots },
            _ => Trust::Current,
        }
    }

    /// The marks to remember once the front has reported `later` itself. Reports may come in any order within one disk's
    /// life; of another disk the host accepts only what a later start of the front reports, since a late report would
    /// bring the old disk back.
    pub fn merged_with(self, later: Marks) -> Marks {
        if self.disk != later.disk {
            return later;
        }
        let (boots, commits) = (self.boots.max(later.boots), self.commits.max(later.commits));
        Marks { disk: self.disk, boots, commits }
    }
}

#[cfg(test)]
mod tests;
