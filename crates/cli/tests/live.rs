//! A front that serves from a site document, over sockets, with simulated cache nodes: drains by SIGHUP under
//! load, fallback and recovery, limits, routes, and documents that cannot be applied.

mod common;

use common::{wait_until, Answer, Front, Node, STEP_TIMEOUT};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SITE_HEAD: &str =
    "site \"live\" members-from=\"file\"\nfront \"n0\" listen=\"127.0.0.1:0\" zone=\"here\"\nzone \"here\"\n\
    class \"docs\" aim-ms=600 deadline-ms=5000 worth=2\nclass \"pages\" aim-ms=400 deadline-ms=3000\n\
    class \"change\" aim-ms=600 deadline-ms=3000 effect=\"at-most-once\" write=#true\n";

/// How long new requests may arrive at a member after it was set to draining. The printed delays count from
/// the signal and include reading the file. The assertions count from the reload's log line, so that a
/// stalled machine cannot fail them.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

fn member_kdl(id: &str, node: &Node, more: &str) -> String {
    format!("member \"{id}\" address=\"{}\" {more}\n", node.addr)
}

/// Clients that send calls without a pause until they are stopped, and count how many calls were served and
/// how many were not.
struct ClientLoad {
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<(usize, usize)>>,
}

impl ClientLoad {
    fn start(front: &Front, clients: u64) -> ClientLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let clients = (0..clients).map(|c| {
            let (mut client, stop) = (front.client(), stop.clone());
            std::thread::spawn(move || {
                let (mut served, mut other) = (0, 0);
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    match client.call("docs", c * 1_000_000 + n % 500) {
                        Answer::Served => served += 1,
                        Answer::Error(..) => other += 1,
                    }
                    std::thread::sleep(Duration::from_millis(1));
                }
                (served, other)
            })
        });
        ClientLoad { clients: clients.collect(), stop }
    }

    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let ended = self.clients.into_iter().map(|c| c.join().expect("the thread does not panic"));
        ended.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// From 500 ms after a reload by SIGHUP, a draining member receives no new request and is not named as the
/// source of a fill, while clients send calls without a pause.
#[test]
fn a_member_set_to_draining_by_sighup_gets_no_new_requests() {
    let nodes = [Node::start(), Node::start(), Node::start(), Node::start()];
    let [a, b, c, origin] = &nodes;
    let site = |state: &str, weight: &str| {
        let caches = member_kdl("a", a, "") + &member_kdl("b", b, state) + &member_kdl("c", c, weight);
        let pool =
            "pool \"docs\" { use \"a\"; use \"b\"; use \"c\"; }\nroutes { route \"/docs\" pool=\"docs\"; }\n";
        SITE_HEAD.to_string() + &caches + &member_kdl("o", origin, "kind=\"origin\"") + pool
    };
    let mut front = Front::start("drain", &site("", ""), &[]);
    let load = ClientLoad::start(&front, 8);
    wait_until("every member receives requests", || nodes[..3].iter().all(|n| n.request_count() > 50));
    let mut delays = Vec::new();
    for state in ["draining", "stopped"] {
        let signal = front.reload(&site(&format!("state=\"{state}\""), ""));
        front.wait_for_log("reload: site: members added=0 gone=0 moved=0 changed=1");
        let reloaded = Instant::now();
        std::thread::sleep(DRAIN_GRACE + Duration::from_millis(500));
        let last = b.requests_after(signal).last().map_or(Duration::ZERO, |l| l.at - signal);
        delays.push(last);
        let late = b.requests_after(reloaded + DRAIN_GRACE).len();
        assert_eq!(
            late, 0,
            "{state}: requests arrived after the grace period; the last {last:?} after the signal"
        );
        let others: Vec<_> = [a, c].iter().flat_map(|n| n.requests_after(reloaded + DRAIN_GRACE)).collect();
        let as_source = others.iter().filter(|r| r.fields.get("via").is_some_and(|v| v == "b"));
        assert_eq!(as_source.count(), 0, "{state}: no request names the member as a source");
        // When the member is ready again, it receives requests again.
        let back = front.reload(&site("", ""));
        front.wait_for_log("reload: site: members");
        wait_until("a member that is ready again receives requests", || {
            !b.requests_after(back + DRAIN_GRACE).is_empty()
        });
    }
    // A change to one member does not close the connections of the others.
    let before: Vec<usize> =
        [a, c].iter().map(|n| n.state.connections_ended.load(Ordering::SeqCst)).collect();
    let requests_before = a.request_count();
    front.reload(&site("state=\"draining\"", "weight=3"));
    front.wait_for_log("reload: site: members added=0 gone=0 moved=0 changed=2");
    wait_until("the other members receive requests", || a.request_count() > requests_before + 50);
    let after: Vec<usize> = [a, c].iter().map(|n| n.state.connections_ended.load(Ordering::SeqCst)).collect();
    assert_eq!(before, after, "connections of unchanged members are not closed");
    let (served, other) = load.stop();
    println!("drain delays {delays:?}; {served} calls served, {other} not");
    assert!(other * 10 <= served, "a drain must not be an outage: {served} calls served, {other} not");
}

