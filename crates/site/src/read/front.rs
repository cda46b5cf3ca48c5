//! Reading of `front`, `gossip` and `view` nodes: a front's own settings and its communication with other
//! fronts.

use crate::fields::{NodeReader, SpannedText};
use crate::model::{FleetView, Front, Gossip};
use crate::spans::SourceSpans;

pub(super) fn read_front(mut reader: NodeReader<'_, '_, '_>, spans: &mut SourceSpans) -> Front {
    let name = reader.text_argument("a name").map(|n| n.text.to_string());
    let listen = reader.owned_text_property("listen");
    let listen = reader.require("listen", listen);
    let zone = reader.text_property("zone");
    spans.front_zone = zone.map(|z| z.span);
    let front = Front {
        name: name.unwrap_or_default(),
        listen: listen.unwrap_or_default(),
        zone: zone.map(|z| z.text.into()),
        memory_mb: reader.integer_property("memory-mb", 16..=1 << 20),
        sockets: reader.integer_property("sockets", 16..=1 << 24),
        stream_kb_per_s: reader.number_property("stream-kb-per-s", 0.001, 1e9),
    };
    reader.finish();
    front
}

pub(super) fn read_gossip(mut reader: NodeReader<'_, '_, '_>) -> Gossip {
    let listen = reader.text_property("listen");
    let listen = reader.require("listen", listen);
    check_address(&mut reader, listen);
    let key_file = reader.owned_text_property("key-file");
    let advertise = reader.text_property("advertise");
    check_address(&mut reader, advertise);
    let mut g = Gossip {
        listen: listen.map_or(String::new(), |l| l.text.into()),
        key_file: reader.require("key-file", key_file).unwrap_or_default(),
        control: reader.owned_text_property("control"),
        seeds: Vec::new(),
        fronts: Vec::new(),
        // At a lower rate not even one health check and its answer could be sent.
        bytes_per_s: reader.integer_property("bytes-per-s", 512..=1 << 30),
        burst_bytes: reader.integer_property("burst-bytes", 1024..=1 << 30),
        skew_ms: reader.milliseconds_property("skew-ms"),
        peers: reader.keyword_property("peers"),
        advertise: advertise.map(|a| a.text.into()),
    };
    for node in reader.known_children(&["seed", "front"]) {
        let mut reader = NodeReader::new(node, reader.problems);
        if node.name().value() == "seed" {
            for seed in reader.text_arguments("an address") {
                check_address(&mut reader, Some(seed));
                g.seeds.push(seed.text.into());
            }
        } else {
            g.fronts.extend(reader.text_arguments("a front's name").iter().map(|n| n.text.to_string()));
        }
        reader.finish();
    }
    reader.finish();
    g
}

pub(super) fn read_view(mut reader: NodeReader<'_, '_, '_>) -> FleetView {
    let listen = reader.text_property("listen");
    let listen = reader.require("listen", listen);
    check_address(&mut reader, listen);
    let advertise = reader.text_property("advertise");
    check_address(&mut reader, advertise);
    let key_file = reader.owned_text_property("key-file");
    let mut v = FleetView {
        listen: listen.map_or(String::new(), |l| l.text.into()),
        advertise: advertise.map(|a| a.text.into()),
        key_file: reader.require("key-file", key_file).unwrap_or_default(),
        control: reader.owned_text_property("control"),
        store: reader.owned_text_property("store"),
        seeds: Vec::new(),
        // With a single watcher, one front's message alone could remove another front.
        watchers: reader.integer_property("watchers", 2..=16),
        // At a lower rate pings and their answers could not be sent.
        bytes_per_s: reader.integer_property("bytes-per-s", 4096..=1 << 30),
        burst_bytes: reader.integer_property("burst-bytes", 8192..=1 << 30),
    };
    for node in reader.known_children(&["seed"]) {
        let mut reader = NodeReader::new(node, reader.problems);
        for seed in reader.text_arguments("an address") {
            check_address(&mut reader, Some(seed));
            v.seeds.push(seed.text.into());
        }
        reader.finish();
    }
    reader.finish();
    v
}

/// Reports a text that is not an IP address with a port: fronts send datagrams there and resolve no host
/// names.
fn check_address(reader: &mut NodeReader<'_, '_, '_>, text: Option<SpannedText<'_>>) {
    if let Some(SpannedText { text, span }) = text.filter(|t| t.text.parse::<std::net::SocketAddr>().is_err())
    {
        reader.problems.add_error(span, format!("`{text}` is not an IP address with a port"), None);
    }
}
