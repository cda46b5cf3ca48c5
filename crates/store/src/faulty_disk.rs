//! A disk in memory that does what disks do: loses what was not synced, tears writes, says synced and is not, flips bits,
//! is full, fails to sync, stalls, and comes back as it was an hour ago. Deterministic by its seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A write may be torn at each multiple of this, in bytes.
const SECTOR: usize = 512;

/// What is wrong with it.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// It says synced and is not.
    pub lies: bool,
    /// From the operation of that number on (writes, syncs, changes of length), counted from 0, the machine has no power:
    /// that one and all later ones fail, and nothing of them is on the disk.
    pub dies_at: Option<u64>,
    /// That sync, counted from 0, fails.
    pub fails_sync: Option<u64>,
    /// It holds no more bytes than this.
    pub full_at: Option<u64>,
    /// When power is lost, no change of length that was not synced is there; writes are, or torn, or not, as ever. A
    /// write that is there then sets the length.
    pub loses_lengths: bool,
    /// Each sync takes so long.
    pub stalls: Duration,
}

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug)]
struct State {
    /// What is there after a loss of power.
    durable: Vec<u8>,
    /// What programs see.
    seen: Vec<u8>,
    /// Done since the last sync that was one.
    since: Vec<Op>,
    faults: Faults,
    ops: u64,
    syncs: u64,
    rng: ChaCha8Rng,
    /// The program that has it open; others have lost it.
    opened: u64,
}

/// The disk, as the test holds it; programs get [`FaultyDisk::disk`].
#[derive(Clone, Debug)]
pub struct FaultyDisk(Arc<Mutex<State>>);

/// What a program has of it.
#[derive(Debug)]
pub struct FaultyDiskHandle(FaultyDisk, u64);

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
            seen: Vec::new(),
            since: Vec::new(),
            faults: Faults::default(),
            ops: 0,
            syncs: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            opened: 0,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// For a program that starts; whoever had it before has it no more.
    pub fn disk(&self) -> FaultyDiskHandle {
        let mut s = self.lock();
        s.opened += 1;
        FaultyDiskHandle(self.clone(), s.opened)
    }

    /// What is wrong from now on.
    pub fn faults(&self, faults: Faults) {
        let mut s = self.lock();
        (s.faults, s.syncs, s.ops) = (faults, 0, 0);
    }

    /// Operations since faults were last set.
    pub fn ops(&self) -> u64 {
        self.lock().ops
    }

    /// The machine loses power and has it again: of what was not synced each operation is there, or torn, or not.
    pub fn power_loss(&self) {
        let mut s = self.lock();
        let State { durable, since, rng, faults, .. } = &mut *s;
        for op in since.drain(..) {
            match (rng.random_range(0..3), &op) {
                (0, _) => {}
                (_, Op::Length(_)) if faults.loses_lengths => {}
                (1, Op::Write(at, data)) => {
                    let sectors = data.len().div_ceil(SECTOR);
                    let kept = rng.random_range(0..=sectors) * SECTOR;
                    let torn = Op::Write(*at, data[..kept.min(data.len())].to_vec());
                    apply(durable, &torn);
                }
                _ => apply(durable, &op),
            }
        }
        s.seen = s.durable.clone();
        s.faults = Faults::default();
        s.opened += 1;
    }

    /// The bytes that are durable now, for [`FaultyDisk::restore`].
    pub fn copy(&self) -> Vec<u8> {
        self.lock().durable.clone()
    }

    /// The disk is as it was then.
    pub fn restore(&self, copy: Vec<u8>) {
        let mut s = self.lock();
        (s.seen, s.durable) = (copy.clone(), copy);
        s.since.clear();
        s.opened += 1;
    }

    /// Flips so many bits of what is durable, anywhere.
    pub fn flip(&self, bits: usize) {
        let mut s = self.lock();
        let len = s.durable.len();
        for _ in 0..if len > 0 { bits } else { 0 } {
            let (at, bit) = (s.rng.random_range(0..len), s.rng.random_range(0..8));
            s.durable[at] ^= 1 << bit;
        }
        s.seen = s.durable.clone();
    }
}

impl FaultyDiskHandle {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let s = self.0.lock();
        match s.opened == self.1 {
            true => Ok(s),
            false => Err(io::Error::other("another program has this disk")),
        }
    }

    /// Counts an operation that changes the disk, unless the power has gone.
    fn change(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut s = self.state()?;
        let n = s.ops;
        if s.faults.dies_at.is_some_and(|at| n >= at) {
            return Err(io::Error::other("no power"));
        }
        s.ops += 1;
        Ok(s)
    }
}

impl StorageBackend for FaultyDiskHandle {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state()?.seen.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let s = self.state()?;
        let at = offset as usize;
        s.seen.get(at..at + len).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut s = self.change()?;
        if s.faults.full_at.is_some_and(|most| len > most) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut s.seen, &Op::Length(len));
        s.since.push(Op::Length(len));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let stalls = self.state()?.faults.stalls;
        if !stalls.is_zero() {
            std::thread::sleep(stalls);
        }
        let mut s = self.change()?;
        let n = s.syncs;
        s.syncs += 1;
        if s.faults.fails_sync == Some(n) {
            return Err(io::Error::other("sync failed"));
        }
        if !s.faults.lies {
            let done: Vec<Op> = s.since.drain(..).collect();
            done.iter().for_each(|op| apply(&mut s.durable, op));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut s = self.change()?;
        let op = Op::Write(offset, data.to_vec());
        if s.faults.full_at.is_some_and(|most| offset + data.len() as u64 > most) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut s.seen, &op);
        s.since.push(op);
        Ok(())
    }
}