#[test]
fn an_invalid_document_leaves_the_old_one_in_effect() {
    let (a, origin) = (Node::start(), Node::start());
    let good =
        SITE_HEAD.to_string() + &member_kdl("a", &a, "") + &member_kdl("o", &origin, "kind=\"origin\"");
    let mut front = Front::start("bad", &good, &[]);
    let mut client = front.client();
    assert_eq!(client.call("docs", 1), Answer::Served);
    for (bad, error) in [
        (good.replace("zone \"here\"\nclass", "zone \"her\"\nclass"), "no zone is called `here`"),
        (good.replace("member \"a\" address", "member \"a\" adress"), "did you mean `address`?"),
        ("member \"a".to_string(), "reload: the old one stays"),
        (good.replace("member \"a\"", "member \"a\" protocol=\"http\""), "member \"a\" speaks http"),
        (
            good.clone() + "pool \"x\" { use \"a\"; }\n",
            "adding, removing or renaming a pool requires a restart",
        ),
        (
            good.replace("members-from=\"file\"", "members-from=\"bus\""),
            "needs a configuration that names the bus",
        ),
    ] {
        front.reload(&bad);
        let mut log = front.wait_for_log("reload: the old ");
        if !log.contains(error) {
            // Each error in the document has its own log line.
            log += &front.wait_for_log(error);
        }
        assert!(log.contains(error), "{log}");
        assert_eq!(client.call("docs", 2), Answer::Served);
    }
    front.reload(&good);
    front.wait_for_log("reload: site: members added=0 gone=0 moved=0 changed=0");
    assert_eq!(client.call("docs", 3), Answer::Served);
}

/// When the first tier fails, the second serves. The first tier returns through half-open probes, one at a
/// time.
#[test]
fn requests_fall_back_to_the_second_tier_and_return_to_the_first() {
    let (near, far, origin) = (Node::start(), Node::start(), Node::start());
    let pool = "pool \"docs\" { use \"near\" tier=0; use \"far\" tier=1; recovery failures=1 first-ms=200 most-ms=400; }\n\
                routes { route \"/docs\" pool=\"docs\"; }\n";
    let site = SITE_HEAD.to_string()
        + &member_kdl("near", &near, "")
        + &member_kdl("far", &far, "")
        + &member_kdl("o", &origin, "kind=\"origin\"")
        + pool;
    let front = Front::start("tiers", &site, &[]);
    let mut client = front.client();
    (0..20).for_each(|n| assert_eq!(client.call("docs", n), Answer::Served));
    assert_eq!((near.request_count(), far.request_count()), (20, 0), "only the first tier is used");
    near.state.refuses_connections.store(true, Ordering::SeqCst);
    let mut object = 100;
    wait_until("the second tier receives requests", || {
        object += 1;
        client.call("docs", object);
        far.request_count() > 20
    });
    near.state.refuses_connections.store(false, Ordering::SeqCst);
    let (before, back) = (near.request_count(), Instant::now());
    wait_until("the first tier receives requests again", || {
        object += 1;
        client.call("docs", object);
        near.request_count() > before + 20
    });
    let far_before = far.request_count();
    (0..20).for_each(|n| assert_eq!(client.call("docs", object + n), Answer::Served));
    assert_eq!(
        far.request_count(),
        far_before,
        "only the first tier is used, {:?} after its return",
        back.elapsed()
    );
}

