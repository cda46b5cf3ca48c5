//! The front's configuration: the JSON file that `RELAY_CONFIG` names, read and checked.

use crate::budget::Budget;
use fernslip::json::{self, JsonError, Names};
use fernslip::{Settings, SettingsError};
use fernslip_site::SiteError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A checked configuration.
pub struct Config {
    /// The file it was read from, reloaded on SIGHUP; `None`: there is none.
    pub file: Option<PathBuf>,
    /// The front's name.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Seed of the front's random numbers.
    pub seed: u64,
    /// Limits on connections, requests and memory.
    pub budget: Budget,
    /// Listen address for peers' datagrams; `None`: the front has no peers.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all fronts of the tier, by slot.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The event bus; `None`: there is none, and the site document has the members.
    pub bus: Option<SocketAddr>,
    /// Offset of the last event known at start.
    pub known_offset: u64,
    /// The events known at start.
    pub known_events: Vec<Value>,
    /// The decision module's settings.
    pub settings: Settings,
    /// Names that the settings refer to by index.
    pub names: Names,
    /// Concurrent attempts on one upstream connection.
    pub streams: usize,
    /// Timeout for an upstream connection to be established.
    pub connect_timeout: Duration,
    /// Idle upstream connections are closed after this time.
    pub idle_timeout: Duration,
    /// Listen address of the admin interface, `ops`; `$RELAY_OPS` takes precedence at start. `None`: there is none.
    pub admin_listen: Option<SocketAddr>,
}

/// Why a front cannot start with its configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("configuration: {0}")]
    Read(std::io::Error),
    /// The file is not JSON.
    #[error("configuration: not JSON: {0}")]
    Parse(serde_json::Error),
    /// A field is missing or has a wrong value.
    #[error("configuration: {0}")]
    Field(JsonError),
    /// The field of that key is not an address.
    #[error("configuration: {0} is no address")]
    Address(String),
    /// The settings are inconsistent.
    #[error("configuration: {0}")]
    Settings(SettingsError),
    /// `RELAY_CONFIG` is not set.
    #[error("configuration: RELAY_CONFIG names no file")]
    NoFile,
    /// The site document has errors.
    #[error("{0}")]
    Site(SiteError),
    /// The site document is valid, and a front can't serve from it; every reason.
    #[error("site: {}", .0.join("\nsite: "))]
    Plan(Vec<String>),
}

impl From<JsonError> for ConfigError {
    fn from(e: JsonError) -> Self {
        ConfigError::Field(e)
    }
}

fn address(v: &Value, key: &str) -> Result<SocketAddr, ConfigError> {
    v.as_str().and_then(|a| a.parse().ok()).ok_or_else(|| ConfigError::Address(key.into()))
}

/// A duration given in milliseconds, within 1 ms to 1 h.
fn millis(v: &Value, key: &str) -> Result<Duration, JsonError> {
    json::number(v, key).map(|ms| Duration::from_secs_f64((ms / 1000.0).clamp(0.001, 3600.0)))
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// The file can't be read, is not JSON, or is no valid configuration.
    pub fn read(file: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(ConfigError::Read)?;
        let config = Config::parse(&serde_json::from_str(&text).map_err(ConfigError::Parse)?)?;
        Ok(Config { file: Some(file.to_path_buf()), ..config })
    }

    /// Parses a configuration.
    ///
    /// # Errors
    /// A field is missing or wrong, or the settings are inconsistent.
    pub fn parse(v: &Value) -> Result<Config, ConfigError> {
        let (mut settings, names) = json::settings(&v["settings"])?;
        settings.check().map_err(ConfigError::Settings)?;
        let limits = &v["limits"];
        let budget = Budget::of(
            json::number(limits, "sockets")? as usize,
            json::number(limits, "memory_mb")? as usize,
        );
        settings.max_in_flight = settings.max_in_flight.min(budget.open as u32);
        let permissions = &v["settings"]["permissions"];
        let optional = |key: &str| match &v[key] {
            Value::Null => Ok(None),
            a => address(a, key).map(Some),
        };
        let peers = match &v["peers"] {
            Value::Null => Vec::new(),
            _ => json::list(v, "peers")?.iter().map(|p| address(p, "peers")).collect::<Result<_, _>>()?,
        };
        Ok(Config {
            file: None,
            name: json::text(v, "name")?.to_string(),
            listen: address(&v["listen"], "listen")?,
            seed: json::hex(v, "seed")?,
            budget,
            peer_listen: optional("peer_listen")?,
            peers,
            peers_all: optional("peers_all")?,
            bus: Some(address(&v["bus"], "bus")?),
            known_offset: json::number(&v["known"], "offset")? as u64,
            known_events: json::list(&v["known"], "batch")?.to_vec(),
            streams: (json::number(permissions, "streams_per_conn")? as usize).max(1),
            connect_timeout: millis(permissions, "connect_timeout_ms")?,
            idle_timeout: millis(permissions, "conn_idle_ms")?,
            admin_listen: optional("ops")?,
            settings,
            names,
        })
    }
}
