//! Reads and validates the gossip section of the site document.

use crate::keyfile;
use fernslip_gossip::{Config, Keyring};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The validated gossip settings of a front.
pub struct GossipPlan {
    /// The configuration of this front's gossip instance.
    pub config: Config,
    /// The keys that sign and verify gossip datagrams.
    pub keys: Keyring,
    /// The path of the local socket that serves the status text to operators. `None` if there is no such
    /// socket.
    pub control: Option<PathBuf>,
    /// Whether the gossip's peers are taken from the membership view.
    pub from_view: bool,
}

impl GossipPlan {
    /// Makes the plan for the front with this name from the site document's settings, and reads its key file.
    ///
    /// # Errors
    /// Returns a message for every invalid setting.
    pub fn from_document(settings: &fernslip_site::Gossip, name: &str) -> Result<GossipPlan, Vec<String>> {
        let mut errors = Vec::new();
        let mut address = |text: &String| {
            let parsed = text.parse::<SocketAddr>();
            if parsed.is_err() {
                errors.push(format!("gossip: `{text}` is not an IP address and port"));
            }
            parsed.ok()
        };
        let addr = address(&settings.listen);
        let advertise = settings.advertise.as_ref().and_then(&mut address);
        let seeds = settings.seeds.iter().filter_map(&mut address).collect();
        let keys = keyfile::read_key_file(Path::new(&settings.key_file));
        if let Err(error) = &keys {
            errors.push(format!("gossip: {}: {error}", settings.key_file));
        }
        if !settings.fronts.is_empty() && !settings.fronts.iter().any(|n| n == name) {
            errors.push(format!("gossip: this front, \"{name}\", is not in its own list of fronts"));
        }
        let (Some(addr), Ok(keys), true) = (addr, keys, errors.is_empty()) else { return Err(errors) };
        let default = Config::default();
        let config = Config {
            name: name.into(),
            addr,
            seeds,
            roster: settings.fronts.clone(),
            advertise,
            bytes_per_s: settings.bytes_per_s.unwrap_or(default.bytes_per_s),
            burst_bytes: settings.burst_bytes.unwrap_or(default.burst_bytes),
            skew_ms: settings.skew_ms.map_or(default.skew_ms, |ms| ms as f64),
            ..default
        };
        let from_view = settings.peers == Some(fernslip_site::GossipPeers::View);
        Ok(GossipPlan { config, keys, control: settings.control.as_ref().map(Into::into), from_view })
    }
}
