//! Facts about fronts, and the table that holds the highest-ranked fact of each front. Fronts that received
//! the same facts hold the same table, in whatever order the facts arrived.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of members in a table, departed ones included. It is far above the size of any fleet;
/// only forged facts signed with a valid key come near it.
pub const MAX_MEMBERS: usize = 16_384;
/// The maximum length of each text of a fact, in bytes. It ensures that any fact fits into a datagram.
pub const MAX_TEXT_BYTES: usize = 64;
/// The highest valid generation. A front could not refute a forged fact whose generation cannot be exceeded.
const MAX_GENERATION: u64 = 1 << 53;
/// The number of buckets of [`MemberTable::bucket_sums`].
pub(crate) const BUCKET_COUNT: usize = 32;

/// The identifier of a front: the first eight bytes of the SHA-256 hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl Id {
    /// Returns the id of the front named `name`.
    pub fn from_name(name: &str) -> Id {
        Id(hash64(name.as_bytes()))
    }
}

/// One process of a front. Two processes that run under the same name differ in their process ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontProcess {
    /// The front that the process belongs to.
    pub id: Id,
    /// A random number that the process draws at its start.
    pub process_id: u64,
}

fn hash64(bytes: &[u8]) -> u64 {
    let h = Sha256::digest(bytes);
    h.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}

/// The state of a front. If two facts have the same incarnation, the one whose state comes later in this
/// order replaces the other. A front's own changes raise the incarnation, so only a failure reported by
/// others competes with the front's own state at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FrontState {
    /// The front runs but is not ready to serve.
    Joining,
    /// The front serves requests.
    Ready,
    /// The front drains: it accepts no new requests.
    Draining,
    /// The front announced its departure.
    Left,
    /// The front's watchers agreed that it has failed.
    Failed,
}

impl FrontState {
    /// Whether the front runs, as far as this view knows.
    pub fn is_live(self) -> bool {
        self < FrontState::Left
    }

    /// The name of the state in logs and in answers to operators.
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

/// All that the fronts know and exchange about one front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The name of the front.
    pub name: String,
    /// The UDP address at which the other fronts reach this front.
    pub addr: SocketAddr,
    /// The UDP address at which the front receives gossip; `None` if it receives none.
    pub gossip: Option<SocketAddr>,
    /// The name of the location that the front runs in.
    pub location: String,
    /// The version of the program that the front runs.
    pub program: String,
    /// A hash of the front's configuration.
    pub configuration: u32,
    /// A random number that identifies the process, drawn at its start.
    pub process_id: u64,
    /// A number that rises with each start of the front: Unix milliseconds, or one more than the highest
    /// value received for its name if that is higher.
    pub generation: u64,
    /// A number that only the front itself raises, at each change of its own fact and to refute a report of
    /// its failure.
    pub incarnation: u32,
    /// The state of the front.
    pub state: FrontState,
    /// Whether the failure was detected while all watchers of the front were in reach; `true` in a front's
    /// own announcements.
    pub confirmed: bool,
    /// The front that detected the failure; 0 in a front's own announcements.
    pub detected_by: Id,
}

/// The rank of a fact. Of two facts about the same front, the one with the higher rank replaces the other;
/// the fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// The generation of the front, see [`Fact::generation`].
    pub generation: u64,
    /// The incarnation of the front, see [`Fact::incarnation`].
    pub incarnation: u32,
    /// The state of the front.
    pub state: FrontState,
    /// The process that the fact is about, see [`Fact::process_id`].
    pub process_id: u64,
    /// A hash of the texts, the addresses and the configuration hash of the fact.
    pub text_hash: u32,
    /// Whether the failure was detected while all watchers of the front were in reach, see
    /// [`Fact::confirmed`].
    pub confirmed: bool,
    /// The front that detected the failure, see [`Fact::detected_by`].
    pub detected_by: Id,
}

impl Fact {
    /// Returns the id of the front, derived from its name.
    pub fn id(&self) -> Id {
        Id::from_name(&self.name)
    }

    /// Returns the rank of this fact among the facts about the same front.
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
            text_hash: hash64(texts.as_bytes()) as u32,
            confirmed: self.confirmed,
            detected_by: self.detected_by,
        }
    }

    /// Whether the texts and numbers of this fact are within their limits, the name is not empty and the port
    /// is not 0.
    pub fn is_valid(&self) -> bool {
        let texts = [&self.name, &self.location, &self.program];
        !self.name.is_empty()
            && texts.iter().all(|t| t.len() <= MAX_TEXT_BYTES)
            && self.generation <= MAX_GENERATION
            && self.incarnation < u32::MAX
            && self.addr.port() != 0
    }
}

