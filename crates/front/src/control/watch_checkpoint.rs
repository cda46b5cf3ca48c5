//! The checkpoint of the discovery watch: what a process that replaces this one needs to continue where this
//! one is, as bytes. Uses no files.
//!
//! A checkpoint has three lines:
//!
//! 1. `fernslip watch VERSION LENGTH CHECKSUM`: the version of the format, the length of the other lines in
//!    bytes, and their CRC-32C in hexadecimal.
//! 2. A JSON object with the keys `deployment` and `numbering`, the [identity](CheckpointIdentity) of the event
//!    stream; `generation` and `offset`, the [position](WatchPosition) of the last event that the checkpoint
//!    contains; `start_ages_ms`, for each node that started recently, how long ago; and `purges`, the recent
//!    purges with their positions, `url` or `tag` as the event bus sends them, and `age_ms`.
//! 3. The complete endpoint list, as the event bus sends one under `topology`; departed nodes are included.
//!
//! Ages are counted by the monotonic clock of the process that writes, up to the time of writing. They are
//! lower bounds for a reader, whatever happens to the wall clock in between.
//!
//! Keys that are not known are ignored, so that a later release may add some. A release that changes the
//! meaning of a key raises the version; other versions are refused.

use super::watch_event::{self, ListedNode, WatchEvent};
use super::watch_state::WatchPosition;
use fernslip::json::{JsonError, Names};
use fernslip::{CacheId, ObjectId, Phase};
use fernslip_view::Id;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The first words of a checkpoint.
const FORMAT_NAME: &str = "fernslip watch";
/// The version of the format.
const FORMAT_VERSION: u32 = 1;
/// Maximum length of the first line, in bytes.
const MAX_HEADER_BYTES: usize = 128;

/// Identifies the event stream that a checkpoint belongs to. Offsets of different streams cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointIdentity {
    /// The digest of the front in its deployment.
    deployment: String,
    /// The digest of what is new with each start of the front, when the bus begins to number from 1: the seed
    /// and the first event. Processes that replace each other have both in common.
    numbering: String,
}

impl CheckpointIdentity {
    /// The identity of the event stream of a front with this deployment digest, seed and first known event.
    pub fn new(deployment: &str, seed: u64, first_event: Option<&Value>) -> CheckpointIdentity {
        let first_event = first_event.map_or(String::new(), Value::to_string);
        CheckpointIdentity {
            deployment: deployment.into(),
            numbering: format!("{:016x}", Id::from_name(&format!("{seed:016x}{first_event}")).0),
        }
    }
}

/// The reason why a checkpoint is refused.
#[derive(Debug, thiserror::Error)]
pub enum CheckpointError {
    /// The first line is not that of a checkpoint.
    #[error("line 1 is not `{FORMAT_NAME} VERSION LENGTH CHECKSUM`")]
    Header,
    /// The format has another version.
    #[error("line 1: format version {0}; this release reads version {FORMAT_VERSION}")]
    Version(u32),
    /// The content is longer or shorter than the first line says.
    #[error("lines 2 and 3 have {found} bytes; line 1 says {expected}")]
    Length {
        /// The length that the first line gives, in bytes.
        expected: usize,
        /// The length of the content, in bytes.
        found: usize,
    },
    /// The content does not have the checksum that the first line gives.
    #[error("lines 2 and 3 have the checksum {found:08x}; line 1 says {expected:08x}")]
    Checksum {
        /// The checksum that the first line gives.
        expected: u32,
        /// The checksum of the content.
        found: u32,
    },
    /// There is no third line.
    #[error("line 3 is missing")]
    Lines,
    /// The second line is not valid JSON, or a key is missing or has an invalid value.
    #[error("line 2: {0}")]
    State(serde_json::Error),
    /// The third line is not valid JSON.
    #[error("line 3: {0}")]
    EndpointListText(serde_json::Error),
    /// The endpoint list is not valid.
    #[error("line 3: {0}")]
    EndpointList(JsonError),
    /// A purge is not valid.
    #[error("line 2: purges[{0}]: {1}")]
    Purge(usize, JsonError),
    /// The checkpoint belongs to another event stream.
    #[error("it belongs to another {0}")]
    OtherStream(&'static str),
}

/// A purge in a checkpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckpointPurge {
    /// The position of the purge among the events.
    pub position: WatchPosition,
    /// The purged object. `None` if the whole group is purged.
    pub object: Option<ObjectId>,
    /// The purged group; 0 if a purge of one object names no group.
    pub group: u64,
    /// The time since the purge, in milliseconds.
    pub age_ms: f64,
}

