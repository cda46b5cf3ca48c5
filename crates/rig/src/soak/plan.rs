//! Which trouble comes when: two or three at any time, drawn by the seed before the run begins.

use super::bus::Mode as BusMode;
use super::nodes::Mode as NodeMode;
use super::Dice;
use crate::shim::Fault;
use std::time::Duration;

/// Between the beginnings of two troubles, in milliseconds; each lasts longer than this, as a rule.
const GAP_MS: std::ops::Range<u64> = 150..800;
/// How long one lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 400..3_500;
/// Steps of a wall clock, in milliseconds.
const STEPS_MS: [i64; 4] = [-3_600_000, 3_600_000, -5_000, 5_000];

/// What happens.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// A front is told to end by SIGTERM, and starts again.
    Terminate(usize),
    /// A front is killed, and starts again.
    Kill(usize),
    /// A front stands still for a moment.
    Pause(usize),
    /// A front gets a new configuration, with another address of the bus.
    Reload(usize),
    /// A front is emptied, and activated.
    Evacuate(usize),
    /// A front's operators take a node out and put it back.
    Exclude(usize, usize),
    /// A node behaves otherwise for a while.
    Upset(usize, NodeMode),
    /// The link between a front and a node stands still, and goes on with what was on it.
    Stall(usize, usize),
    /// A node drains, leaves, and comes back as another process.
    Replace(usize),
    /// The bus behaves otherwise towards a front.
    Bus(usize, BusMode),
    /// The bus behaves otherwise towards all.
    BusForAll(BusMode),
    /// So many objects are purged, hot ones first.
    Purge(u64),
    /// A front's wall clock is stepped by so many milliseconds.
    Step(usize, i64),
    /// Some system calls of a front fail, so many of a thousand.
    Calls(usize, Vec<(Fault, i64)>),
    /// A front has so many bad clients.
    Misbehave(usize, u64),
}

/// One trouble, its beginning after that of the run, and how long it lasts.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it begins.
    pub after: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub what: Trouble,
}

/// All troubles of a run over that time, for so many fronts and nodes, of which the last `sources` are parents and the origin.
pub fn draw(seed: u64, over: Duration, fronts: usize, nodes: usize, sources: usize) -> Vec<Planned> {
    let dice = Dice::new(seed, 5_000);
    let mut all = Vec::new();
    let mut after = Duration::from_millis(500);
    while after < over {
        let lasts = Duration::from_millis(dice.number(LASTS_MS));
        all.push(Planned { after, lasts, what: trouble(&dice, fronts, nodes, sources) });
        after += Duration::from_millis(dice.number(GAP_MS));
    }
    all
}

fn trouble(dice: &Dice, fronts: usize, nodes: usize, sources: usize) -> Trouble {
    let front = dice.number(0..fronts as u64) as usize;
    let cache = dice.number(0..(nodes - sources) as u64) as usize;
    // Sources have less trouble: without any nothing can be filled, and nothing would be seen.
    let node = if dice.hits(0.15) { nodes - 1 - dice.number(0..sources as u64) as usize } else { cache };
    match dice.number(0..22) {
        0 | 1 => Trouble::Terminate(front),
        2 => Trouble::Kill(front),
        3 => Trouble::Pause(front),
        4 | 5 => Trouble::Reload(front),
        6 => Trouble::Evacuate(front),
        7 => Trouble::Exclude(front, cache),
        8 => Trouble::Stall(front, node),
        9 | 10 => Trouble::Replace(cache),
        11 => Trouble::Bus(front, bus_mode(dice)),
        12 => Trouble::BusForAll(bus_mode(dice)),
        13 | 14 => Trouble::Purge(dice.number(3..60)),
        15 => Trouble::Step(front, *dice.one(&STEPS_MS)),
        16 | 17 => Trouble::Calls(front, calls(dice)),
        18 => Trouble::Misbehave(front, dice.number(5..80)),
        _ => Trouble::Upset(node, node_mode(dice)),
    }
}

fn bus_mode(dice: &Dice) -> BusMode {
    match dice.number(0..4) {
        0 => BusMode::Down,
        1 => BusMode::Mute,
        _ => BusMode::Late(Duration::from_millis(dice.number(20..400))),
    }
}

fn node_mode(dice: &Dice) -> NodeMode {
    match dice.number(0..8) {
        0 | 1 => NodeMode::Hangs,
        2 => NodeMode::Dead,
        3 => NodeMode::Slow(dice.number(50..900)),
        4 => NodeMode::Fails,
        5 => NodeMode::Full,
        6 => NodeMode::Resets,
        _ => NodeMode::Spoils,
    }
}

fn calls(dice: &Dice) -> Vec<(Fault, i64)> {
    let rate = || dice.number(20..300) as i64;
    Fault::RATES.into_iter().filter(|_| dice.hits(0.5)).map(|fault| (fault, rate())).collect()
}

#[cfg(test)]
#[path = "plan/tests.rs"]
mod tests;
