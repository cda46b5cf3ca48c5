//! `front`, `gossip` and `view`: one front's own settings and how fronts talk to each other.

use crate::fields::{Fields, Spanned};
use crate::model::{FleetView, Front, Gossip};
use crate::spans::SourceSpans;

pub(super) fn read_front(mut f: Fields<'_, '_, '_>, spans: &mut SourceSpans) -> Front {
    let name = f.arg("a name").map(|n| n.text.to_string());
    let listen = f.owned("listen");
    let listen = f.required("listen", listen);
    let zone = f.text("zone");
    spans.front_zone = zone.map(|z| z.span);
    let front = Front {
        name: name.unwrap_or_default(),
        listen: listen.unwrap_or_default(),
        zone: zone.map(|z| z.text.into()),
        memory_mb: f.integer("memory-mb", 16..=1 << 20),
        sockets: f.integer("sockets", 16..=1 << 24),
        stream_kb_per_s: f.number("stream-kb-per-s", 0.001, 1e9),
    };
    f.done();
    front
}

pub(super) fn read_gossip(mut f: Fields<'_, '_, '_>) -> Gossip {
    let listen = f.text("listen");
    let listen = f.required("listen", listen);
    check_address(&mut f, listen);
    let key_file = f.owned("key-file");
    let advertise = f.text("advertise");
    check_address(&mut f, advertise);
    let mut g = Gossip {
        listen: listen.map_or(String::new(), |l| l.text.into()),
        key_file: f.required("key-file", key_file).unwrap_or_default(),
        control: f.owned("control"),
        seeds: Vec::new(),
        fronts: Vec::new(),
        // Less would not let a health check and its answer through.
        bytes_per_s: f.integer("bytes-per-s", 512..=1 << 30),
        burst_bytes: f.integer("burst-bytes", 1024..=1 << 30),
        skew_ms: f.ms("skew-ms"),
        peers: f.keyword("peers"),
        advertise: advertise.map(|a| a.text.into()),
    };
    for node in f.children(&["seed", "front"]) {
        let mut f = Fields::new(node, f.problems);
        if node.name().value() == "seed" {
            for seed in f.args("an address") {
                check_address(&mut f, Some(seed));
                g.seeds.push(seed.text.into());
            }
        } else {
            g.fronts.extend(f.args("a front's name").iter().map(|n| n.text.to_string()));
        }
        f.done();
    }
    f.done();
    g
}

pub(super) fn read_view(mut f: Fields<'_, '_, '_>) -> FleetView {
    let listen = f.text("listen");
    let listen = f.required("listen", listen);
    check_address(&mut f, listen);
    let advertise = f.text("advertise");
    check_address(&mut f, advertise);
    let key_file = f.owned("key-file");
    let mut v = FleetView {
        listen: listen.map_or(String::new(), |l| l.text.into()),
        advertise: advertise.map(|a| a.text.into()),
        key_file: f.required("key-file", key_file).unwrap_or_default(),
        control: f.owned("control"),
        store: f.owned("store"),
        seeds: Vec::new(),
        // With one watcher a single front's message could remove another.
        watchers: f.integer("watchers", 2..=16),
        // Less would not let pings and their answers through.
        bytes_per_s: f.integer("bytes-per-s", 4096..=1 << 30),
        burst_bytes: f.integer("burst-bytes", 8192..=1 << 30),
    };
    for node in f.children(&["seed"]) {
        let mut f = Fields::new(node, f.problems);
        for seed in f.args("an address") {
            check_address(&mut f, Some(seed));
            v.seeds.push(seed.text.into());
        }
        f.done();
    }
    f.done();
    v
}

/// Datagrams are sent to IP addresses: a front resolves no names.
fn check_address(f: &mut Fields<'_, '_, '_>, text: Option<Spanned<'_>>) {
    if let Some(Spanned { text, span }) = text.filter(|t| t.text.parse::<std::net::SocketAddr>().is_err()) {
        f.problems.error(span, format!("`{text}` is no IP address and port"), None);
    }
}