/// What the discovery watch has reported up to a position.
#[derive(Debug)]
pub struct WatchCheckpoint {
    /// The position of the last event that the checkpoint contains.
    pub position: WatchPosition,
    /// All nodes, departed ones included.
    pub nodes: Vec<ListedNode>,
    /// How long ago nodes that started recently did so, in milliseconds. Other nodes started long ago.
    pub start_ages_ms: BTreeMap<CacheId, f64>,
    /// The recent purges.
    pub purges: Vec<CheckpointPurge>,
}

/// The encoded endpoint list of a checkpoint, which is kept for as long as the nodes do not change.
#[derive(Debug)]
pub struct EncodedNodes(String);

/// The second line of a checkpoint.
#[derive(Serialize, Deserialize)]
struct StateLine {
    deployment: String,
    numbering: String,
    generation: u64,
    offset: u64,
    start_ages_ms: BTreeMap<String, f64>,
    purges: Vec<PurgeText>,
}

/// A purge in the second line.
#[derive(Serialize, Deserialize)]
struct PurgeText {
    generation: u64,
    offset: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    url: Option<String>,
    tag: u64,
    age_ms: f64,
}

/// The third line of a checkpoint, as it is written.
#[derive(Serialize)]
struct EndpointListLine<'a> {
    full: bool,
    servers: Vec<NodeText<'a>>,
}

/// The entry of a node, as the event bus sends it.
#[derive(Serialize)]
struct NodeText<'a> {
    id: &'a str,
    addr: Option<SocketAddr>,
    zone: Option<&'a String>,
    kind: Option<&'a String>,
    cell: i64,
    state: &'static str,
    weight: f64,
    started_ms: f64,
}

impl EncodedNodes {
    /// Encodes the nodes of a checkpoint.
    ///
    /// # Errors
    /// Returns an error if a value cannot be written as JSON.
    pub fn new(nodes: &[ListedNode], names: &Names) -> Result<EncodedNodes, serde_json::Error> {
        let servers = nodes.iter().map(|node| NodeText::of(node, names)).collect();
        serde_json::to_string(&EndpointListLine { full: true, servers }).map(EncodedNodes)
    }

    /// The third line of a checkpoint, without its end.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl NodeText<'_> {
    fn of<'a>(node: &'a ListedNode, names: &'a Names) -> NodeText<'a> {
        let entry = &node.entry;
        NodeText {
            id: &entry.cache.0,
            addr: node.addr,
            zone: entry.zone.and_then(|zone| names.zones.get(zone)),
            kind: entry.kind.and_then(|kind| names.kinds.get(kind)),
            cell: entry.cell,
            state: match entry.phase {
                Phase::In => "Ready",
                Phase::Draining => "Terminating",
                Phase::Out => "Gone",
            },
            weight: entry.weight,
            started_ms: entry.started_ms,
        }
    }
}

impl PurgeText {
    fn of(purge: &CheckpointPurge) -> PurgeText {
        PurgeText {
            generation: purge.position.generation,
            offset: purge.position.offset,
            url: purge.object.map(|object| format!("{:016x}", object.0)),
            tag: purge.group,
            age_ms: purge.age_ms,
        }
    }

    fn parse(&self) -> Result<CheckpointPurge, JsonError> {
        let not_hex = || JsonError::Field { key: "url".into(), problem: "not 16 hex digits" };
        let object = match &self.url {
            Some(url) => Some(ObjectId(u64::from_str_radix(url, 16).map_err(|_| not_hex())?)),
            None => None,
        };
        let position = WatchPosition { generation: self.generation, offset: self.offset };
        Ok(CheckpointPurge { position, object, group: self.tag, age_ms: self.age_ms })
    }
}

