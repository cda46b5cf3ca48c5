//! The history of the discovery watch: which numbered events this front has received, and what each further
//! line of the event bus adds. It turns lines into events and uses no sockets.
//!
//! Events arrive in order. An event that was already received is skipped. A gap in the offsets ends the
//! connection, so that the next one requests everything missing. A bus whose last offset is lower than this
//! front's has restarted its numbering or lost events: it is asked to replay everything, and what it replays
//! up to its last offset counts as one complete endpoint list. A node that was known to be draining stays
//! draining in that list unless it has started since, because the event about its drain may be among those
//! lost.

use super::watch_event::{self, Line, ListedNode, WatchEvent};
use super::watch_state::{ReportedPurge, WatchPosition, WatchState};
use crate::log::Reason;
use fernslip::json::{JsonError, Names};
use fernslip::{CacheId, Entry, Phase};
use std::collections::BTreeMap;

/// The number of consecutive last offsets below this front's offset after which the bus counts as renumbered.
/// A single low offset proves nothing: the bus may have read its last offset just before it sent a newer
/// event.
const LOW_OFFSETS_BEFORE_REPLAY: u32 = 2;

/// The result of processing one line of the event bus.
#[derive(Debug)]
pub enum ReceivedLine {
    /// The line contains no event that is to be applied now.
    NothingNew,
    /// The line completes the event with this offset, which is to be applied.
    Event(u64, WatchEvent),
    /// The event with this offset cannot be parsed. It counts as received, or it would be requested again
    /// forever.
    Unreadable(u64, JsonError),
}

/// The progress of the replay of all events that a renumbered bus was asked for.
#[derive(Debug, Default)]
enum Replay {
    /// No replay is in progress.
    #[default]
    None,
    /// A replay is requested, and it has not yet contained a complete endpoint list.
    AwaitingList,
    /// The nodes of the complete list that was replayed, with the updates replayed after it.
    Collecting(BTreeMap<CacheId, ListedNode>),
}

/// A gap in the offsets: the last event received, and the offset that followed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OffsetGap {
    after: u64,
    before: u64,
}

/// The state of the event stream: the last offset received, and what is needed to detect gaps and
/// renumbering.
pub struct WatchHistory {
    position: WatchPosition,
    state: WatchState,
    replay: Replay,
    /// The number of consecutive last offsets from the bus that were below this front's.
    low_offsets: u32,
    /// The gap whose events were last requested from the bus. `None` once an event has been accepted since.
    requested_gap: Option<OffsetGap>,
}

impl WatchHistory {
    /// Creates a history in which all events up to `offset` count as received.
    pub fn new(offset: u64) -> WatchHistory {
        WatchHistory {
            position: WatchPosition { generation: 0, offset },
            state: WatchState::default(),
            replay: Replay::None,
            low_offsets: 0,
            requested_gap: None,
        }
    }

    /// Returns the offset of the last event received; a new connection requests the events after it.
    pub fn offset(&self) -> u64 {
        self.position.offset
    }

    /// Returns the position of the last event received.
    pub fn position(&self) -> WatchPosition {
        self.position
    }

    /// Returns whether the bus is replaying all events. Until it is done, the state is that of the events
    /// before, and the position does not belong to it.
    pub fn is_replaying(&self) -> bool {
        !matches!(self.replay, Replay::None)
    }

    /// Returns what the watch has reported so far.
    pub fn state(&mut self) -> &mut WatchState {
        &mut self.state
    }

    /// Records the nodes that an event lists; also called for the events known at start.
    pub fn record_nodes(&mut self, event: &WatchEvent) {
        if let WatchEvent::EndpointList { full, nodes } = event {
            self.state.record_nodes(*full, nodes);
        }
    }

    /// Continues from a later position that another process of this front has reached: with the nodes that it
    /// knows there, and with those of its purges that are new to this one.
    pub fn advance_to_other(
        &mut self,
        position: WatchPosition,
        nodes: &[ListedNode],
        purges: impl IntoIterator<Item = ReportedPurge>,
    ) {
        self.position = position;
        self.state.record_nodes(true, nodes);
        purges.into_iter().for_each(|purge| self.state.record_purge(purge));
        (self.replay, self.low_offsets, self.requested_gap) = (Replay::None, 0, None);
    }

