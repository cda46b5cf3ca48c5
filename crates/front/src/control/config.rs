//! Reads and validates the front's configuration: the JSON file that the environment variable `RELAY_CONFIG`
//! names.

use crate::budget::Budget;
use fernslip::json::{self, JsonError, Names};
use fernslip::{Settings, SettingsError};
use fernslip_site::SiteError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A validated configuration of a front.
pub struct Config {
    /// The file the configuration was read from, which SIGHUP reloads. `None` if it was not read from a file.
    pub file: Option<PathBuf>,
    /// The name of this front.
    pub name: String,
    /// The address on which the front accepts client connections.
    pub listen: SocketAddr,
    /// The seed of the front's random number generators.
    pub seed: u64,
    /// The limits on connections, requests and memory.
    pub budget: Budget,
    /// The address on which peers' datagrams are received. `None` if the front has no peers.
    pub peer_listen: Option<SocketAddr>,
    /// The datagram addresses of all fronts of the tier, indexed by slot number.
    pub peers: Vec<SocketAddr>,
    /// The one address that reaches all peers. `None` if the configuration has none.
    pub peers_all: Option<SocketAddr>,
    /// The address of the event bus. `None` if there is no bus; the members then come from the site document.
    pub bus: Option<SocketAddr>,
    /// The offset of the last bus event included in `known_events`.
    pub known_offset: u64,
    /// The bus events that the configuration supplies for the start, as JSON.
    pub known_events: Vec<Value>,
    /// The settings of the decision module (the `fernslip` crate).
    pub settings: Settings,
    /// The names of zones, kinds and classes, to which the settings refer by index.
    pub names: Names,
    /// The maximum number of concurrent attempts on one upstream connection; at least 1.
    pub streams: usize,
    /// The timeout for establishing an upstream connection.
    pub connect_timeout: Duration,
    /// The time after which an idle upstream connection is closed.
    pub idle_timeout: Duration,
    /// The listen address of the admin interface (key `ops`); `$RELAY_OPS` takes precedence at start. `None`
    /// if the configuration has no admin interface.
    pub admin_listen: Option<SocketAddr>,
}

/// The reason why a front cannot use its configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The configuration file cannot be read.
    #[error("configuration: {0}")]
    Read(std::io::Error),
    /// The configuration file is not valid JSON.
    #[error("configuration: not JSON: {0}")]
    Parse(serde_json::Error),
    /// A field of the configuration is missing or has an invalid value.
    #[error("configuration: {0}")]
    Field(JsonError),
    /// The value of the field with this key is not an IP address and port.
    #[error("configuration: {0} is not an IP address and port")]
    Address(String),
    /// The settings contradict each other or are out of range.
    #[error("configuration: {0}")]
    Settings(SettingsError),
    /// No configuration file is given, because the environment variable `RELAY_CONFIG` is not set.
    #[error("configuration: RELAY_CONFIG names no file")]
    NoFile,
    /// The site document has errors of syntax or content.
    #[error("{0}")]
    Site(SiteError),
    /// The site document is valid, but this front cannot serve from it; holds every reason.
    #[error("site: {}", .0.join("\nsite: "))]
    Plan(Vec<String>),
}

impl From<JsonError> for ConfigError {
    fn from(error: JsonError) -> Self {
        ConfigError::Field(error)
    }
}

fn parse_address(value: &Value, key: &str) -> Result<SocketAddr, ConfigError> {
    value.as_str().and_then(|text| text.parse().ok()).ok_or_else(|| ConfigError::Address(key.into()))
}

/// Reads the field `key` of `value` as a duration in milliseconds, clamped to between 1 ms and 1 h.
fn parse_millis(value: &Value, key: &str) -> Result<Duration, JsonError> {
    json::number_field(value, key).map(|ms| Duration::from_secs_f64((ms / 1000.0).clamp(0.001, 3600.0)))
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not JSON, or is not a valid configuration.
    pub fn read(file: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(ConfigError::Read)?;
        let config = Config::parse(&serde_json::from_str(&text).map_err(ConfigError::Parse)?)?;
        Ok(Config { file: Some(file.to_path_buf()), ..config })
    }

    /// Validates a configuration that is already parsed as JSON.
    ///
    /// # Errors
    /// Returns an error if a field is missing or invalid, or if the settings contradict each other.
    pub fn parse(document: &Value) -> Result<Config, ConfigError> {
        let (mut settings, names) = json::parse_settings(&document["settings"])?;
        settings.check().map_err(ConfigError::Settings)?;
        let limits = &document["limits"];
        let budget = Budget::from_limits(
            json::number_field(limits, "sockets")? as usize,
            json::number_field(limits, "memory_mb")? as usize,
        );
        settings.max_in_flight = settings.max_in_flight.min(budget.open as u32);
        let permissions = &document["settings"]["permissions"];
        let optional = |key: &str| match &document[key] {
            Value::Null => Ok(None),
            a => parse_address(a, key).map(Some),
        };
        let peers = match &document["peers"] {
            Value::Null => Vec::new(),
            _ => json::array_field(document, "peers")?
                .iter()
                .map(|p| parse_address(p, "peers"))
                .collect::<Result<_, _>>()?,
        };
        Ok(Config {
            file: None,
            name: json::string_field(document, "name")?.to_string(),
            listen: parse_address(&document["listen"], "listen")?,
            seed: json::hex_field(document, "seed")?,
            budget,
            peer_listen: optional("peer_listen")?,
            peers,
            peers_all: optional("peers_all")?,
            bus: Some(parse_address(&document["bus"], "bus")?),
            known_offset: json::number_field(&document["known"], "offset")? as u64,
            known_events: json::array_field(&document["known"], "batch")?.to_vec(),
            streams: (json::number_field(permissions, "streams_per_conn")? as usize).max(1),
            connect_timeout: parse_millis(permissions, "connect_timeout_ms")?,
            idle_timeout: parse_millis(permissions, "conn_idle_ms")?,
            admin_listen: optional("ops")?,
            settings,
            names,
        })
    }
}