#[test]
fn a_pool_limits_requests_in_flight_and_others_wait_a_bounded_time() {
    let (a, origin) = (Node::start(), Node::start());
    a.state.delay_ms.store(300, Ordering::SeqCst);
    let pool = |limits: &str| {
        SITE_HEAD.to_string()
            + &member_kdl("a", &a, "{ limits in-flight=3; }")
            + &member_kdl("o", &origin, "kind=\"origin\"")
            + &format!("pool \"docs\" {{ use \"a\"; limits {limits}; }}\nroutes {{ route \"/docs\" pool=\"docs\"; }}\n")
    };
    let mut front = Front::start("limits", &pool("in-flight=2 wait-ms=100 waiting=3"), &[]);
    let mut client = front.client();
    (0..9).for_each(|n| assert!(client.send("docs", n) > 0));
    let answers: Vec<Answer> = (0..9).map(|_| client.next_answer().1).collect();
    assert_eq!(
        a.state.max_in_flight.load(Ordering::SeqCst),
        2,
        "the pool's limit for requests in flight applies"
    );
    assert_eq!(answers.iter().filter(|a| **a == Answer::Served).count(), 2, "{answers:?}");
    for rejected in answers.iter().filter(|a| **a != Answer::Served) {
        let Answer::Error(code, fields) = rejected else { unreachable!() };
        assert_eq!(code, "Shed");
        assert!(
            fields.iter().any(|(k, v)| k == "pause" && v.parse::<u64>().is_ok_and(|ms| ms > 0)),
            "{fields:?}"
        );
    }
    // Without a limit of the pool the member's limit applies, and calls that may wait longer are admitted.
    front.reload(&pool("wait-ms=2000 waiting=100"));
    front.wait_for_log("reload: site:");
    (0..9).for_each(|n| assert!(client.send("docs", 100 + n) > 0));
    let served = (0..9).filter(|_| client.next_answer().1 == Answer::Served).count();
    assert_eq!(
        (served, a.state.max_in_flight.load(Ordering::SeqCst)),
        (9, 3),
        "the member's limit for requests in flight applies"
    );
}

#[test]
fn classes_go_to_their_pools_and_requests_without_a_route_fail() {
    let (a, b, origin) = (Node::start(), Node::start(), Node::start());
    let site = |pages: &str| {
        SITE_HEAD.to_string()
            + &member_kdl("a", &a, "")
            + &member_kdl("b", &b, "")
            + &member_kdl("o", &origin, "kind=\"origin\"")
            + "pool \"one\" { use \"a\"; }\npool \"two\" { use \"b\"; }\n"
            + &format!(
                "routes order=\"longest\" {{ route \"/docs\" pool=\"one\"; route \"/pages\" pool=\"{pages}\"; \
                 route \"/docs/00000000000000ff\" match=\"exact\" exclude=#true; }}\n"
            )
    };
    let mut front = Front::start("routes", &site("two"), &[]);
    let mut client = front.client();
    assert_eq!(client.call("docs", 1), Answer::Served);
    assert_eq!(client.call("pages", 1), Answer::Served);
    assert_eq!((a.request_count(), b.request_count()), (1, 1));
    let none = Answer::Error("Fault".into(), vec![("route".into(), "none".into())]);
    assert_eq!(client.call("change", 1), none);
    assert_eq!(client.call("docs", 255), none);
    front.reload(&site("one"));
    front.wait_for_log("reload: site:");
    assert_eq!(client.call("pages", 2), Answer::Served);
    assert_eq!(
        (a.request_count(), b.request_count()),
        (2, 1),
        "the class is routed to another pool after the reload"
    );
}

