//! Unit tests of the admin interface.

use super::*;

#[test]
fn a_command_line_is_parsed_by_tokens_or_rejected_with_the_reason() {
    assert_eq!(parse("readyz"), Ok(AdminCommand::Ready));
    assert_eq!(parse("exclude s-1 "), Ok(AdminCommand::Exclude("s-1".into())));
    assert_eq!(parse("include s-1"), Ok(AdminCommand::Include("s-1".into())));
    assert_eq!(parse("exclude"), Err("an id is wanted"));
    assert_eq!(parse("exclude a b"), Err("too many words"));
    assert_eq!(parse("readyz now"), Err("unknown call"));
    assert_eq!(parse("reboot"), Err("unknown call"));
    assert_eq!(parse(""), Err("empty line"));
}
