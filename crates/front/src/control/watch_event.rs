//! Parses the events of the discovery watch, endpoint-list updates and purges, from JSON. Uses no sockets and
//! holds no state.

use fernslip::json::{self, JsonError, Names};
use fernslip::{CacheId, Entry, ObjectId, Phase};
use serde_json::Value;
use std::net::SocketAddr;

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

/// Parses an event; the start times of its nodes stay in Unix milliseconds.
///
/// # Errors
/// Returns an error if a required field is missing or has an invalid value.
pub fn parse_event(event: &Value, names: &Names) -> Result<WatchEvent, JsonError> {
    let (list, purge) = (&event["topology"], &event["ban"]);
    if list.is_object() {
        let nodes = json::array_field(list, "servers")?
            .iter()
            .map(|n| parse_node(n, names))
            .collect::<Result<_, _>>()?;
        return Ok(WatchEvent::EndpointList { full: list["full"].as_bool().unwrap_or(false), nodes });
    }
    if purge.is_object() {
        return parse_purge(purge);
    }
    Ok(WatchEvent::Unknown)
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
