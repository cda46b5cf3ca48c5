//! What a front has of the event bus's numbered events, and what it makes of each line: lines in, events out. No sockets.
//!
//! Events come in order. One that is known already is passed over, and a gap ends the connection, so that all that is
//! missing is asked for again. A bus whose last number is lower than what this front has begun its numbers anew, or
//! lost some: it is asked for everything, and what it tells up to its last number counts as one whole list. A machine
//! that drained by what was known stays draining in that list, as long as it has not started since: its event may be
//! among those that were lost.

use crate::discovery_watch::{event, Event};
use crate::log::Reason;
use fernslip::json::{JsonError, Names};
use fernslip::{CacheId, Entry, Phase};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A line of the bus, read.
#[derive(Debug)]
pub enum Line {
    /// It tells nothing new.
    Nothing,
    /// Event of that number; what follows from it.
    Event(u64, Event),
    /// Event of that number can't be read. It counts as had: else it would come for ever.
    Unread(u64, JsonError),
}

type Server = (Entry, Option<SocketAddr>);

/// The events so far.
pub struct History {
    offset: u64,
    /// Machines that drain or are gone, and when they had started, in the bus's own time.
    drained: HashMap<CacheId, f64>,
    /// The bus tells everything anew: the machines so far, if a whole list was among it.
    anew: Option<Option<BTreeMap<CacheId, Server>>>,
    /// Last numbers in a row that were too low.
    low: u32,
    /// The last event that was had, and the one that came next though others lie between.
    gap: Option<(u64, u64)>,
}

/// So many last numbers in a row that are too low show a bus that has begun anew: one alone may have been read just before
/// an event that was written first.
const LOW: u32 = 2;

impl History {
    /// All up to event number `offset` is had.
    pub fn new(offset: u64) -> History {
        History { offset, drained: HashMap::new(), anew: None, low: 0, gap: None }
    }

    /// Number of the last event that is had: what comes after it is to be asked for.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Takes in the events that a front is told of at its start.
    pub fn learn(&mut self, e: &Event) {
        let Event::List { full, servers } = e else { return };
        if *full {
            self.drained.clear();
        }
        for (e, _) in servers {
            match e.phase {
                Phase::In => drop(self.drained.remove(&e.cache)),
                _ => drop(self.drained.insert(e.cache.clone(), e.born_ms)),
            }
        }
    }

    /// Takes one line, without its end.
    ///
    /// # Errors
    /// Why the connection is of no further use: events are missing, the numbers begin anew, or it is no line of a bus.
    pub fn line(&mut self, text: &[u8], names: &Names) -> Result<Line, Reason> {
        if text.iter().all(u8::is_ascii_whitespace) {
            return Ok(Line::Nothing);
        }
        let v: Value = serde_json::from_slice(text).map_err(|_| Reason::Malformed)?;
        if let Some(last) = v.as_u64() {
            return self.last(last);
        }
        let number = v["offset"].as_u64().ok_or(Reason::Malformed)?;
        if number <= self.offset {
            return Ok(Line::Nothing);
        }
        let read = event(&v, names);
        // A whole list stands for all before it. Anything else behind a gap is asked for once more, with what is missing; a
        // bus that tells it again without is taken at its word, or it would be asked for ever.
        let whole = matches!(read, Ok(Event::List { full: true, .. }));
        let gap = (self.offset, number);
        if number > self.offset + 1 && !whole && self.gap.replace(gap) != Some(gap) {
            return Err(Reason::Gap);
        }
        (self.offset, self.low, self.gap) = (number, 0, None);
        let read = match read {
            Ok(e) => e,
            Err(e) => return Ok(Line::Unread(number, e)),
        };
        let event = match (&mut self.anew, read) {
            (Some(all), Event::List { full, servers }) => {
                if full {
                    *all = Some(BTreeMap::new());
                }
                if let Some(all) = all {
                    all.extend(servers.into_iter().map(|s| (s.0.cache.clone(), s)));
                }
                return Ok(Line::Nothing);
            }
            (_, event) => event,
        };
        self.learn(&event);
        Ok(Line::Event(number, event))
    }

    /// The bus's last number.
    fn last(&mut self, last: u64) -> Result<Line, Reason> {
        if last > self.offset {
            return Err(Reason::Gap);
        }
        self.low = if last < self.offset { self.low + 1 } else { 0 };
        if self.low >= LOW {
            (self.offset, self.low, self.anew) = (0, 0, Some(None));
            return Err(Reason::Renumbered);
        }
        if last < self.offset {
            return Ok(Line::Nothing);
        }
        // All that was told anew is there.
        let Some(Some(all)) = self.anew.take() else { return Ok(Line::Nothing) };
        let stays = |e: &Entry| self.drained.get(&e.cache).is_some_and(|born| *born >= e.born_ms);
        let servers = all.into_values().filter(|(e, _)| e.phase != Phase::Out).map(|(e, addr)| {
            let phase = if e.phase == Phase::In && stays(&e) { Phase::Draining } else { e.phase };
            (Entry { phase, ..e }, addr)
        });
        let event = Event::List { full: true, servers: servers.collect() };
        self.learn(&event);
        Ok(Line::Event(self.offset, event))
    }
}

#[cfg(test)]
#[path = "watch_history/tests.rs"]
mod tests;
