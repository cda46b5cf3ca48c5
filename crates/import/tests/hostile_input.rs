//! Malformed or hostile input must give an error with its location, or a report, and never a panic or
//! exhausted memory.

use fernslip_import::*;
use proptest::prelude::*;
use std::path::PathBuf;

fn parse_httpd_files(files: &[(&str, &str)]) -> Result<Imported, ImportError> {
    let files = MemoryFiles::from_files(files.iter().map(|(n, t)| (*n, t.as_bytes())));
    import_httpd(&files, &["a.conf".into()], &Options::default())
}

fn error_of(files: &[(&str, &str)]) -> String {
    parse_httpd_files(files).map(|_| String::new()).unwrap_err().to_string()
}

#[test]
fn include_cycles_are_reported_at_their_position() {
    let files = [("a.conf", "Include b.conf\n"), ("b.conf", "# x\n  Include ./a.conf\n")];
    assert_eq!(error_of(&files), "b.conf:2:3: `./a.conf` includes itself, directly or through other files");
    assert_eq!(
        error_of(&[("a.conf", "\nInclude a.conf")]),
        "a.conf:2:1: `a.conf` includes itself, directly or through other files"
    );
    let deep: Vec<(String, String)> =
        (0..100).map(|i| (format!("{i}.c"), format!("Include {}.c\n", i + 1))).collect();
    let mut files: Vec<(&str, &str)> = deep.iter().map(|(n, t)| (n.as_str(), t.as_str())).collect();
    files.push(("a.conf", "Include 0.c"));
    assert!(error_of(&files).contains("more than 64 levels of included files"));
}

/// Each of 60 files includes the next one twice. Without a limit, this would read files 2 to the power of 60
/// times.
#[test]
fn the_total_number_of_includes_is_bounded() {
    let all: Vec<(String, String)> =
        (0..60).map(|i| (format!("{i}.c"), format!("Include {0}.c\nInclude {0}.c\n", i + 1))).collect();
    let mut files: Vec<(&str, &str)> = all.iter().map(|(n, t)| (n.as_str(), t.as_str())).collect();
    files.extend([("60.c", ""), ("a.conf", "Include 0.c")]);
    assert!(error_of(&files).contains("more than 10000 included files"));
}

#[test]
fn missing_files_are_reported_at_their_position() {
    assert_eq!(
        error_of(&[("a.conf", "Include x/*.conf")]),
        "a.conf:1:1: no file matches `x/*.conf`; use IncludeOptional if there may be none"
    );
    assert!(parse_httpd_files(&[("a.conf", "IncludeOptional x/*.conf")]).is_ok());
    assert!(error_of(&[("b.conf", "")]).starts_with("a.conf: cannot be read: "));
    assert!(error_of(&[("a.conf", "JkWorkersFile w.properties")])
        .starts_with("a.conf:1:1: `w.properties` cannot be read: "));
}

#[test]
fn unmatched_section_tags_are_reported_at_their_position() {
    assert_eq!(
        error_of(&[("a.conf", "<Proxy x>\n<Location /a>\n</Proxy>")]),
        "a.conf:3:1: </Proxy> does not match <Location>, opened on line 2"
    );
    assert_eq!(
        error_of(&[("a.conf", "\n </Proxy>")]),
        "a.conf:2:2: </Proxy> has no opening <Proxy> in this file"
    );
    assert_eq!(
        error_of(&[("a.conf", "<Proxy x>")]),
        "a.conf:1:1: <Proxy> is not closed in the file that opens it"
    );
    // A section that an included file opens cannot be closed by the including file.
    let files = [("a.conf", "Include b.conf\n</Proxy>"), ("b.conf", "<Proxy x>")];
    assert_eq!(error_of(&files), "b.conf:1:1: <Proxy> is not closed in the file that opens it");
    let files = [("a.conf", "<Proxy x>\nInclude b.conf\n"), ("b.conf", "</Proxy>")];
    assert_eq!(error_of(&files), "b.conf:1:1: </Proxy> has no opening <Proxy> in this file");
    assert!(error_of(&[("a.conf", &"<Location /a>\n".repeat(100))])
        .contains("more than 64 levels of nested sections"));
}

