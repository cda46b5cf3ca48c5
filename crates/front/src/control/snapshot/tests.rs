//! Unit tests of the snapshot of peers.

use super::*;

#[test]
fn a_damaged_snapshot_is_set_aside_and_one_open_in_another_process_is_left_alone() {
    let dir = std::env::temp_dir().join(format!("fernslip-keep-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("n1.store");
    let (mut snapshot, found) = Snapshot::open(&path, 1).expect("an empty one");
    assert!(found.marks.is_none() && found.peers.is_empty());
    let peer = Peer { addr: "127.0.0.1:7".into(), location: "z".into(), generation: 1 };
    let change = Change::put(&"f2".to_string(), &peer).expect("short");
    snapshot.store.commit(&[change]).expect("a sound disk");
    assert!(matches!(Snapshot::open(&path, 2).err(), Some(StoreError::Locked)));
    drop(snapshot);
    let (snapshot, found) = Snapshot::open(&path, 3).expect("the same");
    assert_eq!(found.peers, [PeerAddress { name: "f2".to_string(), addr: ([127, 0, 0, 1], 7).into() }]);
    drop(snapshot);
    std::fs::write(&path, [7; 9000]).expect("written over");
    let (_snapshot, found) = Snapshot::open(&path, 4).expect("an empty one");
    assert!(found.marks.is_none() && found.peers.is_empty());
    let names = std::fs::read_dir(&dir).expect("it").flatten().map(|e| e.file_name());
    let aside = names.filter(|n| n.to_string_lossy().contains(".bad-")).count();
    std::fs::remove_dir_all(&dir).expect("ours");
    assert_eq!(aside, 1);
}
