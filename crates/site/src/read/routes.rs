//! `routes`: a set of rules, and the hosts that it is for.

use crate::fields::{Fields, Spanned};
use crate::model::{Route, RouteSet, Site, Target};
use crate::problems::Problems;
use crate::spans::{RouteSpans, SourceSpans};
use kdl::KdlNode;

pub(super) fn read_routes(mut f: Fields<'_, '_, '_>, site: &mut Site, spans: &mut SourceSpans) {
    spans.route_sets.push(f.span());
    let mut set = RouteSet {
        hosts: Vec::new(),
        order: f.keyword("order"),
        inherit: f.flag("inherit"),
        rules: Vec::new(),
    };
    let mut rule_spans = Vec::new();
    for node in f.children(&["host", "route"]) {
        if node.name().value() == "host" {
            let mut f = Fields::new(node, f.problems);
            set.hosts.extend(f.args("a host").iter().map(|h| h.text.to_string()));
            f.done();
            continue;
        }
        if let Some((rule, at)) = read_route(node, f.problems) {
            set.rules.push(rule);
            rule_spans.push(at);
        }
    }
    f.done();
    site.routes.push(set);
    spans.routes.push(rule_spans);
}

fn read_route(node: &KdlNode, problems: &mut Problems<'_>) -> Option<(Route, RouteSpans)> {
    let mut f = Fields::new(node, problems);
    let pattern = f.arg("a path");
    let matching = f.keyword("match");
    let pool = f.text("pool");
    let exclude = f.flag("exclude").unwrap_or(false);
    let rewrite = f.owned("rewrite");
    let target = match (exclude, pool) {
        (true, p) => Target::Exclude(p.map(|p| p.text.into())),
        (false, Some(p)) => Target::Pool(p.text.into()),
        (false, None) => {
            let (span, hint) = (f.span(), "write pool=\"…\" or exclude=#true".to_string());
            f.problems.error(span, "`route` leads nowhere", Some(hint));
            Target::Exclude(None)
        }
    };
    let target_span = pool.map_or(f.span(), |p| p.span);
    f.done();
    let Spanned { text: pattern, span } = pattern?;
    let spans = RouteSpans { pattern: span, target: target_span };
    Some((Route { pattern: pattern.into(), matching, target, rewrite }, spans))
}
