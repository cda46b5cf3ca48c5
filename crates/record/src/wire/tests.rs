//! Unit tests of the private items of `wire`.

use super::*;
use fernslip_gossip::Key;
use proptest::prelude::*;

fn keys() -> Keyring {
    Keyring::new(Key::new(1, [7; 32]))
}

#[test]
fn what_is_sealed_is_read_and_what_a_later_program_adds_is_passed_over() {
    let have = Item::Have(Have { birth: 3, index: 9, chain: 1, in_force: 2, asks: true });
    let items = vec![have.clone(), Item::Want(Digest::of(b"x"), vec![1, 2]), Item::Raft(7, vec![1; 700])];
    let bytes = seal(&keys(), "n1", &items);
    assert!(bytes.len() <= MOST_BYTES && items.iter().map(size).sum::<usize>() <= room("n1"));
    assert_eq!(open(&keys(), &bytes), Ok(("n1".into(), items)));
    // An item of a kind to come, and a known one with a field to come.
    let mut longer = postcard::to_stdvec(&have).expect("it");
    longer.extend([1, 2, 3]);
    let framed = vec![(99u8, vec![1u8, 2]), (1, longer)];
    let mut bytes = vec![VERSION, 1];
    bytes.extend(postcard::to_stdvec(&("n1", framed)).expect("it"));
    keys().sign(&mut bytes);
    assert_eq!(open(&keys(), &bytes), Ok(("n1".into(), vec![have])));
    bytes[0] = VERSION + 1;
    assert_eq!(open(&keys(), &bytes), Err(WireError::Version(VERSION + 1)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_signed_bytes_are_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut bytes = vec![VERSION, 1];
        bytes.extend(body);
        keys().sign(&mut bytes);
        let _ = open(&keys(), &bytes);
        bytes.truncate(bytes.len() / 2);
        prop_assert!(open(&keys(), &bytes).is_err());
    }
}
