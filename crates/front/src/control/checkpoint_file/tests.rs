//! Unit tests of the file of checkpoints.

use super::*;
use crate::control::watch_checkpoint::{encode, EncodedNodes};
use std::collections::BTreeMap;

fn names() -> Names {
    let (zones, kinds) = (vec!["edge-1".into()], vec!["standard".into()]);
    Names { zones, kinds, classes: Vec::new(), reports: Vec::new() }
}

/// A temporary folder that is removed when the test ends.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let folder = std::env::temp_dir().join(format!("fernslip-watch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        TempFolder(folder)
    }

    /// The checkpoint file of a process whose start has this seed.
    fn process(&self, seed: u64) -> CheckpointFile {
        let files = DeploymentFiles::new(&self.0, "n0", ([127, 0, 0, 1], 4100).into(), &names());
        CheckpointFile::new(&files, CheckpointIdentity::new(files.digest(), seed, None))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const fn position(generation: u64, offset: u64) -> WatchPosition {
    WatchPosition { generation, offset }
}

fn store(process: &CheckpointFile, position: WatchPosition) -> io::Result<StoreOutcome> {
    let nodes = EncodedNodes::new(&[], &names()).expect("an empty list can be written as JSON");
    let first_lines = encode(process.identity(), position, &nodes, &BTreeMap::new(), &[])
        .expect("a checkpoint can be written as JSON");
    process.store(position, &[first_lines.as_bytes(), nodes.as_bytes()], &names())
}

fn stored(process: &CheckpointFile) -> Option<WatchPosition> {
    process.load(&names()).expect("the file can be used").map(|checkpoint| checkpoint.position)
}

/// Both processes of a replacement store. One that lags must not put back what the other has stored.
#[test]
fn an_earlier_position_does_not_replace_a_later_one() {
    let folder = TempFolder::new("order");
    let (old, new) = (folder.process(1), folder.process(1));
    assert_eq!(stored(&old), None);
    for (process, at, outcome) in [
        (&old, position(0, 5), StoreOutcome::Stored),
        (&new, position(0, 4), StoreOutcome::LaterIsStored),
        (&new, position(0, 5), StoreOutcome::Stored),
        (&new, position(1, 2), StoreOutcome::Stored),
        (&old, position(0, 9), StoreOutcome::LaterIsStored),
    ] {
        assert_eq!(store(process, at).expect("the file can be written"), outcome, "{at:?}");
    }
    assert!(old.changed_by_other_process(), "a checkpoint that was not replaced is still to be read");
    assert_eq!(stored(&old), Some(position(1, 2)));
    assert!(!old.changed_by_other_process() && !new.changed_by_other_process());
}

#[test]
fn a_checkpoint_of_another_start_is_refused_and_replaced() {
    let folder = TempFolder::new("foreign");
    let (earlier, process) = (folder.process(1), folder.process(2));
    store(&earlier, position(3, 1000)).expect("the file can be written");
    let refusal = process.load(&names()).expect_err("the checkpoint is refused").to_string();
    assert!(refusal.contains(".watch: it belongs to another start of the front"), "{refusal}");
    assert_eq!(store(&process, position(0, 1)).expect("the file can be written"), StoreOutcome::Stored);
    assert_eq!(stored(&process), Some(position(0, 1)));
}

#[test]
fn a_file_that_cannot_be_read_is_an_error_with_its_path() {
    let folder = TempFolder::new("unreadable");
    let process = folder.process(1);
    std::fs::create_dir(process.path()).expect("a folder can be created in place of the file");
    let error = process.load(&names()).expect_err("a folder is no checkpoint").to_string();
    assert!(error.contains(".watch: expected a file of at most"), "{error}");
    assert!(store(&process, position(0, 1)).is_err());
}

#[test]
fn a_locked_file_is_not_written() {
    let folder = TempFolder::new("locked");
    let process = folder.process(1);
    let lock = file_lock::try_lock(&process.lock_file).expect("the lock is free");
    assert_eq!(store(&process, position(0, 1)).map_err(|e| e.kind()), Err(ErrorKind::WouldBlock));
    drop(lock);
    assert!(store(&process, position(0, 1)).is_ok());
}