/// A write whose connection broke may have been executed, so neither the decision crate nor the pool's
/// retries send it again.
#[test]
fn a_write_is_sent_once_whatever_the_pool_allows() {
    let (a, b, origin) = (Node::start(), Node::start(), Node::start());
    let site = SITE_HEAD.to_string()
        + &member_kdl("a", &a, "")
        + &member_kdl("b", &b, "")
        + &member_kdl("o", &origin, "kind=\"origin\"")
        + "pool \"all\" { use \"a\"; use \"b\"; retry attempts=9 budget=9 burst=99; }\nroutes { route \"/\" pool=\"all\"; }\n";
    let front = Front::start("write", &site, &[]);
    let mut client = front.client();
    [&a, &b].iter().for_each(|n| n.state.delay_ms.store(10_000, Ordering::SeqCst));
    client.send("change", 7);
    wait_until("the write has been sent to a member", || a.request_count() + b.request_count() == 1);
    [&a, &b].iter().for_each(|n| n.state.refuses_connections.store(true, Ordering::SeqCst));
    assert!(matches!(client.next_answer().1, Answer::Error(code, _) if code == "Fault"));
    assert_eq!(a.request_count() + b.request_count(), 1);
}

/// A pool that allows one attempt answers right after it, with `Shed` if calls of the class may be repeated.
#[test]
fn a_pool_without_retries_answers_after_one_attempt() {
    let (a, b, origin) = (Node::start(), Node::start(), Node::start());
    let site = SITE_HEAD.to_string()
        + &member_kdl("a", &a, "")
        + &member_kdl("b", &b, "")
        + &member_kdl("o", &origin, "kind=\"origin\"")
        + "pool \"all\" { use \"a\"; use \"b\"; retry attempts=1; }\nroutes { route \"/\" pool=\"all\"; }\n";
    let front = Front::start("once", &site, &[]);
    let mut client = front.client();
    [&a, &b].iter().for_each(|n| n.state.answers_with_error.store(true, Ordering::SeqCst));
    for n in 0..10 {
        let answer = client.call("docs", n);
        assert!(
            matches!(&answer, Answer::Error(code, f) if code == "Shed" && f[0].0 == "pause"),
            "{answer:?}"
        );
    }
    assert_eq!(a.request_count() + b.request_count(), 10, "each call makes one attempt");
}

/// If the member's limit for an answer is shorter than the request's, the attempt ends at the limit and
/// another is made on another member.
#[test]
fn an_attempt_takes_no_longer_than_its_members_limit() {
    let (a, b, origin) = (Node::start(), Node::start(), Node::start());
    let site = SITE_HEAD.to_string()
        + &member_kdl("a", &a, "{ limits answer-ms=150; }")
        + &member_kdl("b", &b, "{ limits answer-ms=150; }")
        + &member_kdl("o", &origin, "kind=\"origin\"")
        + "pool \"all\" { use \"a\"; use \"b\"; retry attempts=2; }\nroutes { route \"/\" pool=\"all\"; }\n";
    let front = Front::start("answer", &site, &[]);
    let mut client = front.client();
    [&a, &b].iter().for_each(|n| n.state.delay_ms.store(20_000, Ordering::SeqCst));
    // The client would wait for 4 s, the deadline of the class is 5 s, and the answer takes 20 s.
    assert!(matches!(client.call("docs", 1), Answer::Error(code, _) if code == "Shed"));
    let all: Vec<_> = [&a, &b].iter().flat_map(|n| n.requests_after(Instant::now() - STEP_TIMEOUT)).collect();
    let limits: Vec<u64> = all.iter().filter_map(|r| r.fields.get("limit")?.parse().ok()).collect();
    assert!(!limits.is_empty() && limits.iter().all(|ms| *ms <= 150), "{limits:?}");
}

