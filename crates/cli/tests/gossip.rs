//! Gossip between fronts over sockets: fronts as processes, simulated cache nodes, a byzantine peer, and key
//! rotation while fronts gossip.

mod common;

use common::{Answer, Front, Node, STEP_TIMEOUT};
use fernslip_gossip::{Action, CacheNodeKey, Config, Event, Evidence, Gossip, Keyring, Now, Observation};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn temp_dir_for(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("fernslip-gossip-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("the folder can be created");
    dir
}

fn run_fernslip(args: &[&str]) -> (Option<i32>, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_fernslip")).args(args).output().expect("the program can be started");
    let text = [out.stdout, out.stderr].concat();
    (out.status.code(), String::from_utf8_lossy(&text).into_owned())
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {STEP_TIMEOUT:?} waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A front with gossip, as a process, with its files.
struct Peer {
    front: Front,
    gossip_addr: SocketAddr,
    socket: String,
    keys: PathBuf,
}

impl Peer {
    /// Starts front `n`, with its own copy of the key file. The first front has no seed; the others use its
    /// address as theirs.
    fn start(dir: &Path, n: usize, nodes: &[&Node], seed: Option<SocketAddr>) -> Peer {
        let keys = dir.join(format!("keys-{n}"));
        std::fs::copy(dir.join("keys"), &keys).expect("the key file can be copied");
        let socket = dir.join(format!("n{n}.sock")).display().to_string();
        let mut site = format!(
            "site \"g\" members-from=\"file\"\nfront \"n{n}\" listen=\"127.0.0.1:0\"\n\
             class \"docs\" aim-ms=600 deadline-ms=5000\n\
             gossip listen=\"127.0.0.1:0\" key-file={:?} control={socket:?} {{ {} }}\n",
            keys.display().to_string(),
            seed.map_or(String::new(), |s| format!("seed \"{s}\""))
        );
        for (i, node) in nodes.iter().enumerate() {
            let kind = if i + 1 == nodes.len() { "kind=\"origin\"" } else { "" };
            site += &format!("member \"box-{i}\" address=\"{}\" {kind}\n", node.addr);
        }
        let name =
            format!("{}-{n}", dir.file_name().and_then(|n| n.to_str()).expect("the path is valid UTF-8"));
        let front = Front::start(&name, &site, &[]);
        let line = front
            .log_lines
            .iter()
            .find(|l| l.contains("gossip at "))
            .expect("the front logs the address of its gossip");
        let gossip_addr =
            line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("the log line ends with an address");
        Peer { front, gossip_addr, socket, keys }
    }

    fn status(&self) -> String {
        let (code, text) = run_fernslip(&["gossip", "status", &self.socket]);
        assert_eq!(code, Some(0), "{text}");
        text
    }

    fn knows_alive_fronts(&self, fronts: usize) -> bool {
        self.status().lines().filter(|l| l.starts_with("member ") && l.contains(" alive ")).count() == fronts
    }

    fn gossip_score(&self, id: &str) -> f64 {
        let status = self.status();
        let line = status.lines().find(|l| l.starts_with(&format!("hearsay {id} ")));
        line.and_then(|l| l.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
    }
}

fn create_key_file(dir: &Path) -> String {
    let file = dir.join("keys").display().to_string();
    let (code, text) = run_fernslip(&["keys", "new", &file]);
    assert_eq!((code, text.as_str()), (Some(0), "signs 1, accepts 1\n"));
    file
}

/// Fronts n0 to n2 observe a failing cache node. Front n3, which has no traffic, learns of it by gossip, and
/// does not reject calls or eject the node because of it.
#[test]
fn a_front_without_traffic_learns_of_a_failing_node_by_gossip() {
    let dir = temp_dir_for("hears");
    create_key_file(&dir);
    let nodes: Vec<Node> = (0..5).map(|_| Node::start()).collect();
    let node_refs: Vec<&Node> = nodes.iter().collect();
    let first = Peer::start(&dir, 0, &node_refs, None);
    let seed = Some(first.gossip_addr);
    let mut peers = vec![first];
    peers.extend((1..4).map(|n| Peer::start(&dir, n, &node_refs, seed)));
    wait_until("all four fronts know each other", || peers.iter().all(|p| p.knows_alive_fronts(4)));
    nodes[1].state.refuses_connections.store(true, Ordering::SeqCst);
    let mut object = 0;
    wait_until("the front without traffic learns of the failing node", || {
        for p in &peers[..3] {
            let mut client = p.front.client();
            for _ in 0..20 {
                object += 1;
                client.call("docs", object);
            }
        }
        peers[3].gossip_score("box-1") > 0.2
    });
    assert!(
        ["box-0", "box-2", "box-3"].iter().all(|b| peers[3].gossip_score(b) <= 0.0),
        "{}",
        peers[3].status()
    );
    // Reports from other fronts alone cause no rejection.
    let mut client = peers[3].front.client();
    let served = (0..40).filter(|n| client.call("docs", 1_000_000 + n) == Answer::Served).count();
    assert_eq!(served, 40);
    for p in &peers {
        let status = p.status();
        let bytes = status.lines().find_map(|l| l.strip_prefix("sent ")?.split("bytes=").nth(1));
        let bytes: u64 =
            bytes.and_then(|b| b.split(' ').next()?.parse().ok()).expect("the status line has a count");
        // The limit of the token bucket: its capacity, plus its rate for the longest time that the test may
        // run.
        assert!(bytes <= 4096 + 4096 * 2 * STEP_TIMEOUT.as_secs(), "{status}");
    }
    let _ = std::fs::remove_dir_all(dir);
}

/// A peer that has the key reports a healthy cache node as failing again and again. No front lowers the share
/// of that node at any time.
#[test]
fn a_byzantine_peer_ejects_no_healthy_node() {
    let dir = temp_dir_for("byzantine");
    let keys = create_key_file(&dir);
    let nodes: Vec<Node> = (0..4).map(|_| Node::start()).collect();
    let node_refs: Vec<&Node> = nodes.iter().collect();
    let first = Peer::start(&dir, 0, &node_refs, None);
    let seed = first.gossip_addr;
    let peers =
        [first, Peer::start(&dir, 1, &node_refs, Some(seed)), Peer::start(&dir, 2, &node_refs, Some(seed))];
    let ring = read_keyring(Path::new(&keys));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
    socket.set_read_timeout(Some(Duration::from_millis(5))).expect("the socket option can be set");
    let addr = socket.local_addr().expect("the socket is bound");
    let config = Config { name: "byzantine".into(), addr, seeds: vec![seed], ..Config::default() };
    let start = Instant::now();
    let now = || Now {
        mono_ms: start.elapsed().as_secs_f64() * 1000.0,
        unix_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0,
    };
    let mut byzantine = Gossip::new(config, ring, 9, now());
    let all: Vec<CacheNodeKey> = (0..4).map(|i| CacheNodeKey::new(&format!("box-{i}"), 0)).collect();
    let mut out = Vec::new();
    byzantine.handle(now(), Event::CacheNodes(all.clone()), &mut out);
    let mut client = peers[1].front.client();
    let (mut object, mut accused) = (0, 0);
    while accused < 40 || !peers.iter().all(|p| p.status().contains("word box-0 failing")) {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the byzantine peer's reports did not arrive at all fronts: {}",
            peers[0].status()
        );
        byzantine.handle(
            now(),
            Event::Evidence(Evidence {
                node: all[0],
                observation: Observation::Failing,
                strength: 1.0,
                count: 255,
            }),
            &mut out,
        );
        byzantine.handle(now(), Event::Tick, &mut out);
        let mut data = [0; 300];
        while let Ok((n, from)) = socket.recv_from(&mut data) {
            byzantine.handle(now(), Event::Datagram { from, bytes: data[..n].to_vec() }, &mut out);
        }
        for a in out.drain(..) {
            if let Action::Send { to, bytes } = a {
                let _ = socket.send_to(&bytes, to);
            }
        }
        object += 1;
        assert_eq!(client.call("docs", object), Answer::Served);
        accused += 1;
        assert!(peers.iter().all(|p| p.gossip_score("box-0") <= 0.0));
    }
    let before = nodes[0].request_count();
    (0..60).for_each(|n| assert_eq!(client.call("docs", 5_000 + n), Answer::Served));
    assert!(
        nodes[0].request_count() > before + 5,
        "the reported node still receives requests as the home of its objects"
    );
    let _ = std::fs::remove_dir_all(dir);
}

/// Reads a key file as a front does.
fn read_keyring(file: &Path) -> Keyring {
    let text = std::fs::read_to_string(file).expect("the key file can be read");
    fernslip_gossip::parse_key_file(&text, 1, 1, 0o600).expect("the key file is valid")
}

/// Each step of a key rotation (add, switch, drop) is executed on every front before the next step, while the
/// fronts gossip. No datagram is rejected because of its key.
#[test]
fn keys_are_rotated_while_fronts_gossip() {
    let dir = temp_dir_for("rotate");
    let keys = create_key_file(&dir);
    let nodes: Vec<Node> = (0..3).map(|_| Node::start()).collect();
    let node_refs: Vec<&Node> = nodes.iter().collect();
    let first = Peer::start(&dir, 0, &node_refs, None);
    let seed = Some(first.gossip_addr);
    let mut peers =
        vec![first, Peer::start(&dir, 1, &node_refs, seed), Peer::start(&dir, 2, &node_refs, seed)];
    wait_until("all three fronts know each other", || peers.iter().all(|p| p.knows_alive_fronts(3)));
    for (step, log) in [
        ("add", "keys [1, 2] are accepted, key 1 signs"),
        ("switch", "keys [2, 1] are accepted, key 2 signs"),
        ("drop", "keys [2] are accepted, key 2 signs"),
    ] {
        assert_eq!(run_fernslip(&["keys", "rotate", &keys, "--step", step]).0, Some(0));
        for p in &mut peers {
            std::fs::copy(&keys, &p.keys).expect("the key file can be copied");
            p.front.signal("HUP");
            p.front.wait_for_log(log);
        }
    }
    let accepted = |p: &Peer| {
        let status = p.status();
        let line = status.lines().find_map(|l| l.strip_prefix("taken datagrams=").map(String::from));
        line.and_then(|l| l.split(' ').next()?.parse::<u64>().ok()).expect("the status line has a count")
    };
    let before: Vec<u64> = peers.iter().map(accepted).collect();
    wait_until("every front accepts datagrams signed with the new key", || {
        peers.iter().zip(&before).all(|(p, b)| accepted(p) > b + 2)
    });
    assert!(
        peers.iter().all(|p| !p.status().contains("rejected tag") && p.knows_alive_fronts(3)),
        "{}",
        peers[0].status()
    );
    let _ = std::fs::remove_dir_all(dir);
}

#[test]
fn key_files_are_created_and_checked_and_secrets_are_not_shown() {
    let dir = temp_dir_for("keys");
    let file = create_key_file(&dir);
    let secret = std::fs::read_to_string(&file).expect("the key file can be read");
    let mode = std::fs::metadata(&file).expect("the file exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(run_fernslip(&["keys", "new", &file]).0, Some(1), "an existing key file is not overwritten");
    assert_eq!(std::fs::read_to_string(&file).expect("the key file can be read"), secret);
    let (code, shown) = run_fernslip(&["keys", "show", &file]);
    assert_eq!((code, shown.as_str()), (Some(0), "signs 1, accepts 1\n"));
    for bad in ["switch", "drop"] {
        assert_eq!(
            run_fernslip(&["keys", "rotate", &file, "--step", bad]).0,
            Some(1),
            "the step {bad} fails without a second key"
        );
    }
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o640)).expect("the mode can be changed");
    let (code, output) = run_fernslip(&["keys", "show", &file]);
    assert!(code == Some(1) && output.contains("chmod 600"), "{output}");
    let site = dir.join("site.kdl").display().to_string();
    let text = format!(
        "site \"g\" members-from=\"file\"\nfront \"n0\" listen=\"127.0.0.1:0\"\nclass \"c\" aim-ms=1 deadline-ms=2\n\
         gossip listen=\"127.0.0.1:0\" key-file={file:?} {{ front \"n1\"; }}\n"
    );
    std::fs::write(&site, text).expect("the file can be written");
    let (code, output) = run_fernslip(&["run", "--site", &site]);
    assert!(
        code == Some(1) && output.contains("chmod 600") && output.contains("not in its own list"),
        "{output}"
    );
    assert_eq!(run_fernslip(&["gossip", "status", &dir.join("none").display().to_string()]).0, Some(1));
    let _ = std::fs::remove_dir_all(dir);
}

/// Fronts whose gossip takes its peers from the view need no seeds for gossip, and a front that has exited is
/// removed from the gossip as it is from the view.
#[test]
fn fronts_of_a_view_gossip_without_seeds() {
    let dir = temp_dir_for("view");
    let keys = create_key_file(&dir);
    let node = Node::start();
    let socket = |n: usize| dir.join(format!("v{n}.sock")).display().to_string();
    let start = |n: usize, seed: &str| {
        let site = format!(
            "site \"g\" members-from=\"file\"\nfront \"n{n}\" listen=\"127.0.0.1:0\"\n\
             class \"docs\" aim-ms=600 deadline-ms=5000\nmember \"o\" address=\"{}\" kind=\"origin\"\n\
             gossip listen=\"127.0.0.1:0\" key-file={keys:?} control={:?} peers=\"view\" {{}}\n\
             view listen=\"127.0.0.1:0\" key-file={keys:?} {{ {seed} }}\n",
            node.addr,
            socket(n)
        );
        let front = Front::start(&format!("view-{n}"), &site, &[]);
        let line = front
            .log_lines
            .iter()
            .find(|l| l.contains("view at "))
            .expect("the front logs the address of its view");
        let view_addr = line.rsplit(' ').next().expect("the log line ends with an address").to_string();
        (front, view_addr)
    };
    let (first, view_addr) = start(0, "");
    let seed = format!("seed \"{view_addr}\"");
    let (second, _) = start(1, &seed);
    let (third, _) = start(2, &seed);
    let alive = |n: usize| {
        let (_, text) = run_fernslip(&["gossip", "status", &socket(n)]);
        text.lines().filter(|l| l.starts_with("member ") && l.contains(" alive ")).count()
    };
    wait_until("all three fronts gossip", || (0..3).all(|n| alive(n) == 3));
    drop(third);
    wait_until("the two remaining fronts gossip", || (0..2).all(|n| alive(n) == 2));
    drop((first, second));
    let _ = std::fs::remove_dir_all(dir);
}

/// Datagrams that arrive at the gossip's port without a pause delay no client: the worker that receives them
/// also serves the clients.
#[test]
fn datagrams_without_a_pause_delay_no_client() {
    let dir = temp_dir_for("flood");
    create_key_file(&dir);
    let (cache, origin) = (Node::start(), Node::start());
    let peer = Peer::start(&dir, 0, &[&cache, &origin], None);
    let mut client = peer.front.client();
    assert_eq!(client.call("docs", 1), Answer::Served);
    // Longer than an answer may take.
    let flood_end = Instant::now() + Duration::from_secs(8);
    let addr = peer.gossip_addr;
    for _ in 0..4 {
        std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
            while Instant::now() < flood_end && socket.send_to(&[0; 8], addr).is_ok() {}
        });
    }
    for object in 2..12 {
        let started = Instant::now();
        assert_eq!(client.call("docs", object), Answer::Served);
        // The clients of these tests wait for 4 s; half a second later an answer counts as lost.
        assert!(started.elapsed() < Duration::from_millis(4500), "answered after {:?}", started.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
}
