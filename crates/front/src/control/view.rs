//! The skin round [`fernslip_view`]: its datagrams and its clock on a thread of their own, and the local socket for
//! `fernslip fleet`. The worker never waits for it.

use crate::clock::Clock;
use crate::sync::lock;
use fernslip_gossip::Keyring;
use fernslip_view::{Action, Config, Event, Now, Seen, Stand, View, MOST_BYTES};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The longest wait for a datagram: a change that others make (emptying, leaving) is seen after that at the latest.
const LOOK: Duration = Duration::from_millis(250);
const AFTER_ERROR: Duration = Duration::from_millis(5);
/// A caller of the local socket says what it wants, and reads the answer, within this time.
const CALLER: Duration = Duration::from_secs(1);
/// No call is longer.
const MOST_CALL: u64 = 256;

/// What a front is told of its view, read and checked.
pub struct Plan {
    /// The instance's own settings; their address is the one that others are told.
    pub config: Config,
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// Whether others are told another address than that one.
    pub advertised: bool,
    /// The keys.
    pub keys: Keyring,
    /// The local socket.
    pub control: Option<PathBuf>,
    /// The file in which the front keeps what it knows.
    pub store: Option<PathBuf>,
}

impl Plan {
    /// How a front of that name and zone keeps its view, by the document; its keys are read and checked.
    /// `configuration`: a hash of what it was started with.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn of(
        v: &fernslip_site::FleetView,
        name: &str,
        zone: &str,
        configuration: u32,
    ) -> Result<Plan, Vec<String>> {
        let mut wrong = Vec::new();
        let mut address = |text: &String| {
            let read = text.parse::<SocketAddr>();
            if read.is_err() {
                wrong.push(format!("view: `{text}` is no IP address and port"));
            }
            read.ok()
        };
        let listen = address(&v.listen);
        let advertise = v.advertise.as_ref().and_then(&mut address);
        let seeds = v.seeds.iter().filter_map(&mut address).collect();
        let keys = crate::keyfile::read(std::path::Path::new(&v.key_file));
        if let Err(why) = &keys {
            wrong.push(format!("view: {}: {why}", v.key_file));
        }
        let most = fernslip_view::MOST_TEXT;
        if name.len() > most || zone.len() > most {
            wrong.push(format!("view: names of fronts and zones have at most {most} bytes"));
        }
        let (Some(listen), Ok(keys), true) = (listen, keys, wrong.is_empty()) else { return Err(wrong) };
        let default = fernslip_view::Config::default();
        let told = fernslip_view::Config {
            name: name.into(),
            addr: advertise.unwrap_or(listen),
            location: zone.into(),
            configuration,
            seeds,
            watchers: v.watchers.map_or(default.watchers, |w| w as usize),
            bytes_per_s: v.bytes_per_s.unwrap_or(default.bytes_per_s),
            burst_bytes: v.burst_bytes.unwrap_or(default.burst_bytes),
            ..default
        };
        let control = v.control.as_ref().map(Into::into);
        let store = v.store.as_ref().map(Into::into);
        Ok(Plan { config: told, listen, advertised: advertise.is_some(), keys, control, store })
    }
}

/// A front's view.
pub struct Fleet {
    view: Mutex<View>,
    socket: UdpSocket,
    clock: Clock,
}

fn now(clock: &Clock) -> Now {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Now { mono_ms: clock.now(), unix_ms: unix.as_secs_f64() * 1000.0 }
}

impl Fleet {
    /// Takes its address. `seed` differs from process to process; `gossip` is where this front gossips, for the others;
    /// `remembered`, where others were when it last ran.
    ///
    /// # Errors
    /// The address can't be had.
    pub fn bind(
        plan: &Plan,
        clock: &Clock,
        seed: u64,
        gossip: Option<SocketAddr>,
        remembered: Vec<(String, SocketAddr)>,
    ) -> std::io::Result<Fleet> {
        let socket = UdpSocket::bind(plan.listen)?;
        let mut config = Config { gossip, remembered, ..plan.config.clone() };
        if !plan.advertised {
            // A port that the system chose is the one that others are told.
            config.addr = socket.local_addr()?;
        }
        let view = Mutex::new(View::new(config, plan.keys.clone(), seed, now(clock)));
        Ok(Fleet { view, socket, clock: *clock })
    }

