//! Imports every sample in `examples/import/`, and checks that the document and report equal the recorded
//! snapshots, that the document parses, and that the report lists every directive and parameter exactly once.

use fernslip_import::{import_httpd, import_modjk, Imported, MemoryFiles, Options, Verdict};
use fernslip_site::{Site, State};
use std::collections::{BTreeMap, HashSet};
use std::path::{Path, PathBuf};

fn samples_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/import")
}

/// The directories of all samples, sorted by name.
fn sample_directories() -> Vec<PathBuf> {
    let mut all: Vec<_> = std::fs::read_dir(samples_root())
        .expect("the directory of samples can be listed")
        .flatten()
        .map(|e| e.path())
        .collect();
    all.retain(|p| p.is_dir());
    all.sort();
    all
}

fn collect_files(directory: &Path, root: &Path, into: &mut MemoryFiles) {
    for path in std::fs::read_dir(directory)
        .expect("the sample's directory can be listed")
        .flatten()
        .map(|e| e.path())
    {
        if path.is_dir() {
            collect_files(&path, root, into);
        } else {
            let name =
                path.strip_prefix(root).expect("the path is below the sample's directory").to_path_buf();
            into.0.insert(name, std::fs::read(&path).expect("the sample's file can be read"));
        }
    }
}

/// Imports a sample. File names are relative to its directory, so that the report is the same on every
/// machine.
fn import_sample(sample: &Path) -> Imported {
    let mut files = MemoryFiles::default();
    collect_files(sample, sample, &mut files);
    let options = Options::default();
    let imported = if sample.join("httpd.conf").exists() {
        import_httpd(&files, &["httpd.conf".into()], &options)
    } else {
        let [workers, mounts] = ["workers.properties", "uriworkermap.properties"].map(PathBuf::from);
        import_modjk(&files, &[workers], &[mounts], &[], &options)
    };
    imported.unwrap_or_else(|e| panic!("the import of the sample {} failed: {e}", sample.display()))
}

#[test]
fn each_sample_gives_its_recorded_document_and_report() {
    assert!(sample_directories().len() >= 25);
    for sample in sample_directories() {
        let name = sample
            .file_name()
            .and_then(|n| n.to_str())
            .expect("the sample's directory has a name in UTF-8")
            .to_string();
        let imported = import_sample(&sample);
        let text = imported.site.to_kdl();
        let parsed = Site::parse("site.kdl", &text)
            .unwrap_or_else(|e| panic!("the document of the sample {name} does not parse: {e}\n{text}"));
        assert_eq!(parsed.site, imported.site, "the document of {name} parses to the imported site");
        let mut out = text;
        for w in parsed.warnings {
            out += &format!("// warning: {w}\n");
        }
        out += "---\n";
        for e in &imported.report.entries {
            let file = &e.file;
            let outcome = [e.target.as_str(), e.reason.as_str()].join(" | ");
            out += &format!(
                "{file}:{}:{} {} = {} | {outcome}\n",
                e.line,
                e.column,
                e.directive,
                e.verdict.as_str()
            );
        }
        out += &format!("{:?}\n", imported.report.counts);
        insta::assert_snapshot!(name, out);
    }
}

/// Counts directives and parameters independently of the importer: one for each line that is neither a
/// comment nor a closing tag, one for each `name=value` after a directive that takes parameters, and one for
/// each attribute of a mount.
fn count_directives(file: &Path) -> usize {
    let text =
        String::from_utf8_lossy(&std::fs::read(file).expect("the sample's file can be read")).into_owned();
    let joined = text.replace("\\\r\n", " ").replace("\\\n", " ");
    let lines = joined.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with(['#']));
    let properties = file.extension().is_some_and(|e| e == "properties");
    lines
        .filter(|l| !l.starts_with("</"))
        .map(|l| match properties {
            true => 1 + l.matches(';').count(),
            false => {
                let mut tokens = l.split_whitespace();
                let name = tokens.next().unwrap_or("").to_lowercase();
                let has_params =
                    ["balancermember", "proxypass", "proxypassmatch", "proxyset"].contains(&name.as_str());
                let param =
                    |t: &&str| !t.contains("://") && !t.contains("(?") && t.contains('=') || *t == "nocanon";
                1 + match name.as_str() {
                    "jkoptions" => tokens.count(),
                    _ if has_params => tokens.filter(param).count(),
                    _ => 0,
                }
            }
        })
        .sum()
}

