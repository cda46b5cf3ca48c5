use super::*;

#[test]
fn an_inherited_descriptor_must_be_a_number_of_three_or_more() {
    assert_eq!(parse_descriptor("3").ok(), Some(3));
    assert_eq!(parse_descriptor(" 7\n").ok(), Some(7));
    for bad in ["", "2", "0", "fd3", "-3", "3.0"] {
        assert!(matches!(parse_descriptor(bad), Err(InheritedSocketError::InvalidNumber(_))), "{bad:?}");
    }
}

#[test]
fn a_bound_listener_accepts_connections() {
    let listener = bind_listener("127.0.0.1:0".parse().expect("the address is valid"))
        .expect("a free port can be bound");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let _client = TcpStream::connect(addr).expect("a client can connect to the listener");
    assert!(listener.accept().is_ok());
}
