//! Unit tests of the stored snapshot of peers.

use super::*;

#[test]
fn a_damaged_snapshot_is_renamed_and_a_locked_one_is_left_unchanged() {
    let dir = std::env::temp_dir().join(format!("fernslip-keep-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be created");
    let path = dir.join("n1.store");
    let (mut snapshot, found) = Snapshot::open(&path, 1).expect("an empty store is created");
    assert!(found.marks.is_none() && found.peers.is_empty());
    let peer = Peer { addr: "127.0.0.1:7".into(), location: "z".into(), generation: 1 };
    let change = Change::put(&"f2".to_string(), &peer).expect("the peer is short enough to be stored");
    snapshot.store.commit(&[change]).expect("the change is committed to disk");
    assert!(matches!(Snapshot::open(&path, 2).err(), Some(StoreError::Locked)));
    drop(snapshot);
    let (snapshot, found) = Snapshot::open(&path, 3).expect("the store can be opened again");
    assert_eq!(found.peers, [PeerAddress { name: "f2".to_string(), addr: ([127, 0, 0, 1], 7).into() }]);
    drop(snapshot);
    std::fs::write(&path, [7; 9000]).expect("the store file can be overwritten");
    let (_snapshot, found) = Snapshot::open(&path, 4).expect("an empty store replaces the damaged one");
    assert!(found.marks.is_none() && found.peers.is_empty());
    let names =
        std::fs::read_dir(&dir).expect("the temporary folder can be listed").flatten().map(|e| e.file_name());
    let aside = names.filter(|n| n.to_string_lossy().contains(".bad-")).count();
    std::fs::remove_dir_all(&dir).expect("the temporary folder can be removed");
    assert_eq!(aside, 1);
}
