//! Tests that stored data stays readable: a store file written by an earlier version of the code opens with
//! the present code and returns the same values and marks.
//!
//! # How `tests/data/written-by-e2efe9d.redb` was made
//!
//! In a separate worktree at commit `e2efe9d` ("Starts of nodes keep their time; which finds had a failing
//! test first"), a temporary example (never committed) opened `fernslip_store::file(...)` on a new, empty
//! file with the new disk id [`DISK_ID`]. It made two commits after the one that `Store::open` makes:
//!
//! 1. one change of every layer kind in `src/layers.rs`: a [`Position`]; a [`Purge`] under each kind of
//!    [`PurgeTarget`] key (`Object`, `Group`, `All`); two [`AvoidedNode`] cache nodes (one excluded
//!    manually, one not); three [`Peer`] peers (`front-1`, `front-2`, `front-gone`); an [`InDoubtWrite`]
//!    under id 77; and a [`RawBytes`] value under `("view", 2)`;
//! 2. a removal of the peer `front-gone` and an [`InDoubtWrite`] under id 78.
//!
//! It then dropped the store. The example printed `Marks { disk: 15593365331693, boots: 1, commits: 3 }`. To
//! make a file for a later version of the code, do the same at that commit with the values below, and add a
//! file beside this one.

use fernslip_store::layers::{AvoidedNode, InDoubtWrite, Peer, Position, Purge, PurgeTarget, RawBytes};
use fernslip_store::{open_file_as_disk, DiskMarks, LayerContents, Store, StoreError};
use std::path::PathBuf;

/// Disk id that the example gave to the empty file.
const DISK_ID: u64 = 0x0e2e_9d00_5eed;
/// New disk id offered when the file is reopened; it must not be used, since the disk is not empty.
const UNUSED_DISK_ID: u64 = 0xbeef;

/// Copies the committed file to a temporary directory and opens the copy, so that the committed file is
/// never written to.
fn open_copy_of(name: &str) -> Result<(tempfile::TempDir, Store, Option<DiskMarks>), StoreError> {
    let committed: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "data", name].iter().collect();
    let scratch = tempfile::tempdir().expect("a temporary directory can be created");
    let copy = scratch.path().join(name);
    std::fs::copy(&committed, &copy).expect("the committed store file can be copied");
    let opened =
        std::fs::OpenOptions::new().read(true).write(true).open(&copy).expect("the copy can be opened");
    let (store, found) = Store::open(open_file_as_disk(opened)?, UNUSED_DISK_ID)?;
    Ok((scratch, store, found))
}

#[test]
fn a_store_written_by_e2efe9d_opens_with_the_marks_of_its_last_commit() -> Result<(), StoreError> {
    let (_scratch, store, found) = open_copy_of("written-by-e2efe9d.redb")?;
    assert_eq!(found, Some(DiskMarks { disk: DISK_ID, boots: 1, commits: 3 }));
    assert_eq!(
        store.marks(),
        DiskMarks { disk: DISK_ID, boots: 2, commits: 4 },
        "this start and its commit must be counted on the existing disk"
    );
    Ok(())
}

#[test]
fn a_store_written_by_e2efe9d_reads_back_every_value_it_was_given() -> Result<(), StoreError> {
    let (_scratch, store, _found) = open_copy_of("written-by-e2efe9d.redb")?;

    assert_eq!(
        store.get::<Position>(&())?,
        Some(Position { epoch: 1_700_000_000_000, offset: 4_242, at_unix_ms: 1_700_000_123_456 })
    );

    assert_eq!(
        store.all_values::<Purge>()?,
        LayerContents {
            entries: vec![
                (PurgeTarget::Object(17), Purge { at_unix_ms: 1_700_000_001_000 }),
                (PurgeTarget::Group(9), Purge { at_unix_ms: 1_700_000_002_000 }),
                (PurgeTarget::All, Purge { at_unix_ms: 1_699_999_000_000 }),
            ],
            damaged: 0,
        }
    );

    assert_eq!(
        store.all_values::<AvoidedNode>()?,
        LayerContents {
            entries: vec![
                ("cache-a:7070".to_string(), AvoidedNode { manual: true, since_unix_ms: 1_700_000_003_000 }),
                ("cache-b:7070".to_string(), AvoidedNode { manual: false, since_unix_ms: 1_700_000_004_000 }),
            ],
            damaged: 0,
        }
    );

    assert_eq!(
        store.all_values::<Peer>()?,
        LayerContents {
            entries: vec![
                (
                    "front-1".to_string(),
                    Peer { addr: "10.0.0.1:9000".into(), location: "ams".into(), generation: 3 }
                ),
                (
                    "front-2".to_string(),
                    Peer { addr: "10.0.0.2:9000".into(), location: "fra".into(), generation: 5 }
                ),
            ],
            damaged: 0,
        }
    );
    assert_eq!(store.get::<Peer>(&"front-gone".to_string())?, None, "a removed peer must stay removed");

    assert_eq!(
        store.all_values::<InDoubtWrite>()?,
        LayerContents {
            entries: vec![
                (77, InDoubtWrite { until_unix_ms: 1_700_000_005_000 }),
                (78, InDoubtWrite { until_unix_ms: 1_700_000_006_000 }),
            ],
            damaged: 0,
        }
    );

    assert_eq!(
        store.all_values::<RawBytes>()?,
        LayerContents {
            entries: vec![(("view".to_string(), 2), RawBytes(vec![0, 1, 2, 254, 255]))],
            damaged: 0
        }
    );
    Ok(())
}
