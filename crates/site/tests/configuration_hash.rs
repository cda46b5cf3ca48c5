//! Fronts compare their configurations by a hash of the document's `Debug` form, so this form must be the
//! same in every version. The recorded form was written by the program of commit e2efe9d.

use fernslip_site::Site;

#[test]
fn the_debug_form_of_a_document_is_unchanged_since_earlier_versions() {
    let text = include_str!("data/complete.kdl");
    let recorded = include_str!("data/complete.debug.txt");
    let site = Site::parse("site.kdl", text).expect("the recorded site document is valid").site;
    assert_eq!(format!("{site:?}"), recorded.trim_end());
}
