use super::*;

#[test]
fn messages_round_trip_and_malformed_ones_are_rejected() {
    let changes: Vec<CounterChange> = (0..60).map(|n| CounterChange { at: n * 9, up: n % 4 > 0 }).collect();
    let piece = encode_changes(&changes, 251).remove(0);
    let data = [changes_header(7, [1, 2, 3]), piece].concat();
    assert_eq!(decode_message(&data, 16384), Some((7, Message::Changes { tag: [1, 2, 3], changes })));
    for wants_reply in [false, true] {
        assert_eq!(
            decode_message(&encode_greeting(7, wants_reply), 16384),
            Some((7, Message::Greeting { wants_reply }))
        );
    }
    let malformed: [&[u8]; 7] =
        [&[], &[2], &[2, 7], &[2, 7, 2], &[2, 7, 1, 2, 3], &[3, 7, 1], &[2, 7, 1, 2, 3, 255, 255]];
    for data in malformed {
        assert_eq!(decode_message(data, 16384), None, "malformed message {data:?} is rejected");
    }
    assert_eq!(
        decode_message(&data, 16),
        None,
        "changes of counters beyond the 16 of the filter are rejected"
    );
}
