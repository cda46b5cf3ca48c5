//! Hands the state of the discovery watch on to other processes of this front.
//!
//! A process starts from the checkpoint that an earlier process stored, if the checkpoint is at least as late
//! as the configuration. It then stores a checkpoint after each change. While one process replaces another,
//! each also follows the other's checkpoints: an event that only one of them receives takes effect in both.
//!
//! Storing and following run on a thread of their own, and no request waits for them. If the file cannot be
//! written, a warning is logged and storing is retried.

use super::checkpoint_file::{CheckpointFile, LoadError, StoreOutcome};
use super::watch_checkpoint::{self, CheckpointPurge, EncodedNodes, WatchCheckpoint};
use super::watch_history::WatchHistory;
use super::watch_state::{ReportedPurge, WatchPosition};
use super::watch_updates;
use crate::failure::retry_with_backoff;
use crate::shared::SharedState;
use fernslip::{CacheId, Phase};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval between two checks for a checkpoint of another process. A draining node gets no new requests
/// 500 ms after the front was told.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which a checkpoint with recent starts or purges is stored again, because their ages change.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// How long storing is retried while another process has locked the file.
const LOCK_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// The pause after a failure to store a checkpoint.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum pause between two checkpoints; longer than the resolution of modification times.
const MIN_STORE_PAUSE: Duration = Duration::from_millis(20);
/// The pause between two checkpoints, as a multiple of the time that storing takes: at most a twentieth of a
/// processor is used.
const STORE_PAUSE_FACTOR: u32 = 20;
/// The longest wait of a thread that has nothing to do.
const IDLE_WAIT: Duration = Duration::from_secs(3600);
/// Clock time of starts that need no exact time, in milliseconds.
const LONG_AGO_MS: f64 = 1.0;

/// How a front stores and follows checkpoints.
#[derive(Clone, Copy, Debug)]
pub struct CheckpointSettings {
    /// How long after its start a node may be in slow start, in milliseconds.
    pub slow_start_ms: f64,
    /// How long after a purge older copies may exist, in milliseconds.
    pub purge_retention_ms: f64,
    /// Whether another process of this front may run at the same time.
    pub follows: bool,
}

/// Restores the state of the discovery watch from the stored checkpoint. Returns `false` and changes nothing
/// if there is none that is valid and at least as late as the events in the configuration.
pub fn restore(front: &SharedState, file: &CheckpointFile) -> bool {
    let checkpoint = match file.load(&front.names) {
        Ok(Some(checkpoint)) => checkpoint,
        Ok(None) => return false,
        Err(e) => {
            tracing::warn!("watch: the front starts from its configuration; checkpoint refused: {e}");
            return false;
        }
    };
    let (mut history, position) = (front.bus.lock_history(), checkpoint.position);
    if checkpoint.nodes.is_empty() || position < history.position() {
        tracing::info!(
            checkpoint = position.offset,
            configuration = history.offset(),
            "watch: the front starts from its configuration, which is newer than the checkpoint"
        );
        return false;
    }
    adopt(front, &mut history, checkpoint, None);
    tracing::info!(offset = position.offset, "watch: restored the checkpoint of an earlier process");
    true
}

/// Continues from a checkpoint of another process. Of its purges, those at `applied` or before have been
/// applied already.
fn adopt(
    front: &SharedState,
    history: &mut WatchHistory,
    checkpoint: WatchCheckpoint,
    applied: Option<WatchPosition>,
) {
    let WatchCheckpoint { position, nodes, start_ages_ms, purges } = checkpoint;
    let now = front.clock.now();
    for entry in nodes.iter().map(|node| &node.entry).filter(|entry| entry.started_ms > 0.0) {
        let age_ms = start_ages_ms.get(&entry.cache);
        let clock_ms = age_ms.map_or(LONG_AGO_MS, |age| (now - age.max(0.0)).max(LONG_AGO_MS));
        front.bus.starts().adopt(&entry.cache, entry.started_ms, clock_ms);
    }
    let new_purges = purges.into_iter().filter(|purge| Some(purge.position) > applied);
    let new_purges: Vec<ReportedPurge> = new_purges
        .map(|CheckpointPurge { position, object, group, age_ms }| ReportedPurge {
            position,
            object,
            group,
            at_ms: now - age_ms.max(0.0),
        })
        .collect();
    new_purges.iter().for_each(|purge| watch_updates::apply_purge(front, purge));
    history.advance_to_other(position, &nodes, new_purges);
    let present = nodes.into_iter().filter(|node| node.entry.phase != Phase::Out).collect();
    watch_updates::apply_endpoint_list(front, true, present, None);
    front.bus.set_position(position);
}

