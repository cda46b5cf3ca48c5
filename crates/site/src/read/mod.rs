//! Conversion of KDL nodes to the model. After a mistake, reading continues with an empty value in place of
//! the invalid one; the model is then used only to find further mistakes.

mod front;
mod member;
mod name;
mod pool;
mod routes;

use crate::fields::{known_nodes, name_span, NodeReader};
use crate::model::{Class, GossipPeers, Site, Zone};
use crate::problems::Problems;
use crate::spans::SourceSpans;
use kdl::KdlDocument;
use miette::SourceSpan;
use name::unique_name;
use std::collections::HashMap;

/// The names of the nodes at the top level of a document.
const TOP_LEVEL_NODES: [&str; 9] =
    ["site", "front", "zone", "class", "member", "pool", "routes", "gossip", "view"];
/// The names of the top-level nodes that a document may contain at most once.
const SINGLETON_NODES: [&str; 4] = ["site", "front", "gossip", "view"];

/// Reads the nodes of a document; returns the model and the positions that the checks need.
pub(crate) fn read_document(document: &KdlDocument, problems: &mut Problems<'_>) -> (Site, SourceSpans) {
    let (mut site, mut spans) = (Site::default(), SourceSpans::default());
    let mut singletons: HashMap<&str, SourceSpan> = HashMap::new();
    for node in known_nodes(document, "the document", &TOP_LEVEL_NODES, problems) {
        let label = node.name().value();
        if SINGLETON_NODES.contains(&label) && singletons.insert(label, name_span(node)).is_some() {
            problems.add_error(name_span(node), format!("node `{label}` occurs more than once"), None);
        }
        let reader = NodeReader::new(node, problems);
        match label {
            "site" => read_site(reader, &mut site),
            "front" => site.front = Some(front::read_front(reader, &mut spans)),
            "zone" => site.zones.push(read_zone(reader, &mut spans)),
            "class" => site.classes.push(read_class(reader, &mut spans)),
            "gossip" => site.gossip = Some(front::read_gossip(reader)),
            "view" => site.view = Some(front::read_view(reader)),
            "member" => member::read_member(reader, &mut site, &mut spans),
            "pool" => pool::read_pool(reader, &mut site, &mut spans),
            _ => routes::read_routes(reader, &mut site, &mut spans),
        }
    }
    let peers_from_view = site.gossip.as_ref().is_some_and(|g| g.peers == Some(GossipPeers::View));
    if let Some(span) = singletons.get("gossip").filter(|_| peers_from_view && site.view.is_none()) {
        problems.add_error(*span, "`gossip peers=\"view\"` requires a `view` node", None);
    }
    (site, spans)
}

fn read_site(mut reader: NodeReader<'_, '_, '_>, site: &mut Site) {
    if let Some(name) = reader.text_argument("a name") {
        site.name = name.text.into();
    }
    site.members_from = reader.keyword_property("members-from");
    reader.finish();
}

fn read_zone(mut reader: NodeReader<'_, '_, '_>, spans: &mut SourceSpans) -> Zone {
    let name = unique_name(&mut reader, &mut spans.zones);
    let zone = Zone {
        name,
        link_in_kb_per_s: reader.number_property("link-in-kb-per-s", 0.0, 1e12),
        fronts: reader.integer_property("fronts", 1..=100_000),
    };
    reader.finish();
    zone
}

fn read_class(mut reader: NodeReader<'_, '_, '_>, spans: &mut SourceSpans) -> Class {
    let name = unique_name(&mut reader, &mut spans.classes);
    let objective = reader.milliseconds_property("aim-ms");
    let deadline = reader.milliseconds_property("deadline-ms");
    let class = Class {
        name,
        latency_objective_ms: reader.require("aim-ms", objective).unwrap_or(0),
        objective_stretch: reader.number_property("aim-stretch", 0.0, 1000.0),
        deadline_ms: reader.require("deadline-ms", deadline).unwrap_or(0),
        priority_weight: reader.number_property("worth", 0.0, 1e9),
        late_weight: reader.number_property("late-worth", 0.0, 1.0),
        effect: reader.keyword_property("effect"),
        write: reader.bool_property("write"),
        fresh_ms: reader.milliseconds_property("fresh-ms"),
        grace_ms: reader.milliseconds_property("grace-ms"),
    };
    reader.finish();
    class
}
