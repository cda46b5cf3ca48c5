//! Unit tests of the selection of endpoints.

use super::*;

/// Selects among the members that `tokens` describes and returns `1` or `0` for each. One token is one
/// member: a letter for its state (`a` ready, `S` spare, `H` standby, `D` draining, `X` stopped), its tier,
/// then `!` if it is ejected, `?` if it is due for a probe, `@g` for its group and `>n` for the index of its
/// replacement.
fn selection_of(tokens: &str) -> String {
    let id = |n: usize| -> Arc<str> { format!("m{n}").into() };
    let mut members = Vec::new();
    let mut status = Vec::new();
    for (n, token) in tokens.split(' ').enumerate() {
        let tier = token.chars().find(char::is_ascii_digit).and_then(|c| c.to_digit(10)).unwrap_or(0);
        members.push(MemberSpec {
            id: id(n),
            weight: 1.0,
            state: match token.chars().next() {
                Some('S') => State::Spare,
                Some('H') => State::Standby,
                Some('D') => State::Draining,
                Some('X') => State::Stopped,
                _ => State::Ready,
            },
            tier: tier.into(),
            group: token.split_once('@').map(|g| g.1[..1].into()),
            instead: token.split_once('>').and_then(|g| g.1[..1].parse().ok()).map(id),
            in_flight: None,
        });
        let (healthy, probe_due) = (!token.contains(['!', '?']), token.contains('?'));
        status.push(MemberStatus { listed: true, healthy, probe_due });
    }
    select_endpoints(&members, &status).into_iter().map(|s| if s { '1' } else { '0' }).collect()
}

#[test]
fn endpoints_are_selected_by_tier_spare_standby_group_replacement_and_probe_rules() {
    for (members, expected) in [
        ("a0 a0 a1", "110"),
        ("a0! a0 a1", "010"),
        ("a0! a0! a1", "001"),
        ("D0 X0 a1", "001"),
        ("D0 X0", "00"),
        // One spare is added for each unusable member. Spares come before standbys, and these before the next
        // tier.
        ("a0! a0 S0 S0", "0110"),
        ("a0! a0! S0 S0! S0", "00101"),
        ("a0 S0 H0", "100"),
        ("a0! H0 a1", "010"),
        ("a0! H0! a1", "001"),
        ("D0 S0 a1", "001"),
        // Members of the same group in the next tier replace the members of a tier that has none usable.
        ("a0@x! a1@y a1@x", "001"),
        ("a0@z! a1@y a1@x", "011"),
        // A replacement may be in another tier and may replace a draining member, but must not be draining
        // itself.
        ("a0>2! a0 H1", "011"),
        ("a0>2 a0 H1", "110"),
        ("D0>2 a0 H1", "011"),
        ("a0>2! a0 D1", "010"),
        // Members due for a probe are added, but the next tier serves until a probe of the failed tier
        // succeeds.
        ("a0? a1", "11"),
        ("a0? a0 a1?", "110"),
        ("D0? X0? a0", "001"),
        ("a0!", "0"),
    ] {
        assert_eq!(selection_of(members), expected, "{members}");
    }
}
