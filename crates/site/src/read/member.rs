//! Reading of `member` nodes and their limits.

use super::name::{unique_name, MAX_WEIGHT};
use crate::fields::NodeReader;
use crate::model::{Member, MemberLimits, Site, State};
use crate::spans::SourceSpans;

pub(super) fn read_member(mut reader: NodeReader<'_, '_, '_>, site: &mut Site, spans: &mut SourceSpans) {
    let id = unique_name(&mut reader, &mut spans.members);
    let address = reader.text_property("address");
    let address = reader.require("address", address);
    let zone = reader.text_property("zone");
    let mut m = Member {
        id,
        address: address.map_or(String::new(), |a| a.text.into()),
        protocol: reader.keyword_property("protocol"),
        path: reader.owned_text_property("path"),
        kind: reader.keyword_property("kind"),
        weight: reader.number_property("weight", 1e-6, MAX_WEIGHT),
        state: reader.keyword_property("state").unwrap_or(State::Ready),
        zone: zone.map(|z| z.text.into()),
        link_kb_per_s: reader.number_property("link-kb-per-s", 0.001, 1e12),
        limits: MemberLimits::default(),
    };
    spans.addresses.push(address.map_or(reader.span(), |a| a.span));
    spans.member_zones.push(zone.map(|z| z.span));
    for node in reader.known_children(&["limits"]) {
        let mut reader = NodeReader::new(node, reader.problems);
        m.limits = MemberLimits {
            connections: reader.integer_property("connections", 1..=1 << 24),
            in_flight: reader.integer_property("in-flight", 1..=1 << 24),
            connect_ms: reader.milliseconds_property("connect-ms"),
            answer_ms: reader.milliseconds_property("answer-ms"),
            idle_ms: reader.milliseconds_property("idle-ms"),
        };
        reader.finish();
    }
    reader.finish();
    site.members.push(m);
}
