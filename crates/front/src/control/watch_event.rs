//! Parses the events of the discovery watch, endpoint-list updates and purges, from JSON. Uses no sockets and
//! holds no state.

use fernslip::json::{self, JsonError, Names};
use fernslip::{CacheId, Entry, ObjectId, Phase};
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a part of a line that is parsed as a whole, in bytes: the entry of a node, or a purge.
/// Parsed JSON takes many times the memory of its text.
const MAX_PARSED_BYTES: usize = 4 * 1024;
/// Maximum number of entries of an endpoint list: four generations of the 3,200 nodes of the largest fleet.
pub const MAX_LISTED_NODES: usize = 4 * 3_200;

/// A cache node as an endpoint-list event lists it.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// The node's entry for the endpoint list; `started_ms` is Unix time until the event is applied.
    pub entry: Entry,
    /// The address on which the node listens. `None` if the event has no valid address for it.
    pub addr: Option<SocketAddr>,
}

/// A parsed event of the discovery watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// An update of the endpoint list.
    EndpointList {
        /// Whether `nodes` is the complete list; if false, it has only the nodes that changed.
        full: bool,
        /// The listed or changed cache nodes.
        nodes: Vec<ListedNode>,
    },
    /// A purge of one object, or of a whole group if `object` is `None`.
    Purge {
        /// The purged object. `None` if the whole group is purged.
        object: Option<ObjectId>,
        /// The purged group; 0 if a purge of one object names no group.
        group: u64,
        /// The time of the purge, as Unix time in milliseconds.
        unix_ms: f64,
    },
    /// An event of a kind that this version does not know.
    Unknown,
}

/// An event of which only the outermost keys are parsed.
#[derive(Debug, Deserialize)]
pub struct EventText<'a> {
    #[serde(borrow)]
    offset: Option<&'a RawValue>,
    #[serde(borrow)]
    topology: Option<&'a RawValue>,
    #[serde(borrow)]
    ban: Option<&'a RawValue>,
}

/// An endpoint list, of which only the outermost keys are parsed.
#[derive(Deserialize)]
struct EndpointListText<'a> {
    #[serde(borrow)]
    full: Option<&'a RawValue>,
    #[serde(borrow)]
    servers: Option<&'a RawValue>,
}

/// What a line of the event bus holds.
#[derive(Debug)]
pub enum Line<'a> {
    /// The bus's last offset.
    LastOffset(u64),
    /// An event with its offset.
    Event(u64, EventText<'a>),
}

/// Splits a line of the event bus; `None` if it holds neither an offset nor an event with one.
pub fn split_line(line: &[u8]) -> Option<Line<'_>> {
    let line: &RawValue = serde_json::from_slice(line).ok()?;
    if !line.get().starts_with('{') {
        return serde_json::from_str(line.get()).ok().map(Line::LastOffset);
    }
    let event: EventText<'_> = serde_json::from_str(line.get()).ok()?;
    let offset = serde_json::from_str(event.offset?.get()).ok()?;
    Some(Line::Event(offset, event))
}

impl EventText<'_> {
    /// Parses the event; the start times of its nodes stay in Unix milliseconds. The entries of an endpoint
    /// list are parsed one after another, so that the text takes little memory besides its own.
    ///
    /// # Errors
    /// Returns an error if a required field is missing or has an invalid value.
    pub fn parse(&self, names: &Names) -> Result<WatchEvent, JsonError> {
        let is_object = |text: &&RawValue| text.get().starts_with('{');
        if let Some(list) = self.topology.filter(is_object) {
            return parse_endpoint_list(list, names);
        }
        match self.ban.filter(is_object) {
            Some(purge) => parse_purge(&parse_part(purge, "ban")?),
            None => Ok(WatchEvent::Unknown),
        }
    }
}

