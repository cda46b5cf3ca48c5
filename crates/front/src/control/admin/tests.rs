//! Unit tests of the admin interface.

use super::*;

#[test]
fn a_command_line_is_parsed_by_tokens_or_rejected_with_the_reason() {
    assert_eq!(parse_command("readyz"), Ok(AdminCommand::Ready));
    assert_eq!(parse_command("exclude s-1 "), Ok(AdminCommand::Exclude("s-1".into())));
    assert_eq!(parse_command("include s-1"), Ok(AdminCommand::Include("s-1".into())));
    assert_eq!(parse_command("exclude"), Err("an id is wanted"));
    assert_eq!(parse_command("exclude a b"), Err("too many words"));
    assert_eq!(parse_command("readyz now"), Err("unknown call"));
    assert_eq!(parse_command("reboot"), Err("unknown call"));
    assert_eq!(parse_command(""), Err("empty line"));
}
