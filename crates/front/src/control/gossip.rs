//! The skin round [`fernslip_gossip`]: its datagrams, its clock, what answers show, what is heard, and the local socket
//! for operators.

use crate::clock::Clock;
use crate::sync::lock;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::view::Fleet;
use fernslip::{CacheId, Sign};
use fernslip_gossip::{Action, BoxKey, Change, Config, Event, Gossip, Keyring, Kind, Now, MOST_BYTES};
use may::net::UdpSocket;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Evidence that waits to be told; more is dropped: it comes again as long as it holds.
const WAITING: usize = 1024;
/// Between two looks at what waits and at the time.
const LOOK: Duration = Duration::from_millis(20);
const AFTER_ERROR: Duration = Duration::from_millis(5);
/// A caller of the local socket reads within this time.
const CALLER: Duration = Duration::from_secs(1);

/// Evidence on its way from the module to the others. The module speaks while it decides; nothing is sent then.
#[derive(Clone, Default)]
pub struct Evidence(Arc<Mutex<VecDeque<(CacheId, Sign, f64)>>>);

impl Evidence {
    /// Takes a piece.
    pub fn push(&self, cache: &CacheId, sign: Sign, strength: f64) {
        let mut all = lock(&self.0);
        if all.len() < WAITING {
            all.push_back((cache.clone(), sign, strength));
        }
    }
}

/// What a front is told of its gossip, read and checked.
pub struct Plan {
    /// The instance's own settings.
    pub config: Config,
    /// The keys.
    pub keys: Keyring,
    /// The local socket.
    pub control: Option<PathBuf>,
    /// Its peers are those of the view.
    pub from_view: bool,
}

impl Plan {
    /// How a front of that name gossips, by the document; its keys are read and checked.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn of(g: &fernslip_site::Gossip, name: &str) -> Result<Plan, Vec<String>> {
        let mut wrong = Vec::new();
        let mut address = |text: &String| {
            let read = text.parse::<SocketAddr>();
            if read.is_err() {
                wrong.push(format!("gossip: `{text}` is no IP address and port"));
            }
            read.ok()
        };
        let addr = address(&g.listen);
        let advertise = g.advertise.as_ref().and_then(&mut address);
        let seeds = g.seeds.iter().filter_map(&mut address).collect();
        let keys = crate::keyfile::read(std::path::Path::new(&g.key_file));
        if let Err(why) = &keys {
            wrong.push(format!("gossip: {}: {why}", g.key_file));
        }
        if !g.fronts.is_empty() && !g.fronts.iter().any(|n| n == name) {
            wrong.push(format!("gossip: this front, \"{name}\", is none of its own list of fronts"));
        }
        let (Some(addr), Ok(keys), true) = (addr, keys, wrong.is_empty()) else { return Err(wrong) };
        let from_view = g.peers == Some(fernslip_site::GossipPeers::View);
        let default = fernslip_gossip::Config::default();
        let config = fernslip_gossip::Config {
            name: name.into(),
            addr,
            seeds,
            roster: g.fronts.clone(),
            advertise,
            bytes_per_s: g.bytes_per_s.unwrap_or(default.bytes_per_s),
            burst_bytes: g.burst_bytes.unwrap_or(default.burst_bytes),
            skew_ms: g.skew_ms.map_or(default.skew_ms, |ms| ms as f64),
            ..default
        };
        Ok(Plan { config, keys, control: g.control.as_ref().map(Into::into), from_view })
    }
}

/// A front's gossip.
pub struct Talk {
    gossip: Mutex<Gossip>,
    socket: UdpSocket,
    evidence: Evidence,
    clock: Clock,
    boxes: Mutex<Boxes>,
}

/// Machines by the keys that datagrams name them by, and the other way round.
#[derive(Default)]
struct Boxes {
    by_key: BTreeMap<BoxKey, CacheId>,
    by_id: HashMap<CacheId, BoxKey>,
}

fn now(clock: &Clock) -> Now {
    let mono_ms = clock.now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Now { mono_ms, unix_ms: unix.as_secs_f64() * 1000.0 }
}

