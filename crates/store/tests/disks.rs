//! Tests of the store on disks that lose power, tear writes, ignore syncs, run full, fail to sync, flip bits
//! and are restored from an old copy.

use fernslip_store::faulty_disk::{Faults, FaultyDisk};
use fernslip_store::layers::{AvoidedNode, Position, Purge, PurgeTarget};
use fernslip_store::{Change, DiskMarks, DiskTrust, LayerContents, Store, StoreError};
use proptest::prelude::*;

/// Makes commit `number` of a test: sets the position's offset to it, adds the purge of the object with that
/// number, and removes the purge of the object three numbers before.
fn commit_numbered(store: &mut Store, number: u64) -> Result<DiskMarks, StoreError> {
    let position = Position { epoch: 5, offset: number, at_unix_ms: 1000 * number };
    store.commit(&[
        Change::put(&(), &position)?,
        Change::put(&PurgeTarget::Object(number), &Purge { at_unix_ms: 1000 * number })?,
        Change::remove::<Purge>(&PurgeTarget::Object(number.wrapping_sub(3)))?,
    ])
}

/// Number of the last commit by [`commit_numbered`] in the store; panics if the store holds only part of
/// a commit.
fn last_commit_in(store: &Store) -> Result<u64, StoreError> {
    let at = store.get::<Position>(&())?.map_or(0, |p| p.offset);
    let LayerContents { entries: purges, damaged } = store.all_values::<Purge>()?;
    if damaged > 0 {
        return Err(StoreError::Damaged("purge", "at least one value is damaged"));
    }
    let keys: Vec<u64> = purges
        .iter()
        .map(|(k, v)| match k {
            PurgeTarget::Object(n) if v.at_unix_ms == 1000 * n => *n,
            other => panic!("the purge of {other:?} has an unexpected time or target: {v:?}"),
        })
        .collect();
    let due: Vec<u64> = (1..=at).filter(|n| n + 3 > at).collect();
    assert_eq!(keys, due, "the store holds only part of commit {at}");
    Ok(at)
}

/// Opens a store and makes the commits after `from` up to `last` until one fails; returns the number of the
/// last successful commit and the last marks, `None` if the store can't be opened.
fn commit_until_failure(faulty_disk: &FaultyDisk, from: u64, last: u64) -> (u64, Option<DiskMarks>) {
    let (mut done, mut reported) = (from, None);
    if let Ok((mut store, _)) = Store::open(faulty_disk.open_handle(), 9) {
        reported = Some(store.marks());
        for n in from + 1..=last {
            match commit_numbered(&mut store, n) {
                Ok(marks) => (done, reported) = (n, Some(marks)),
                Err(_) => {
                    assert!(
                        matches!(commit_numbered(&mut store, n), Err(StoreError::Failed)),
                        "after a failed commit the store must reject all commits"
                    );
                    break;
                }
            }
        }
    }
    (done, reported)
}

/// Loses power at each operation with six seeds. The store writes its pages in a different order in each
/// process, so a single attempt for each operation would prove little.
fn check_power_loss_at_every_operation(faults: &Faults) {
    let intact = FaultyDisk::new(0);
    commit_until_failure(&intact, 0, 6);
    let operations = intact.operation_count();
    assert!(operations > 30, "the commits took {operations} disk operations, expected more than 30");
    for (at, seed) in (0..operations).flat_map(|at| (0..6).map(move |seed| (at, seed))) {
        let faulty_disk = FaultyDisk::new(at * 100 + seed);
        faulty_disk.set_faults(Faults { power_fails_at: Some(at), ..faults.clone() });
        let (done, reported) = commit_until_failure(&faulty_disk, 0, 6);
        faulty_disk.lose_power();
        let (store, found) = match Store::open(faulty_disk.open_handle(), 9) {
            Ok(opened) => opened,
            // Power failed while the store was being created, before anything was reported as durable.
            Err(e) if reported.is_none() => {
                let _: StoreError = e;
                continue;
            }
            Err(e) => panic!(
                "can't open the store after power loss at operation {at}, seed {seed}, {done} commits: {e}"
            ),
        };
        let there = last_commit_in(&store).expect("the store can be read");
        assert!(
            there == done || there == done + 1,
            "after power loss at operation {at}, seed {seed}: found commit {there}, last reported {done}"
        );
        // All that was reported to other fronts is on the disk, so it must be trusted.
        if let Some(reported) = reported {
            assert_eq!(
                DiskMarks::assess_trust(found, Some(reported)),
                DiskTrust::Current,
                "the disk must be trusted after power loss at operation {at}, seed {seed}"
            );
        }
    }
}

#[test]
fn power_loss_at_any_operation_leaves_a_commit_complete_or_absent() {
    check_power_loss_at_every_operation(&Faults::default());
}

#[test]
fn a_lost_change_of_length_does_not_lose_a_commit() {
    check_power_loss_at_every_operation(&Faults { loses_lengths: true, ..Faults::default() });
}