    /// Processes one line from the bus, without its line end.
    ///
    /// # Errors
    /// Returns the reason why the connection must be closed: events are missing, the bus has restarted its
    /// numbering, or the line is malformed.
    pub fn receive(&mut self, line: &[u8], names: &Names) -> Result<ReceivedLine, Reason> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(ReceivedLine::NothingNew);
        }
        let (offset, event) = match watch_event::split_line(line).ok_or(Reason::Malformed)? {
            Line::LastOffset(last) => return self.receive_last_offset(last),
            Line::Event(offset, event) => (offset, event),
        };
        if offset <= self.position.offset {
            return Ok(ReceivedLine::NothingNew);
        }
        let parsed = event.parse(names);
        self.advance_to(offset, &parsed)?;
        let event = match parsed {
            Ok(event) => event,
            Err(e) => return Ok(ReceivedLine::Unreadable(offset, e)),
        };
        let Some(event) = self.collect_replayed_event(event) else { return Ok(ReceivedLine::NothingNew) };
        self.record_nodes(&event);
        Ok(ReceivedLine::Event(offset, event))
    }

    /// Advances to the event with this `offset`.
    ///
    /// A complete endpoint list replaces everything before it, so a gap before it does not matter. Any other
    /// event after a gap is requested once more, together with the missing events. If the bus then repeats it
    /// without them, the event is accepted, or the missing events would be requested forever.
    ///
    /// # Errors
    /// Returns [`Reason::MissingEvents`] if the missing events must be requested first.
    fn advance_to(&mut self, offset: u64, parsed: &Result<WatchEvent, JsonError>) -> Result<(), Reason> {
        let is_complete = matches!(parsed, Ok(WatchEvent::EndpointList { full: true, .. }));
        let gap = OffsetGap { after: self.offset(), before: offset };
        if offset > self.offset() + 1 && !is_complete && self.requested_gap.replace(gap) != Some(gap) {
            return Err(Reason::MissingEvents);
        }
        (self.position.offset, self.low_offsets, self.requested_gap) = (offset, 0, None);
        Ok(())
    }

    /// Collects an endpoint-list event while a replay is in progress; returns any other event for immediate
    /// use.
    fn collect_replayed_event(&mut self, event: WatchEvent) -> Option<WatchEvent> {
        match (&mut self.replay, event) {
            (Replay::None, event) => Some(event),
            (replay, WatchEvent::EndpointList { full, nodes }) => {
                if full {
                    *replay = Replay::Collecting(BTreeMap::new());
                }
                if let Replay::Collecting(collected) = replay {
                    collected.extend(nodes.into_iter().map(|n| (n.entry.cache.clone(), n)));
                }
                None
            }
            (_, event) => Some(event),
        }
    }

    /// Processes the bus's last offset, which the bus sends each second.
    fn receive_last_offset(&mut self, last: u64) -> Result<ReceivedLine, Reason> {
        if last > self.offset() {
            return Err(Reason::MissingEvents);
        }
        self.low_offsets = if last < self.offset() { self.low_offsets + 1 } else { 0 };
        if self.low_offsets >= LOW_OFFSETS_BEFORE_REPLAY {
            self.position = WatchPosition { generation: self.position.generation + 1, offset: 0 };
            (self.low_offsets, self.replay) = (0, Replay::AwaitingList);
            return Err(Reason::Renumbered);
        }
        if last < self.offset() {
            return Ok(ReceivedLine::NothingNew);
        }
        // The bus's last offset is reached, so a replay in progress is complete.
        let Replay::Collecting(collected) = std::mem::take(&mut self.replay) else {
            return Ok(ReceivedLine::NothingNew);
        };
        let event = self.endpoint_list_from_replay(collected);
        self.record_nodes(&event);
        Ok(ReceivedLine::Event(self.offset(), event))
    }

    /// Builds the complete endpoint list from a replay. Nodes known to be draining stay draining unless they
    /// have restarted.
    fn endpoint_list_from_replay(&self, collected: BTreeMap<CacheId, ListedNode>) -> WatchEvent {
        let still_drains = |e: &Entry| {
            self.state.out_of_service_start_ms(&e.cache).is_some_and(|started| started >= e.started_ms)
        };
        let present = collected.into_values().filter(|n| n.entry.phase != Phase::Out);
        let nodes = present.map(|ListedNode { entry, addr }| {
            let drains = entry.phase == Phase::In && still_drains(&entry);
            let phase = if drains { Phase::Draining } else { entry.phase };
            ListedNode { entry: Entry { phase, ..entry }, addr }
        });
        WatchEvent::EndpointList { full: true, nodes: nodes.collect() }
    }
}

#[cfg(test)]
mod tests;
