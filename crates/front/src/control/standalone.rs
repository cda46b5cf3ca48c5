//! Builds the configuration of a front that is started with only a site document.

use crate::budget::Budget;
use crate::config::Config;
use fernslip::json::Names;
use fernslip::{Class, DedupScope, DetailLevel, Effect, Neighbours, Settings};
use fernslip_site::{defaults, Class as SiteClass, Effect as SiteEffect, Front, MembersFrom, Site, Zone};
use std::net::SocketAddr;
use std::time::Duration;

/// The names of the node kinds, by their index in settings made from a site document.
const NODE_KINDS: [&str; 3] = ["cache", "parent", "origin"];
/// Builds the configuration of a front that has only a site document.
///
/// # Errors
/// Returns every reason why the document is not sufficient as a configuration.
pub fn config_from_site(site: &Site) -> Result<Config, Vec<String>> {
    let site = site.with_defaults();
    let front = site
        .front
        .as_ref()
        .ok_or(vec!["the site document has no `front`, and no configuration file is given".to_string()])?;
    let listen = validate_listen_address(&site, front)?;
    let zones = zone_names(&site);
    let own_zone = front.zone.as_ref().and_then(|z| zones.iter().position(|n| n == z)).unwrap_or(0);
    let budget =
        Budget::from_limits(front.sockets.unwrap_or(0) as usize, front.memory_mb.unwrap_or(0) as usize);
    let classes: Vec<Class> = site.classes.iter().map(settings_class).collect();
    let names = Names {
        zones: zones.clone(),
        kinds: NODE_KINDS.map(String::from).to_vec(),
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        reports: Vec::new(),
    };
    let settings = settings_from_site(&site, front, own_zone, zones, &budget, classes);
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
        known_offset: 0,
        known_events: Vec::new(),
        settings,
        names,
        streams: 32,
        connect_timeout: Duration::from_millis(defaults::CONNECT_TIMEOUT_MS),
        idle_timeout: Duration::from_millis(defaults::IDLE_TIMEOUT_MS),
        admin_listen: None,
    })
}

/// Checks that the site document is sufficient without a configuration, and returns the front's listen
/// address.
///
/// # Errors
/// Returns every reason why it is not sufficient: members from the bus, no class, or a listen value that is
/// not an IP address and port.
fn validate_listen_address(site: &Site, front: &Front) -> Result<SocketAddr, Vec<String>> {
    let mut errors = Vec::new();
    if site.members_from != Some(MembersFrom::File) {
        errors.push("members-from=\"bus\" needs a configuration that names the bus".to_string());
    }
    if site.classes.is_empty() {
        errors.push(
            "the site document has no `class`; a front needs at least one class to serve requests"
                .to_string(),
        );
    }
    let listen = front.listen.parse();
    if listen.is_err() {
        errors.push(format!("front listen=\"{}\" is not an IP address and port", front.listen));
    }
    let (Ok(listen), true) = (listen, errors.is_empty()) else { return Err(errors) };
    Ok(listen)
}

/// Returns the site's zone names; a site without zones gets one zone, named `zone`.
fn zone_names(site: &Site) -> Vec<String> {
    let mut zones: Vec<String> = site.zones.iter().map(|z| z.name.clone()).collect();
    if zones.is_empty() {
        zones.push("zone".into());
    }
    zones
}

/// Returns one value per zone of the site, or only `default` if the site has no zones.
fn values_per_zone(site: &Site, value: &dyn Fn(&Zone) -> f64, default: f64) -> Vec<f64> {
    match site.zones.is_empty() {
        true => vec![default],
        false => site.zones.iter().map(value).collect(),
    }
}

/// Converts a class of the site document to a request class of the settings.
fn settings_class(class: &SiteClass) -> Class {
    Class {
        name: class.name.clone(),
        objective_ms: class.latency_objective_ms as f64,
        objective_stretch: class.objective_stretch.unwrap_or(0.0),
        deadline_ms: class.deadline_ms as f64,
        priority_weight: class.priority_weight.unwrap_or(1.0),
        late_weight: class.late_weight.unwrap_or(0.0),
        effect: match class.effect {
            Some(SiteEffect::AtMostOnce) => Effect::AtMostOnce,
            Some(SiteEffect::Deduplicated) => Effect::Deduplicated,
            _ => Effect::Idempotent,
        },
        scope: DedupScope::Cell,
        repeat_window_ms: 0.0,
        write: class.write.unwrap_or(false),
        fresh_ms: class.fresh_ms.unwrap_or(0) as f64,
        grace_ms: class.grace_ms.unwrap_or(0) as f64,
    }
}

/// Makes the settings of a front from a site document; `own_zone` is the index of the front's zone in
/// `zones`.
fn settings_from_site(
    site: &Site,
    front: &Front,
    own_zone: usize,
    zones: Vec<String>,
    budget: &Budget,
    classes: Vec<Class>,
) -> Settings {
    let fronts = values_per_zone(site, &|z| z.fronts.unwrap_or(1) as f64, 1.0);
    // The values of the rules below suit the first deployment; a site with other hardware needs a
    // configuration file to set them.
    Settings {
        zone: own_zone,
        zone_routers: fronts.iter().map(|n| *n as u32).collect(),
        link_in_kb_per_s: values_per_zone(site, &|z| z.link_in_kb_per_s.unwrap_or(0.0), 0.0),
        zones,
        kinds: NODE_KINDS.len(),
        parent_kind: Some(1),
        origin_kind: Some(2),
        slot: 0,
        routers: (fronts.iter().sum::<f64>() as u32).max(1),
        direct_to_source: false,
        join_fills: true,
        neighbours: Neighbours::Location,
        detail_level: DetailLevel::Hit,
        stream_kb_per_s: front.stream_kb_per_s.unwrap_or(defaults::STREAM_KB_PER_S),
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

/// Returns a seed from `/dev/urandom`, or 0 if it cannot be read.
fn random_seed() -> u64 {
    let mut seed = [0; 8];
    // Without a source of randomness every start draws the same random numbers, which does not harm a front
    // by itself.
    if let Ok(mut f) = std::fs::File::open("/dev/urandom") {
        let _ = std::io::Read::read_exact(&mut f, &mut seed);
    }
    u64::from_le_bytes(seed)
}
