//! Unit tests of making a plan from a site document.

use super::*;
use crate::control::standalone::config_from_site;

fn parse_site(text: &str) -> Site {
    Site::parse("site.kdl", text).expect("the site document is valid").site
}

/// The site document's lines for a front and a class.
const FRONT_AND_CLASS: &str =
    "front \"n\" listen=\"127.0.0.1:0\"\nclass \"docs\" aim-ms=600 deadline-ms=5000\n";

#[test]
fn every_reason_why_a_site_document_is_rejected_is_reported() {
    let site = parse_site(&format!(
        "site \"x\" members-from=\"file\"\n{FRONT_AND_CLASS}zone \"e\"\n{}",
        "member \"a\" address=\"10.0.0.1:80\" protocol=\"http\"\nmember \"b\" address=\"b.example:80\"\n\
         member \"c\" address=\"10.0.0.1:80\" kind=\"parent\" zone=\"e\"\npool \"p\" { use \"c\"; use \"b\"; }"
    ));
    let Ok(c) = config_from_site(&site) else { panic!("the site document is a valid configuration") };
    let errors = Plan::from_document(&site, &c.names, &c.settings).unwrap_err();
    assert_eq!(errors.len(), 3, "one error for each of the three members, got {errors:?}");
    assert!(
        errors[0].contains("\"a\" speaks http") && errors[1].contains("\"b\"") && errors[2].contains("\"c\"")
    );
    assert_eq!(config_from_site(&parse_site("site \"x\"")).err().map(|e| e.len()), Some(1));
    assert_eq!(config_from_site(&parse_site("front \"n\" listen=\"here\"")).err().map(|e| e.len()), Some(3));
}

#[test]
fn a_site_without_pools_gets_one_pool_with_all_its_caches() {
    let site = parse_site(&format!(
        "site \"x\" members-from=\"file\"\n{FRONT_AND_CLASS}{}",
        "member \"a\" address=\"10.0.0.1:80\" state=\"draining\" weight=3\n\
         member \"p\" address=\"10.0.0.2:80\" kind=\"parent\"\n"
    ));
    let Ok(c) = config_from_site(&site) else { panic!("the site document is a valid configuration") };
    let plan =
        Plan::from_document(&site, &c.names, &c.settings).expect("a front can serve from the site document");
    assert_eq!(plan.pools.len(), 1);
    let members = &plan.pools[0].members;
    assert_eq!(
        (members.len(), &*members[0].id, members[0].weight, members[0].state),
        (1, "a", 3.0, State::Draining)
    );
    assert!(plan.members["p"].is_source && plan.routes.is_empty());
}