/// The result of merging a fact or a rank into a [`MemberTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing changed: the fact was already known, has a lower rank, is invalid, or the table is full.
    Stale,
    /// The fact is now the member's highest-ranked one. Holds the previous state of the front; `None` if it
    /// was unknown.
    Updated(Option<FrontState>),
    /// Nothing changed: only a rank was received, and this table does not have the texts that belong to it.
    MissingTexts,
}

/// The entry of one front in a [`MemberTable`].
#[derive(Clone, Debug)]
pub struct Member {
    /// The highest-ranked fact known about the front.
    pub fact: Fact,
    /// The rank of `fact`.
    pub rank: Rank,
    /// The time at which the front entered its current state, by the clock of this process, in milliseconds.
    pub since_ms: f64,
    /// The time at which the front last became live again after a departure, in milliseconds; `None` if it
    /// never did.
    pub returned_ms: Option<f64>,
}

/// A table of the highest-ranked fact known about each front.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<Id, Member>,
    /// Sums of the live members' fingerprints, one for each bucket.
    sums: [u64; BUCKET_COUNT],
    live_count: usize,
}

/// Returns a hash of a member's id and rank. Fingerprints are summed, so the order of members does not matter
/// and no two members cancel each other out.
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
    /// Returns the member with the given id.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Iterates over all members, departed ones included, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(id, h)| (*id, h))
    }

    /// Iterates over the live members, in the order of their ids.
    pub fn live_members(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.iter().filter(|(_, h)| h.fact.state.is_live())
    }

    /// Returns the number of live members.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Adds a member to the bucket sums and the live count, if `rank` says that it is live.
    fn add_to_sums(&mut self, id: Id, rank: &Rank) {
        if rank.state.is_live() {
            let sum = &mut self.sums[MemberTable::bucket(id)];
            *sum = sum.wrapping_add(fingerprint(id, rank));
            self.live_count += 1;
        }
    }

    /// Removes a member from the bucket sums and the live count, if `rank` says that it was live.
    fn subtract_from_sums(&mut self, id: Id, rank: &Rank) {
        if rank.state.is_live() {
            let sum = &mut self.sums[MemberTable::bucket(id)];
            *sum = sum.wrapping_sub(fingerprint(id, rank));
            self.live_count -= 1;
        }
    }

    /// Stores the fact as the member's current one if its rank is higher than the current rank.
    fn replace_if_higher(&mut self, id: Id, fact: Fact, rank: Rank, now_ms: f64) -> MergeOutcome {
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

    /// Merges a fact: of this fact and the member's current one, the one with the higher rank is kept.
    pub fn merge(&mut self, fact: &Fact, now_ms: f64) -> MergeOutcome {
        if !fact.is_valid() {
            return MergeOutcome::Stale;
        }
        self.replace_if_higher(fact.id(), fact.clone(), fact.rank(), now_ms)
    }

    /// Merges a rank received without its fact; this needs a stored fact with the same texts.
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
        self.replace_if_higher(id, fact, rank, now_ms)
    }

    /// Removes the members that departed at least `retention_ms` ago.
    pub fn remove_expired(&mut self, retention_ms: f64, now_ms: f64) {
        self.members.retain(|_, h| h.fact.state.is_live() || now_ms - h.since_ms < retention_ms);
    }

    /// Removes all members except the one with the given id.
    pub fn retain_only(&mut self, id: Id) {
        self.members.retain(|i, _| *i == id);
        self.sums = [0; BUCKET_COUNT];
        self.live_count = 0;
        let own: Vec<(Id, Rank)> = self.iter().map(|(i, h)| (i, h.rank)).collect();
        own.iter().for_each(|(id, rank)| self.add_to_sums(*id, rank));
    }

    /// Returns the index of the bucket that a front belongs to.
    pub fn bucket(id: Id) -> usize {
        id.0 as usize % BUCKET_COUNT
    }

    /// Returns a hash of the live members of each bucket. Departed and unknown members contribute nothing, so
    /// that a view that has forgotten a departed member equals one that has not.
    pub fn bucket_sums(&self) -> [u32; BUCKET_COUNT] {
        self.sums.map(|s| (s >> 32) as u32)
    }

    /// Returns a single hash of all live members, which is equal for all fronts that hold the same view.
    pub fn digest(&self) -> u64 {
        self.sums
            .iter()
            .enumerate()
            .fold(0, |d, (i, s)| d ^ s.rotate_left(i as u32 * 2).wrapping_mul(2 * i as u64 + 1))
    }
}
