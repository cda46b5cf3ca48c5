//! A site document as a front can serve from it: addresses, kinds and zones looked up, pools and routes taken from
//! it, or every reason why not.

use crate::budget::Budget;
use crate::config::Config;
use crate::connection_pool::Timeouts;
use fernslip::json::Names;
use fernslip::{Class, DedupScope, Effect, Neighbours, NoteLevel, Settings};
use fernslip_pool::{Routes, Spec};
use fernslip_site::{Kind, MembersFrom, Pool, PoolLimits, Protocol, Recovery, Retry, Site, State, Use};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Kinds of machine in settings made of a site document, in the order of their numbers.
const KINDS: [&str; 3] = ["cache", "parent", "origin"];
/// The pool of a site that describes none: all its caches.
const DEFAULT_POOL: &str = "default";

/// A member of the document.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Where it is.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Option<usize>,
    /// Its kind.
    pub kind: Option<usize>,
    /// Its link, in answers at full pace.
    pub link: f64,
    /// Its share where no pool says otherwise.
    pub weight: f64,
    /// Its own time-outs.
    pub timeouts: Timeouts,
    /// What the operators want of it.
    pub state: State,
    /// A parent or the origin: every pool fills from it.
    pub is_source: bool,
}

/// The longest waits for an answer in a pool, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answers {
    /// Of every member.
    pub pool: Option<u64>,
    /// Of single members.
    pub members: HashMap<Arc<str>, u64>,
}

impl Answers {
    /// How long an answer of that member may take; `None`: as long as the request allows.
    pub fn most_ms(&self, id: &str) -> Option<u64> {
        [self.pool, self.members.get(id).copied()].into_iter().flatten().min()
    }

    fn all(site: &Site) -> Vec<Answers> {
        let told = site.members.iter().filter_map(|m| Some((m.id.as_str(), m.limits.answer_ms?)));
        let told: HashMap<&str, u64> = told.collect();
        let of = |p: &Pool| {
            let own = |u: &Use| Some((Arc::from(u.member.as_str()), *told.get(u.member.as_str())?));
            Answers { pool: p.limits.answer_ms, members: p.members.iter().filter_map(own).collect() }
        };
        site.pools.iter().map(of).collect()
    }
}

fn ms(of: Option<u64>) -> Option<Duration> {
    of.map(|ms| Duration::from_millis(ms.max(1)))
}

/// What a front serves from.
#[derive(Debug)]
pub struct Plan {
    /// The members are those of the document, not of the bus.
    pub from_file: bool,
    /// The members, by their ids; empty where the bus has them.
    pub members: BTreeMap<Arc<str>, Known>,
    /// The pools, in the order of the document.
    pub pools: Vec<Spec>,
    /// The routes; their pools are those above.
    pub routes: Routes,
    /// By pool: how long an answer may take, of the pool and of its members, where they tell; milliseconds.
    pub answers: Vec<Answers>,
    /// In how many pools the most used cache is.
    pub shared: u32,
}

