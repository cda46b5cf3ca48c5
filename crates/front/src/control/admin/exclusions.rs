//! Manual exclusions of cache nodes: changes them by command, restores them at start, and applies changes
//! that another process of this front makes.

use crate::shared::SharedState;
use fernslip::CacheId;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// The interval between two checks of the manual exclusion file for changes made by another process of this
/// front. A command must take effect in both processes within 1 s.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The change that a command makes to the manual exclusion of a cache node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionChange {
    /// Excludes the cache node, which then gets no more requests.
    Exclude,
    /// Ends the exclusion; the cache node is used again as the endpoint list says.
    Include,
}

impl ExclusionChange {
    /// Changes the set of excluded cache nodes. Returns `false` and changes nothing if the cache node is
    /// neither listed nor excluded.
    fn apply(self, cache: &CacheId, is_listed: bool, excluded: &mut BTreeSet<CacheId>) -> bool {
        if !is_listed && (self == ExclusionChange::Exclude || !excluded.contains(cache)) {
            return false;
        }
        match self {
            ExclusionChange::Exclude => excluded.insert(cache.clone()),
            ExclusionChange::Include => excluded.remove(cache),
        };
        true
    }
}

/// Manually excludes a cache node in every dispatch queue, or ends its exclusion, and returns the answer to
/// the command. The new set is stored before it is applied, so that a process that replaces this one has it.
/// If it cannot be stored, nothing changes and the answer is `400`.
pub fn set_manual_exclusion(front: &SharedState, id: &str, change: ExclusionChange) -> String {
    let (queues, cache) = (front.queues.as_slice(), CacheId::from(id));
    let _change_guard = front.manual_exclusions.lock_for_change();
    let is_listed = queues.iter().any(|queue| queue.dispatcher.is_listed(&cache));
    let update = front
        .manual_exclusions
        .update(|| currently_excluded(front), |excluded| change.apply(&cache, is_listed, excluded));
    let excluded = match update {
        Ok(Some(excluded)) => excluded,
        Ok(None) => return format!("400 unknown {id}\n"),
        Err(e) => {
            tracing::warn!(
                node = %id,
                "admin: no exclusion is changed, because {} cannot be stored: {e}",
                front.manual_exclusions
            );
            return format!("400 {id} can't be kept: {e}\n");
        }
    };
    apply_manual_exclusions(front, &excluded);
    let done = match change {
        ExclusionChange::Exclude => "excluded",
        ExclusionChange::Include => "included",
    };
    tracing::info!(node = %id, nodes = excluded.len(), "admin: {done}");
    format!("200 {done} {id}\n")
}

/// Returns the cache nodes that are manually excluded in any dispatch queue.
fn currently_excluded(front: &SharedState) -> BTreeSet<CacheId> {
    front.queues.as_slice().iter().flat_map(|queue| queue.dispatcher.excluded()).collect()
}

/// Makes `excluded` the set of manually excluded cache nodes in every dispatch queue.
fn apply_manual_exclusions(front: &SharedState, excluded: &BTreeSet<CacheId>) {
    for queue in front.queues.as_slice() {
        let now = front.clock.now();
        let dispatcher = &queue.dispatcher;
        let before: BTreeSet<CacheId> = dispatcher.excluded().into_iter().collect();
        for cache in excluded.difference(&before) {
            // A node that is not listed at the moment is excluded as soon as it is listed.
            if !dispatcher.exclude(now, cache) {
                dispatcher.restore([cache.clone()]);
            }
        }
        for cache in before.difference(excluded) {
            dispatcher.include(now, cache);
        }
    }
}

/// Applies the manual exclusions that an earlier process stored. A file that cannot be used is logged with
/// its path and not changed.
pub fn restore_manual_exclusions(front: &SharedState) {
    front.manual_exclusions.remove_abandoned_files();
    match front.manual_exclusions.load_at_start() {
        Ok(ids) if ids.is_empty() => {}
        Ok(ids) => {
            tracing::info!(
                nodes = ids.len(),
                "admin: restored the manual exclusions that an earlier process stored"
            );
            for queue in front.queues.as_slice() {
                queue.dispatcher.restore(ids.iter().cloned());
            }
        }
        Err(e) => {
            tracing::warn!(
                "admin: no cache node is excluded, because the manual exclusions cannot be restored: {e}"
            );
        }
    }
}

/// Applies, on a separate thread, the changes that another process of this front makes to the manual
/// exclusions. While one process replaces the other, a command to either thus takes effect in both.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn follow_manual_exclusions(front: Arc<SharedState>) -> io::Result<()> {
    let follower = std::thread::Builder::new().name("excluded".into());
    follower.spawn(move || loop {
        std::thread::sleep(FILE_CHECK_INTERVAL);
        if !front.manual_exclusions.changed_by_other_process() {
            continue;
        }
        let _change_guard = front.manual_exclusions.lock_for_change();
        match front.manual_exclusions.load() {
            Ok(ids) => {
                tracing::info!(
                    nodes = ids.len(),
                    "admin: applied the manual exclusions that another process of this front stored"
                );
                apply_manual_exclusions(&front, &ids.into_iter().collect());
            }
            Err(e) => tracing::warn!(
                "admin: the manual exclusions stay as they are, because the file cannot be read: {e}"
            ),
        }
    })?;
    Ok(())
}