/// A reference of a variable to itself is copied unchanged. A variable whose length doubles with each line
/// ends the import with an error at the line that exceeds the limit.
#[test]
fn variables_cannot_grow_without_bound() {
    let site =
        parse_httpd_files(&[("a.conf", "Define A ${A}\nDefine B ${A}x\nProxyPass / http://h:1/${B}\n")]);
    assert_eq!(site.expect("the input is valid").site.members[0].path.as_deref(), Some("/${A}x"));
    let doubling = format!("Define A xxxxxxxxxxxxxxxx\n{}", "Define A ${A}${A}\n".repeat(40));
    let e = error_of(&[("a.conf", &doubling)]);
    assert!(e.contains("after variable expansion") && e.starts_with("a.conf:17:1: "), "{e}");
    let jk = format!("a=xxxxxxxxxxxxxxxx\n{}", "a=$(a)$(a)\n".repeat(40));
    let files = MemoryFiles::from_files([("w", jk.as_bytes())]);
    let e = import_modjk(&files, &["w".into()], &[], &[], &Options::default()).unwrap_err().to_string();
    assert!(e.contains("after variable expansion"), "{e}");
}

#[test]
fn oversized_files_and_oversized_lines_are_rejected() {
    let directory = std::env::temp_dir().join(format!("fernslip-import-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the temporary directory can be created");
    let file = directory.join("long.conf");
    let out = std::fs::File::create(&file).expect("the input file can be created");
    // The file is sparse: it reads as zeros without a newline.
    out.set_len(100 << 20).expect("the file can be extended to 100 MiB");
    let e =
        import_httpd(&DiskFiles, std::slice::from_ref(&file), &Options::default()).unwrap_err().to_string();
    out.set_len(60 << 20).expect("the file can be truncated to 60 MiB");
    let shorter =
        import_httpd(&DiskFiles, std::slice::from_ref(&file), &Options::default()).unwrap_err().to_string();
    let _ = std::fs::remove_dir_all(&directory);
    assert!(e.contains("longer than 67108864 bytes"), "{e}");
    assert!(shorter.contains("the line is longer than 1048576 bytes"), "{shorter}");
}

#[test]
fn a_later_parameter_overrides_an_earlier_one_which_is_reported() {
    let files = MemoryFiles::from_files([
        ("1", &b"<Proxy balancer://b>\nBalancerMember http://h:1 loadfactor=2\n</Proxy>\n"[..]),
        (
            "2",
            &b"<Proxy balancer://b>\nBalancerMember http://h:1 loadfactor=7\n</Proxy>\n\
            ProxyPass / balancer://b"[..],
        ),
    ]);
    let inputs: [PathBuf; 2] = ["1".into(), "2".into()];
    let imported = import_httpd(&files, &inputs, &Options::default()).expect("the input is valid");
    assert_eq!(imported.site.pools[0].members.len(), 1);
    assert_eq!(imported.site.pools[0].members[0].weight, Some(7.0));
    let first = imported.report.entries.iter().find(|e| e.file == "1" && e.directive.contains("loadfactor"));
    assert_eq!(
        first.map(|e| (e.verdict, e.reason.as_str())),
        Some((Verdict::Omitted, "overridden by the later value at 2:2:27"))
    );
}

/// A path without a usable pool must not be matched by the next route.
#[test]
fn a_route_without_a_usable_pool_excludes_its_path() {
    let site = parse_httpd_files(&[("a.conf", "ProxyPass /x balancer://none\nProxyPass / http://h:1/")])
        .expect("the input is valid")
        .site;
    assert_eq!(site.routes[0].rules[0].target, fernslip_site::Target::Exclude(None));
}

#[test]
fn secrets_appear_in_no_output() {
    let text = "ProxyPass / ajp://h:1/ secret=sesame\n";
    let imported = parse_httpd_files(&[("a.conf", text)]).expect("the input is valid");
    let out = imported.site.to_kdl() + &imported.report.to_json() + &imported.report.to_table();
    assert!(out.contains("secret") && !out.contains("sesame"));
}

/// Tokens from which the property tests assemble httpd configurations.
const HTTPD_TOKENS: &[&str] = &[
    "ProxyPass",
    "/a",
    "balancer://b",
    "http://h:1/x",
    "!",
    "<Proxy",
    "balancer://b>",
    "</Proxy>",
    "BalancerMember",
    "status=",
    "+D",
    "loadfactor=1.5",
    "\n",
    "\n",
    "\\\n",
    "\"",
    "'",
    "${A}",
    "Define A",
    "${",
    "}",
    "<VirtualHost *:80>",
    "</VirtualHost>",
    "ServerName",
    "*.x",
    "Include",
    "a.conf",
    "<IfDefine A>",
    "</IfDefine>",
    "ProxyPassMatch",
    "^/(.*)$",
    "$1",
    "<Location",
    "/l>",
    "</Location>",
    "JkMount",
    "/j/*",
    "lb",
    "JkWorkerProperty",
    "worker.lb.type=lb",
    "worker.lb.balance_workers=lb",
    "#",
    "\r",
    "é",
    "\u{feff}",
    "|",
    "ProxySet",
    "timeout=1",
    "[::1]",
    "unix:/x|http://y",
];
/// Tokens from which the property tests assemble workers and mounts files of mod_jk.
const MODJK_TOKENS: &[&str] = &[
    "worker.",
    "lb",
    ".type=lb",
    ".balance_workers=",
    "a,b",
    ".host=h",
    ".port=1",
    "worker.list=",
    "\n",
    "\n",
    "=",
    "$(",
    ")",
    "$(x)",
    "x=",
    ".reference=worker.lb",
    ".activation=d",
    "#",
    "\\",
    "/a/*=lb",
    "/a|/*=lb",
    "!/a=*",
    ";disabled=a",
    ";",
    "-",
    "\r",
    "é",
    ".mount=/a",
    ".lbfactor=0",
    ".redirect=a",
    ".domain=b",
    ".fail_on_status=-1,500",
];

/// Up to 59 of these tokens, each with or without a space after it.
fn token_sequence(from: &'static [&'static str]) -> impl Strategy<Value = String> {
    proptest::collection::vec((0..from.len(), any::<bool>()), 0..60).prop_map(|all| {
        all.into_iter().map(|(i, blank)| format!("{}{}", from[i], if blank { " " } else { "" })).collect()
    })
}

