//! KDL to the model, all mistakes at once.

use crate::check;
use crate::error::SiteError;
use crate::fields::{known, name_span, Fields, Problems};
use crate::model::*;
use crate::{Read, MOST_BYTES};
use kdl::{KdlDocument, KdlNode};
use miette::SourceSpan;
use std::collections::HashMap;

/// Nodes nest four deep at the most; deeper is no site, and a parser that goes down without end would run out of
/// stack.
const MOST_DEPTH: usize = 32;
const MOST_WEIGHT: f64 = 1e6;

/// Where in the text what the model names stands, for the checks that need the whole.
#[derive(Default)]
pub(crate) struct Places {
    pub members: HashMap<String, SourceSpan>,
    pub addresses: Vec<SourceSpan>,
    pub member_zones: Vec<Option<SourceSpan>>,
    pub zones: HashMap<String, SourceSpan>,
    pub pools: HashMap<String, SourceSpan>,
    pub classes: HashMap<String, SourceSpan>,
    pub front_zone: Option<SourceSpan>,
    /// By pool, by use: the member, and the stand-in.
    pub uses: Vec<Vec<(SourceSpan, Option<SourceSpan>)>>,
    /// By set, by rule: the pattern and the target.
    pub rules: Vec<Vec<(SourceSpan, SourceSpan)>>,
    /// By set.
    pub sets: Vec<SourceSpan>,
}

/// How deep braces nest, and comments within comments, outside of texts; an upper bound that costs no stack.
fn depth(text: &str) -> usize {
    let bytes = text.as_bytes();
    let (mut at, mut open, mut comments, mut most) = (0, 0usize, 0usize, 0);
    while at < bytes.len() {
        match bytes[at..] {
            [b'/', b'*', ..] => (comments, at) = (comments + 1, at + 1),
            [b'*', b'/', ..] => (comments, at) = (comments.saturating_sub(1), at + 1),
            [b'"', ..] if comments == 0 => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' && bytes[at] != b'\n' {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
            }
            [b'{' | b'(', ..] => open += 1,
            [b'}' | b')', ..] => open = open.saturating_sub(1),
            _ => {}
        }
        most = most.max(open + comments);
        at += 1;
    }
    most
}

impl Site {
    /// Reads a document; `file` is how its mistakes name it. All mistakes are told, not the first alone, except
    /// that a text that is no KDL is not looked into further.
    pub fn parse(file: &str, text: &str) -> Result<Read, SiteError> {
        let mut problems = Problems::new(text);
        let whole = |m: String| (SourceSpan::from((0, 0)), m);
        let refused = match () {
            () if text.len() > MOST_BYTES => Some(whole(format!("longer than {MOST_BYTES} bytes"))),
            () if depth(text) > MOST_DEPTH => Some(whole(format!("nested deeper than {MOST_DEPTH}"))),
            () => None,
        };
        if let Some((span, message)) = refused {
            problems.error(span, message, None);
            return Err(SiteError::new(file, text, problems.errors));
        }
        let doc = match KdlDocument::parse_v2(text) {
            Ok(doc) => doc,
            Err(e) => {
                for d in e.diagnostics {
                    let message = d.message.or(d.label).unwrap_or("not KDL".into());
                    problems.error(d.span, message, d.help);
                }
                return Err(SiteError::new(file, text, problems.errors));
            }
        };
        let (site, places) = document(&doc, &mut problems);
        check::check(&site, &places, &mut problems);
        if !problems.errors.is_empty() {
            return Err(SiteError::new(file, text, problems.errors));
        }
        problems.warnings.sort_by_key(|p| p.span.offset());
        Ok(Read { site, warnings: problems.warnings })
    }
}

const TOP: [&str; 9] = ["site", "front", "zone", "class", "member", "pool", "routes", "gossip", "view"];

