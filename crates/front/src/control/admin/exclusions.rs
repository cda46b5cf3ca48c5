//! Manual exclusions of cache nodes: changing them by command, restoring them at start, and following the changes that
//! another process of this front makes.

use crate::shared::Shared;
use fernslip::CacheId;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks of the manual exclusion file for changes made by another process of this front; a
/// command takes effect at both within 1 s.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);

/// What a command makes of a cache node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// Nothing more goes to it.
    Excluded,
    /// It is used as the endpoint list says.
    Included,
}

/// Manually excludes a cache node (`exclude`), or ends its exclusion, in every dispatch queue. The new set is stored before it is
/// applied, so that a process that replaces this one has it; where it can't be stored nothing changes and the answer is
/// `400`.
pub fn set(front: &Shared, id: &str, membership: Membership) -> String {
    let (queues, cache) = (front.queues.all(), CacheId::from(id));
    let _one_at_a_time = front.manual_exclusions.change();
    let mut excluded = currently_excluded(front);
    let is_listed = queues.iter().any(|queue| queue.dispatcher.is_listed(&cache));
    if !is_listed && (membership == Membership::Excluded || !excluded.contains(&cache)) {
        return format!("400 unknown {id}\n");
    }
    match membership {
        Membership::Excluded => excluded.insert(cache),
        Membership::Included => excluded.remove(&cache),
    };
    let ids: Vec<CacheId> = excluded.iter().cloned().collect();
    if let Err(e) = front.manual_exclusions.save(&ids) {
        tracing::warn!(node = %id, "admin: {}: {e}; nothing is changed", front.manual_exclusions);
        return format!("400 {id} can't be kept: {e}\n");
    }
    apply(front, &excluded);
    let done = match membership {
        Membership::Excluded => "excluded",
        Membership::Included => "included",
    };
    tracing::info!(node = %id, "admin: {done}");
    format!("200 {done} {id}\n")
}

/// The cache nodes manually excluded in any dispatch queue.
fn currently_excluded(front: &Shared) -> BTreeSet<CacheId> {
    front.queues.all().iter().flat_map(|queue| queue.dispatcher.excluded()).collect()
}

/// Makes `excluded` the manually excluded cache nodes of every dispatch queue.
fn apply(front: &Shared, excluded: &BTreeSet<CacheId>) {
    for queue in front.queues.all() {
        let now = front.clock.now();
        let dispatcher = &queue.dispatcher;
        let before: BTreeSet<CacheId> = dispatcher.excluded().into_iter().collect();
        for cache in excluded.difference(&before) {
            // A node that is not listed at the moment is excluded as soon as it is.
            if !dispatcher.exclude(now, cache) {
                dispatcher.restore([cache.clone()]);
            }
        }
        for cache in before.difference(excluded) {
            dispatcher.include(now, cache);
        }
    }
}

/// Applies the manual exclusions stored by an earlier process; a file that can't be used is logged with its path and
/// left as it is.
pub fn restore(front: &Shared) {
    front.manual_exclusions.remove_abandoned();
    match front.manual_exclusions.load_at_start() {
        Ok(ids) if ids.is_empty() => {}
        Ok(ids) => {
            tracing::info!(nodes = ids.len(), "admin: out by hand, as an earlier process left them");
            for queue in front.queues.all() {
                queue.dispatcher.restore(ids.iter().cloned());
            }
        }
        Err(e) => tracing::warn!("admin: {e}; no node is out by hand"),
    }
}

/// Follows, on a thread of its own, the changes another process of this front makes to the manual exclusions while one
/// replaces the other, so that a command at either takes effect at both.
///
/// # Errors
/// The thread can't be spawned.
pub fn follow(front: Arc<Shared>) -> io::Result<()> {
    let follower = std::thread::Builder::new().name("excluded".into());
    follower.spawn(move || loop {
        std::thread::sleep(FOLLOW_INTERVAL);
        if !front.manual_exclusions.changed() {
            continue;
        }
        let _one_at_a_time = front.manual_exclusions.change();
        match front.manual_exclusions.load() {
            Ok(ids) => {
                tracing::info!(
                    nodes = ids.len(),
                    "admin: out by hand, as another process of this front has them"
                );
                apply(&front, &ids.into_iter().collect());
            }
            Err(e) => tracing::warn!("admin: {e}; the nodes out by hand stay as they are"),
        }
    })?;
    Ok(())
}