impl Plan {
    /// Makes a plan of a document, for a front with these settings. Every reason why it can't be is told.
    pub fn of(site: &Site, names: &Names, settings: &Settings) -> Result<Plan, Vec<String>> {
        let from_file = site.members_from == Some(MembersFrom::File);
        let mut site = site.effective();
        if from_file && site.pools.is_empty() {
            site.pools.push(default_pool(&site));
        }
        let mut wrong = Vec::new();
        let mut members = BTreeMap::new();
        for m in site.members.iter().filter(|_| from_file) {
            let id = &m.id;
            if let Some(p) = m.protocol.filter(|p| !p.is_supported()) {
                let spoken = Protocol::Resp;
                wrong
                    .push(format!("member \"{id}\" speaks {p}: this front speaks {spoken} with its members"));
            }
            let place = |all: &[String], name: &str| all.iter().position(|n| n == name);
            let zone = m.zone.as_deref().map(|z| (z, place(&names.zones, z)));
            if let Some((z, None)) = zone {
                wrong.push(format!("member \"{id}\": the front's settings know no zone \"{z}\""));
            }
            let kind = match m.kind.unwrap_or(Kind::Cache) {
                Kind::Parent => settings.parent_kind,
                Kind::Origin => settings.origin_kind,
                Kind::Cache => (0..settings.kinds)
                    .find(|k| ![settings.parent_kind, settings.origin_kind].contains(&Some(*k))),
            };
            if kind.is_none() {
                wrong.push(format!("member \"{id}\": the front's settings know no machine of its kind"));
            }
            let Ok(addr) = m.address.parse() else {
                let at = &m.address;
                wrong.push(format!(
                    "member \"{id}\": `{at}` is a name; a front looks none up: write its IP address"
                ));
                continue;
            };
            let known = Known {
                addr,
                zone: zone.map_or(Some(settings.zone), |z| z.1),
                kind,
                link: m.link_kb_per_s.unwrap_or(fernslip_site::defaults::MEMBER_KB_PER_S)
                    / settings.stream_kb_per_s,
                weight: m.weight.unwrap_or(1.0),
                timeouts: Timeouts { connect: ms(m.limits.connect_ms), idle: ms(m.limits.idle_ms) },
                state: m.state,
                is_source: m.kind.is_some_and(|k| k != Kind::Cache),
            };
            members.insert(Arc::from(id.as_str()), known);
        }
        let mut uses: HashMap<&str, u32> = HashMap::new();
        for p in &site.pools {
            for u in &p.members {
                *uses.entry(&u.member).or_default() += 1;
                if members.get(u.member.as_str()).is_some_and(|k: &Known| k.is_source) {
                    let (pool, id) = (&p.name, &u.member);
                    wrong.push(format!(
                        "pool \"{pool}\" uses \"{id}\", which is no cache: sources serve all pools"
                    ));
                }
            }
        }
        if !wrong.is_empty() {
            return Err(wrong);
        }
        Ok(Plan {
            from_file,
            shared: uses.values().copied().max().unwrap_or(1),
            answers: Answers::all(&site),
            pools: Spec::all(&site),
            routes: Routes::of(&site),
            members,
        })
    }
}