#[test]
fn a_disk_that_ignores_syncs_or_was_restored_is_detected_by_remembered_marks() {
    let (mut behind, mut unreadable) = (0, 0);
    for seed in 0..60 {
        let faulty_disk = FaultyDisk::new(seed);
        let (_, _) = commit_until_failure(&faulty_disk, 0, 3);
        let old = faulty_disk.copy_durable();
        faulty_disk.set_faults(Faults { ignores_syncs: true, ..Faults::default() });
        let (done, reported) = commit_until_failure(&faulty_disk, 3, 9);
        let reported = reported.expect("the store can be opened");
        if seed % 2 == 0 {
            faulty_disk.lose_power();
        } else {
            faulty_disk.restore_copy(old);
        }
        match Store::open(faulty_disk.open_handle(), 77) {
            Ok((store, found)) => match DiskMarks::assess_trust(found, Some(reported)) {
                DiskTrust::Current => {
                    assert_eq!(
                        last_commit_in(&store).expect("the store can be read"),
                        done,
                        "a trusted disk must hold the last commit; seed {seed}"
                    );
                }
                DiskTrust::Behind { by } => {
                    assert!(by > 0);
                    behind += 1;
                }
                other => panic!("the disk must be current or behind, not {other:?}"),
            },
            Err(_) => unreadable += 1,
        }
    }
    assert!(
        behind >= 30,
        "at least 30 disks must open and be detected as behind; {behind} were, {unreadable} did not open"
    );
}

#[test]
fn nothing_is_reported_durable_after_a_full_disk_or_a_failed_sync() {
    for faults in [
        Faults { capacity_bytes: Some(0), ..Faults::default() },
        Faults { failing_sync: Some(0), ..Faults::default() },
        Faults { failing_sync: Some(1), ..Faults::default() },
    ] {
        let faulty_disk = FaultyDisk::new(3);
        let (mut store, _) = Store::open(faulty_disk.open_handle(), 9).expect("the disk has no faults");
        commit_numbered(&mut store, 1).expect("the disk has no faults");
        faulty_disk.set_faults(faults.clone());
        let all: Vec<_> = (2..400).map_while(|n| commit_numbered(&mut store, n).ok()).collect();
        assert!(all.len() < 398, "a commit must fail with {faults:?}");
        assert!(store.has_failed(), "the store must report the failed commit with {faults:?}");
        let done = 1 + all.len() as u64;
        drop(store);
        faulty_disk.lose_power();
        let (store, _) = Store::open(faulty_disk.open_handle(), 9).expect("the durable contents are a store");
        let there = last_commit_in(&store).expect("the store can be read");
        assert!(there == done || there == done + 1, "found commit {there}, last reported {done}");
    }
}

#[test]
fn a_value_of_a_later_version_is_rejected_by_its_number_and_stays_on_disk() {
    use fernslip_store::layers::Layer;
    #[derive(serde::Serialize, serde::Deserialize)]
    struct Newer(String);
    impl Layer for Newer {
        const NAME: &'static str = <AvoidedNode as Layer>::NAME;
        const VERSION: u16 = 3;
        type Key = String;
    }
    let faulty_disk = FaultyDisk::new(3);
    let (mut store, _) = Store::open(faulty_disk.open_handle(), 9).expect("the disk has no faults");
    let change =
        Change::put(&"box-1".to_string(), &Newer("later".into())).expect("the value is not too long");
    store.commit(&[change]).expect("the disk has no faults");
    assert!(matches!(store.get::<AvoidedNode>(&"box-1".into()), Err(StoreError::LaterVersion("avoided", 3))));
    assert!(matches!(store.all_values::<AvoidedNode>(), Err(StoreError::LaterVersion("avoided", 3))));
    commit_numbered(&mut store, 1).expect("other layers can still be written");
    assert_eq!(
        store.get::<Newer>(&"box-1".into()).expect("the store can be read").map(|n| n.0).as_deref(),
        Some("later")
    );
}

#[test]
fn a_file_is_locked_while_a_store_is_open_and_can_be_reopened_afterwards() {
    let dir = tempfile::tempdir().expect("a temporary directory can be created");
    let file = dir.path().join("front.store");
    let open = || {
        redb::backends::FileBackend::new(
            std::fs::OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(&file)
                .expect("the store file can be opened"),
        )
    };
    let (mut store, _) =
        Store::open(open().expect("no other store has the file open"), 4).expect("the store can be opened");
    commit_numbered(&mut store, 1).expect("the commit succeeds");
    let second = fernslip_store::open_file_as_disk(
        std::fs::File::options()
            .read(true)
            .write(true)
            .open(&file)
            .expect("the store file can be opened again"),
    );
    assert!(
        matches!(second.err(), Some(StoreError::Locked)),
        "a second store on the same file must be refused"
    );
    let reported = store.marks();
    drop(store);
    let (store, found) =
        Store::open(open().expect("no other store has the file open"), 5).expect("the store can be opened");
    assert_eq!((found, store.marks().boots), (Some(reported), reported.boots + 1));
    assert_eq!(last_commit_in(&store).expect("the store can be read"), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Damage is detected unless it hits unused bytes: the store returns no wrong value and does not panic.
    #[test]
    fn flipped_bits_never_change_a_value_that_is_read(
        seed in any::<u64>(), bits in 1usize..400, commits in 1u64..8
    ) {
        let faulty_disk = FaultyDisk::new(seed);
        let (done, _) = commit_until_failure(&faulty_disk, 0, commits);
        prop_assert_eq!(done, commits);
        faulty_disk.flip_bits(bits);
        if let Ok((store, _)) = Store::open(faulty_disk.open_handle(), 1) {
            if let Ok(there) = last_commit_in(&store) {
                prop_assert_eq!(there, done);
            }
        }
    }

    #[test]
    fn arbitrary_disk_contents_yield_no_commits_and_no_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..6000)
    ) {
        let faulty_disk = FaultyDisk::new(1);
        faulty_disk.restore_copy(bytes);
        if let Ok((store, _)) = Store::open(faulty_disk.open_handle(), 1) {
            prop_assert_eq!(last_commit_in(&store).unwrap_or(0), 0);
        }
    }
}
