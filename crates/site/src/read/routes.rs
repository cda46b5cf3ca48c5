//! Reading of `routes` nodes: a set of routing rules and the hosts that it applies to.

use crate::fields::{NodeReader, SpannedText};
use crate::model::{Route, RouteSet, Site, Target};
use crate::problems::Problems;
use crate::spans::{RouteSpans, SourceSpans};
use kdl::KdlNode;

pub(super) fn read_routes(mut reader: NodeReader<'_, '_, '_>, site: &mut Site, spans: &mut SourceSpans) {
    spans.route_sets.push(reader.span());
    let mut set = RouteSet {
        hosts: Vec::new(),
        order: reader.keyword_property("order"),
        inherit: reader.bool_property("inherit"),
        rules: Vec::new(),
    };
    let mut rule_spans = Vec::new();
    for node in reader.known_children(&["host", "route"]) {
        if node.name().value() == "host" {
            let mut reader = NodeReader::new(node, reader.problems);
            set.hosts.extend(reader.text_arguments("a host").iter().map(|h| h.text.to_string()));
            reader.finish();
            continue;
        }
        if let Some((rule, at)) = read_route(node, reader.problems) {
            set.rules.push(rule);
            rule_spans.push(at);
        }
    }
    reader.finish();
    site.routes.push(set);
    spans.routes.push(rule_spans);
}

fn read_route(node: &KdlNode, problems: &mut Problems<'_>) -> Option<(Route, RouteSpans)> {
    let mut reader = NodeReader::new(node, problems);
    let pattern = reader.text_argument("a path");
    let matching = reader.keyword_property("match");
    let pool = reader.text_property("pool");
    let exclude = reader.bool_property("exclude").unwrap_or(false);
    let rewrite = reader.owned_text_property("rewrite");
    let target = match (exclude, pool) {
        (true, p) => Target::Exclude(p.map(|p| p.text.into())),
        (false, Some(p)) => Target::Pool(p.text.into()),
        (false, None) => {
            let (span, hint) = (reader.span(), "set pool=\"…\" or exclude=#true".to_string());
            reader.problems.add_error(span, "`route` has neither a pool nor an exclusion", Some(hint));
            Target::Exclude(None)
        }
    };
    let target_span = pool.map_or(reader.span(), |p| p.span);
    reader.finish();
    let SpannedText { text: pattern, span } = pattern?;
    let spans = RouteSpans { pattern: span, target: target_span };
    Some((Route { pattern: pattern.into(), matching, target, rewrite }, spans))
}