impl Talk {
    /// Takes its address; `evidence` is what the module's queues fill.
    ///
    /// # Errors
    /// The address can't be had.
    pub fn bind(plan: &Plan, clock: &Clock, seed: u64, evidence: Evidence) -> std::io::Result<Talk> {
        let socket = UdpSocket::bind(plan.config.addr)?;
        // A port that the system chose is the one that others are told.
        let addr = socket.local_addr()?;
        let config = Config { addr, ..plan.config.clone() };
        let gossip = Mutex::new(Gossip::new(config, plan.keys.clone(), seed, now(clock)));
        Ok(Talk { gossip, socket, evidence, clock: *clock, boxes: Mutex::default() })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        lock(&self.gossip).config().addr
    }

    fn feed(&self, queues: &[Arc<DispatchQueue>], event: Event) {
        let mut actions = Vec::new();
        lock(&self.gossip).handle(now(&self.clock), event, &mut actions);
        for a in actions {
            match a {
                // Straight to the socket, which never blocks: a datagram that finds no room is lost, as any may be.
                Action::Send { to, bytes } => drop(self.socket.inner().send_to(&bytes, to)),
                Action::Hearsay { of, amount } => {
                    let id = lock(&self.boxes).by_key.get(&of).cloned();
                    if let Some(id) = id {
                        tracing::debug!(node = %id.0, amount, "hearsay");
                        for queue in queues {
                            queue.dispatcher.peer_suspicion(self.clock.now(), id.clone(), amount);
                        }
                    }
                }
                Action::Member { id, change } => {
                    let what = match change {
                        Change::Joined => "joined",
                        Change::Gone => "gone",
                        Change::Left => "left",
                    };
                    tracing::info!(peer = format_args!("{:08x}", id.0), what, "gossip");
                }
            }
        }
    }

    /// News of machines: each with its start (Unix milliseconds; 0: long ago), or `None` if it has gone; `full`: all
    /// others have gone too.
    pub fn news(&self, queues: &[Arc<DispatchQueue>], full: bool, news: Vec<(CacheId, Option<f64>)>) {
        let (list, before) = {
            let mut boxes = lock(&self.boxes);
            let before = boxes.by_key.clone();
            if full {
                boxes.by_id.clear();
            }
            for (id, start) in news {
                match start {
                    Some(start) => {
                        let key = BoxKey::of(&id.0, start.max(0.0) as u64);
                        boxes.by_id.insert(id, key);
                    }
                    None => drop(boxes.by_id.remove(&id)),
                }
            }
            let now: BTreeMap<BoxKey, CacheId> =
                boxes.by_id.iter().map(|(id, key)| (*key, id.clone())).collect();
            // Those that went are still known while the module is told that nothing is said of them.
            boxes.by_key.extend(now.clone());
            (now, before)
        };
        if list == before {
            return;
        }
        self.feed(queues, Event::Boxes(list.keys().copied().collect()));
        lock(&self.boxes).by_key = list;
    }

    /// Other keys from now on.
    pub fn rekey(&self, keys: Keyring) {
        tracing::info!("gossip: keys {:?}, {} signs", keys.accepts(), keys.signs());
        self.feed(&[], Event::Keys(keys));
    }

    /// This front is leaving.
    pub fn leave(&self, queues: &[Arc<DispatchQueue>]) {
        self.feed(queues, Event::Leave);
    }

