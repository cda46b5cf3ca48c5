use super::*;

/// Runbooks and scripts of the operators quote these messages.
#[test]
fn every_start_error_has_its_documented_message() {
    let io = || std::io::Error::other("no");
    for (error, wording) in [
        (StartError::Bind(([127, 0, 0, 1], 80).into(), io()), "cannot listen on 127.0.0.1:80: no"),
        (StartError::Control("/run/front".into(), io()), "cannot listen on control socket /run/front: no"),
        (StartError::AdminAddress("x\"".into()), r#"RELAY_OPS="x\"" is not an address of the form IP:PORT"#),
        (StartError::Thread(io()), "cannot start a thread: no"),
        (StartError::Panic, "the main loop panicked; the panic message is above"),
    ] {
        assert_eq!(error.to_string(), wording);
    }
}