fn default_pool(site: &Site) -> Pool {
    let caches = site.members.iter().filter(|m| m.kind == Some(Kind::Cache));
    let part = |m: &fernslip_site::Member| Use {
        member: m.id.clone(),
        weight: m.weight,
        state: Some(m.state),
        tier: None,
        group: None,
        instead: None,
    };
    let pool = Pool {
        name: DEFAULT_POOL.into(),
        members: caches.map(part).collect(),
        limits: PoolLimits::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    let filled = Site { pools: vec![pool], ..site.clone() }.effective();
    filled.pools.into_iter().next().unwrap_or_else(|| unreachable!("one pool went in"))
}

/// What a document says to all fronts alike: without this front's own name, addresses and files.
pub fn shared(site: &Site) -> Site {
    Site { front: None, gossip: None, view: None, ..site.clone() }
}

/// The configuration of a front that has nothing but a site document.
pub fn config(site: &Site) -> Result<Config, Vec<String>> {
    let site = site.effective();
    let front =
        site.front.as_ref().ok_or(vec!["it has no `front`, and no configuration is named".to_string()])?;
    let listen = validated_listen(&site, front)?;
    let zones = zone_names(&site);
    let own = front.zone.as_ref().and_then(|z| zones.iter().position(|n| n == z)).unwrap_or(0);
    let budget = Budget::of(front.sockets.unwrap_or(0) as usize, front.memory_mb.unwrap_or(0) as usize);
    let classes: Vec<Class> = site.classes.iter().map(class_of).collect();
    let names = Names {
        zones: zones.clone(),
        kinds: KINDS.map(String::from).to_vec(),
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        reports: Vec::new(),
    };
    let settings = settings_of(&site, front, own, zones, &budget, classes);
    settings.check().map_err(|e| vec![e.to_string()])?;
    Ok(Config {
        file: None,
        name: front.name.clone(),
        listen,
        seed: random_seed(),
        budget,
        peer_listen: None,
        peers: Vec::new(),
        peers_all: None,
        bus: None,
        offset: 0,
        batch: Vec::new(),
        settings,
        names,
        streams: 32,
        connect_timeout: std::time::Duration::from_millis(fernslip_site::defaults::CONNECT_MS),
        idle: std::time::Duration::from_millis(fernslip_site::defaults::IDLE_MS),
        ops: None,
    })
}

/// The front's listen address, once the site is one a front can serve alone.
///
/// # Errors
/// Every reason why not: members from the bus, no class, or a listen value that is no IP address and port.
fn validated_listen(site: &Site, front: &fernslip_site::Front) -> Result<SocketAddr, Vec<String>> {
    let mut wrong = Vec::new();
    if site.members_from != Some(MembersFrom::File) {
        wrong.push("members-from=\"bus\" needs a configuration that names the bus".to_string());
    }
    if site.classes.is_empty() {
        wrong.push("it has no `class`: a front serves requests of classes".to_string());
    }
    let listen = front.listen.parse();
    if listen.is_err() {
        wrong.push(format!("front listen=\"{}\" is no IP address and port", front.listen));
    }
    let (Ok(listen), true) = (listen, wrong.is_empty()) else { return Err(wrong) };
    Ok(listen)
}

/// The site's zone names; a site without zones has one, named `zone`.
fn zone_names(site: &Site) -> Vec<String> {
    let mut zones: Vec<String> = site.zones.iter().map(|z| z.name.clone()).collect();
    if zones.is_empty() {
        zones.push("zone".into());
    }
    zones
}

/// One figure per zone of the site, or `none` alone where the site has no zones.
fn per_zone(site: &Site, figure: &dyn Fn(&fernslip_site::Zone) -> f64, none: f64) -> Vec<f64> {
    match site.zones.is_empty() {
        true => vec![none],
        false => site.zones.iter().map(figure).collect::<Vec<f64>>(),
    }
}

/// A request class of the settings, made of a class of the site document.
fn class_of(c: &fernslip_site::Class) -> Class {
    Class {
        name: c.name.clone(),
        objective_ms: c.latency_objective_ms as f64,
        objective_stretch: c.objective_stretch.unwrap_or(0.0),
        deadline_ms: c.deadline_ms as f64,
        priority_weight: c.priority_weight.unwrap_or(1.0),
        late_weight: c.late_weight.unwrap_or(0.0),
        effect: match c.effect {
            Some(fernslip_site::Effect::AtMostOnce) => Effect::AtMostOnce,
            Some(fernslip_site::Effect::Deduplicated) => Effect::Deduplicated,
            _ => Effect::Idempotent,
        },
        scope: DedupScope::Cell,
        repeat_window_ms: 0.0,
        write: c.write.unwrap_or(false),
        fresh_ms: c.fresh_ms.unwrap_or(0) as f64,
        grace_ms: c.grace_ms.unwrap_or(0) as f64,
    }
}

/// The settings of a front made of a site document; `own` is the index of the front's zone in `zones`.
fn settings_of(
    site: &Site,
    front: &fernslip_site::Front,
    own: usize,
    zones: Vec<String>,
    budget: &Budget,
    classes: Vec<Class>,
) -> Settings {
    let fronts = per_zone(site, &|z| z.fronts.unwrap_or(1) as f64, 1.0);
    // The rules' figures are those of the first deployment; a site with other machines tells them by a configuration.
    Settings {
        zone: own,
        zone_routers: fronts.iter().map(|n| *n as u32).collect(),
        link_in_kb_per_s: per_zone(site, &|z| z.link_in_kb_per_s.unwrap_or(0.0), 0.0),
        zones,
        kinds: KINDS.len(),
        parent_kind: Some(1),
        origin_kind: Some(2),
        slot: 0,
        routers: (fronts.iter().sum::<f64>() as u32).max(1),
        straight: false,
        joins: true,
        neighbours: Neighbours::Location,
        notes: NoteLevel::Hit,
        stream_kb_per_s: front.stream_kb_per_s.unwrap_or(fernslip_site::defaults::STREAM_KB_PER_S),
        max_attempts: 6,
        max_in_flight: budget.open as u32,
        parallel: false,
        cancel: true,
        peers: false,
        max_retry_after_ms: 500.0,
        lists_on_request: false,
        tick_ms: 2.0,
        drain_grace_ms: 500.0,
        slow_start_from: 0.23,
        slow_start_ms: 16_000.0,
        slow_start_multiple: 2.0,
        slow_start_window_ms: 1500.0,
        parent_slow_start_from: 0.065,
        parent_slow_start_ms: 21_000.0,
        parent_slow_start_multiple: 2.0,
        purge_slack_ms: 1000.0,
        purge_done_ms: 6000.0,
        classes,
    }
}

/// A seed from `/dev/urandom`, or 0 where it can't be read.
fn random_seed() -> u64 {
    let mut seed = [0; 8];
    // Without a source of randomness hints and trials are spread alike at every start, which harms nobody alone.
    if let Ok(mut f) = std::fs::File::open("/dev/urandom") {
        let _ = std::io::Read::read_exact(&mut f, &mut seed);
    }
    u64::from_le_bytes(seed)
}

#[cfg(test)]
#[path = "plan/tests.rs"]
mod tests;
