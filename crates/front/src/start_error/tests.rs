use super::*;

/// Operators' pages and scripts quote these lines.
#[test]
fn every_start_error_keeps_its_wording() {
    let io = || std::io::Error::other("no");
    for (error, wording) in [
        (StartError::Bind(([127, 0, 0, 1], 80).into(), io()), "cannot listen on 127.0.0.1:80: no"),
        (StartError::Control("/run/front".into(), io()), "cannot answer at /run/front: no"),
        (StartError::AdminAddress("x\"".into()), r#"RELAY_OPS="x\"" is no address"#),
        (StartError::Thread(io()), "cannot start a thread: no"),
        (StartError::Panic, "a defect ended what keeps house; its message is above"),
    ] {
        assert_eq!(error.to_string(), wording);
    }
}
