//! Whether a disk is from now or from an hour ago.

use crate::layers::Layer;
use serde::{Deserialize, Serialize};

/// How far a disk has come. Others are told, and remember it for the front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Marks {
    /// Drawn when the disk was empty: a disk that was lost and made anew has another.
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

/// What a front may believe of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As far as others remember it, or further: what it holds was true when the front last ran.
    Current,
    /// The disk is empty, and nobody remembers another: there is nothing to believe.
    Fresh,
    /// Others remember this disk further on: it came back from before. Nothing on it is believed.
    Behind {
        /// Commits that it lacks at the least, or starts where commits don't show it.
        by: u64,
    },
    /// Others remember another disk of this front: this one is a copy, an older one, or was made anew. Nothing on it is
    /// believed, and votes that the front gave are lost with the other.
    Other,
    /// Nobody has told yet.
    Unknown,
}

impl Marks {
    /// Compares what was found on the disk at this start with the furthest that any other remembers of this front:
    /// `None` where nobody has told yet. One who remembers nothing of it tells `Marks::default()`.
    pub fn trust(found: Option<Marks>, remembered: Option<Marks>) -> Trust {
        match (found, remembered) {
            (_, None) => Trust::Unknown,
            (None, Some(m)) if m == Marks::default() => Trust::Fresh,
            (None, Some(_)) => Trust::Other,
            (Some(_), Some(m)) if m == Marks::default() => Trust::Current,
            (Some(f), Some(m)) if f.disk != m.disk => Trust::Other,
            (Some(f), Some(m)) if f.commits < m.commits => Trust::Behind { by: m.commits - f.commits },
            // The commit counts of two lives of one disk may meet; the starts between them don't.
            (Some(f), Some(m)) if f.boots < m.boots => Trust::Behind { by: m.boots - f.boots },
            _ => Trust::Current,
        }
    }

    /// What is remembered once the front has said `later` itself. Words may come in any order within one disk's life; of
    /// another disk the host takes only what a later start of the front says, since old words would bring the old back.
    pub fn further(self, later: Marks) -> Marks {
        if self.disk != later.disk {
            return later;
        }
        let (boots, commits) = (self.boots.max(later.boots), self.commits.max(later.commits));
        Marks { disk: self.disk, boots, commits }
    }
}

#[cfg(test)]
mod tests;
