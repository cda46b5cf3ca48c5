//! Reads and validates the membership view section of the site document.

use crate::keyfile;
use fernslip_gossip::Keyring;
use fernslip_view::{Config, MAX_TEXT_BYTES};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The validated settings of a front's membership view.
pub struct ViewPlan {
    /// The configuration of the view; its `addr` is the address at which other fronts reach this one.
    pub config: Config,
    /// The address on which the view's datagrams are received.
    pub listen: SocketAddr,
    /// Whether the site document sets an advertised address that replaces the listen address.
    pub is_advertised: bool,
    /// The keys that sign and verify the view's datagrams.
    pub keys: Keyring,
    /// The path of the control socket. `None` if there is no control socket.
    pub control: Option<PathBuf>,
    /// The path of the file that stores the front's durable state. `None` if nothing is stored.
    pub store: Option<PathBuf>,
}

impl ViewPlan {
    /// Makes the plan for the front with this name and zone from the site document's `view`, and reads its
    /// key file. `configuration` is a hash of the front's configuration.
    ///
    /// # Errors
    /// Returns a message for every invalid setting.
    pub fn from_document(
        settings: &fernslip_site::FleetView,
        name: &str,
        zone: &str,
        configuration: u32,
    ) -> Result<ViewPlan, Vec<String>> {
        let mut errors = Vec::new();
        let mut address = |text: &String| {
            let read = text.parse::<SocketAddr>();
            if read.is_err() {
                errors.push(format!("view: `{text}` is not an IP address and port"));
            }
            read.ok()
        };
        let listen = address(&settings.listen);
        let advertise = settings.advertise.as_ref().and_then(&mut address);
        let seeds = settings.seeds.iter().filter_map(&mut address).collect();
        let keys = keyfile::read_key_file(Path::new(&settings.key_file));
        if let Err(e) = &keys {
            errors.push(format!("view: {}: {e}", settings.key_file));
        }
        if name.len() > MAX_TEXT_BYTES || zone.len() > MAX_TEXT_BYTES {
            errors.push(format!("view: the name of a front or zone is longer than {MAX_TEXT_BYTES} bytes"));
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
        Ok(ViewPlan { config, listen, is_advertised: advertise.is_some(), keys, control, store })
    }
}
