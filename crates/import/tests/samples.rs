//! Every sample in `examples/import/`: its document and report are compared with snapshots, the document can be read,
//! and every directive and parameter of its files is in the report exactly once.

use fernslip_import::{httpd, modjk, Imported, Memory, Options, Verdict};
use fernslip_site::{Site, State};
use std::collections::{BTreeMap, HashSet};
use std::path::{Path, PathBuf};

fn samples_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/import")
}

fn samples() -> Vec<PathBuf> {
    let mut all: Vec<_> =
        std::fs::read_dir(samples_directory()).expect("samples").flatten().map(|e| e.path()).collect();
    all.retain(|p| p.is_dir());
    all.sort();
    all
}

fn collect_files(directory: &Path, root: &Path, into: &mut Memory) {
    for path in std::fs::read_dir(directory).expect("a directory").flatten().map(|e| e.path()) {
        if path.is_dir() {
            collect_files(&path, root, into);
        } else {
            let name = path.strip_prefix(root).expect("below the root").to_path_buf();
            into.0.insert(name, std::fs::read(&path).expect("a file"));
        }
    }
}

/// Under names that begin in the sample's directory, so that reports are the same on every machine.
fn import(sample: &Path) -> Imported {
    let mut files = Memory::default();
    collect_files(sample, sample, &mut files);
    let options = Options::default();
    let imported = if sample.join("httpd.conf").exists() {
        httpd(&files, &["httpd.conf".into()], &options)
    } else {
        let [workers, mounts] = ["workers.properties", "uriworkermap.properties"].map(PathBuf::from);
        modjk(&files, &[workers], &[mounts], &[], &options)
    };
    imported.unwrap_or_else(|e| panic!("{}: {e}", sample.display()))
}

#[test]
fn each_sample_gives_its_recorded_document_and_report() {
    assert!(samples().len() >= 25);
    for sample in samples() {
        let name = sample.file_name().and_then(|n| n.to_str()).expect("a name").to_string();
        let imported = import(&sample);
        let text = imported.site.to_kdl();
        let parsed = Site::parse("site.kdl", &text).unwrap_or_else(|e| panic!("{name}: {e}\n{text}"));
        assert_eq!(parsed.site, imported.site, "{name}");
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

/// Directives, and parameters of those that have some, counted without the importer: one for each line that is no
/// comment and closes no section, one for each `name=value` behind a directive with parameters, one for each
/// attribute of a mount.
fn count_directives(file: &Path) -> usize {
    let text = String::from_utf8_lossy(&std::fs::read(file).expect("the sample")).into_owned();
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
    for sample in samples() {
        let report = import(&sample).report;
        let mut by_file: BTreeMap<String, usize> = BTreeMap::new();
        let mut seen = HashSet::new();
        for e in &report.entries {
            *by_file.entry(e.file.clone()).or_default() += 1;
            assert!(seen.insert((&e.file, e.line, e.column, &e.directive)), "twice: {e:?}");
            assert!(e.verdict != Verdict::Omitted || !e.reason.is_empty(), "no reason: {e:?}");
            assert!(e.verdict == Verdict::Omitted || !e.target.is_empty(), "no target: {e:?}");
        }
        for (file, n) in by_file {
            assert_eq!(n, count_directives(&sample.join(&file)), "{file}: {}", report.to_table());
        }
        assert_eq!(report.counts.values().sum::<usize>(), report.entries.len());
    }
}

/// The operators' first concern: whatever is written at a member to take it out of service, it never arrives live.
#[test]
fn a_disabled_or_stopped_member_never_arrives_live() {
    let conf = |member: &str| {
        let text = format!(
            "<Proxy balancer://b>\nBalancerMember http://h:1 {member}\n</Proxy>\nProxyPass / balancer://b\n"
        );
        let files = Memory::from_files([("c", text.as_bytes())]);
        httpd(&files, &["c".into()], &Options::default()).expect("an import").site
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
        assert_eq!(site.pools[0].members[0].state, Some(state), "{flags}");
    }
    let jk = |lines: &str| {
        let text = format!("worker.list=l\nworker.l.type=lb\nworker.l.balance_workers=w\n{lines}\n");
        let files = Memory::from_files([("w", text.as_bytes())]);
        let site = modjk(&files, &["w".into()], &[], &[], &Options::default()).expect("an import").site;
        site.effective().pools[0].members[0].state
    };
    for (lines, state) in [
        ("worker.w.activation=d", State::Draining),
        ("worker.w.activation=STOPPED", State::Stopped),
        ("worker.w.activation=active\nworker.w.disabled=1", State::Draining),
        ("worker.w.disabled=true\nworker.w.stopped=on", State::Stopped),
        ("worker.w.activation=off", State::Draining),
        ("worker.t.activation=stopped\nworker.w.reference=worker.t", State::Stopped),
    ] {
        assert_eq!(jk(lines), Some(state), "{lines}");
    }
}

#[test]
fn the_operators_page_shows_every_coverage_table() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/import.md");
    let text = std::fs::read_to_string(page).expect("the page");
    assert!(
        text.contains(&fernslip_import::coverage::markdown()),
        "put the output of `coverage::markdown` in"
    );
}