    /// Where others are told to reach it.
    pub fn addr(&self) -> SocketAddr {
        lock(&self.view).config().addr
    }

    /// The view's digest.
    pub fn digest(&self) -> u64 {
        lock(&self.view).digest()
    }

    /// The others that gossip: names and addresses.
    pub fn gossips(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.view).gossips()
    }

    /// The other members that count, as they are stored on disk.
    pub fn peers_to_store(&self) -> Vec<(String, fernslip_store::layers::Peer)> {
        let view = lock(&self.view);
        let own = view.config().name.clone();
        let others = view.members(self.clock.now()).into_iter().map(|s| s.fact);
        others
            .filter(|f| f.stand.counts() && f.name != own)
            .map(|f| {
                let (addr, location, generation) = (f.addr.to_string(), f.location, f.generation);
                (f.name, fernslip_store::layers::Peer { addr, location, generation })
            })
            .collect()
    }

    fn feed(&self, event: Event) {
        let mut actions = Vec::new();
        lock(&self.view).handle(now(&self.clock), event, &mut actions);
        for a in actions {
            match a {
                // A datagram that can't be sent is lost, as any may be.
                Action::Send { to, bytes } => drop(self.socket.send_to(&bytes, to)),
                Action::Changed { name, was, is, by } => {
                    let was = was.map_or("unknown", Stand::name);
                    let by = by.as_deref().unwrap_or("itself");
                    tracing::info!(peer = %name, was, is = is.name(), by, "view");
                }
                Action::Settled(settled) => tracing::debug!(settled, "view"),
                Action::Twin { addr, other_is_held } => {
                    let held = if other_is_held { "the other" } else { "this one" };
                    tracing::warn!(other = %addr, held, "view: two processes serve under this front's name");
                }
            }
        }
    }

    /// What this front does now.
    pub fn stands(&self, stand: Stand) {
        self.feed(Event::Stands(stand));
    }

    /// The hash of its configuration now.
    pub fn configured(&self, hash: u32) {
        self.feed(Event::Configuration(hash));
    }

    /// Other keys from now on.
    pub fn rekey(&self, keys: Keyring) {
        self.feed(Event::Keys(keys));
    }

    /// This front ends.
    pub fn leave(&self) {
        self.feed(Event::Leave);
    }

    /// Takes datagrams in and lets time pass, for good; on a thread of its own.
    pub fn run(&self) {
        let mut data = [0; MOST_BYTES + 1];
        loop {
            let due = lock(&self.view).wake_at();
            let wait = self.clock.until(due).clamp(Duration::from_millis(1), LOOK);
            let _ = self.socket.set_read_timeout(Some(wait));
            match self.socket.recv_from(&mut data) {
                Ok((n, from)) => self.feed(Event::Datagram { from, bytes: data[..n].to_vec() }),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // An error of one datagram, such as a port that nobody has: the next may be fine.
                Err(_) => std::thread::sleep(AFTER_ERROR),
            }
            let due = lock(&self.view).wake_at();
            if due <= self.clock.now() {
                self.feed(Event::Tick);
            }
        }
    }

    /// The view's figures, for `telemetry`: a `name=value` line each.
    pub fn lines(&self) -> String {
        let at = self.clock.now();
        let view = lock(&self.view);
        let settled = u8::from(view.settled_since(at).is_some());
        let c = view.counts();
        format!(
            "view_members={}\nview_settled={settled}\nview_changes={}\nview_sent_bytes={}\n",
            view.peers().len() + 1,
            c.changes,
            c.sent_bytes
        )
    }

    fn member(seen: &Seen, at_ms: f64) -> Value {
        let f = &seen.fact;
        let suspected = f.stand.counts() && !seen.against.is_empty();
        json!({
            "name": f.name,
            "address": f.addr,
            "location": f.location,
            "program": f.program,
            "configuration": format!("{:08x}", f.configuration),
            "generation": f.generation,
            "incarnation": f.incarnation,
            "state": if suspected { "suspected" } else { f.stand.name() },
            "for_ms": (at_ms - seen.since_ms).max(0.0) as u64,
            "suspected_by": seen.against,
        })
    }

    /// Answers a call of the local socket: `members`, `summary`, `explain NAME` (JSON, a line) or `metrics`
    /// (OpenMetrics).
    pub fn answer(&self, call: &str) -> String {
        let at = self.clock.now();
        let mut words = call.split_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some("members"), None, None) => {
                let (mut head, members) = {
                    let view = lock(&self.view);
                    (self.summary(&view, at), view.members(at))
                };
                head["members"] = members.iter().map(|m| Fleet::member(m, at)).collect();
                format!("{head}\n")
            }
            (Some("summary"), None, None) => format!("{}\n", self.summary(&lock(&self.view), at)),
            (Some("explain"), Some(name), None) => {
                let view = lock(&self.view);
                let seen = view.members(at).into_iter().find(|m| m.fact.name == name);
                let story: Vec<Value> = view
                    .explain(name)
                    .into_iter()
                    .map(|t| json!({ "ago_ms": (at - t.at_ms).max(0.0) as u64, "what": t.what, "by": t.by }))
                    .collect();
                match seen {
                    Some(m) => format!("{}\n", json!({ "member": Fleet::member(&m, at), "story": story })),
                    None => format!("{}\n", json!({ "error": format!("no front `{name}` is known") })),
                }
            }
            (Some("metrics"), None, None) => self.metrics(),
            _ => format!("{}\n", json!({ "error": "unknown call" })),
        }
    }

    fn summary(&self, view: &View, at: f64) -> Value {
        let c = view.counts();
        let settled = view.settled_since(at);
        json!({
            "front": view.config().name,
            "address": view.config().addr,
            "digest": format!("{:016x}", view.digest()),
            "count": view.peers().len() + 1,
            "settled": settled.is_some(),
            "settled_for_ms": settled.map(|s| (at - s).max(0.0) as u64),
            "missing": if settled.is_some() { Vec::new() } else { view.missing() },
            "other_process": view.twin(),
            "sent": c.sent,
            "sent_bytes": c.sent_bytes,
            "held_back": c.held_back,
            "taken": c.taken,
            "malformed": c.malformed,
            "replayed": c.replayed,
            "refuted": c.refuted,
            "changes": c.changes,
        })
    }

    fn metrics(&self) -> String {
        let at = self.clock.now();
        let (settled, count, c) = {
            let view = lock(&self.view);
            (view.settled_since(at).is_some(), view.peers().len() + 1, view.counts().clone())
        };
        let mut r = Registry::with_prefix("fernslip_view");
        r.register("members", "Fronts that are counted on", ConstGauge::new(count as i64));
        r.register("settled", "1 where all of them hold this view", ConstGauge::new(i64::from(settled)));
        r.register("changes", "Changes of a front's state", ConstCounter::new(c.changes));
        r.register("sent", "Datagrams sent", ConstCounter::new(c.sent));
        r.register("sent_bytes", "Bytes of them", ConstCounter::new(c.sent_bytes));
        r.register("held_back", "Datagrams that the budget held back", ConstCounter::new(c.held_back));
        r.register("taken", "Datagrams taken", ConstCounter::new(c.taken));
        r.register(
            "malformed",
            "Datagrams dropped: no message, or a wrong tag",
            ConstCounter::new(c.malformed),
        );
        r.register("replayed", "Datagrams dropped: they came before", ConstCounter::new(c.replayed));
        r.register(
            "refuted",
            "Times this front answered to being taken for gone",
            ConstCounter::new(c.refuted),
        );
        let mut out = String::new();
        match encode(&mut out, &r) {
            Ok(()) => out,
            Err(_) => String::new(),
        }
    }

    /// Answers callers of the local socket, one line each, on a thread of its own: it may wait for them.
    ///
    /// # Errors
    /// The socket can't be made, or somebody listens there already.
    pub fn answer_at(self: &Arc<Fleet>, path: &Path) -> std::io::Result<()> {
        if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
            // Of a front that ended; one that still runs answers.
            if UnixStream::connect(path).is_ok() {
                return Err(ErrorKind::AddrInUse.into());
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        let fleet = self.clone();
        std::thread::Builder::new().name("view-calls".into()).spawn(move || {
            for mut caller in listener.incoming().flatten() {
                let _ = caller.set_read_timeout(Some(CALLER));
                let _ = caller.set_write_timeout(Some(CALLER));
                let mut call = String::new();
                if BufReader::new((&caller).take(MOST_CALL)).read_line(&mut call).is_ok() {
                    let _ = caller.write_all(fleet.answer(&call).as_bytes());
                }
            }
        })?;
        Ok(())
    }
}
