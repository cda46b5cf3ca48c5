//! KDL nodes to the model, every mistake at once. Reading goes on after a mistake with an empty value in its place; the
//! model is then used for nothing but finding further mistakes.

mod front;
mod member;
mod name;
mod pool;
mod routes;

use crate::fields::{known_nodes, name_span, Fields};
use crate::model::{Class, GossipPeers, Site, Zone};
use crate::problems::Problems;
use crate::spans::SourceSpans;
use kdl::KdlDocument;
use miette::SourceSpan;
use name::unique_name;
use std::collections::HashMap;

const TOP_LEVEL: [&str; 9] = ["site", "front", "zone", "class", "member", "pool", "routes", "gossip", "view"];
/// Nodes that a document has at most once.
const SINGLETONS: [&str; 4] = ["site", "front", "gossip", "view"];

/// Reads a document's nodes; where each stands is kept for the checks.
pub(crate) fn read_document(document: &KdlDocument, problems: &mut Problems<'_>) -> (Site, SourceSpans) {
    let (mut site, mut spans) = (Site::default(), SourceSpans::default());
    let mut singletons: HashMap<&str, SourceSpan> = HashMap::new();
    for node in known_nodes(document, "a site", &TOP_LEVEL, problems) {
        let label = node.name().value();
        if SINGLETONS.contains(&label) && singletons.insert(label, name_span(node)).is_some() {
            problems.error(name_span(node), format!("`{label}` is there twice"), None);
        }
        let f = Fields::new(node, problems);
        match label {
            "site" => read_site(f, &mut site),
            "front" => site.front = Some(front::read_front(f, &mut spans)),
            "zone" => site.zones.push(read_zone(f, &mut spans)),
            "class" => site.classes.push(read_class(f, &mut spans)),
            "gossip" => site.gossip = Some(front::read_gossip(f)),
            "view" => site.view = Some(front::read_view(f)),
            "member" => member::read_member(f, &mut site, &mut spans),
            "pool" => pool::read_pool(f, &mut site, &mut spans),
            _ => routes::read_routes(f, &mut site, &mut spans),
        }
    }
    let peers_from_view = site.gossip.as_ref().is_some_and(|g| g.peers == Some(GossipPeers::View));
    if let Some(span) = singletons.get("gossip").filter(|_| peers_from_view && site.view.is_none()) {
        problems.error(*span, "`gossip peers=\"view\"` needs a `view`", None);
    }
    (site, spans)
}

fn read_site(mut f: Fields<'_, '_, '_>, site: &mut Site) {
    if let Some(name) = f.arg("a name") {
        site.name = name.text.into();
    }
    site.members_from = f.keyword("members-from");
    f.done();
}

fn read_zone(mut f: Fields<'_, '_, '_>, spans: &mut SourceSpans) -> Zone {
    let name = unique_name(&mut f, &mut spans.zones);
    let zone = Zone {
        name,
        link_in_kb_per_s: f.number("link-in-kb-per-s", 0.0, 1e12),
        fronts: f.integer("fronts", 1..=100_000),
    };
    f.done();
    zone
}

fn read_class(mut f: Fields<'_, '_, '_>, spans: &mut SourceSpans) -> Class {
    let name = unique_name(&mut f, &mut spans.classes);
    let objective = f.ms("aim-ms");
    let deadline = f.ms("deadline-ms");
    let class = Class {
        name,
        latency_objective_ms: f.required("aim-ms", objective).unwrap_or(0),
        objective_stretch: f.number("aim-stretch", 0.0, 1000.0),
        deadline_ms: f.required("deadline-ms", deadline).unwrap_or(0),
        priority_weight: f.number("worth", 0.0, 1e9),
        late_weight: f.number("late-worth", 0.0, 1.0),
        effect: f.keyword("effect"),
        write: f.flag("write"),
        fresh_ms: f.ms("fresh-ms"),
        grace_ms: f.ms("grace-ms"),
    };
    f.done();
    class
}