/// Starts the thread that stores the front's checkpoints and follows those of other processes. Does nothing
/// for a front without an event bus.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn spawn(front: Arc<SharedState>, settings: CheckpointSettings) -> io::Result<()> {
    let (Some(changes), true) = (front.bus.take_changes(), front.checkpoint_file.is_some()) else {
        return Ok(());
    };
    let service = CheckpointService {
        front,
        settings,
        encoded_nodes: None,
        change_pending: false,
        // The ages in a restored checkpoint change too.
        refresh_at: Some(Instant::now() + REFRESH_INTERVAL),
        store_not_before: Instant::now(),
        last_error: None,
    };
    std::thread::Builder::new().name("checkpoint".into()).spawn(move || service.run(&changes))?;
    Ok(())
}

/// What a checkpoint consists of, besides the encoded nodes.
struct Capture {
    position: WatchPosition,
    nodes_version: u64,
    start_ages_ms: BTreeMap<CacheId, f64>,
    purges: Vec<CheckpointPurge>,
}

struct CheckpointService {
    front: Arc<SharedState>,
    settings: CheckpointSettings,
    /// The nodes as they were encoded last, with their version.
    encoded_nodes: Option<(u64, EncodedNodes)>,
    /// Whether the state has changed since it was stored.
    change_pending: bool,
    /// When the checkpoint is to be stored again for the ages in it. `None` if it has none.
    refresh_at: Option<Instant>,
    /// When the next checkpoint may be stored.
    store_not_before: Instant,
    /// The last warning, which is not repeated while its reason lasts.
    last_error: Option<String>,
}

