//! Property tests of the wire format: encoded items decode to themselves, and any bytes are decoded or
//! rejected.

use fernslip_gossip::*;
use proptest::prelude::*;
use std::net::SocketAddr;

fn any_reports() -> impl Strategy<Value = Vec<HealthReport>> {
    let observation = prop_oneof![
        Just(Observation::Failing),
        Just(Observation::Unresponsive),
        Just(Observation::Slow),
        Just(Observation::Healthy)
    ];
    let report = (any::<(u64, u32)>(), observation, any::<u8>(), any::<u8>(), any::<u16>()).prop_map(
        |((id, start), observation, strength, count, age)| HealthReport {
            node: CacheNodeKey { id, start },
            observation,
            strength: f64::from(strength) / 255.0,
            count,
            age_ms: f64::from(age) * 100.0,
        },
    );
    proptest::collection::vec(report, 0..12)
}

fn any_item() -> impl Strategy<Value = Item> {
    let id = || any::<u32>().prop_map(FrontId);
    let addr = prop_oneof![
        any::<([u8; 4], u16)>().prop_map(|(ip, p)| SocketAddr::from((ip, p))),
        any::<([u8; 16], u16)>().prop_map(|(ip, p)| SocketAddr::from((ip, p)))
    ];
    prop_oneof![
        any::<u16>().prop_map(Item::Ping),
        any::<u16>().prop_map(Item::Ack),
        (id(), any::<u16>()).prop_map(|(target, number)| Item::PingRequest { target, number }),
        (id(), any::<u32>(), addr, "[a-zé]{0,10}").prop_map(|(id, incarnation, addr, name)| Item::Alive {
            id,
            incarnation,
            addr,
            name
        }),
        (id(), any::<u32>()).prop_map(|(id, incarnation)| Item::Suspect { id, incarnation }),
        (id(), any::<u32>()).prop_map(|(id, incarnation)| Item::Dead { id, incarnation }),
        (id(), any::<u32>()).prop_map(|(id, incarnation)| Item::Departed { id, incarnation }),
        any::<[u32; 16]>().prop_map(Item::Digest),
        (id(), any_reports()).prop_map(|(witness, reports)| Item::Reports { witness, reports }),
        (id(), any::<(u16, u16, u16)>()).prop_map(|(witness, (accused, known, age))| Item::Summary {
            witness,
            observation: Observation::Unresponsive,
            accused,
            known,
            age_ms: f64::from(age) * 100.0
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn encoded_items_decode_to_themselves(
        items in proptest::collection::vec(any_item(), 0..4), key in any::<u8>(), sender in any::<u32>(),
        epoch in 0u64..1 << 48, sequence in any::<u32>(), unix_s in any::<u32>()
    ) {
        let header = Header { key, sender: FrontId(sender), epoch_ms: epoch, sequence, unix_s };
        let mut bytes = encode_datagram(&header, &items);
        bytes.extend([0; 16]); // the tag
        match decode_datagram(&bytes) {
            Ok(decoded) => prop_assert_eq!(decoded, (header, items)),
            Err(e) => prop_assert!(
                e == CodecError::TooLong && bytes.len() > MAX_DATAGRAM_BYTES,
                "decoding {} bytes failed with {:?}", bytes.len(), e
            ),
        }
        for cut in 0..bytes.len() {
            let _ = decode_datagram(&bytes[..cut]);
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_datagram(&bytes);
        let mut right_version = bytes;
        if let Some(first) = right_version.first_mut() { *first = 1; }
        let _ = decode_datagram(&right_version);
    }

    /// An instance counts arbitrary bytes as a rejected datagram, without a panic or an answer.
    #[test]
    fn arbitrary_datagrams_are_rejected_and_not_answered(
        bytes in proptest::collection::vec(any::<u8>(), 0..300)
    ) {
        let now = Now { mono_ms: 0.0, unix_ms: 1.8e12 };
        let mut g = Gossip::new(Config::default(), Keyring::new(Key::new(1, [3; 32])), 1, now);
        let mut out = Vec::new();
        g.handle(now, Event::Datagram { from: ([127, 0, 0, 1], 9).into(), bytes }, &mut out);
        prop_assert!(out.is_empty(), "an unsigned datagram is never answered");
        prop_assert_eq!(g.counters().rejected.values().sum::<u64>(), 1);
    }
}
