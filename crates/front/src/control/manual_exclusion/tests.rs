//! Unit tests of the stored manual exclusions.

use super::*;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let dir = std::env::temp_dir().join(format!("fernslip-excluded-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Folder(dir)
    }

    /// A front of the same name in the deployment with that class, at that port.
    fn front(&self, class: &str, port: u16) -> ManualExclusions {
        let names = Names {
            zones: vec!["edge".into()],
            kinds: vec!["standard".into()],
            classes: vec![class.into()],
            reports: Vec::new(),
        };
        ManualExclusions::of(&self.0, "n0", ([127, 0, 0, 1], port).into(), &names)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn ids(of: &[&str]) -> Vec<CacheId> {
    of.iter().map(|id| CacheId::from(*id)).collect()
}

#[test]
fn a_stored_set_is_loaded_and_a_foreign_file_is_rejected_with_its_line() {
    let folder = Folder::new("back");
    let front = folder.front("docs", 4100);
    assert!(front.load().expect("no file is no set").is_empty());
    front.save(&ids(&["a", "b"])).expect("written");
    assert_eq!(front.load().expect("read"), ids(&["a", "b"]));
    front.save(&[]).expect("written");
    assert!(front.load().expect("read").is_empty(), "all were put back");
    for (text, line) in [
        ("something else\na\n".to_string(), 1),
        (format!("{HEADER}\na\n\n"), 3),
        (format!("{HEADER}\na b\n"), 2),
    ] {
        std::fs::write(&front.own_file, text).expect("written");
        assert!(matches!(front.load(), Err(FileError::Line(_, n, _)) if n == line), "line {line}");
    }
}

/// One customer's front took over the nodes that another's of the same name had excluded, on the same host.
#[test]
fn fronts_of_two_deployments_share_no_manual_exclusion() {
    let folder = Folder::new("two");
    let (ours, theirs, beside) =
        (folder.front("docs", 4100), folder.front("pages", 4100), folder.front("docs", 4200));
    ours.save(&ids(&["a"])).expect("written");
    assert!(theirs.load().expect("read").is_empty());
    assert!(beside.load().expect("read").is_empty());
    theirs.save(&ids(&["z"])).expect("written");
    assert_eq!(ours.load().expect("read"), ids(&["a"]), "and none is lost by the other's");
    assert_eq!(theirs.load().expect("read"), ids(&["z"]));
}

/// A process of either version may replace one of the other, and keeps to what was out.
#[test]
fn the_file_of_the_earlier_version_is_read_and_written() {
    let folder = Folder::new("earlier");
    let front = folder.front("docs", 4100);
    std::fs::write(&front.shared_file, format!("{HEADER}\na\n")).expect("written");
    assert_eq!(front.load().expect("read"), ids(&["a"]));
    front.save(&ids(&["a", "b"])).expect("written");
    // The earlier version read each line after the header as an id.
    let text = std::fs::read_to_string(&front.shared_file).expect("written");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((lines[0], &lines[2..]), (HEADER, &["a", "b"][..]));
    assert!(lines[1].starts_with(DEPLOYMENT_PREFIX) && !lines[1].contains(' '));
    // Its own file removed, the shared one is still this deployment's, and not another's.
    std::fs::remove_file(&front.own_file).expect("written");
    assert_eq!(front.load().expect("read"), ids(&["a", "b"]));
    assert!(folder.front("pages", 4100).load().expect("read").is_empty());
}