    /// Takes datagrams in, for good.
    pub fn listen(&self, queues: &[Arc<DispatchQueue>]) {
        let mut data = [0; MOST_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut data) {
                Ok((n, from)) => self.feed(queues, Event::Datagram { from, bytes: data[..n].to_vec() }),
                // An error of one datagram, such as a port that nobody has: the next may be fine.
                Err(_) => crate::sleep::sleep(AFTER_ERROR),
            }
        }
    }

    /// Where others are told to reach it.
    pub fn told_addr(&self) -> SocketAddr {
        lock(&self.gossip).told_addr()
    }

    /// Tells what answers show, and lets time pass, for good; its peers are those of `fleet`, where that is given.
    pub fn run(&self, queues: &[Arc<DispatchQueue>], fleet: Option<&Fleet>) {
        let mut held = None;
        loop {
            if let Some(fleet) = fleet {
                let digest = Some(fleet.digest());
                if held != digest {
                    held = digest;
                    let peers = fleet.gossip_peers().into_iter().map(|p| (p.name, p.addr)).collect();
                    self.feed(queues, Event::Peers(peers));
                }
            }
            let told = std::mem::take(&mut *lock(&self.evidence.0));
            for (cache, sign, strength) in told {
                let of = lock(&self.boxes).by_id.get(&cache).copied();
                let kind = match sign {
                    Sign::Failing => Kind::Failing,
                    Sign::Silent => Kind::Silent,
                    Sign::Crawling => Kind::Crawling,
                    Sign::Well => Kind::Well,
                };
                if let Some(of) = of {
                    self.feed(queues, Event::Evidence { of, kind, strength, count: 1 });
                }
            }
            let due = lock(&self.gossip).wake_at();
            if due <= self.clock.now() {
                self.feed(queues, Event::Tick);
            }
            crate::sleep::sleep(LOOK);
        }
    }

    /// What operators are shown. Called on a thread of its own: the worker waits for the locks only as long as it
    /// takes to copy what they hold, not to write it.
    fn status(&self) -> String {
        let at = now(&self.clock);
        let (config, id, counts, members, words, heard) = {
            let gossip = lock(&self.gossip);
            let members: Vec<_> = gossip.members().map(|m| (gossip.trust(m.id, at), m)).collect();
            let words: Vec<_> = gossip.rumours(at).collect();
            let heard: Vec<(BoxKey, f64)> = gossip.heard().collect();
            (gossip.config().clone(), gossip.id(), gossip.counts().clone(), members, words, heard)
        };
        let boxes = lock(&self.boxes).by_key.clone();
        let name = |key: &BoxKey| boxes.get(key).map_or("?", |id| &id.0);
        let mut out = String::new();
        let _ = writeln!(out, "front {} {:08x} at {}", config.name, id.0, config.addr);
        let c = counts;
        let _ = writeln!(out, "sent datagrams={} bytes={} held_back={}", c.sent, c.sent_bytes, c.held_back);
        let _ = writeln!(out, "taken datagrams={} refuted={}", c.taken, c.refuted);
        for (why, n) in &c.rejected {
            let _ = writeln!(out, "rejected {} {n}", format!("{why:?}").to_lowercase());
        }
        for (trust, m) in members {
            let state = format!("{:?}", m.state).to_lowercase();
            let _ = writeln!(out, "member {} {:08x} {} {state} trust={trust:.2}", m.name, m.id.0, m.addr);
        }
        for r in words {
            let (w, kind) = (r.word, format!("{:?}", r.word.kind).to_lowercase());
            let (node, age) = (name(&w.of), w.age_ms / 1000.0);
            let (by, sure, count) = (r.witness.0, w.strength, w.count);
            let line =
                format!("word {node} {kind} by {by:08x} strength={sure:.2} answers={count} age={age:.1}s");
            let _ = writeln!(out, "{line}");
        }
        for (key, amount) in heard {
            let _ = writeln!(out, "hearsay {} {amount:.2}", name(&key));
        }
        out
    }

    /// Answers callers of the local socket, on a thread of its own: it may wait for them.
    ///
    /// # Errors
    /// The socket can't be made, or somebody listens there already.
    pub fn answer_at(self: &Arc<Talk>, path: &Path) -> std::io::Result<()> {
        if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
            // Of a front that ended; one that still runs answers.
            if UnixStream::connect(path).is_ok() {
                return Err(std::io::ErrorKind::AddrInUse.into());
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        let talk = self.clone();
        std::thread::spawn(move || {
            for mut caller in listener.incoming().flatten() {
                let _ = caller.set_write_timeout(Some(CALLER));
                let _ = caller.write_all(talk.status().as_bytes());
            }
        });
        Ok(())
    }
}
