//! What a front is told when it starts.

use crate::budget::Budget;
use fernslip::json::{self, JsonError, Names};
use fernslip::{Settings, SettingsError};
use fernslip_site::SiteError;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// All of it, checked.
pub struct Config {
    /// The file it was read from, to be read again on SIGHUP; `None`: there is none.
    pub file: Option<PathBuf>,
    /// The front's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What it may hold.
    pub budget: Budget,
    /// Where peers' messages come in; `None`: it has no peers.
    pub peer_listen: Option<SocketAddr>,
    /// All fronts of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The event bus; `None`: there is none, and the site document has the members.
    pub bus: Option<SocketAddr>,
    /// The last event known.
    pub offset: u64,
    /// The events up to it.
    pub batch: Vec<Value>,
    /// The module's settings.
    pub settings: Settings,
    /// Names in them.
    pub names: Names,
    /// Attempts on one connection.
    pub streams: usize,
    /// Time for a connection to come up.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this.
    pub idle: Duration,
    /// The operators' door, `ops`; `$RELAY_OPS` goes before it when the front starts. `None`: there is none.
    pub ops: Option<SocketAddr>,
}

/// Why a front cannot start with its configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Read(std::io::Error),
    /// It is not JSON.
    Parse(serde_json::Error),
    /// A field is wrong.
    Field(JsonError),
    /// A field is no address.
    Address(String),
    /// The settings are impossible.
    Settings(SettingsError),
    /// `RELAY_CONFIG` is not set.
    NoFile,
    /// The site document has mistakes.
    Site(SiteError),
    /// The site document is fine and can't be served from.
    Plan(Vec<String>),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Read(e) => write!(f, "configuration: {e}"),
            ConfigError::Parse(e) => write!(f, "configuration: not JSON: {e}"),
            ConfigError::Field(e) => write!(f, "configuration: {e}"),
            ConfigError::Address(key) => write!(f, "configuration: {key} is no address"),
            ConfigError::Settings(e) => write!(f, "configuration: {e}"),
            ConfigError::NoFile => f.write_str("configuration: RELAY_CONFIG names no file"),
            ConfigError::Site(e) => write!(f, "{e}"),
            ConfigError::Plan(all) => write!(f, "site: {}", all.join("\nsite: ")),
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<JsonError> for ConfigError {
    fn from(e: JsonError) -> Self {
        ConfigError::Field(e)
    }
}

fn address(v: &Value, key: &str) -> Result<SocketAddr, ConfigError> {
    v.as_str().and_then(|a| a.parse().ok()).ok_or_else(|| ConfigError::Address(key.into()))
}

fn millis(v: &Value, key: &str) -> Result<Duration, JsonError> {
    json::num(v, key).map(|ms| Duration::from_secs_f64((ms / 1000.0).clamp(0.001, 3600.0)))
}

impl Config {
    /// From a file.
    pub fn read(file: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(ConfigError::Read)?;
        let config = Config::parse(&serde_json::from_str(&text).map_err(ConfigError::Parse)?)?;
        Ok(Config { file: Some(file.to_path_buf()), ..config })
    }

    /// From the JSON value.
    pub fn parse(v: &Value) -> Result<Config, ConfigError> {
        let (mut settings, names) = json::settings(&v["settings"])?;
        settings.check().map_err(ConfigError::Settings)?;
        let limits = &v["limits"];
        let budget =
            Budget::of(json::num(limits, "sockets")? as usize, json::num(limits, "memory_mb")? as usize);
        settings.max_in_flight = settings.max_in_flight.min(budget.open as u32);
        let per = &v["settings"]["permissions"];
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
            offset: json::num(&v["known"], "offset")? as u64,
            batch: json::list(&v["known"], "batch")?.to_vec(),
            streams: (json::num(per, "streams_per_conn")? as usize).max(1),
            connect_timeout: millis(per, "connect_timeout_ms")?,
            idle: millis(per, "conn_idle_ms")?,
            ops: optional("ops")?,
            settings,
            names,
        })
    }
}
