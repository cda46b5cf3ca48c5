//! An in-memory disk with the faults of real disks: it loses or tears unsynced writes, reports syncs that it
//! did not make, flips bits, runs full, fails to sync, stalls, and is restored from an earlier copy. Equal
//! seeds give equal faults.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Size of a disk sector in bytes: a torn write ends at a multiple of it.
const SECTOR_BYTES: usize = 512;

/// The faults that a disk is to show.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Syncs are reported as successful but make nothing durable.
    pub ignores_syncs: bool,
    /// Number of the operation (a write, a sync or a change of length), counted from 0, before which power
    /// fails: this and all later operations fail and leave nothing on the disk.
    pub power_fails_at: Option<u64>,
    /// Number of the sync that fails, counted from 0.
    pub failing_sync: Option<u64>,
    /// Capacity of the disk in bytes; `None` if unlimited.
    pub capacity_bytes: Option<u64>,
    /// A loss of power drops every unsynced change of length. Unsynced writes survive, are torn or are lost
    /// as without this fault; a write that survives then sets the length.
    pub loses_lengths: bool,
    /// Duration of each sync.
    pub sync_delay: Duration,
}

#[derive(Clone, Debug)]
enum DiskOperation {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug)]
struct DiskState {
    /// The contents after a loss of power that loses every unsynced operation.
    durable: Vec<u8>,
    /// The contents that programs read.
    visible: Vec<u8>,
    /// Operations since the last sync that took effect.
    unsynced: Vec<DiskOperation>,
    faults: Faults,
    ops: u64,
    syncs: u64,
    rng: ChaCha8Rng,
    /// Number of the only valid handle; operations on earlier handles fail.
    current_handle: u64,
}

/// A simulated disk, as the test controls it; programs use a handle from [`FaultyDisk::open_handle`].
#[derive(Clone, Debug)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

/// A program's handle on a simulated disk.
#[derive(Debug)]
pub struct FaultyDiskHandle {
    disk: FaultyDisk,
    number: u64,
}

fn apply_operation(contents: &mut Vec<u8>, operation: &DiskOperation) {
    match operation {
        DiskOperation::Length(n) => contents.resize(*n as usize, 0),
        DiskOperation::Write(at, data) => {
            let end = *at as usize + data.len();
            if contents.len() < end {
                contents.resize(end, 0);
            }
            contents[*at as usize..end].copy_from_slice(data);
        }
    }
}

impl FaultyDisk {
    /// Creates an empty disk without faults; `seed` seeds the random effects of faults.
    pub fn new(seed: u64) -> FaultyDisk {
        FaultyDisk(Arc::new(Mutex::new(DiskState {
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

    fn lock_state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a handle for a program that starts; all earlier handles fail from then on.
    pub fn open_handle(&self) -> FaultyDiskHandle {
        let mut state = self.lock_state();
        state.current_handle += 1;
        FaultyDiskHandle { disk: self.clone(), number: state.current_handle }
    }

    /// Sets the faults that apply from now on, and counts operations and syncs from 0 again.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock_state();
        (state.faults, state.syncs, state.ops) = (faults, 0, 0);
    }

    /// Number of operations since the faults were last set.
    pub fn operation_count(&self) -> u64 {
        self.lock_state().ops
    }

    /// Simulates a loss of power and a restart: each unsynced operation survives, is torn or is lost. The
    /// disk has no faults afterwards.
    pub fn lose_power(&self) {
        let mut state = self.lock_state();
        let DiskState { durable, unsynced, rng, faults, .. } = &mut *state;
        for op in unsynced.drain(..) {
            match (rng.random_range(0..3), &op) {
                (0, _) => {}
                (_, DiskOperation::Length(_)) if faults.loses_lengths => {}
                (1, DiskOperation::Write(at, data)) => {
                    let sectors = data.len().div_ceil(SECTOR_BYTES);
                    let survives = rng.random_range(0..=sectors) * SECTOR_BYTES;
                    let torn = DiskOperation::Write(*at, data[..survives.min(data.len())].to_vec());
                    apply_operation(durable, &torn);
                }
                _ => apply_operation(durable, &op),
            }
        }
        state.visible = state.durable.clone();
        state.faults = Faults::default();
        state.current_handle += 1;
    }

    /// Returns a copy of the durable contents, for [`FaultyDisk::restore_copy`].
    pub fn copy_durable(&self) -> Vec<u8> {
        self.lock_state().durable.clone()
    }

    /// Replaces the disk's contents by an earlier copy.
    pub fn restore_copy(&self, copy: Vec<u8>) {
        let mut state = self.lock_state();
        (state.visible, state.durable) = (copy.clone(), copy);
        state.unsynced.clear();
        state.current_handle += 1;
    }

    /// Flips `bits` bits at random positions in the durable contents.
    pub fn flip_bits(&self, bits: usize) {
        let mut state = self.lock_state();
        let len = state.durable.len();
        for _ in 0..if len > 0 { bits } else { 0 } {
            let (at, bit) = (state.rng.random_range(0..len), state.rng.random_range(0..8));
            state.durable[at] ^= 1 << bit;
        }
        state.visible = state.durable.clone();
    }
}

impl FaultyDiskHandle {
    fn valid_state(&self) -> io::Result<MutexGuard<'_, DiskState>> {
        let state = self.disk.lock_state();
        match state.current_handle == self.number {
            true => Ok(state),
            false => Err(io::Error::other(
                "this handle is no longer valid: the disk was opened again, restored or lost power",
            )),
        }
    }

    /// Counts an operation that changes the disk; fails if power has failed.
    fn count_change(&self) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.valid_state()?;
        let number = state.ops;
        if state.faults.power_fails_at.is_some_and(|at| number >= at) {
            return Err(io::Error::other("the disk has no power"));
        }
        state.ops += 1;
        Ok(state)
    }
}

impl StorageBackend for FaultyDiskHandle {
    fn len(&self) -> io::Result<u64> {
        Ok(self.valid_state()?.visible.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let state = self.valid_state()?;
        let at = offset as usize;
        state.visible.get(at..at + len).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.count_change()?;
        if state.faults.capacity_bytes.is_some_and(|capacity| len > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply_operation(&mut state.visible, &DiskOperation::Length(len));
        state.unsynced.push(DiskOperation::Length(len));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let delay = self.valid_state()?.faults.sync_delay;
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        let mut state = self.count_change()?;
        let number = state.syncs;
        state.syncs += 1;
        if state.faults.failing_sync == Some(number) {
            return Err(io::Error::other("the sync failed by a simulated fault"));
        }
        if !state.faults.ignores_syncs {
            let synced: Vec<DiskOperation> = state.unsynced.drain(..).collect();
            synced.iter().for_each(|op| apply_operation(&mut state.durable, op));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.count_change()?;
        let op = DiskOperation::Write(offset, data.to_vec());
        if state.faults.capacity_bytes.is_some_and(|capacity| offset + data.len() as u64 > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply_operation(&mut state.visible, &op);
        state.unsynced.push(op);
        Ok(())
    }
}
