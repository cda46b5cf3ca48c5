//! Tests that all mistakes of a document are reported, each at its position.

use fernslip_site::Site;

#[test]
fn every_mistake_is_reported_at_its_position() {
    let text = r#"site "x" members-from="disk"
site "again"
zon "edge"
zone "edge" link-in-kb-per-s=-1 fronts=0
class "docs" aim-ms=900 deadline-ms=500 effect="none"
class "pages" deadline-ms="soon"
member "a" address="10.0.0.1" weight=0 zone="edg"
member "a" address="[::1]:80" state="disabled" colour="red"
member "b" address="h:99999" { limits connections=0 answer=5; }
member address="h:1"
member "c" address="h:1" weight=1 weight=2 "more"
pool "p" {
    use "a" instead="a"
    use "q" instead="b"
    use "a"
    recovery first-ms=10 most-ms=5 fail-on="500;503"
}
routes order="shortest" {
    route "docs" pool="p"
    route "(" match="regex" pool="pp"
    route "/x"
    host 5
}
routes { }
gossip listen="here" bytes-per-s=1 { seed "b.example:1"; front 3; peer "x"; }
"#;
    insta::assert_snapshot!(Site::parse("site.kdl", text).unwrap_err().to_string());
}

#[test]
fn invalid_kdl_is_reported_at_its_position() {
    let mut reported = String::new();
    for text in ["member \"a", "pool \"p\" {\n    use \"a\"\n", "a }\n", "member a=#maybe\nmember b=1x\n"] {
        reported += &format!("{}\n", Site::parse("site.kdl", text).unwrap_err());
    }
    insta::assert_snapshot!(reported);
}

#[test]
fn probably_unintended_settings_are_warnings() {
    let text = r#"
member "a" address="h:1" state="draining"
pool "gone" { use "a"; limits wait-ms=5; }
pool "empty"
routes {
    route "/docs" pool="gone"
    route "/docs/old" exclude=#true
    route "/docs" match="exact" pool="empty"
    route "/doc" pool="empty"
}
"#;
    let parsed = Site::parse("site.kdl", text).expect("a document with warnings only is valid");
    let reported: Vec<_> = parsed.warnings.iter().map(|w| format!("{}:{} {w}", w.line, w.column)).collect();
    insta::assert_snapshot!(reported.join("\n"));
}

/// Guards against a stack overflow in the KDL parser, which recurses for each opening brace and would abort
/// the process.
#[test]
fn text_that_is_nested_too_deeply_is_rejected() {
    for open in ["a {", "/* ", "(", "a \"x\" { /*"] {
        let error = Site::parse("x", &open.repeat(100_000)).unwrap_err();
        assert!(
            error.to_string().contains("nested deeper"),
            "`{open}` repeated 100,000 times must be rejected as too deep"
        );
    }
    assert!(
        Site::parse("x", &format!("site {:?}", "{".repeat(100))).is_ok(),
        "braces inside a string must not count as nesting"
    );
}
