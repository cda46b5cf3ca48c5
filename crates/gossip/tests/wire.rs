//! The wire: whatever is put in comes out, and any bytes are read or refused.

use fernslip_gossip::*;
use proptest::prelude::*;
use std::net::SocketAddr;

fn words() -> impl Strategy<Value = Vec<Word>> {
    let kind = prop_oneof![Just(Kind::Failing), Just(Kind::Silent), Just(Kind::Crawling), Just(Kind::Well)];
    let word = (any::<(u64, u32)>(), kind, any::<u8>(), any::<u8>(), any::<u16>()).prop_map(
        |((id, start), kind, strength, count, age)| Word {
            of: BoxKey { id, start },
            kind,
            strength: f64::from(strength) / 255.0,
            count,
            age_ms: f64::from(age) * 100.0,
        },
    );
    proptest::collection::vec(word, 0..12)
}

fn item() -> impl Strategy<Value = Item> {
    let id = || any::<u32>().prop_map(FrontId);
    let addr = prop_oneof![
        any::<([u8; 4], u16)>().prop_map(|(ip, p)| SocketAddr::from((ip, p))),
        any::<([u8; 16], u16)>().prop_map(|(ip, p)| SocketAddr::from((ip, p)))
    ];
    prop_oneof![
        any::<u16>().prop_map(Item::Ping),
        any::<u16>().prop_map(Item::Ack),
        (id(), any::<u16>()).prop_map(|(whom, number)| Item::Ask { whom, number }),
        (id(), any::<u32>(), addr, "[a-zé]{0,10}").prop_map(|(id, incarnation, addr, name)| Item::Alive {
            id,
            incarnation,
            addr,
            name
        }),
        (id(), any::<u32>()).prop_map(|(id, incarnation)| Item::Suspect { id, incarnation }),
        (id(), any::<u32>(), any::<bool>()).prop_map(|(id, incarnation, left)| Item::Gone {
            id,
            incarnation,
            left
        }),
        any::<[u32; 16]>().prop_map(Item::Digest),
        (id(), words()).prop_map(|(witness, words)| Item::Words { witness, words }),
        (id(), any::<(u16, u16, u16)>()).prop_map(|(witness, (count, of, age))| Item::Fold {
            witness,
            kind: Kind::Silent,
            count,
            of,
            age_ms: f64::from(age) * 100.0
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn what_is_put_in_comes_out(items in proptest::collection::vec(item(), 0..4), key in any::<u8>(),
        sender in any::<u32>(), epoch in 0u64..1 << 48, sequence in any::<u32>(), unix_s in any::<u32>()) {
        let head = Header { key, sender: FrontId(sender), epoch_ms: epoch, sequence, unix_s };
        let mut bytes = encode(&head, &items);
        bytes.extend([0; 16]); // the tag's place
        match decode(&bytes) {
            Ok(read) => prop_assert_eq!(read, (head, items)),
            Err(e) => prop_assert!(e == CodecError::TooLong && bytes.len() > MOST_BYTES, "{:?}", e),
        }
        for cut in 0..bytes.len() {
            let _ = decode(&bytes[..cut]);
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let mut right = bytes;
        if let Some(first) = right.first_mut() { *first = 1; }
        let _ = decode(&right);
    }

    /// With a good tag or without: an instance takes any bytes without harm.
    #[test]
    fn any_datagram_is_taken_or_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let now = Now { mono_ms: 0.0, unix_ms: 1.8e12 };
        let mut g = Gossip::new(Config::default(), Keyring::new(Key::new(1, [3; 32])), 1, now);
        let mut out = Vec::new();
        g.handle(now, Event::Datagram { from: ([127, 0, 0, 1], 9).into(), bytes }, &mut out);
        prop_assert!(out.is_empty(), "what is not signed is never answered");
        prop_assert_eq!(g.counts().rejected.values().sum::<u64>(), 1);
    }
}
