//! Checks that every repository path that `docs/ARCHITECTURE.md` names in backticks exists.
//!
//! When a file is renamed and the page is not updated, the test names the paths that no longer exist.

use std::path::{Path, PathBuf};

/// Prefixes that mark a backticked span as a repository-relative path.
const PATH_PREFIXES: [&str; 4] = ["crates/", "docs/", "deploy/", "examples/"];

/// Returns the repository root, two folders above this crate's manifest.
fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the repository root two folders above crates/cli exists")
}

/// Returns the text of every span between single backticks, in order; fenced code blocks are skipped.
fn backticked_spans(text: &str) -> Vec<String> {
    let mut spans = Vec::new();
    let mut in_fence = false;
    for line in text.lines() {
        if line.trim_start().starts_with("```") {
            in_fence = !in_fence;
            continue;
        }
        if in_fence {
            continue;
        }
        let mut parts = line.split('`');
        // Parts at odd positions lie between an opening and a closing backtick.
        parts.next();
        while let (Some(inside), Some(_after)) = (parts.next(), parts.next()) {
            spans.push(inside.to_string());
        }
    }
    spans
}

/// Returns the repository path that a span names, without a trailing `/` or `:line`; `None` if the span
/// starts with none of the prefixes.
fn repository_path(span: &str) -> Option<&str> {
    let span = span.trim();
    if !PATH_PREFIXES.iter().any(|prefix| span.starts_with(prefix)) {
        return None;
    }
    let path = span.split(':').next().unwrap_or(span);
    Some(path.trim_end_matches('/'))
}

#[test]
fn every_repository_path_named_in_the_architecture_page_exists() {
    let root = repository_root();
    let page = root.join("docs/ARCHITECTURE.md");
    let text = std::fs::read_to_string(&page)
        .unwrap_or_else(|error| panic!("cannot read {}: {error}", page.display()));
    let named: Vec<String> =
        backticked_spans(&text).iter().filter_map(|span| repository_path(span)).map(String::from).collect();
    assert!(!named.is_empty(), "docs/ARCHITECTURE.md names no repository path in backticks");
    let mut missing: Vec<&String> = named.iter().filter(|path| !root.join(path.as_str()).exists()).collect();
    missing.sort();
    missing.dedup();
    assert!(
        missing.is_empty(),
        "docs/ARCHITECTURE.md names {} path(s) that do not exist in {}:\n{}",
        missing.len(),
        root.display(),
        missing.iter().map(|path| format!("  {path}")).collect::<Vec<_>>().join("\n")
    );
}

#[test]
fn spans_between_backticks_are_found_and_fences_are_skipped() {
    let text = "a `crates/x.rs` and `docs/y.md`\n```\n`crates/in_fence.rs`\n```\nlone ` tick";
    assert_eq!(backticked_spans(text), vec!["crates/x.rs".to_string(), "docs/y.md".to_string()]);
}

#[test]
fn only_spans_with_a_repository_prefix_count_as_paths() {
    assert_eq!(repository_path("crates/front/src/lib.rs"), Some("crates/front/src/lib.rs"));
    assert_eq!(repository_path("docs/design/"), Some("docs/design"));
    assert_eq!(repository_path("deploy/balancer.toml:12"), Some("deploy/balancer.toml"));
    assert_eq!(repository_path("Router"), None);
    assert_eq!(repository_path("src/lib.rs"), None);
}
