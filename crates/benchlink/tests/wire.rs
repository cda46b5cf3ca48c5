//! Runs the adapter and checks its output for given input lines.

use std::io::Write;
use std::process::{Command, Stdio};

/// Starts instance 3, a router in the zone `edge`.
const START_MESSAGE: &str = r#"{"cmd":"BORN","i":3,"nonce64":5,
"info":{"areas":["hub","edge"],"zone":"edge","new_key":1,
"kinds":["box","parent","origin"],"slot_no":0,"group_size":1,"discovery":"pushed","tick_ms":2.0,
"classes":[{"name":"chunk","objective_ms":400.0,"deadline_ms":6000.0,"importance":1.0,
"semantics":"idempotent"}],
"family_info":{"mid_kind":1,"origin_kind":2,"zone_balancers":[0,1],"stream_kb_per_s":1000.0,"collapses":true},
"permissions":{"max_attempts":4,"max_open":100},
"rules":{"drain_grace_ms":1000.0,"start_capacity":0.2,"warm_up_ms":9000.0,"tip_multiple":4.0,
"overload_for_ms":1000.0}}}"#;

/// An endpoint list of one cache and one parent, and the event that applies it to instance 3.
const ENDPOINT_MESSAGES: &str = r#"{"cmd":"ROSTER","buffer":0,"rows_in":[
{"nominal":9,"rack_zone":"edge","machine":"box","pod":0,"born_ms":null,"phase":"IN","cache":"10.0.0.1:9000"},
{"nominal":9,"rack_zone":"hub","machine":"parent","pod":1,"born_ms":null,"phase":"IN",
"cache":"10.0.0.2:9000"}]}
{"cmd":"FLEET","i":3,"mode":"cached","stamp":1,"buffer":0}"#;

/// A client's request at instance 3.
const REQUEST_MESSAGE: &str = r#"{"cmd":"JOB_IN","i":3,"call":"00000000000000aa","range_no":1,
"lane":"chunk","update":false,
"size_kb":100,"time_budget_ms":5000.0,"purge_group":1,"realm":null,
"content_id":"91f03b7c55d20a64","retry":false}"#;

/// Joins messages that the constants of this file break into several lines, so that each is on one line.
fn join_broken_lines(text: &str) -> String {
    text.replace(",\n", ",").replace("[\n", "[") + "\n"
}

/// Runs the adapter on `input` and returns its standard output, its standard error, and whether it succeeded.
fn run_adapter(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fernslip-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap(), out.status.success())
}

/// Encloses the messages of `body` in a batch at the time 1000 ms.
fn batch_of(body: &str) -> String {
    format!(
        "{{\"cmd\":\"BEGIN_BATCH\",\"wall_ms\":1000.0}}\n{}{{\"cmd\":\"COMMIT\"}}\n",
        join_broken_lines(body)
    )
}

#[test]
fn a_request_is_answered_with_a_read_through_command() {
    let (out, err, ok) =
        run_adapter(&batch_of(&format!("{START_MESSAGE}\n{ENDPOINT_MESSAGES}\n{REQUEST_MESSAGE}")));
    assert!(ok && err.is_empty(), "expected success and no errors, got {err}");
    let replies: Vec<serde_json::Value> = out.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    let read_through = &replies[0];
    assert_eq!(read_through["cmd"], "READ_THROUGH");
    assert_eq!(read_through["call"], "00000000000000aa");
    assert_eq!(
        (&read_through["cache"], &read_through["fill_from"]),
        (&"10.0.0.1:9000".into(), &"10.0.0.2:9000".into())
    );
    assert_eq!(replies.last().unwrap()["cmd"], "ACK");
}

#[test]
fn unusable_lines_are_reported_by_number_and_skipped() {
    let unusable = "{\"cmd\":\"JOB_IN\",\"i\":3,\"call\":\"xyz\"}\nnot json\n{\"cmd\":\"WHAT\",\"i\":3}\n\
               {\"cmd\":\"WAKEUP\",\"i\":77,\"handle\":1}";
    let (out, err, ok) = run_adapter(&batch_of(&format!(
        "{START_MESSAGE}\n{ENDPOINT_MESSAGES}\n{unusable}\n{REQUEST_MESSAGE}"
    )));
    assert!(ok);
    for expected in ["line 5: ", "line 6: not JSON", "line 7: cmd has the unknown value \"WHAT\"", "line 8: "]
    {
        assert!(err.contains(expected), "standard error has no {expected:?}: {err}");
    }
    assert!(err.contains("unknown instance 77"));
    assert_eq!(out.lines().count(), 2, "expected one line for the valid request and one ACK, got {out}");
}

#[test]
fn invalid_settings_are_answered_with_a_panic_message_and_the_field_is_named() {
    let born = START_MESSAGE.replace("\"warm_up_ms\":9000.0", "\"warm_up_ms\":-1.0");
    let (out, err, ok) = run_adapter(&batch_of(&born));
    assert!(ok && err.contains("cold_ms"), "expected success and an error that names cold_ms, got {err}");
    assert!(out.lines().next().unwrap().contains("PANIC"));
}