impl CheckpointService {
    fn run(mut self, changes: &Receiver<()>) {
        loop {
            match changes.recv_timeout(self.time_until_next_step()) {
                Ok(()) => self.change_pending = true,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.settings.follows {
                self.follow();
            }
            if self.next_store().is_some_and(|at| at <= Instant::now()) {
                self.store();
            }
        }
    }

    /// When the next checkpoint is to be stored, if nothing changes before.
    fn next_store(&self) -> Option<Instant> {
        let wanted_at = if self.change_pending { Some(self.store_not_before) } else { self.refresh_at };
        wanted_at.map(|at| at.max(self.store_not_before))
    }

    fn time_until_next_step(&self) -> Duration {
        let longest = if self.settings.follows { FOLLOW_INTERVAL } else { IDLE_WAIT };
        let until_store = self.next_store().map(|at| at.saturating_duration_since(Instant::now()));
        until_store.map_or(longest, |wait| wait.min(longest))
    }

    /// Applies the checkpoint of another process, if that process has stored a later one.
    fn follow(&mut self) {
        let front = self.front.clone();
        let Some(file) = front.checkpoint_file.as_ref().filter(|file| file.changed_by_other_process()) else {
            return;
        };
        let checkpoint = match file.load(&front.names) {
            Ok(Some(checkpoint)) => checkpoint,
            Ok(None) => return,
            Err(e) => return self.warn_of_unusable_file(&e),
        };
        let mut history = front.bus.lock_history();
        let (position, applied) = (checkpoint.position, history.position());
        if position > applied && !checkpoint.nodes.is_empty() {
            adopt(&front, &mut history, checkpoint, Some(applied));
            file.count_adopted();
            // The other process may end, and its checkpoint would then not be refreshed any more.
            self.refresh_at = Some(Instant::now() + REFRESH_INTERVAL);
            tracing::info!(offset = position.offset, "watch: applied the checkpoint of another process");
        }
    }

    fn warn_of_unusable_file(&mut self, error: &LoadError) {
        self.warn_once(&format!("the checkpoint of another process is refused: {error}"));
    }

    /// Logs a warning, unless it was the last one.
    fn warn_once(&mut self, warning: &str) {
        if self.last_error.as_deref() != Some(warning) {
            tracing::warn!("watch: {warning}");
            self.last_error = Some(warning.into());
        }
    }

    /// Stores a checkpoint of the present state and determines when the next one may be stored.
    fn store(&mut self) {
        let begin = Instant::now();
        let front = self.front.clone();
        let Some(file) = &front.checkpoint_file else { return };
        match self.store_in(file) {
            Ok(outcome) => {
                self.change_pending = false;
                self.last_error = None;
                let pause = (STORE_PAUSE_FACTOR * begin.elapsed()).max(MIN_STORE_PAUSE);
                self.store_not_before = Instant::now() + pause;
                if outcome == StoreOutcome::Stored {
                    file.count_stored();
                }
            }
            Err(e) => {
                self.store_not_before = Instant::now() + RETRY_INTERVAL;
                file.count_failed();
                self.warn_once(&format!("no checkpoint is stored in {}: {e}", file.path().display()));
            }
        }
    }

    fn store_in(&mut self, file: &CheckpointFile) -> io::Result<StoreOutcome> {
        let front = self.front.clone();
        self.refresh_at = None;
        let Some(capture) = self.capture()? else { return Ok(StoreOutcome::NothingToStore) };
        let Some((_, nodes)) = &self.encoded_nodes else { return Ok(StoreOutcome::NothingToStore) };
        let Capture { position, start_ages_ms, purges, .. } = &capture;
        let first_lines = watch_checkpoint::encode(file.identity(), *position, nodes, start_ages_ms, purges)?;
        let has_ages = !start_ages_ms.is_empty() || !purges.is_empty();
        self.refresh_at = has_ages.then(|| Instant::now() + REFRESH_INTERVAL);
        // The other process stores the same event at the same moment, and has the lock for some milliseconds.
        let is_locked = |e: &io::Error| e.kind() == ErrorKind::WouldBlock;
        retry_with_backoff(LOCK_RETRY_PERIOD, is_locked, |_| {
            file.store(*position, &[first_lines.as_bytes(), nodes.as_bytes()], &front.names)
        })
    }

    /// Captures the present state and encodes its nodes, if they have changed. `None` if there is no state that
    /// another process could continue from.
    fn capture(&mut self) -> io::Result<Option<Capture>> {
        let front = self.front.clone();
        let now = front.clock.now();
        let mut history = front.bus.lock_history();
        if history.is_replaying() || history.state().nodes().next().is_none() {
            return Ok(None);
        }
        let position = history.position();
        let state = history.state();
        let capture = Capture {
            position,
            nodes_version: state.nodes_version(),
            start_ages_ms: self.start_ages_ms(state.nodes().map(|node| &node.entry), now),
            purges: state
                .purges_since(now - self.settings.purge_retention_ms)
                .map(|purge| CheckpointPurge {
                    position: purge.position,
                    object: purge.object,
                    group: purge.group,
                    age_ms: now - purge.at_ms,
                })
                .collect(),
        };
        if self.encoded_nodes.as_ref().is_none_or(|(version, _)| *version != capture.nodes_version) {
            let nodes: Vec<_> = state.nodes().cloned().collect();
            drop(history);
            self.encoded_nodes = Some((capture.nodes_version, EncodedNodes::new(&nodes, &front.names)?));
        }
        Ok(Some(capture))
    }

    /// The ages of the nodes that may be in slow start.
    fn start_ages_ms<'a>(
        &self,
        entries: impl Iterator<Item = &'a fernslip::Entry>,
        now: f64,
    ) -> BTreeMap<CacheId, f64> {
        let starts = self.front.bus.starts();
        let started = entries.filter(|entry| entry.started_ms > 0.0 && entry.phase != Phase::Out);
        let ages = started.filter_map(|entry| {
            let age_ms = now - starts.known_clock_time(&entry.cache, entry.started_ms)?;
            (age_ms < self.settings.slow_start_ms).then(|| (entry.cache.clone(), age_ms))
        });
        ages.collect()
    }
}
