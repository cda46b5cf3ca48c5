//! Unit tests of storing manual exclusions.

use super::*;
use fernslip::json::Names;

/// A temporary folder that is removed when the test ends.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let dir = std::env::temp_dir().join(format!("fernslip-excluded-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the temporary folder can be created");
        TempFolder(dir)
    }

    /// Returns the exclusion files of a front that listens on `port`, in a deployment whose only class is
    /// `class`. All fronts have the same name.
    fn front_files(&self, class: &str, port: u16) -> ManualExclusions {
        let names = Names {
            zones: vec!["edge".into()],
            kinds: vec!["standard".into()],
            classes: vec![class.into()],
            reports: Vec::new(),
        };
        let listen = ([127, 0, 0, 1], port).into();
        ManualExclusions::for_deployment(&DeploymentFiles::new(&self.0, "n0", listen, &names))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn cache_ids(ids: &[&str]) -> Vec<CacheId> {
    ids.iter().map(|id| CacheId::from(*id)).collect()
}

/// Replaces the stored set.
fn store(front: &ManualExclusions, ids: &[&str]) {
    let replace = |excluded: &mut BTreeSet<CacheId>| {
        *excluded = cache_ids(ids).into_iter().collect();
        true
    };
    front.update(BTreeSet::new, replace).expect("the file can be written");
}

#[test]
fn a_stored_set_is_loaded_and_an_invalid_file_is_rejected_with_the_line_number() {
    let folder = TempFolder::new("back");
    let front = folder.front_files("docs", 4100);
    assert!(front.load().expect("a missing file loads as no exclusions").is_empty());
    store(&front, &["a", "b"]);
    assert_eq!(front.load().expect("the exclusions can be loaded"), cache_ids(&["a", "b"]));
    store(&front, &[]);
    assert!(
        front.load().expect("the exclusions can be loaded").is_empty(),
        "an empty set is stored and loaded as empty"
    );
    for (text, line) in [
        ("something else\na\n".to_string(), 1),
        (format!("{FILE_HEADER}\na\n\n"), 3),
        (format!("{FILE_HEADER}\na b\n"), 2),
    ] {
        std::fs::write(&front.own_file, text).expect("the file can be written");
        assert!(
            matches!(front.load(), Err(FileError::Line(_, n, _)) if n == line),
            "line {line} is reported as invalid"
        );
    }
}

/// A front must not take over the exclusions of another customer's front that has the same name and runs on
/// the same host.
#[test]
fn fronts_of_different_deployments_share_no_manual_exclusions() {
    let folder = TempFolder::new("two");
    let (front, other_class, other_port) = (
        folder.front_files("docs", 4100),
        folder.front_files("pages", 4100),
        folder.front_files("docs", 4200),
    );
    store(&front, &["a"]);
    assert!(other_class.load().expect("the exclusions can be loaded").is_empty());
    assert!(other_port.load().expect("the exclusions can be loaded").is_empty());
    store(&other_class, &["z"]);
    assert_eq!(
        front.load().expect("the exclusions can be loaded"),
        cache_ids(&["a"]),
        "the exclusions of another deployment do not replace this front's"
    );
    assert_eq!(other_class.load().expect("the exclusions can be loaded"), cache_ids(&["z"]));
}

/// A process of either version may replace one of the other version; it must then continue with the same
/// exclusions.
#[test]
fn the_exclusion_file_of_the_earlier_version_is_read_and_written() {
    let folder = TempFolder::new("earlier");
    let front = folder.front_files("docs", 4100);
    std::fs::write(&front.shared_file, format!("{FILE_HEADER}\na\n")).expect("the file can be written");
    assert_eq!(front.load().expect("the exclusions can be loaded"), cache_ids(&["a"]));
    store(&front, &["a", "b"]);
    // The earlier version reads each line after the header as an id.
    let text = std::fs::read_to_string(&front.shared_file).expect("the shared file can be read");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((lines[0], &lines[2..]), (FILE_HEADER, &["a", "b"][..]));
    assert!(lines[1].starts_with(DEPLOYMENT_PREFIX) && !lines[1].contains(' '));
    // Without the front's own file the shared file is used, but only by fronts of this deployment.
    std::fs::remove_file(&front.own_file).expect("the front's own file can be removed");
    assert_eq!(front.load().expect("the exclusions can be loaded"), cache_ids(&["a", "b"]));
    assert!(folder.front_files("pages", 4100).load().expect("the exclusions can be loaded").is_empty());
}

/// Two processes of one front accept commands at the same time. Each changed the set that it had applied and
/// stored the result, so that one of two accepted commands was undone.
#[test]
fn commands_to_two_processes_at_the_same_time_are_all_stored() {
    let folder = TempFolder::new("processes");
    let processes = [folder.front_files("docs", 4100), folder.front_files("docs", 4100)];
    let exclude = |process: &ManualExclusions, id: String| {
        let applied_by_neither = || BTreeSet::from([CacheId::from("never stored")]);
        let insert = |excluded: &mut BTreeSet<CacheId>| excluded.insert(CacheId::from(id.as_str()));
        process.update(applied_by_neither, insert).map(|_| ())
    };
    store(&processes[0], &[]);
    std::thread::scope(|threads| {
        for (process, name) in processes.iter().zip(["a", "b"]) {
            threads.spawn(move || {
                for n in 0..20 {
                    exclude(process, format!("{name}{n}")).expect("the command is stored in time");
                }
            });
        }
    });
    let stored = processes[0].load().expect("the exclusions can be loaded");
    assert_eq!(stored.len(), 40, "{stored:?}");
    let last_writer = processes.iter().filter(|p| !p.changed_by_other_process()).count();
    assert!(last_writer >= 1 && processes[1].load().is_ok_and(|ids| ids == stored));
}

/// A process that holds the lock, as one that was stopped in the middle of a command does, delays the commands
/// of the other process only until they are answered that nothing was changed.
#[test]
fn a_command_is_not_stored_while_another_process_holds_the_lock() {
    let folder = TempFolder::new("locked");
    let front = folder.front_files("docs", 4100);
    store(&front, &["a"]);
    let locked = file_lock::try_lock(&front.lock_file).expect("the lock is free");
    let refused = front.update(BTreeSet::new, |excluded| excluded.insert(CacheId::from("b")));
    assert!(matches!(refused, Err(UpdateError::Lock(..))), "{refused:?}");
    drop(locked);
    store(&front, &["a", "b"]);
    assert_eq!(front.load().expect("the exclusions can be loaded"), cache_ids(&["a", "b"]));
}
