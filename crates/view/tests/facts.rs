//! Property tests of the member table, and of decoding messages from arbitrary bytes.

use fernslip_gossip::{Key, Keyring};
use fernslip_view::{Fact, FrontState, Id, MemberTable, MergeOutcome, Message};
use proptest::prelude::*;

fn any_fact() -> impl Strategy<Value = Fact> {
    let state = prop_oneof![
        Just(FrontState::Joining),
        Just(FrontState::Ready),
        Just(FrontState::Draining),
        Just(FrontState::Left),
        Just(FrontState::Failed)
    ];
    (0..4u8, 0..3u64, 0..3u32, state, 0..2u64, 0..2u16).prop_map(
        |(n, generation, incarnation, state, process_id, port)| Fact {
            name: format!("f{n}"),
            addr: ([127, 0, 0, 1], 7000 + port).into(),
            gossip: None,
            location: String::new(),
            program: "1".into(),
            configuration: 0,
            process_id,
            generation,
            incarnation,
            state,
            confirmed: true,
            detected_by: Id(u64::from(state == FrontState::Failed)),
        },
    )
}

fn facts_of(table: &MemberTable) -> Vec<(Id, Fact)> {
    table.iter().map(|(id, member)| (id, member.fact.clone())).collect()
}

proptest! {
    #[test]
    fn tables_with_the_same_facts_are_equal_in_any_order_of_merging(
        facts in prop::collection::vec(any_fact(), 0..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let (mut a, mut b) = (MemberTable::default(), MemberTable::default());
        for f in &facts {
            a.merge(f, 0.0);
        }
        if !facts.is_empty() {
            for i in order {
                b.merge(&facts[i.index(facts.len())], 0.0);
            }
        }
        for f in facts.iter().rev() {
            b.merge(f, 0.0);
        }
        prop_assert_eq!(facts_of(&a), facts_of(&b));
        prop_assert_eq!(
            (a.digest(), a.bucket_sums(), a.live_count()),
            (b.digest(), b.bucket_sums(), b.live_count())
        );
        // Merging the ranks of the same facts changes nothing where the texts are known.
        let mut c = a.clone();
        for f in &facts {
            c.merge_rank(f.id(), f.rank(), 0.0);
        }
        prop_assert_eq!(facts_of(&a), facts_of(&c));
        let mut counted = MemberTable::default();
        for (_, f) in facts_of(&a).iter().filter(|(_, f)| f.state.is_live()) {
            counted.merge(f, 0.0);
        }
        prop_assert_eq!(counted.digest(), a.digest(), "the updated digest equals a newly computed one");
    }

    #[test]
    fn a_departed_front_returns_only_with_a_higher_generation_or_incarnation(
        facts in prop::collection::vec(any_fact(), 1..40),
    ) {
        let mut t = MemberTable::default();
        for f in &facts {
            let before = t.get(f.id()).map(|h| h.rank);
            if let MergeOutcome::Updated(Some(was)) = t.merge(f, 0.0) {
                let before = before.expect("a member with a previous state has a rank");
                if !was.is_live() && f.state.is_live() {
                    prop_assert!((f.generation, f.incarnation) > (before.generation, before.incarnation));
                }
            }
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..1300),
    ) {
        let keys = Keyring::new(Key::new(1, [7; 32]));
        prop_assert_eq!(Message::open(&bytes, &keys), None);
        // With a valid signature the bytes may be a message; decoding must return in either case.
        let mut signed = bytes;
        signed.splice(0..0, [1, 1]);
        signed.truncate(1000);
        keys.sign(&mut signed);
        if let Some(m) = Message::open(&signed, &keys) {
            prop_assert_eq!(Message::open(&m.seal(&keys), &keys), Some(m));
        }
    }
}

#[test]
fn digests_differ_where_any_part_of_a_fact_differs() {
    let base = Fact {
        name: "a".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        gossip: None,
        location: "east".into(),
        program: "1".into(),
        configuration: 1,
        process_id: 1,
        generation: 1,
        incarnation: 1,
        state: FrontState::Ready,
        confirmed: true,
        detected_by: Id(0),
    };
    let variants = [
        base.clone(),
        Fact { name: "b".into(), ..base.clone() },
        Fact { addr: ([127, 0, 0, 1], 2).into(), ..base.clone() },
        Fact { location: "west".into(), ..base.clone() },
        Fact { gossip: Some(([127, 0, 0, 1], 3).into()), ..base.clone() },
        Fact { program: "2".into(), ..base.clone() },
        Fact { configuration: 2, ..base.clone() },
        Fact { process_id: 2, ..base.clone() },
        Fact { generation: 2, ..base.clone() },
        Fact { incarnation: 2, ..base.clone() },
        Fact { state: FrontState::Draining, ..base.clone() },
    ];
    let digests: Vec<u64> = variants
        .iter()
        .map(|f| {
            let mut t = MemberTable::default();
            t.merge(f, 0.0);
            t.digest()
        })
        .collect();
    for (i, d) in digests.iter().enumerate() {
        assert_eq!(digests.iter().position(|x| x == d), Some(i), "the digest of variant {i} is unique");
    }
    let invalid = [
        Fact { generation: u64::MAX, ..base.clone() },
        Fact { incarnation: u32::MAX, ..base.clone() },
        Fact { name: String::new(), ..base.clone() },
        Fact { location: "x".repeat(65), ..base },
    ];
    for f in invalid {
        assert_eq!(MemberTable::default().merge(&f, 0.0), MergeOutcome::Stale);
    }
}
