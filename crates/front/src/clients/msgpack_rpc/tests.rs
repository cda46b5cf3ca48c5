use super::*;

#[test]
fn a_body_that_is_too_long_is_rejected_as_soon_as_its_length_is_received() {
    let head = [0x94, 0, 1, 0xa1, b'x', 0x92, 0x80, 0xc6, 1, 0, 0, 0];
    assert!(parse_message(&head).is_err(), "{:?}", parse_message(&head));
}

/// Parses every marker, alone and after the start of a call, with up to 19 bytes after it. Each must give an
/// error, a message or a wait for more bytes, never a panic.
#[test]
fn the_parser_does_not_panic_on_any_marker() {
    for marker in 0..=u8::MAX {
        for following in 0..20 {
            let value = [&[marker][..], &vec![5; following]].concat();
            for head in [&[][..], &[0x94, 0x00], &[0x94, 0x00, 0x01, 0xa1, b'x', 0x92, 0x81, 0xa1, b'k']] {
                let _ = parse_message(&[head, &value].concat());
            }
        }
    }
}

/// A type that no call contains is an error as soon as its marker is received; an incomplete call is not an
/// error.
#[test]
fn extension_types_are_rejected_and_incomplete_calls_are_not() {
    for marker in [0xc1, 0xc7, 0xc8, 0xc9, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8] {
        assert_eq!(parse_message(&[0x94, 0x00, marker]), Err(RpcError::Invalid), "{marker:x}");
    }
    let answer = encode_success(1, b"body", &[("a", "b")]);
    let call =
        [&[0x94, 0x00, 0x01, 0xa1, b'x', 0x92, 0x81, 0xa1, b'k', 0xa1, b'v', 0xc4, 0x02][..], b"ab"].concat();
    assert!(
        matches!(parse_message(&call), Ok(Some((len, Message::Call { id: 1, .. }))) if len == call.len())
    );
    for n in 0..call.len() {
        assert_eq!(parse_message(&call[..n]), Ok(None), "{n}");
    }
    assert_eq!(parse_message(&answer), Err(RpcError::UnexpectedShape), "an answer is not accepted as a call");
    let deep = vec![0x91; MAX_NESTING_DEPTH + 2];
    assert_eq!(parse_message(&deep), Err(RpcError::Invalid));
}