/// Checks that the document parses to the same site, and that each omitted entry of the report has a reason.
fn check_document_and_report(imported: &Imported) -> Result<(), TestCaseError> {
    let text = imported.site.to_kdl();
    match fernslip_site::Site::parse("site.kdl", &text) {
        Ok(read) => prop_assert_eq!(&read.site, &imported.site),
        Err(e) => {
            return Err(TestCaseError::fail(format!("the imported document does not parse: {e}\n{text}")))
        }
    }
    for e in &imported.report.entries {
        prop_assert!(
            e.verdict != Verdict::Omitted || !e.reason.is_empty(),
            "the omitted entry has no reason: {:?}",
            e
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn any_bytes_are_imported_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let files = MemoryFiles::from_files([("a.conf", &bytes[..])]);
        if let Ok(imported) = import_httpd(&files, &["a.conf".into()], &Options::default()) {
            check_document_and_report(&imported)?;
        }
        if let Ok(imported) =
            import_modjk(&files, &["a.conf".into()], &["a.conf".into()], &[], &Options::default())
        {
            check_document_and_report(&imported)?;
        }
    }

    #[test]
    fn any_sequence_of_httpd_tokens_is_imported_or_rejected(text in token_sequence(HTTPD_TOKENS)) {
        if let Ok(imported) = parse_httpd_files(&[("a.conf", &text)]) {
            check_document_and_report(&imported)?;
        }
    }

    #[test]
    fn any_sequence_of_modjk_tokens_is_imported_or_rejected(
        workers in token_sequence(MODJK_TOKENS),
        mounts in token_sequence(MODJK_TOKENS),
    ) {
        let files = MemoryFiles::from_files([("w", workers.as_bytes()), ("m", mounts.as_bytes())]);
        if let Ok(imported) = import_modjk(&files, &["w".into()], &["m".into()], &[], &Options::default()) {
            check_document_and_report(&imported)?;
        }
    }
}
