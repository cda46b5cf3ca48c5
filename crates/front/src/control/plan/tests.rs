//! Unit tests of the plan of a site document.

use super::*;
use crate::control::standalone::config;

fn site(text: &str) -> Site {
    Site::parse("site.kdl", text).expect("a site").site
}

const FRONT: &str = "front \"n\" listen=\"127.0.0.1:0\"\nclass \"docs\" aim-ms=600 deadline-ms=5000\n";

#[test]
fn every_reason_a_site_is_rejected_is_reported() {
    let s = site(&format!(
        "site \"x\" members-from=\"file\"\n{FRONT}zone \"e\"\n{}",
        "member \"a\" address=\"10.0.0.1:80\" protocol=\"http\"\nmember \"b\" address=\"b.example:80\"\n\
         member \"c\" address=\"10.0.0.1:80\" kind=\"parent\" zone=\"e\"\npool \"p\" { use \"c\"; use \"b\"; }"
    ));
    let Ok(c) = config(&s) else { panic!("a front") };
    let wrong = Plan::of(&s, &c.names, &c.settings).unwrap_err();
    assert_eq!(wrong.len(), 3, "{wrong:?}");
    assert!(
        wrong[0].contains("\"a\" speaks http") && wrong[1].contains("\"b\"") && wrong[2].contains("\"c\"")
    );
    assert_eq!(config(&site("site \"x\"")).err().map(|e| e.len()), Some(1));
    assert_eq!(config(&site("front \"n\" listen=\"here\"")).err().map(|e| e.len()), Some(3));
}

#[test]
fn a_site_without_pools_forms_a_single_pool() {
    let s = site(&format!(
        "site \"x\" members-from=\"file\"\n{FRONT}{}",
        "member \"a\" address=\"10.0.0.1:80\" state=\"draining\" weight=3\n\
         member \"p\" address=\"10.0.0.2:80\" kind=\"parent\"\n"
    ));
    let Ok(c) = config(&s) else { panic!("a front") };
    let plan = Plan::of(&s, &c.names, &c.settings).expect("a plan");
    assert_eq!(plan.pools.len(), 1);
    let parts = &plan.pools[0].members;
    assert_eq!((parts.len(), &*parts[0].id, parts[0].weight, parts[0].state), (1, "a", 3.0, State::Draining));
    assert!(plan.members["p"].is_source && plan.routes.is_empty());
}
