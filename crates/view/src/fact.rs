//! Facts on fronts, and the table of the highest fact of each: whoever received the same facts holds the same table, in
//! whatever order they came.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most members in a table, departed ones included. Far more than a fleet has; only forgeries with a valid key come near
/// it.
pub const MAX_MEMBERS: usize = 16_384;
/// Longest text of a fact, in bytes, so that a datagram holds any fact.
pub const MAX_TEXT_BYTES: usize = 64;
/// Highest generation: one that can't be exceeded would leave its front unable to refute it.
const MAX_GENERATION: u64 = 1 << 53;
/// Buckets of [`MemberTable::sums`].
pub(crate) const BUCKETS: usize = 32;

/// Identifies a front, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl Id {
    /// The id of the front of that name.
    pub fn of(name: &str) -> Id {
        Id(hash(name.as_bytes()))
    }
}

/// A process of a front: of two processes of one name each has its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontProcess {
    /// The front.
    pub id: Id,
    /// Drawn at random by the process.
    pub process_id: u64,
}

fn hash(bytes: &[u8]) -> u64 {
    let h = Sha256::digest(bytes);
    h.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}

/// The state of a front. Of two states at one incarnation the later in this order holds: a front's own changes raise the
/// incarnation, so only a failure reported by others competes with its own state at the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FrontState {
    /// It runs and is not ready to serve.
    Joining,
    /// It serves.
    Ready,
    /// It drains: it accepts nothing new.
    Draining,
    /// It announced its departure.
    Left,
    /// Its watchers agreed that it has failed.
    Failed,
}

impl FrontState {
    /// Whether the front runs, as far as is known.
    pub fn is_live(self) -> bool {
        self < FrontState::Left
    }

    /// Its name in logs and answers.
    pub fn name(self) -> &'static str {
        match self {
            FrontState::Joining => "joining",
            FrontState::Ready => "ready",
            FrontState::Draining => "emptying",
            FrontState::Left => "left",
            FrontState::Failed => "gone",
        }
    }
}

/// Everything announced about a front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Its name.
    pub name: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Where it receives gossip, if it does.
    pub gossip: Option<SocketAddr>,
    /// Its location.
    pub location: String,
    /// Its program's version.
    pub program: String,
    /// A hash of its configuration.
    pub configuration: u32,
    /// Drawn at random by each process.
    pub process_id: u64,
    /// Rises with each start: Unix milliseconds, or one more than the highest received for its name, whichever is higher.
    pub generation: u64,
    /// Raised by the front itself at each change of its own, and to refute its failure.
    pub incarnation: u32,
    /// Its state.
    pub state: FrontState,
    /// Whether all its watchers were in reach of those who detected its failure; true in its own announcements.
    pub confirmed: bool,
    /// Who detected its failure; 0 in its own announcements.
    pub detected_by: Id,
}

/// The order of the facts of one front: of two facts the one of the higher rank holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// Its generation.
    pub generation: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// Its state.
    pub state: FrontState,
    /// Its process.
    pub process_id: u64,
    /// A hash of its texts and addresses.
    pub text_hash: u32,
    /// Whether all its watchers were in reach of those who detected its failure.
    pub confirmed: bool,
    /// Who detected its failure.
    pub detected_by: Id,
}

impl Fact {
    /// The front's id.
    pub fn id(&self) -> Id {
        Id::of(&self.name)
    }

    /// Its rank among the facts of the same front.
    pub fn rank(&self) -> Rank {
        let texts = format!(
            "{}\0{}\0{:?}\0{}\0{}\0{}",
            self.name, self.addr, self.gossip, self.location, self.program, self.configuration
        );
        Rank {
            generation: self.generation,
            incarnation: self.incarnation,
            state: self.state,
            process_id: self.process_id,
            text_hash: hash(texts.as_bytes()) as u32,
            confirmed: self.confirmed,
            detected_by: self.detected_by,
        }
    }

    /// Whether its texts and counts are within their bounds.
    pub fn is_valid(&self) -> bool {
        let texts = [&self.name, &self.location, &self.program];
        !self.name.is_empty()
            && texts.iter().all(|t| t.len() <= MAX_TEXT_BYTES)
            && self.generation <= MAX_GENERATION
            && self.incarnation < u32::MAX
            && self.addr.port() != 0
    }
}

/// What merging a fact or a rank changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing: it was known, older, or invalid.
    Stale,
    /// It is the highest now; the front's state before, if it was known.
    Updated(Option<FrontState>),
    /// Nothing: only a rank came, and the texts of its fact are not known here.
    MissingTexts,
}

/// A front in the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its highest fact.
    pub fact: Fact,
    /// The rank of that fact.
    pub rank: Rank,
    /// Since when it has its state, by this front's clock, in milliseconds.
    pub since_ms: f64,
    /// When it last became live again after a departure, in milliseconds.
    pub returned_ms: Option<f64>,
}

/// The highest fact of each front.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<Id, Member>,
    /// Sums of the live members' fingerprints, by bucket.
    sums: [u64; BUCKETS],
    live_count: usize,
}

