//! An in-memory disk with the faults of real ones: it loses unsynced writes, tears writes, reports syncs it did not make,
//! flips bits, is full, fails to sync, stalls, and is restored from an earlier copy. Deterministic by its seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A write may be torn at each multiple of this, in bytes.
const SECTOR_BYTES: usize = 512;

/// The faults of a disk.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Syncs are reported as done and are not made.
    pub ignores_syncs: bool,
    /// Power fails before the operation of that number (writes, syncs, changes of length), counted from 0: that one and
    /// all later ones fail, and nothing of them is on the disk.
    pub power_fails_at: Option<u64>,
    /// The sync of that number, counted from 0, fails.
    pub failing_sync: Option<u64>,
    /// Capacity in bytes.
    pub capacity_bytes: Option<u64>,
    /// A loss of power drops every unsynced change of length; unsynced writes survive, are torn, or are lost as
    /// without this fault. A write that survives then sets the length.
    pub loses_lengths: bool,
    /// How long each sync takes.
    pub sync_delay: Duration,
}

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug)]
struct State {
    /// The contents after a loss of power that loses every unsynced operation.
    durable: Vec<u8>,
    /// The contents that programs see.
    visible: Vec<u8>,
    /// Operations since the last sync that was made.
    unsynced: Vec<Op>,
    faults: Faults,
    ops: u64,
    syncs: u64,
    rng: ChaCha8Rng,
    /// Number of the handle that is valid; earlier ones fail.
    current_handle: u64,
}

/// The disk, as the test controls it; programs get a [`FaultyDisk::disk`].
#[derive(Clone, Debug)]
pub struct FaultyDisk(Arc<Mutex<State>>);

/// A program's handle on the disk.
#[derive(Debug)]
pub struct FaultyDiskHandle {
    disk: FaultyDisk,
    number: u64,
}

fn apply(to: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(n) => to.resize(*n as usize, 0),
        Op::Write(at, data) => {
            let end = *at as usize + data.len();
            if to.len() < end {
                to.resize(end, 0);
            }
            to[*at as usize..end].copy_from_slice(data);
        }
    }
}

impl FaultyDisk {
    /// An empty disk without faults.
    pub fn new(seed: u64) -> FaultyDisk {
        FaultyDisk(Arc::new(Mutex::new(State {
            durable: Vec::new(),
            visible: Vec::new(),
            unsynced: Vec::new(),
            faults: Faults::default(),
            ops: 0,
            syncs: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            current_handle: 0,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A handle for a program that starts; earlier handles fail from now on.
    pub fn disk(&self) -> FaultyDiskHandle {
        let mut state = self.lock();
        state.current_handle += 1;
        FaultyDiskHandle { disk: self.clone(), number: state.current_handle }
    }

    /// Sets the faults from now on and counts operations anew.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        (state.faults, state.syncs, state.ops) = (faults, 0, 0);
    }

    /// Number of operations since faults were last set.
    pub fn ops(&self) -> u64 {
        self.lock().ops
    }

    /// Loses power and comes back: each unsynced operation survives, is torn, or is lost.
    pub fn power_loss(&self) {
        let mut state = self.lock();
        let State { durable, unsynced, rng, faults, .. } = &mut *state;
        for op in unsynced.drain(..) {
            match (rng.random_range(0..3), &op) {
                (0, _) => {}
                (_, Op::Length(_)) if faults.loses_lengths => {}
                (1, Op::Write(at, data)) => {
                    let sectors = data.len().div_ceil(SECTOR_BYTES);
                    let survives = rng.random_range(0..=sectors) * SECTOR_BYTES;
                    let torn = Op::Write(*at, data[..survives.min(data.len())].to_vec());
                    apply(durable, &torn);
                }
                _ => apply(durable, &op),
            }
        }
        state.visible = state.durable.clone();
        state.faults = Faults::default();
        state.current_handle += 1;
    }

    /// A copy of the durable bytes, for [`FaultyDisk::restore`].
    pub fn copy(&self) -> Vec<u8> {
        self.lock().durable.clone()
    }

    /// Restores the disk from an earlier copy.
    pub fn restore(&self, copy: Vec<u8>) {
        let mut state = self.lock();
        (state.visible, state.durable) = (copy.clone(), copy);
        state.unsynced.clear();
        state.current_handle += 1;
    }

    /// Flips that many bits anywhere in the durable bytes.
    pub fn flip_bits(&self, bits: usize) {
        let mut state = self.lock();
        let len = state.durable.len();
        for _ in 0..if len > 0 { bits } else { 0 } {
            let (at, bit) = (state.rng.random_range(0..len), state.rng.random_range(0..8));
            state.durable[at] ^= 1 << bit;
        }
        state.visible = state.durable.clone();
    }
}

impl FaultyDiskHandle {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.disk.lock();
        match state.current_handle == self.number {
            true => Ok(state),
            false => Err(io::Error::other("another program has this disk")),
        }
    }

    /// Counts an operation that changes the disk, unless power has failed.
    fn count_change(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state()?;
        let number = state.ops;
        if state.faults.power_fails_at.is_some_and(|at| number >= at) {
            return Err(io::Error::other("no power"));
        }
        state.ops += 1;
        Ok(state)
    }
}

impl StorageBackend for FaultyDiskHandle {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state()?.visible.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let state = self.state()?;
        let at = offset as usize;
        state.visible.get(at..at + len).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.count_change()?;
        if state.faults.capacity_bytes.is_some_and(|capacity| len > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut state.visible, &Op::Length(len));
        state.unsynced.push(Op::Length(len));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let delay = self.state()?.faults.sync_delay;
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        let mut state = self.count_change()?;
        let number = state.syncs;
        state.syncs += 1;
        if state.faults.failing_sync == Some(number) {
            return Err(io::Error::other("sync failed"));
        }
        if !state.faults.ignores_syncs {
            let synced: Vec<Op> = state.unsynced.drain(..).collect();
            synced.iter().for_each(|op| apply(&mut state.durable, op));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.count_change()?;
        let op = Op::Write(offset, data.to_vec());
        if state.faults.capacity_bytes.is_some_and(|capacity| offset + data.len() as u64 > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut state.visible, &op);
        state.unsynced.push(op);
        Ok(())
    }
}
