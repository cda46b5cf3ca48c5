//! The store over disks that lose power, tear, lie, fill up, fail to sync, flip bits and go back in time.

use fernslip_store::faulty_disk::{Faults, FaultyDisk};
use fernslip_store::layers::{AvoidedNode, Position, Purge, PurgeTarget};
use fernslip_store::{Change, LayerContents, Marks, Store, StoreError, Trust};
use proptest::prelude::*;

/// What is on the disk after `n` commits of [`put`]: offset `n`, and purges of the objects below it.
fn put(store: &mut Store, n: u64) -> Result<Marks, StoreError> {
    let position = Position { epoch: 5, offset: n, at_unix_ms: 1000 * n };
    store.commit(&[
        Change::put(&(), &position)?,
        Change::put(&PurgeTarget::Object(n), &Purge { at_unix_ms: 1000 * n })?,
        Change::remove::<Purge>(&PurgeTarget::Object(n.wrapping_sub(3)))?,
    ])
}

/// The last commit that is there; panics where it is there in part.
fn holds(store: &Store) -> Result<u64, StoreError> {
    let at = store.get::<Position>(&())?.map_or(0, |p| p.offset);
    let LayerContents { entries: purges, damaged } = store.all::<Purge>()?;
    if damaged > 0 {
        return Err(StoreError::Damaged("purge", "some"));
    }
    let keys: Vec<u64> = purges
        .iter()
        .map(|(k, v)| match k {
            PurgeTarget::Object(n) if v.at_unix_ms == 1000 * n => *n,
            other => panic!("{other:?} {v:?}"),
        })
        .collect();
    let due: Vec<u64> = (1..=at).filter(|n| n + 3 > at).collect();
    assert_eq!(keys, due, "a commit that is there in part");
    Ok(at)
}

fn commit_until_failure(faulty_disk: &FaultyDisk, from: u64, last: u64) -> (u64, Option<Marks>) {
    let (mut done, mut reported) = (from, None);
    if let Ok((mut store, _)) = Store::open(faulty_disk.disk(), 9) {
        reported = Some(store.marks());
        for n in from + 1..=last {
            match put(&mut store, n) {
                Ok(marks) => (done, reported) = (n, Some(marks)),
                Err(_) => {
                    assert!(matches!(put(&mut store, n), Err(StoreError::Failed)), "after a failure nothing");
                    break;
                }
            }
        }
    }
    (done, reported)
}

/// Loses power at each operation, several times over with other seeds: the order in which the store writes its pages is
/// another in each process, so that a single trial for each operation would prove little.
fn lose_power_everywhere(faults: &Faults) {
    let intact = FaultyDisk::new(0);
    commit_until_failure(&intact, 0, 6);
    let operations = intact.ops();
    assert!(operations > 30, "{operations}");
    for (at, seed) in (0..operations).flat_map(|at| (0..6).map(move |seed| (at, seed))) {
        let faulty_disk = FaultyDisk::new(at * 100 + seed);
        faulty_disk.set_faults(Faults { power_fails_at: Some(at), ..faults.clone() });
        let (done, reported) = commit_until_failure(&faulty_disk, 0, 6);
        faulty_disk.power_loss();
        let (store, found) = match Store::open(faulty_disk.disk(), 9) {
            Ok(opened) => opened,
            // The disk was being made: nothing was ever called durable.
            Err(e) if reported.is_none() => {
                let _: StoreError = e;
                continue;
            }
            Err(e) => panic!("lost power at {at}, seed {seed}, with {done} done: {e}"),
        };
        let there = holds(&store).expect("sound");
        assert!(there == done || there == done + 1, "lost power at {at}, seed {seed}: {there} of {done}");
        // What was reported to others is there: the disk is trusted.
        if let Some(reported) = reported {
            assert_eq!(Marks::trust(found, Some(reported)), Trust::Current, "at {at}, seed {seed}");
        }
    }
}

#[test]
fn power_lost_at_every_operation_leaves_a_commit_complete_or_absent() {
    lose_power_everywhere(&Faults::default());
}

#[test]
fn a_lost_change_of_length_loses_no_commit() {
    lose_power_everywhere(&Faults { loses_lengths: true, ..Faults::default() });
}