/// A hash of a member's rank. Sums of fingerprints are the same in any order, and no two members cancel out.
fn fingerprint(id: Id, rank: &Rank) -> u64 {
    let mut x = id.0;
    let parts = [
        rank.generation,
        u64::from(rank.incarnation),
        rank.state as u64,
        rank.process_id,
        u64::from(rank.text_hash),
    ];
    for part in parts {
        x = (x ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 32;
    }
    x
}

impl MemberTable {
    /// The member of that id.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All members, by id.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(id, h)| (*id, h))
    }

    /// The live members, by id.
    pub fn live(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.iter().filter(|(_, h)| h.fact.state.is_live())
    }

    /// The number of live members.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Adds a live member to the sums and the count.
    fn add_to_sums(&mut self, id: Id, rank: &Rank) {
        if rank.state.is_live() {
            let sum = &mut self.sums[MemberTable::bucket(id)];
            *sum = sum.wrapping_add(fingerprint(id, rank));
            self.live_count += 1;
        }
    }

    /// Takes a live member out of the sums and the count.
    fn subtract_from_sums(&mut self, id: Id, rank: &Rank) {
        if rank.state.is_live() {
            let sum = &mut self.sums[MemberTable::bucket(id)];
            *sum = sum.wrapping_sub(fingerprint(id, rank));
            self.live_count -= 1;
        }
    }

    /// Makes the fact the member's if its rank is the highest.
    fn replace(&mut self, id: Id, fact: Fact, rank: Rank, now_ms: f64) -> MergeOutcome {
        let before = self.members.get(&id).map(|h| h.rank);
        if before.is_some_and(|b| b >= rank) {
            return MergeOutcome::Stale;
        }
        if before.is_none() && self.members.len() >= MAX_MEMBERS {
            return MergeOutcome::Stale;
        }
        if let Some(b) = &before {
            self.subtract_from_sums(id, b);
        }
        self.add_to_sums(id, &rank);
        let state_before = before.map(|b| b.state);
        let since_ms = match self.members.get(&id) {
            Some(h) if state_before == Some(rank.state) => h.since_ms,
            _ => now_ms,
        };
        let returns = state_before.is_some_and(|s| !s.is_live()) && rank.state.is_live();
        let returned_ms =
            if returns { Some(now_ms) } else { self.members.get(&id).and_then(|m| m.returned_ms) };
        self.members.insert(id, Member { fact, rank, since_ms, returned_ms });
        MergeOutcome::Updated(state_before)
    }

    /// Merges a fact: the higher of it and the member's current one holds.
    pub fn merge(&mut self, fact: &Fact, now_ms: f64) -> MergeOutcome {
        if !fact.is_valid() {
            return MergeOutcome::Stale;
        }
        self.replace(fact.id(), fact.clone(), fact.rank(), now_ms)
    }

    /// Merges a rank, where the texts of its fact are known.
    pub fn merge_rank(&mut self, id: Id, rank: Rank, now_ms: f64) -> MergeOutcome {
        let Some(member) = self.members.get(&id) else { return MergeOutcome::MissingTexts };
        if member.rank >= rank {
            return MergeOutcome::Stale;
        }
        if member.rank.text_hash != rank.text_hash {
            return MergeOutcome::MissingTexts;
        }
        let Rank { generation, incarnation, state, process_id, confirmed, detected_by, .. } = rank;
        let fact = Fact {
            generation,
            incarnation,
            state,
            process_id,
            confirmed,
            detected_by,
            ..member.fact.clone()
        };
        if !fact.is_valid() {
            return MergeOutcome::Stale;
        }
        self.replace(id, fact, rank, now_ms)
    }

    /// Removes the members that departed longer than `retention_ms` ago.
    pub fn expire(&mut self, retention_ms: f64, now_ms: f64) {
        self.members.retain(|_, h| h.fact.state.is_live() || now_ms - h.since_ms < retention_ms);
    }

    /// Removes all members but one.
    pub fn retain_only(&mut self, id: Id) {
        self.members.retain(|i, _| *i == id);
        self.sums = [0; BUCKETS];
        self.live_count = 0;
        let own: Vec<(Id, Rank)> = self.iter().map(|(i, h)| (i, h.rank)).collect();
        own.iter().for_each(|(id, rank)| self.add_to_sums(*id, rank));
    }

    /// The bucket of a front.
    pub fn bucket(id: Id) -> usize {
        id.0 as usize % BUCKETS
    }

    /// Hashes of the live members, by bucket. Departed and unknown members are alike: both are absent in the end.
    pub fn sums(&self) -> [u32; BUCKETS] {
        self.sums.map(|s| (s >> 32) as u32)
    }

    /// One hash of all live members: equal for all who hold the same view.
    pub fn digest(&self) -> u64 {
        self.sums
            .iter()
            .enumerate()
            .fold(0, |d, (i, s)| d ^ s.rotate_left(i as u32 * 2).wrapping_mul(2 * i as u64 + 1))
    }
}
