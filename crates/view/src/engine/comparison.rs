//! Comparison of two views bucket by bucket, used when their digests differ.

use super::*;

impl View {
    /// Answers another front's bucket sums with the ranks in the buckets that differ. An
    /// [`Item::DifferingBuckets`] precedes the ranks of each bucket.
    pub(super) fn answer_bucket_sums(&mut self, theirs: &[u32], reply: &mut Vec<Item>) {
        let own = self.table.bucket_sums();
        // The first bucket is random, because only a few buckets fit into an answer when all of them differ.
        let first = self.rng.random_range(0..own.len());
        let buckets = (0..own.len()).map(|b| (b + first) % own.len());
        for bucket in buckets.filter(|b| theirs.get(*b).is_some_and(|t| *t != own[*b])) {
            reply.push(Item::DifferingBuckets(1 << bucket));
            let members = self.table.iter().filter(|(id, _)| MemberTable::bucket(*id) == bucket);
            reply.extend(members.map(|(id, m)| Item::FactRank(id, m.rank)));
        }
    }

    /// Answers the ranks that another front has in `buckets` (a bit mask) with the ranks that it lacks or has
    /// lower. The other front's ranks are the first items of `following`.
    pub(super) fn answer_differing_buckets(&self, buckets: u32, following: &[Item], reply: &mut Vec<Item>) {
        let theirs: BTreeMap<Id, Rank> = following
            .iter()
            .map_while(|item| if let Item::FactRank(id, rank) = item { Some((*id, *rank)) } else { None })
            .collect();
        let members = self.table.iter().filter(|(id, _)| buckets & (1 << MemberTable::bucket(*id)) != 0);
        let higher = members.filter(|(id, m)| theirs.get(id).is_none_or(|their| *their < m.rank));
        reply.extend(higher.map(|(id, m)| Item::FactRank(id, m.rank)));
    }
}
