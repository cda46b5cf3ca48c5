//! The events of the discovery watch: endpoint-list updates and purges, parsed from their JSON. No sockets, no state.

use fernslip::json::{self, JsonError, Names};
use fernslip::{CacheId, Entry, ObjectId, Phase};
use serde_json::Value;
use std::net::SocketAddr;

/// A cache node of an endpoint-list event.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// The node's entry; its `started_ms` is Unix time until the event is applied.
    pub entry: Entry,
    /// Where the node listens; `None`: the event has no usable address for it.
    pub addr: Option<SocketAddr>,
}

/// A parsed event.
#[derive(Debug)]
pub enum WatchEvent {
    /// An endpoint-list update.
    EndpointList {
        /// Whether this is the complete list, or only the nodes that changed.
        full: bool,
        /// The nodes.
        nodes: Vec<ListedNode>,
    },
    /// A purge of one object, or with `object: None` of a group.
    Purge {
        /// The purged object.
        object: Option<ObjectId>,
        /// The purged group.
        group: u64,
        /// Unix time of the purge in milliseconds.
        unix_ms: f64,
    },
    /// An event of a kind that this version does not know.
    Unknown,
}

/// Parses an event; the start times of its nodes stay Unix milliseconds.
///
/// # Errors
/// A field is missing or has a value that no event has.
pub fn parse(event: &Value, names: &Names) -> Result<WatchEvent, JsonError> {
    let (list, purge) = (&event["topology"], &event["ban"]);
    if list.is_object() {
        let nodes =
            json::list(list, "servers")?.iter().map(|n| parse_node(n, names)).collect::<Result<_, _>>()?;
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
        cache: CacheId::from(json::text(node, "id")?),
        weight: json::number_or_zero(node, "weight")?,
        zone: index_of(&names.zones, &node["zone"]),
        kind: index_of(&names.kinds, &node["kind"]),
        cell: node["cell"].as_i64().unwrap_or(0),
        started_ms: json::number_or_zero(node, "started_ms")?,
        phase: match json::text(node, "state")? {
            "Ready" => Phase::In,
            "Terminating" => Phase::Draining,
            "Gone" => Phase::Out,
            other => return Err(json::unknown("state", other)),
        },
    };
    Ok(ListedNode { entry, addr: node["addr"].as_str().and_then(|a| a.parse().ok()) })
}

fn parse_purge(purge: &Value) -> Result<WatchEvent, JsonError> {
    let object = match &purge["url"] {
        Value::Null => None,
        _ => Some(ObjectId(json::hex(purge, "url")?)),
    };
    let group =
        if object.is_some() { json::number_or_zero(purge, "tag")? } else { json::number(purge, "tag")? };
    Ok(WatchEvent::Purge { object, group: group as u64, unix_ms: json::number(purge, "ts")? })
}

#[cfg(test)]
mod tests;
