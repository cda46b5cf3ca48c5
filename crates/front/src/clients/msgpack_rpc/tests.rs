use super::*;

#[test]
fn a_body_that_is_too_long_is_rejected_by_its_header() {
    let head = [0x94, 0, 1, 0xa1, b'x', 0x92, 0x80, 0xc6, 1, 0, 0, 0];
    assert!(parse(&head).is_err(), "{:?}", parse(&head));
}

/// Every marker that there is, alone and behind the head of a call, whole and cut: an error or a wish for more, and no panic.
#[test]
fn no_bytes_make_the_parser_panic() {
    for marker in 0..=u8::MAX {
        for behind in 0..20 {
            let odd = [&[marker][..], &vec![5; behind]].concat();
            for head in [&[][..], &[0x94, 0x00], &[0x94, 0x00, 0x01, 0xa1, b'x', 0x92, 0x81, 0xa1, b'k']] {
                let _ = parse(&[head, &odd].concat());
            }
        }
    }
}

/// What no call has is malformed as soon as its marker is there; what is not whole yet may become a call.
#[test]
fn extension_types_are_malformed_and_parts_of_calls_are_not() {
    for marker in [0xc1, 0xc7, 0xc8, 0xc9, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8] {
        assert_eq!(parse(&[0x94, 0x00, marker]), Err(RpcError::Invalid), "{marker:x}");
    }
    let whole = served(1, b"body", &[("a", "b")]);
    let call =
        [&[0x94, 0x00, 0x01, 0xa1, b'x', 0x92, 0x81, 0xa1, b'k', 0xa1, b'v', 0xc4, 0x02][..], b"ab"].concat();
    assert!(matches!(parse(&call), Ok(Some((len, Message::Call { id: 1, .. }))) if len == call.len()));
    for n in 0..call.len() {
        assert_eq!(parse(&call[..n]), Ok(None), "{n}");
    }
    assert_eq!(parse(&whole), Err(RpcError::Shape), "an answer is no call");
    let deep = vec![0x91; MAX_DEPTH + 2];
    assert_eq!(parse(&deep), Err(RpcError::Invalid));
}
