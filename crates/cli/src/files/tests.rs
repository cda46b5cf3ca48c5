use super::*;

#[test]
fn several_files_are_written_together_or_not_at_all() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (a, b) = (folder.path().join("a"), folder.path().join("no-folder/b"));
    std::fs::write(&a, "old").expect("the old file can be written");
    assert!(write_all(&[(&a, "new"), (&b, "new")]).is_err());
    assert_eq!(std::fs::read_to_string(&a).expect("the file can be read"), "old");
    assert_eq!(
        std::fs::read_dir(folder.path()).expect("the folder can be read").count(),
        1,
        "no temporary file is left behind"
    );
    assert!(write_all(&[(&a, "new"), (folder.path(), "x")]).is_err());
    assert_eq!(std::fs::read_to_string(&a).expect("the file can be read"), "old");
    write_all(&[(&a, "new")]).expect("the file can be replaced");
    assert_eq!(std::fs::read_to_string(&a).expect("the file can be read"), "new");
}
