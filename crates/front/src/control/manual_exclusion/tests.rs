//! Unit tests of storing manual exclusions.

use super::*;

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
        ManualExclusions::for_deployment(&self.0, "n0", ([127, 0, 0, 1], port).into(), &names)
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

#[test]
fn a_stored_set_is_loaded_and_an_invalid_file_is_rejected_with_the_line_number() {
    let folder = TempFolder::new("back");
    let front = folder.front_files("docs", 4100);
    assert!(front.load().expect("a missing file loads as no exclusions").is_empty());
    front.save(&cache_ids(&["a", "b"])).expect("the file can be written");
    assert_eq!(front.load().expect("the exclusions can be loaded"), cache_ids(&["a", "b"]));
    front.save(&[]).expect("the file can be written");
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
    front.save(&cache_ids(&["a"])).expect("the file can be written");
    assert!(other_class.load().expect("the exclusions can be loaded").is_empty());
    assert!(other_port.load().expect("the exclusions can be loaded").is_empty());
    other_class.save(&cache_ids(&["z"])).expect("the file can be written");
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
    front.save(&cache_ids(&["a", "b"])).expect("the file can be written");
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
