//! The state of commands on their way to be agreed: those asked at this front, those held by a leader until their
//! texts are at a majority of voters, and which texts were checked.
//!
//! The steps that use it are in `engine/proposing.rs`.

use crate::agreed::VoterId;
use crate::rules::{Ask, Command, Digest};
use std::collections::{BTreeMap, BTreeSet};

/// Commands held for texts, or asked at this front, at the most.
pub(crate) const MOST: usize = 1024;

#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) command: Command,
    pub(crate) next_ms: f64,
}

#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) command: Command,
    /// Who passed it here, to whom its text is asked for and the answer goes.
    pub(crate) from: Option<String>,
    pub(crate) looks: u32,
}

/// Commands on their way.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    pub(crate) asked: BTreeMap<String, Asked>,
    pub(crate) offered: BTreeMap<String, Offered>,
    /// Offered to the voters and not taken yet.
    pub(crate) in_log: BTreeMap<String, Option<String>>,
    /// Texts that were found good here, and what was wrong with others.
    pub(crate) checked: BTreeMap<Digest, Option<String>>,
    pub(crate) holds: BTreeMap<Digest, BTreeSet<VoterId>>,
    pub(crate) led: bool,
}

impl Proposals {
    /// Whether that key was asked here and its answer not yet told.
    pub fn answered(&mut self, key: &str) -> bool {
        self.asked.remove(key).is_some()
    }

    pub fn forget(&mut self, key: &str) {
        self.asked.remove(key);
    }

    /// Who passed that command here.
    pub fn asker(&mut self, key: &str) -> Option<String> {
        let offered = self.offered.remove(key).and_then(|o| o.from);
        self.in_log.remove(key).flatten().or(offered)
    }

    /// A command was agreed: what was held for its text may go.
    pub fn taken(&mut self, _key: &str) {
        if self.checked.len() > MOST {
            self.checked.clear();
        }
        if self.holds.len() > MOST {
            self.holds.clear();
        }
    }

    /// Texts of commands that are not agreed yet.
    pub fn texts(&self) -> impl Iterator<Item = Digest> + '_ {
        let asked = self.asked.values().map(|a| &a.command);
        asked.chain(self.offered.values().map(|o| &o.command)).filter_map(|c| match c.ask {
            Ask::Edit { digest, .. } => Some(digest),
            Ask::Undo { .. } => None,
        })
    }
}

pub(crate) fn text_of(c: &Command) -> Option<(Digest, u32)> {
    match c.ask {
        Ask::Edit { digest, bytes, .. } => Some((digest, bytes)),
        Ask::Undo { .. } => None,
    }
}