#[test]
fn every_directive_and_parameter_is_reported_exactly_once() {
    for sample in sample_directories() {
        let report = import_sample(&sample).report;
        let mut by_file: BTreeMap<String, usize> = BTreeMap::new();
        let mut seen = HashSet::new();
        for e in &report.entries {
            *by_file.entry(e.file.clone()).or_default() += 1;
            assert!(
                seen.insert((&e.file, e.line, e.column, &e.directive)),
                "the report lists this entry twice: {e:?}"
            );
            assert!(
                e.verdict != Verdict::Omitted || !e.reason.is_empty(),
                "the omitted entry has no reason: {e:?}"
            );
            assert!(
                e.verdict == Verdict::Omitted || !e.target.is_empty(),
                "the imported entry has no target: {e:?}"
            );
        }
        for (file, n) in by_file {
            assert_eq!(
                n,
                count_directives(&sample.join(&file)),
                "the report of {file} lists each directive and parameter: {}",
                report.to_table()
            );
        }
        assert_eq!(report.counts.values().sum::<usize>(), report.entries.len());
    }
}

/// A member that the input takes out of service, in whatever notation, must not receive requests after the
/// import.
#[test]
fn a_disabled_or_stopped_member_is_never_imported_as_ready() {
    let conf = |member: &str| {
        let text = format!(
            "<Proxy balancer://b>\nBalancerMember http://h:1 {member}\n</Proxy>\nProxyPass / balancer://b\n"
        );
        let files = MemoryFiles::from_files([("c", text.as_bytes())]);
        import_httpd(&files, &["c".into()], &Options::default()).expect("the configuration is valid").site
    };
    for (flags, state) in [
        ("D", State::Draining),
        ("+D", State::Draining),
        ("d+H", State::Draining),
        ("HD", State::Draining),
        ("SD", State::Stopped),
        ("N", State::Draining),
        ("-H+D", State::Draining),
        ("R+S", State::Stopped),
        ("Disabled", State::Stopped),
    ] {
        let site = conf(&format!("status={flags}"));
        assert_eq!(
            site.pools[0].members[0].state,
            Some(state),
            "the state of a member with the flags {flags}"
        );
    }
    let jk = |lines: &str| {
        let text = format!("worker.list=l\nworker.l.type=lb\nworker.l.balance_workers=w\n{lines}\n");
        let files = MemoryFiles::from_files([("w", text.as_bytes())]);
        let site = import_modjk(&files, &["w".into()], &[], &[], &Options::default())
            .expect("the configuration is valid")
            .site;
        site.with_defaults().pools[0].members[0].state
    };
    for (lines, state) in [
        ("worker.w.activation=d", State::Draining),
        ("worker.w.activation=STOPPED", State::Stopped),
        ("worker.w.activation=active\nworker.w.disabled=1", State::Draining),
        ("worker.w.disabled=true\nworker.w.stopped=on", State::Stopped),
        ("worker.w.activation=off", State::Draining),
        ("worker.t.activation=stopped\nworker.w.reference=worker.t", State::Stopped),
    ] {
        assert_eq!(jk(lines), Some(state), "the state of a member with the properties {lines}");
    }
}

#[test]
fn the_operators_page_contains_the_coverage_tables() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/import.md");
    let text = std::fs::read_to_string(page).expect("docs/operate/import.md can be read");
    assert!(
        text.contains(&fernslip_import::coverage::markdown_tables()),
        "docs/operate/import.md must contain the output of the example `coverage`"
    );
}
