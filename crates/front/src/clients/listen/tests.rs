use super::*;

#[test]
fn a_descriptor_is_a_number_of_three_or_more() {
    assert_eq!(descriptor("3").ok(), Some(3));
    assert_eq!(descriptor(" 7\n").ok(), Some(7));
    for bad in ["", "2", "0", "fd3", "-3", "3.0"] {
        assert!(matches!(descriptor(bad), Err(PassedSocketError::Number(_))), "{bad:?}");
    }
}

#[test]
fn a_bound_listener_takes_connections() {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = listener.local_addr().expect("its address");
    let _client = TcpStream::connect(at).expect("it listens");
    assert!(listener.accept().is_ok());
}