fn document(doc: &KdlDocument, problems: &mut Problems<'_>) -> (Site, Places) {
    let (mut site, mut places) = (Site::default(), Places::default());
    let mut seen: HashMap<&str, SourceSpan> = HashMap::new();
    for node in known(doc, "a site", &TOP, problems) {
        let label = node.name().value();
        if matches!(label, "site" | "front" | "gossip" | "view")
            && seen.insert(label, name_span(node)).is_some()
        {
            problems.error(name_span(node), format!("`{label}` is there twice"), None);
        }
        let mut f = Fields::new(node, problems);
        match label {
            "site" => {
                if let Some((name, _)) = f.arg("a name") {
                    site.name = name.into();
                }
                site.members_from = f.word("members-from");
                f.done();
            }
            "front" => {
                let name = f.arg("a name").map(|n| n.0.to_string());
                let listen = f.owned("listen");
                let listen = f.needed("listen", listen);
                let zone = f.text("zone");
                places.front_zone = zone.map(|z| z.1);
                let front = Front {
                    name: name.unwrap_or_default(),
                    listen: listen.unwrap_or_default(),
                    zone: zone.map(|z| z.0.into()),
                    memory_mb: f.whole("memory-mb", 16..=1 << 20),
                    sockets: f.whole("sockets", 16..=1 << 24),
                    stream_kb_per_s: f.number("stream-kb-per-s", 0.001, 1e9),
                };
                f.done();
                site.front = Some(front);
            }
            "zone" => {
                let name = named(&mut f, &mut places.zones);
                let zone = Zone {
                    name,
                    link_in_kb_per_s: f.number("link-in-kb-per-s", 0.0, 1e12),
                    fronts: f.whole("fronts", 1..=100_000),
                };
                f.done();
                site.zones.push(zone);
            }
            "class" => {
                let name = named(&mut f, &mut places.classes);
                let class = class(&mut f, name);
                f.done();
                site.classes.push(class);
            }
            "gossip" => site.gossip = Some(gossip(f)),
            "view" => site.view = Some(view(f)),
            "member" => member(f, &mut site, &mut places),
            "pool" => pool(f, &mut site, &mut places),
            _ => routes(f, &mut site, &mut places),
        }
    }
    let from_view = site.gossip.as_ref().is_some_and(|g| g.peers == Some(GossipPeers::View));
    if let Some(span) = seen.get("gossip").filter(|_| from_view && site.view.is_none()) {
        problems.error(*span, "`gossip peers=\"view\"` needs a `view`", None);
    }
    (site, places)
}

/// The name of what a node describes, which nothing else of its kind may have.
fn named(f: &mut Fields<'_, '_, '_>, taken: &mut HashMap<String, SourceSpan>) -> String {
    let Some((name, span)) = f.arg("a name") else { return String::new() };
    if name.is_empty() {
        f.problems.error(span, "a name can't be empty", None);
    } else if taken.insert(name.to_string(), span).is_some() {
        f.problems.error(span, format!("`{name}` is there twice"), Some("give each its own name".into()));
    }
    name.to_string()
}

fn gossip(mut f: Fields<'_, '_, '_>) -> Gossip {
    let listen = f.text("listen");
    let listen = f.needed("listen", listen);
    address(&mut f, listen);
    let key_file = f.owned("key-file");
    let advertise = f.text("advertise");
    address(&mut f, advertise);
    let mut g = Gossip {
        listen: listen.map_or(String::new(), |l| l.0.into()),
        key_file: f.needed("key-file", key_file).unwrap_or_default(),
        control: f.owned("control"),
        seeds: Vec::new(),
        fronts: Vec::new(),
        // Under this a probe and its answer would not go through.
        bytes_per_s: f.whole("bytes-per-s", 512..=1 << 30),
        burst_bytes: f.whole("burst-bytes", 1024..=1 << 30),
        skew_ms: f.ms("skew-ms"),
        peers: f.word("peers"),
        advertise: advertise.map(|a| a.0.into()),
    };
    for node in f.children(&["seed", "front"]) {
        let mut f = Fields::new(node, f.problems);
        if node.name().value() == "seed" {
            for seed in f.args("an address") {
                address(&mut f, Some(seed));
                g.seeds.push(seed.0.into());
            }
        } else {
            g.fronts.extend(f.args("a front's name").iter().map(|n| n.0.to_string()));
        }
        f.done();
    }
    f.done();
    g
}