/// Parses an endpoint list as the bus sends it under `topology`.
///
/// # Errors
/// Returns an error if a required field is missing or has an invalid value, or if the list is too long.
pub fn parse_endpoint_list(list: &RawValue, names: &Names) -> Result<WatchEvent, JsonError> {
    let not_an_array = || JsonError::Field { key: "servers".into(), problem: "not an array" };
    let list: EndpointListText<'_> = serde_json::from_str(list.get()).map_err(|_| not_an_array())?;
    let servers = list.servers.ok_or_else(not_an_array)?;
    let mut error = None;
    let visitor = NodesVisitor { names, error: &mut error };
    let nodes = serde_json::Deserializer::from_str(servers.get()).deserialize_seq(visitor);
    let nodes = nodes.map_err(|_| error.unwrap_or_else(not_an_array))?;
    Ok(WatchEvent::EndpointList { full: list.full.is_some_and(|full| full.get() == "true"), nodes })
}

/// Parses the entries of an endpoint list one after another, up to the first that is invalid.
struct NodesVisitor<'a> {
    names: &'a Names,
    /// What is wrong with the first invalid entry.
    error: &'a mut Option<JsonError>,
}

impl<'de> Visitor<'de> for NodesVisitor<'_> {
    type Value = Vec<ListedNode>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of cache nodes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<ListedNode>, A::Error> {
        let mut nodes = Vec::new();
        while let Some(entry) = entries.next_element::<&RawValue>()? {
            let node = match nodes.len() {
                0..MAX_LISTED_NODES => {
                    parse_part(entry, "servers").and_then(|entry| parse_node(&entry, self.names))
                }
                _ => Err(JsonError::Field { key: "servers".into(), problem: "too long" }),
            };
            match node {
                Ok(node) => nodes.push(node),
                Err(e) => {
                    *self.error = Some(e);
                    return Err(serde::de::Error::custom("an entry is invalid"));
                }
            }
        }
        Ok(nodes)
    }
}

/// Parses a part of a line that is not too long for it.
fn parse_part(text: &RawValue, key: &str) -> Result<Value, JsonError> {
    if text.get().len() > MAX_PARSED_BYTES {
        return Err(JsonError::Field { key: key.into(), problem: "too long" });
    }
    serde_json::from_str(text.get()).map_err(|_| JsonError::Field { key: key.into(), problem: "not valid" })
}

/// Parses an event of the configuration, like [`EventText::parse`].
///
/// # Errors
/// Returns the errors of [`EventText::parse`], and one if the event is not an object.
pub fn parse_event(event: &Value, names: &Names) -> Result<WatchEvent, JsonError> {
    let text = event.to_string();
    let not_an_object = |_| JsonError::Field { key: "event".into(), problem: "not an object" };
    let event: EventText<'_> = serde_json::from_str(&text).map_err(not_an_object)?;
    event.parse(names)
}

fn parse_node(node: &Value, names: &Names) -> Result<ListedNode, JsonError> {
    let index_of = |all: &[String], name: &Value| name.as_str().and_then(|n| all.iter().position(|x| x == n));
    let entry = Entry {
        cache: CacheId::from(json::string_field(node, "id")?),
        weight: json::number_field_or_zero(node, "weight")?,
        zone: index_of(&names.zones, &node["zone"]),
        kind: index_of(&names.kinds, &node["kind"]),
        cell: node["cell"].as_i64().unwrap_or(0),
        started_ms: json::number_field_or_zero(node, "started_ms")?,
        phase: match json::string_field(node, "state")? {
            "Ready" => Phase::In,
            "Terminating" => Phase::Draining,
            "Gone" => Phase::Out,
            other => return Err(json::unknown_keyword("state", other)),
        },
    };
    Ok(ListedNode { entry, addr: node["addr"].as_str().and_then(|a| a.parse().ok()) })
}

fn parse_purge(purge: &Value) -> Result<WatchEvent, JsonError> {
    let object = match &purge["url"] {
        Value::Null => None,
        _ => Some(ObjectId(json::hex_field(purge, "url")?)),
    };
    let group = if object.is_some() {
        json::number_field_or_zero(purge, "tag")?
    } else {
        json::number_field(purge, "tag")?
    };
    Ok(WatchEvent::Purge { object, group: group as u64, unix_ms: json::number_field(purge, "ts")? })
}

#[cfg(test)]
mod tests;