/// The example document works as it is. No cache node listens at its addresses here, so calls are answered
/// with errors.
#[test]
fn the_example_document_starts_and_shuts_down() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/site.kdl"));
    let text = text.expect("the example file can be read").replace("127.0.0.1:4100", "127.0.0.1:0");
    let mut front = Front::start("example", &text, &[]);
    assert!(matches!(front.client().call("statement-docs", 1), Answer::Error(..)));
    front.signal("TERM");
    assert!(front.child.wait().expect("the program exits").success());
}

#[test]
fn json_log_lines_give_the_reason_of_each_closed_connection() {
    let (a, origin) = (Node::start(), Node::start());
    let site =
        SITE_HEAD.to_string() + &member_kdl("a", &a, "") + &member_kdl("o", &origin, "kind=\"origin\"");
    let mut front = Front::start("json", &site, &["--log-format", "json"]);
    let mut client = front.client();
    assert_eq!(client.call("docs", 1), Answer::Served);
    drop(client);
    front.wait_for_log("\"kind\":\"client\"");
    front.signal("TERM");
    front.wait_for_log("\"message\":\"left\"");
    assert!(front.child.wait().expect("the program exits").success());
    let lines: Vec<serde_json::Value> = front
        .log_lines
        .iter()
        .map(|l| {
            serde_json::from_str(l).unwrap_or_else(|e| panic!("the log line {l} is not valid JSON: {e}"))
        })
        .collect();
    let end = lines
        .iter()
        .find(|l| l["kind"] == "client")
        .expect("a log line reports the closed client connection");
    assert_eq!((end["message"].as_str(), end["reason"].as_str()), (Some("end"), Some("peer_closed")));
    assert_eq!((end["taken"].as_u64(), end["unanswered"].as_u64()), (Some(1), Some(0)));
}

/// When a client disconnects while its call is queued in a pool, the slot in the queue is free at once.
#[test]
fn a_client_that_disconnects_frees_its_slot_in_the_queue() {
    let (a, origin) = (Node::start(), Node::start());
    a.state.delay_ms.store(600, Ordering::SeqCst);
    let pool = "pool \"docs\" { use \"a\"; limits in-flight=1 wait-ms=3000 waiting=1; }\n\
        routes { route \"/docs\" pool=\"docs\"; }\n";
    let site = SITE_HEAD.to_string()
        + &member_kdl("a", &a, "")
        + &member_kdl("o", &origin, "kind=\"origin\"")
        + pool;
    let mut front = Front::start("queue", &site, &[]);
    let (mut first, mut leaving, mut third) = (front.client(), front.client(), front.client());
    first.send("docs", 1);
    wait_until("the first call is sent to the member", || a.request_count() == 1);
    leaving.send("docs", 2);
    assert_eq!(
        leaving.call("isWell", 0),
        Answer::Served,
        "the health check is answered after the call was queued"
    );
    assert!(matches!(third.call("docs", 3), Answer::Error(..)), "a call is rejected while the queue is full");
    drop(leaving);
    front.wait_for_log("kind=client");
    assert_eq!(
        third.call("docs", 4),
        Answer::Served,
        "the slot in the queue is free after the client disconnected"
    );
    assert_eq!(first.next_answer().1, Answer::Served);
    let objects = a.state.requests.lock().expect("the mutex is not poisoned");
    let object = |n: u64| format!("{n:016x}");
    assert!(
        objects.iter().all(|r| r.fields["item"] != object(2)),
        "no attempt was made for the client that disconnected"
    );
}
