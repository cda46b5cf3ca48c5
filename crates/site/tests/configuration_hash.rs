//! Fronts compare their configurations by a hash over the document's `Debug` form, so that form is the same in every
//! version. The recorded one was written by the program of commit e2efe9d.

use fernslip_site::Site;

#[test]
fn a_documents_debug_form_is_the_one_that_earlier_versions_hash() {
    let text = include_str!("data/complete.kdl");
    let recorded = include_str!("data/complete.debug.txt");
    let site = Site::parse("site.kdl", text).expect("the document is valid").site;
    assert_eq!(format!("{site:?}"), recorded.trim_end());
}