/// Encodes a checkpoint up to the end of its second line; the encoded nodes are the third.
///
/// # Errors
/// Returns an error if a value cannot be written as JSON.
pub fn encode(
    identity: &CheckpointIdentity,
    position: WatchPosition,
    nodes: &EncodedNodes,
    start_ages_ms: &BTreeMap<CacheId, f64>,
    purges: &[CheckpointPurge],
) -> Result<String, serde_json::Error> {
    let state = serde_json::to_string(&StateLine {
        deployment: identity.deployment.clone(),
        numbering: identity.numbering.clone(),
        generation: position.generation,
        offset: position.offset,
        start_ages_ms: start_ages_ms.iter().map(|(id, age)| (id.0.to_string(), *age)).collect(),
        purges: purges.iter().map(PurgeText::of).collect(),
    })?;
    let state = state + "\n";
    let checksum = crc32c::crc32c_append(crc32c::crc32c(state.as_bytes()), nodes.as_bytes());
    let length = state.len() + nodes.as_bytes().len();
    Ok(format!("{FORMAT_NAME} {FORMAT_VERSION} {length} {checksum:08x}\n{state}"))
}

/// Decodes the checkpoint of the event stream with this identity. `names` are those of the front's settings.
///
/// # Errors
/// Returns an error if the checkpoint is damaged, incomplete, of another version or of another event stream.
pub fn decode(
    bytes: &[u8],
    identity: &CheckpointIdentity,
    names: &Names,
) -> Result<WatchCheckpoint, CheckpointError> {
    let content = checked_content(bytes)?;
    let state_end = content.iter().position(|b| *b == b'\n').ok_or(CheckpointError::Lines)?;
    let state: StateLine = serde_json::from_slice(&content[..state_end]).map_err(CheckpointError::State)?;
    if state.deployment != identity.deployment {
        return Err(CheckpointError::OtherStream("front or deployment"));
    }
    if state.numbering != identity.numbering {
        return Err(CheckpointError::OtherStream("start of the front, with a numbering of its own"));
    }
    let list: &RawValue =
        serde_json::from_slice(&content[state_end + 1..]).map_err(CheckpointError::EndpointListText)?;
    let nodes = match watch_event::parse_endpoint_list(list, names) {
        Ok(WatchEvent::EndpointList { nodes, .. }) => nodes,
        Ok(_) => Vec::new(),
        Err(e) => return Err(CheckpointError::EndpointList(e)),
    };
    let purges = state.purges.iter().enumerate();
    let purges = purges.map(|(n, purge)| purge.parse().map_err(|e| CheckpointError::Purge(n, e)));
    let ages = state.start_ages_ms.into_iter();
    Ok(WatchCheckpoint {
        position: WatchPosition { generation: state.generation, offset: state.offset },
        nodes,
        start_ages_ms: ages.map(|(id, age)| (CacheId::from(id.as_str()), age)).collect(),
        purges: purges.collect::<Result<_, _>>()?,
    })
}

/// Returns the content after the first line, once its version, length and checksum are checked.
fn checked_content(bytes: &[u8]) -> Result<&[u8], CheckpointError> {
    let line_end = bytes.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n');
    let (header, content) = bytes.split_at(line_end.ok_or(CheckpointError::Header)?);
    let header = std::str::from_utf8(header).map_err(|_| CheckpointError::Header)?;
    let fields = header.strip_prefix(FORMAT_NAME).ok_or(CheckpointError::Header)?;
    let mut fields = fields.split_ascii_whitespace();
    let version = fields.next().and_then(|text| text.parse().ok()).ok_or(CheckpointError::Header)?;
    if version != FORMAT_VERSION {
        return Err(CheckpointError::Version(version));
    }
    let length = fields.next().and_then(|text| text.parse().ok()).ok_or(CheckpointError::Header)?;
    let checksum = fields.next().and_then(|text| u32::from_str_radix(text, 16).ok());
    let checksum = checksum.ok_or(CheckpointError::Header)?;
    let content = &content[1..];
    if content.len() != length {
        return Err(CheckpointError::Length { expected: length, found: content.len() });
    }
    match crc32c::crc32c(content) {
        found if found != checksum => Err(CheckpointError::Checksum { expected: checksum, found }),
        _ => Ok(content),
    }
}

#[cfg(test)]
mod tests;