#[test]
fn a_disk_that_ignores_syncs_or_was_restored_is_detected_by_the_marks_others_remember() {
    let (mut behind, mut broken) = (0, 0);
    for seed in 0..60 {
        let faulty_disk = FaultyDisk::new(seed);
        let (_, _) = commit_until_failure(&faulty_disk, 0, 3);
        let old = faulty_disk.copy();
        faulty_disk.set_faults(Faults { ignores_syncs: true, ..Faults::default() });
        let (done, reported) = commit_until_failure(&faulty_disk, 3, 9);
        let reported = reported.expect("opened");
        if seed % 2 == 0 {
            faulty_disk.power_loss();
        } else {
            faulty_disk.restore(old);
        }
        match Store::open(faulty_disk.disk(), 77) {
            Ok((store, found)) => match Marks::trust(found, Some(reported)) {
                Trust::Current => assert_eq!(holds(&store).expect("sound"), done, "seed {seed}"),
                Trust::Behind { by } => {
                    assert!(by > 0);
                    behind += 1;
                }
                other => panic!("{other:?}"),
            },
            Err(_) => broken += 1,
        }
    }
    assert!(behind >= 30, "{behind} behind, {broken} broken: restored copies open, and are not trusted");
}

#[test]
fn nothing_is_reported_durable_after_a_full_disk_or_a_failed_sync() {
    for faults in [
        Faults { capacity_bytes: Some(0), ..Faults::default() },
        Faults { failing_sync: Some(0), ..Faults::default() },
        Faults { failing_sync: Some(1), ..Faults::default() },
    ] {
        let faulty_disk = FaultyDisk::new(3);
        let (mut store, _) = Store::open(faulty_disk.disk(), 9).expect("a sound disk");
        put(&mut store, 1).expect("a sound disk");
        faulty_disk.set_faults(faults.clone());
        let all: Vec<_> = (2..400).map_while(|n| put(&mut store, n).ok()).collect();
        assert!(all.len() < 398, "{faults:?}");
        assert!(store.has_failed(), "{faults:?}");
        let done = 1 + all.len() as u64;
        drop(store);
        faulty_disk.power_loss();
        let (store, _) = Store::open(faulty_disk.disk(), 9).expect("what was durable");
        let there = holds(&store).expect("sound");
        assert!(there == done || there == done + 1, "{there} of {done}");
    }
}

#[test]
fn a_value_of_a_later_version_is_rejected_by_number_and_stays() {
    use fernslip_store::layers::Layer;
    #[derive(serde::Serialize, serde::Deserialize)]
    struct Newer(String);
    impl Layer for Newer {
        const NAME: &'static str = <AvoidedNode as Layer>::NAME;
        const VERSION: u16 = 3;
        type Key = String;
    }
    let faulty_disk = FaultyDisk::new(3);
    let (mut store, _) = Store::open(faulty_disk.disk(), 9).expect("a sound disk");
    let change = Change::put(&"box-1".to_string(), &Newer("later".into())).expect("short");
    store.commit(&[change]).expect("a sound disk");
    assert!(matches!(store.get::<AvoidedNode>(&"box-1".into()), Err(StoreError::LaterVersion("avoided", 3))));
    assert!(matches!(store.all::<AvoidedNode>(), Err(StoreError::LaterVersion("avoided", 3))));
    put(&mut store, 1).expect("other layers go on");
    assert_eq!(store.get::<Newer>(&"box-1".into()).expect("sound").map(|n| n.0).as_deref(), Some("later"));
}

#[test]
fn a_file_is_locked_by_one_process_and_readable_by_the_next() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("front.store");
    let open = || {
        redb::backends::FileBackend::new(
            std::fs::OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(&file)
                .expect("a file"),
        )
    };
    let (mut store, _) = Store::open(open().expect("free"), 4).expect("opened");
    put(&mut store, 1).expect("written");
    let second =
        fernslip_store::file(std::fs::File::options().read(true).write(true).open(&file).expect("it"));
    assert!(matches!(second.err(), Some(StoreError::Locked)), "two programs on one disk");
    let reported = store.marks();
    drop(store);
    let (store, found) = Store::open(open().expect("free"), 5).expect("opened");
    assert_eq!((found, store.marks().boots), (Some(reported), reported.boots + 1));
    assert_eq!(holds(&store).expect("sound"), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Damage is found, or it hit what nobody reads: a wrong value is never handed out, and nothing panics.
    #[test]
    fn flipped_bits_never_become_knowledge(seed in any::<u64>(), bits in 1usize..400, commits in 1u64..8) {
        let faulty_disk = FaultyDisk::new(seed);
        let (done, _) = commit_until_failure(&faulty_disk, 0, commits);
        prop_assert_eq!(done, commits);
        faulty_disk.flip_bits(bits);
        if let Ok((store, _)) = Store::open(faulty_disk.disk(), 1) {
            if let Ok(there) = holds(&store) {
                prop_assert_eq!(there, done);
            }
        }
    }

    #[test]
    fn any_bytes_are_no_store_and_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..6000)) {
        let faulty_disk = FaultyDisk::new(1);
        faulty_disk.restore(bytes);
        if let Ok((store, _)) = Store::open(faulty_disk.disk(), 1) {
            prop_assert_eq!(holds(&store).unwrap_or(0), 0);
        }
    }
}
