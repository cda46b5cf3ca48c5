//! Tests of the command line: exit codes, and `import`, `check` and `show` on every sample.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run_fernslip(args: &[&str]) -> Output {
    let mut c = Command::new(env!("CARGO_BIN_EXE_fernslip"));
    c.args(args).env_remove("RELAY_CONFIG").output().expect("the program can be started")
}

fn exit_code(args: &[&str]) -> Option<i32> {
    run_fernslip(args).status.code()
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Creates an empty folder for one test.
fn create_test_folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("fernslip-cli-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("the folder can be created");
    dir
}

fn sample_folders() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/import");
    let mut all: Vec<_> = std::fs::read_dir(root)
        .expect("the folder of samples can be read")
        .flatten()
        .map(|e| e.path())
        .collect();
    all.sort();
    all
}

fn import_args(sample: &Path) -> Vec<String> {
    let file = |name: &str| sample.join(name).display().to_string();
    if sample.join("httpd.conf").exists() {
        return vec!["import".into(), "httpd".into(), file("httpd.conf")];
    }
    let (workers, mounts) = (file("workers.properties"), file("uriworkermap.properties"));
    ["import", "modjk", "--workers", &workers, "--mounts", &mounts].map(String::from).to_vec()
}

#[test]
fn every_sample_is_imported_checked_and_shown() {
    let dir = create_test_folder("samples");
    let (site, report) = (dir.join("site.kdl"), dir.join("report.json"));
    let (site, report) =
        (site.to_str().expect("the path is valid UTF-8"), report.to_str().expect("the path is valid UTF-8"));
    for sample in sample_folders() {
        let args = import_args(&sample);
        let mut all: Vec<&str> = args.iter().map(String::as_str).collect();
        all.extend(["-o", site, "--report", report]);
        let out = run_fernslip(&all);
        assert!(out.status.success(), "{}: {}", sample.display(), lossy_text(&out.stderr));
        assert!(
            lossy_text(&out.stderr).contains("directives and parameters"),
            "the table of directives is printed"
        );
        let checked = run_fernslip(&["check", site]);
        assert!(checked.status.success(), "{}: {}", sample.display(), lossy_text(&checked.stderr));
        let shown = run_fernslip(&["show", site]);
        assert!(shown.status.success() && lossy_text(&shown.stdout).starts_with("site \"imported\""));
        let json = run_fernslip(&["show", site, "--format", "json"]);
        let value: serde_json::Value = serde_json::from_slice(&json.stdout).expect("the text is valid JSON");
        assert!(value["members"].is_array() && value["pools"].is_array());
        let read: serde_json::Value =
            serde_json::from_str(&std::fs::read_to_string(report).expect("the report can be read"))
                .expect("the text is valid JSON");
        let counts = read["counts"].as_object().expect("the report has counts");
        let sum: u64 = counts.values().filter_map(serde_json::Value::as_u64).sum();
        assert_eq!(Some(sum as usize), read["entries"].as_array().map(Vec::len));
        // With --strict the import writes the same files, and the exit code tells whether anything was left
        // out.
        all.push("--strict");
        let left_out = counts["left_out"].as_u64().expect("the report counts what was left out") > 0;
        assert_eq!(exit_code(&all), Some(if left_out { 3 } else { 0 }), "{}", sample.display());
    }
    let _ = std::fs::remove_dir_all(dir);
}

#[test]
fn exit_codes_distinguish_success_failure_and_usage() {
    let dir = create_test_folder("codes");
    let path = |name: &str| dir.join(name).display().to_string();
    let (good, bad) = (path("good.kdl"), path("bad.kdl"));
    std::fs::write(&good, "member \"a\" address=\"h:1\"\n").expect("the file can be written");
    std::fs::write(&bad, "member \"a\" adress=\"h:1\"\n").expect("the file can be written");
    assert_eq!(exit_code(&["--version"]), Some(0));
    assert_eq!(exit_code(&["completions", "bash"]), Some(0));
    assert_eq!(exit_code(&["check", &good]), Some(0));
    assert_eq!(exit_code(&["check", &good, &bad]), Some(1));
    assert_eq!(exit_code(&["show", &bad]), Some(1));
    assert_eq!(exit_code(&["check", &path("none.kdl")]), Some(1));
    for usage in
        [&["check"][..], &["fly"], &["import"], &["import", "httpd"], &["show", &good, "--format", "xml"]]
    {
        assert_eq!(exit_code(usage), Some(2), "{usage:?}");
    }
    // A failed import leaves existing files unchanged and creates none.
    let (conf, out) = (path("cycle.conf"), path("out.kdl"));
    std::fs::write(&conf, "Include cycle.conf\n").expect("the file can be written");
    std::fs::write(&out, "as it was").expect("the file can be written");
    let failed = run_fernslip(&["import", "httpd", &conf, "-o", &out, "--report", &path("report.json")]);
    assert_eq!(failed.status.code(), Some(1));
    assert!(lossy_text(&failed.stderr).contains("cycle.conf:1:1: "), "{}", lossy_text(&failed.stderr));
    assert_eq!(std::fs::read_to_string(&out).expect("the file can be read"), "as it was");
    assert!(!dir.join("report.json").exists());
    // An import whose report cannot be written fails and leaves existing files unchanged too.
    std::fs::write(&conf, "ProxyPass / http://h:1/\n").expect("the file can be written");
    assert_eq!(
        exit_code(&["import", "httpd", &conf, "-o", &out, "--report", &path("none/report.json")]),
        Some(1)
    );
    assert_eq!(std::fs::read_to_string(&out).expect("the file can be read"), "as it was");
    let _ = std::fs::remove_dir_all(dir);
}

#[test]
fn run_reports_each_member_with_an_unsupported_protocol() {
    let dir = create_test_folder("run");
    let file = dir.join("site.kdl").display().to_string();
    let site = "site \"x\" members-from=\"file\"\nfront \"n\" listen=\"127.0.0.1:0\"\nclass \"c\" aim-ms=1 deadline-ms=2\n\
                   member \"h\" address=\"10.0.0.1:80\" protocol=\"http\"\nmember \"j\" address=\"10.0.0.2:80\" protocol=\"ajp13\"\n";
    std::fs::write(&file, site).expect("the file can be written");
    let out = run_fernslip(&["run", "--site", &file]);
    assert_eq!(out.status.code(), Some(1));
    let stderr = lossy_text(&out.stderr);
    assert!(
        stderr.contains("member \"h\" speaks http") && stderr.contains("member \"j\" speaks ajp13"),
        "{stderr}"
    );
    let _ = std::fs::remove_dir_all(dir);
}