fn view(mut f: Fields<'_, '_, '_>) -> FleetView {
    let listen = f.text("listen");
    let listen = f.needed("listen", listen);
    address(&mut f, listen);
    let advertise = f.text("advertise");
    address(&mut f, advertise);
    let key_file = f.owned("key-file");
    let mut v = FleetView {
        listen: listen.map_or(String::new(), |l| l.0.into()),
        advertise: advertise.map(|a| a.0.into()),
        key_file: f.needed("key-file", key_file).unwrap_or_default(),
        control: f.owned("control"),
        store: f.owned("store"),
        seeds: Vec::new(),
        // With one watcher a single front's word would end another.
        watchers: f.whole("watchers", 2..=16),
        // Under this pings and answers would not go through.
        bytes_per_s: f.whole("bytes-per-s", 4096..=1 << 30),
        burst_bytes: f.whole("burst-bytes", 8192..=1 << 30),
    };
    for node in f.children(&["seed"]) {
        let mut f = Fields::new(node, f.problems);
        for seed in f.args("an address") {
            address(&mut f, Some(seed));
            v.seeds.push(seed.0.into());
        }
        f.done();
    }
    f.done();
    v
}

/// Datagrams go to addresses; a front looks no names up.
fn address(f: &mut Fields<'_, '_, '_>, text: Option<(&str, SourceSpan)>) {
    if let Some((text, span)) = text.filter(|t| t.0.parse::<std::net::SocketAddr>().is_err()) {
        f.problems.error(span, format!("`{text}` is no IP address and port"), None);
    }
}

fn class(f: &mut Fields<'_, '_, '_>, name: String) -> Class {
    let aim = f.ms("aim-ms");
    let deadline = f.ms("deadline-ms");
    Class {
        name,
        aim_ms: f.needed("aim-ms", aim).unwrap_or(0),
        aim_stretch: f.number("aim-stretch", 0.0, 1000.0),
        deadline_ms: f.needed("deadline-ms", deadline).unwrap_or(0),
        worth: f.number("worth", 0.0, 1e9),
        late_worth: f.number("late-worth", 0.0, 1.0),
        effect: f.word("effect"),
        write: f.flag("write"),
        fresh_ms: f.ms("fresh-ms"),
        grace_ms: f.ms("grace-ms"),
    }
}

fn member(mut f: Fields<'_, '_, '_>, site: &mut Site, places: &mut Places) {
    let id = named(&mut f, &mut places.members);
    let address = f.text("address");
    let address = f.needed("address", address);
    let zone = f.text("zone");
    let mut m = Member {
        id,
        address: address.map_or(String::new(), |a| a.0.into()),
        protocol: f.word("protocol"),
        path: f.owned("path"),
        kind: f.word("kind"),
        weight: f.number("weight", 1e-6, MOST_WEIGHT),
        state: f.word("state").unwrap_or(State::Ready),
        zone: zone.map(|z| z.0.into()),
        link_kb_per_s: f.number("link-kb-per-s", 0.001, 1e12),
        limits: MemberLimits::default(),
    };
    places.addresses.push(address.map_or(f.span(), |a| a.1));
    places.member_zones.push(zone.map(|z| z.1));
    for node in f.children(&["limits"]) {
        let mut f = Fields::new(node, f.problems);
        m.limits = MemberLimits {
            connections: f.whole("connections", 1..=1 << 24),
            in_flight: f.whole("in-flight", 1..=1 << 24),
            connect_ms: f.ms("connect-ms"),
            answer_ms: f.ms("answer-ms"),
            idle_ms: f.ms("idle-ms"),
        };
        f.done();
    }
    f.done();
    site.members.push(m);
}

