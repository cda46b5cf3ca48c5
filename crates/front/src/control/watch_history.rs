//! The history of the discovery watch: which of its numbered events this front has, and what each line of the event bus
//! adds. Lines in, events out; no sockets.
//!
//! Events come in order. A known one is skipped, and a gap ends the connection, so that everything missing is requested
//! again. A bus whose last offset is lower than this front's has restarted its numbering or lost events: it is asked to
//! replay everything, and what it replays up to its last offset counts as one complete endpoint list. A node that was
//! known to be draining stays draining in that list unless it has started since: its event may be among those lost.

use super::watch_event::{self, ListedNode, WatchEvent};
use crate::log::Reason;
use fernslip::json::{JsonError, Names};
use fernslip::{CacheId, Entry, Phase};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// Consecutive last offsets below this front's that show a renumbered bus: a single one may have been read just before
/// an event that was written first.
const LOW_OFFSETS_OF_RENUMBERING: u32 = 2;

/// What a line of the event bus amounts to.
#[derive(Debug)]
pub enum Line {
    /// It adds nothing.
    NothingNew,
    /// The event of that offset, and what to apply for it.
    Event(u64, WatchEvent),
    /// The event of that offset can't be parsed. It counts as received: else it would be requested for ever.
    Unreadable(u64, JsonError),
}

/// How far a replay of everything has come, which a renumbered bus was asked for.
#[derive(Debug, Default)]
enum Replay {
    /// No replay is under way.
    #[default]
    None,
    /// Nothing of the replay is a complete endpoint list yet.
    AwaitingList,
    /// The nodes of the complete list with the updates replayed after it.
    Collecting(BTreeMap<CacheId, ListedNode>),
}

/// A gap in the offsets: the last event received, and the offset that followed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
    after: u64,
    before: u64,
}

/// The events received so far.
pub struct History {
    offset: u64,
    /// Nodes that drain or have departed, with their reported start in Unix milliseconds.
    draining: HashMap<CacheId, f64>,
    replay: Replay,
    /// Consecutive last offsets that were too low.
    low_offsets: u32,
    /// The gap that the bus was last asked to fill.
    requested_gap: Option<Gap>,
}

impl History {
    /// A history in which all events up to `offset` are received.
    pub fn new(offset: u64) -> History {
        History {
            offset,
            draining: HashMap::new(),
            replay: Replay::None,
            low_offsets: 0,
            requested_gap: None,
        }
    }

    /// Offset of the last event received: what follows it is to be requested.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Notes the draining nodes of an event, such as one known at start.
    pub fn observe(&mut self, event: &WatchEvent) {
        let WatchEvent::EndpointList { full, nodes } = event else { return };
        if *full {
            self.draining.clear();
        }
        for ListedNode { entry, .. } in nodes {
            match entry.phase {
                Phase::In => drop(self.draining.remove(&entry.cache)),
                _ => drop(self.draining.insert(entry.cache.clone(), entry.started_ms)),
            }
        }
    }

    /// Takes one line of the bus, without its line end.
    ///
    /// # Errors
    /// Why the connection is of no further use: events are missing, the numbering restarts, or it is no line of a bus.
    pub fn receive(&mut self, line: &[u8], names: &Names) -> Result<Line, Reason> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(Line::NothingNew);
        }
        let value: Value = serde_json::from_slice(line).map_err(|_| Reason::Malformed)?;
        if let Some(last) = value.as_u64() {
            return self.receive_last_offset(last);
        }
        let offset = value["offset"].as_u64().ok_or(Reason::Malformed)?;
        if offset <= self.offset {
            return Ok(Line::NothingNew);
        }
        let parsed = watch_event::parse(&value, names);
        self.advance(offset, &parsed)?;
        let event = match parsed {
            Ok(event) => event,
            Err(e) => return Ok(Line::Unreadable(offset, e)),
        };
        let Some(event) = self.collect_replayed(event) else { return Ok(Line::NothingNew) };
        self.observe(&event);
        Ok(Line::Event(offset, event))
    }

    /// Moves on to the event of `offset`.
    ///
    /// A complete list replaces all before it. Anything else behind a gap is requested once more together with what is
    /// missing; a bus that then repeats it without the missing events is believed, or it would be asked for ever.
    ///
    /// # Errors
    /// [`Reason::Gap`]: the missing events are to be requested first.
    fn advance(&mut self, offset: u64, parsed: &Result<WatchEvent, JsonError>) -> Result<(), Reason> {
        let is_complete = matches!(parsed, Ok(WatchEvent::EndpointList { full: true, .. }));
        let gap = Gap { after: self.offset, before: offset };
        if offset > self.offset + 1 && !is_complete && self.requested_gap.replace(gap) != Some(gap) {
            return Err(Reason::Gap);
        }
        (self.offset, self.low_offsets, self.requested_gap) = (offset, 0, None);
        Ok(())
    }

    /// Collects an endpoint-list event of a replay; gives back any other event.
    fn collect_replayed(&mut self, event: WatchEvent) -> Option<WatchEvent> {
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

    /// Takes the bus's last offset, which it sends each second.
    fn receive_last_offset(&mut self, last: u64) -> Result<Line, Reason> {
        if last > self.offset {
            return Err(Reason::Gap);
        }
        self.low_offsets = if last < self.offset { self.low_offsets + 1 } else { 0 };
        if self.low_offsets >= LOW_OFFSETS_OF_RENUMBERING {
            (self.offset, self.low_offsets, self.replay) = (0, 0, Replay::AwaitingList);
            return Err(Reason::Renumbered);
        }
        if last < self.offset {
            return Ok(Line::NothingNew);
        }
        // A replay, if one was under way, is complete.
        let Replay::Collecting(collected) = std::mem::take(&mut self.replay) else {
            return Ok(Line::NothingNew);
        };
        let event = self.list_of_replay(collected);
        self.observe(&event);
        Ok(Line::Event(self.offset, event))
    }

    /// The complete endpoint list that a replay amounts to; nodes known to be draining stay so unless they have restarted.
    fn list_of_replay(&self, collected: BTreeMap<CacheId, ListedNode>) -> WatchEvent {
        let still_drains =
            |e: &Entry| self.draining.get(&e.cache).is_some_and(|started| *started >= e.started_ms);
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
