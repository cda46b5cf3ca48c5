//! `member`, with its limits.

use super::name::{unique_name, MAX_WEIGHT};
use crate::fields::Fields;
use crate::model::{Member, MemberLimits, Site, State};
use crate::spans::SourceSpans;

pub(super) fn read_member(mut f: Fields<'_, '_, '_>, site: &mut Site, spans: &mut SourceSpans) {
    let id = unique_name(&mut f, &mut spans.members);
    let address = f.text("address");
    let address = f.required("address", address);
    let zone = f.text("zone");
    let mut m = Member {
        id,
        address: address.map_or(String::new(), |a| a.text.into()),
        protocol: f.keyword("protocol"),
        path: f.owned("path"),
        kind: f.keyword("kind"),
        weight: f.number("weight", 1e-6, MAX_WEIGHT),
        state: f.keyword("state").unwrap_or(State::Ready),
        zone: zone.map(|z| z.text.into()),
        link_kb_per_s: f.number("link-kb-per-s", 0.001, 1e12),
        limits: MemberLimits::default(),
    };
    spans.addresses.push(address.map_or(f.span(), |a| a.span));
    spans.member_zones.push(zone.map(|z| z.span));
    for node in f.children(&["limits"]) {
        let mut f = Fields::new(node, f.problems);
        m.limits = MemberLimits {
            connections: f.integer("connections", 1..=1 << 24),
            in_flight: f.integer("in-flight", 1..=1 << 24),
            connect_ms: f.ms("connect-ms"),
            answer_ms: f.ms("answer-ms"),
            idle_ms: f.ms("idle-ms"),
        };
        f.done();
    }
    f.done();
    site.members.push(m);
}