fn pool(mut f: Fields<'_, '_, '_>, site: &mut Site, places: &mut Places) {
    let name = named(&mut f, &mut places.pools);
    let mut p = Pool {
        name,
        members: Vec::new(),
        limits: PoolLimits::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    let mut uses = Vec::new();
    for node in f.children(&["use", "limits", "retry", "recovery"]) {
        let mut f = Fields::new(node, f.problems);
        match node.name().value() {
            "use" => {
                let member = f.arg("a member's name");
                let instead = f.text("instead");
                uses.push((member.map_or(f.span(), |m| m.1), instead.map(|i| i.1)));
                p.members.push(Use {
                    member: member.map_or(String::new(), |m| m.0.into()),
                    weight: f.number("weight", 1e-6, MOST_WEIGHT),
                    state: f.word("state"),
                    tier: f.whole("tier", 0..=u64::from(u32::MAX)),
                    group: f.owned("group"),
                    instead: instead.map(|i| i.0.into()),
                });
            }
            "limits" => {
                p.limits = PoolLimits {
                    in_flight: f.whole("in-flight", 1..=1 << 24),
                    connections: f.whole("connections", 1..=1 << 24),
                    wait_ms: f.ms("wait-ms"),
                    waiting: f.whole("waiting", 0..=1 << 20),
                    answer_ms: f.ms("answer-ms"),
                }
            }
            "retry" => {
                p.retry = Retry {
                    attempts: f.whole("attempts", 1..=1000),
                    budget: f.number("budget", 0.0, 10.0),
                    burst: f.whole("burst", 0..=100_000),
                }
            }
            _ => {
                p.recovery = Recovery {
                    failures: f.whole("failures", 1..=1000),
                    first_ms: f.ms("first-ms"),
                    most_ms: f.ms("most-ms"),
                    fail_on: statuses(&mut f),
                }
            }
        }
        f.done();
    }
    f.done();
    site.pools.push(p);
    places.uses.push(uses);
}

/// Status codes, `"500,503"`.
fn statuses(f: &mut Fields<'_, '_, '_>) -> Vec<u16> {
    let Some((text, span)) = f.text("fail-on") else { return Vec::new() };
    let read = |s: &str| s.parse().ok().filter(|n| (100..=599).contains(n));
    let all: Option<Vec<u16>> = text.split(',').map(|s| read(s.trim())).collect();
    if all.is_none() {
        let hint = "write status codes with commas between them: \"500,503\"".to_string();
        f.problems.error(span, format!("`fail-on` can't be `{text}`"), Some(hint));
    }
    all.unwrap_or_default()
}

fn routes(mut f: Fields<'_, '_, '_>, site: &mut Site, places: &mut Places) {
    places.sets.push(f.span());
    let mut set =
        RouteSet { hosts: Vec::new(), order: f.word("order"), inherit: f.flag("inherit"), rules: Vec::new() };
    let mut spans = Vec::new();
    for node in f.children(&["host", "route"]) {
        if node.name().value() == "host" {
            let mut f = Fields::new(node, f.problems);
            set.hosts.extend(f.args("a host").iter().map(|h| h.0.to_string()));
            f.done();
            continue;
        }
        if let Some((rule, at)) = route(node, f.problems) {
            set.rules.push(rule);
            spans.push(at);
        }
    }
    f.done();
    site.routes.push(set);
    places.rules.push(spans);
}

fn route(node: &KdlNode, problems: &mut Problems<'_>) -> Option<(Route, (SourceSpan, SourceSpan))> {
    let mut f = Fields::new(node, problems);
    let pattern = f.arg("a path");
    let matching = f.word("match");
    let pool = f.text("pool");
    let exclude = f.flag("exclude").unwrap_or(false);
    let rewrite = f.owned("rewrite");
    let target = match (exclude, pool) {
        (true, p) => Target::Exclude(p.map(|p| p.0.into())),
        (false, Some(p)) => Target::Pool(p.0.into()),
        (false, None) => {
            let (span, hint) = (f.span(), "write pool=\"…\" or exclude=#true".to_string());
            f.problems.error(span, "`route` leads nowhere", Some(hint));
            Target::Exclude(None)
        }
    };
    let at = pool.map_or(f.span(), |p| p.1);
    f.done();
    let (pattern, span) = pattern?;
    Some((Route { pattern: pattern.into(), matching, target, rewrite }, (span, at)))
}
