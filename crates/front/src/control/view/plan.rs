//! The settings of a front's view, made of the site document.

use crate::keyfile;
use fernslip_gossip::Keyring;
use fernslip_view::{Config, MAX_TEXT_BYTES};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The settings of a front's view, read and checked.
pub struct Plan {
    /// The configuration of the view; its address is the one that others are to use.
    pub config: Config,
    /// Listen address for datagrams.
    pub listen: SocketAddr,
    /// Whether another address than that one is advertised.
    pub is_advertised: bool,
    /// The keys that sign datagrams.
    pub keys: Keyring,
    /// Path of the control socket.
    pub control: Option<PathBuf>,
    /// Path of the file with the front's durable state.
    pub store: Option<PathBuf>,
}

impl Plan {
    /// The plan for a front of that name and zone, made of the site document's `view`; reads and checks the key file.
    /// `configuration` is a hash of the front's configuration.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn of(
        settings: &fernslip_site::FleetView,
        name: &str,
        zone: &str,
        configuration: u32,
    ) -> Result<Plan, Vec<String>> {
        let mut errors = Vec::new();
        let mut address = |text: &String| {
            let read = text.parse::<SocketAddr>();
            if read.is_err() {
                errors.push(format!("view: `{text}` is no IP address and port"));
            }
            read.ok()
        };
        let listen = address(&settings.listen);
        let advertise = settings.advertise.as_ref().and_then(&mut address);
        let seeds = settings.seeds.iter().filter_map(&mut address).collect();
        let keys = keyfile::read(Path::new(&settings.key_file));
        if let Err(e) = &keys {
            errors.push(format!("view: {}: {e}", settings.key_file));
        }
        if name.len() > MAX_TEXT_BYTES || zone.len() > MAX_TEXT_BYTES {
            errors.push(format!("view: names of fronts and zones have at most {MAX_TEXT_BYTES} bytes"));
        }
        let (Some(listen), Ok(keys), true) = (listen, keys, errors.is_empty()) else { return Err(errors) };
        let default = Config::default();
        let config = Config {
            name: name.into(),
            addr: advertise.unwrap_or(listen),
            location: zone.into(),
            configuration,
            seeds,
            watchers: settings.watchers.map_or(default.watchers, |w| w as usize),
            bytes_per_s: settings.bytes_per_s.unwrap_or(default.bytes_per_s),
            burst_bytes: settings.burst_bytes.unwrap_or(default.burst_bytes),
            ..default
        };
        let control = settings.control.as_ref().map(Into::into);
        let store = settings.store.as_ref().map(Into::into);
        Ok(Plan { config, listen, is_advertised: advertise.is_some(), keys, control, store })
    }
}
