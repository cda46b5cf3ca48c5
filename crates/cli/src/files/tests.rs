use super::*;

#[test]
fn several_files_are_written_all_or_none() {
    let folder = tempfile::tempdir().expect("a folder");
    let (a, b) = (folder.path().join("a"), folder.path().join("no-folder/b"));
    std::fs::write(&a, "old").expect("a file");
    assert!(write_all(&[(&a, "new"), (&b, "new")]).is_err());
    assert_eq!(std::fs::read_to_string(&a).expect("it"), "old");
    assert_eq!(std::fs::read_dir(folder.path()).expect("it").count(), 1, "nothing is left behind");
    assert!(write_all(&[(&a, "new"), (folder.path(), "x")]).is_err());
    assert_eq!(std::fs::read_to_string(&a).expect("it"), "old");
    write_all(&[(&a, "new")]).expect("written");
    assert_eq!(std::fs::read_to_string(&a).expect("it"), "new");
}
