//! Unit tests of the private items of `select`.

use super::*;

/// The selection among members written one a token: `a0` is ready in tier 0; `S` spare, `H` standby, `D` draining,
/// `X` stopped; `!` ejected, `?` due for a probe; `@g` a group, `>n` a stand-in by its index.
fn selected(tokens: &str) -> String {
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
fn endpoints_are_selected_by_tier_spare_standby_group_stand_in_and_probe_rules() {
    for (members, expected) in [
        ("a0 a0 a1", "110"),
        ("a0! a0 a1", "010"),
        ("a0! a0! a1", "001"),
        ("D0 X0 a1", "001"),
        ("D0 X0", "00"),
        // A spare for each that is lost, no more; before the standby, which comes before the next tier.
        ("a0! a0 S0 S0", "0110"),
        ("a0! a0! S0 S0! S0", "00101"),
        ("a0 S0 H0", "100"),
        ("a0! H0 a1", "010"),
        ("a0! H0! a1", "001"),
        ("D0 S0 a1", "001"),
        // Groups stand in for each other across tiers.
        ("a0@x! a1@y a1@x", "001"),
        ("a0@z! a1@y a1@x", "011"),
        // Stand-ins, also from other tiers, also for a manually excluded member; never one that is draining itself.
        ("a0>2! a0 H1", "011"),
        ("a0>2 a0 H1", "110"),
        ("D0>2 a0 H1", "011"),
        ("a0>2! a0 D1", "010"),
        // Probes join; a failed tier does not serve again before its probe succeeds.
        ("a0? a1", "11"),
        ("a0? a0 a1?", "110"),
        ("D0? X0? a0", "001"),
        ("a0!", "0"),
    ] {
        assert_eq!(selected(members), expected, "{members}");
    }
}
