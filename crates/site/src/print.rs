//! Printing of the model as KDL, in one canonical form that parses to the same model, and as JSON.

use crate::model::*;
use kdl::KdlValue;
use std::fmt::Write;

/// A writer for one node: its name, arguments and properties on one line.
struct NodeWriter<'o> {
    out: &'o mut String,
}

impl<'o> NodeWriter<'o> {
    fn new(out: &'o mut String, depth: usize, name: &str) -> NodeWriter<'o> {
        out.extend(std::iter::repeat_n("    ", depth));
        out.push_str(name);
        NodeWriter { out }
    }

    fn write_value(&mut self, value: KdlValue) {
        // The KDL library's own form of a value, which its parser accepts.
        let _ = write!(self.out, "{value}");
    }

    fn argument(mut self, text: &str) -> Self {
        self.out.push(' ');
        self.write_quoted(text);
        self
    }

    /// Writes a string in quotes, also where KDL allows a bare identifier, so that all strings look the same.
    fn write_quoted(&mut self, text: &str) {
        self.out.push('"');
        for c in text.chars() {
            match c {
                '"' => self.out.push_str("\\\""),
                '\\' => self.out.push_str("\\\\"),
                '\n' => self.out.push_str("\\n"),
                '\r' => self.out.push_str("\\r"),
                '\t' => self.out.push_str("\\t"),
                // Control and text-direction characters, which KDL does not allow unescaped, and other line
                // ends.
                c if c.is_control()
                    || matches!(c, '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2028}'
                        | '\u{2029}' | '\u{2066}'..='\u{2069}' | '\u{feff}') =>
                {
                    let _ = write!(self.out, "\\u{{{:x}}}", c as u32);
                }
                c => self.out.push(c),
            }
        }
        self.out.push('"');
    }

    fn write_property_name(&mut self, name: &str) {
        self.out.push(' ');
        self.out.push_str(name);
        self.out.push('=');
    }

    fn text_property(mut self, name: &str, value: Option<&str>) -> Self {
        if let Some(value) = value {
            self.write_property_name(name);
            self.write_quoted(value);
        }
        self
    }

    fn keyword_property<K: Keyword>(self, name: &str, value: Option<K>) -> Self {
        self.text_property(name, value.map(Keyword::keyword))
    }

    fn integer_property(mut self, name: &str, value: Option<u64>) -> Self {
        if let Some(value) = value {
            self.write_property_name(name);
            self.write_value(KdlValue::Integer(value.into()));
        }
        self
    }

    fn number_property(mut self, name: &str, value: Option<f64>) -> Self {
        if let Some(value) = value {
            self.write_property_name(name);
            self.write_value(KdlValue::Float(value));
        }
        self
    }

    fn bool_property(mut self, name: &str, value: Option<bool>) -> Self {
        if let Some(value) = value {
            self.write_property_name(name);
            self.write_value(KdlValue::Bool(value));
        }
        self
    }

    /// Ends the line of a node without children.
    fn end_line(self) {
        self.out.push('\n');
    }

    /// Ends the line with the brace that opens the block of children; the caller closes the block.
    fn open_block(self) {
        self.out.push_str(" {\n");
    }
}

impl Site {
    /// Prints the model as a document. Parsing the document gives the same model, provided that the model is
    /// one that a document can describe.
    pub fn to_kdl(&self) -> String {
        let mut text = String::new();
        let out = &mut text;
        NodeWriter::new(out, 0, "site")
            .argument(&self.name)
            .keyword_property("members-from", self.members_from)
            .end_line();
        self.front.iter().for_each(|f| print_front(out, f));
        self.zones.iter().for_each(|z| print_zone(out, z));
        self.classes.iter().for_each(|c| print_class(out, c));
        self.members.iter().for_each(|m| print_member(out, m));
        self.pools.iter().for_each(|p| print_pool(out, p));
        self.routes.iter().for_each(|r| print_routes(out, r));
        self.gossip.iter().for_each(|g| print_gossip(out, g));
        self.view.iter().for_each(|v| print_view(out, v));
        text
    }

    /// Prints the model as JSON, with the keys that are documented for `show --format json`.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn print_front(out: &mut String, front: &Front) {
    NodeWriter::new(out, 0, "front")
        .argument(&front.name)
        .text_property("listen", Some(&front.listen))
        .text_property("zone", front.zone.as_deref())
        .integer_property("memory-mb", front.memory_mb)
        .integer_property("sockets", front.sockets)
        .number_property("stream-kb-per-s", front.stream_kb_per_s)
        .end_line();
}

fn print_zone(out: &mut String, zone: &Zone) {
    NodeWriter::new(out, 0, "zone")
        .argument(&zone.name)
        .number_property("link-in-kb-per-s", zone.link_in_kb_per_s)
        .integer_property("fronts", zone.fronts)
        .end_line();
}

fn print_class(out: &mut String, class: &Class) {
    NodeWriter::new(out, 0, "class")
        .argument(&class.name)
        .integer_property("aim-ms", Some(class.latency_objective_ms))
        .number_property("aim-stretch", class.objective_stretch)
        .integer_property("deadline-ms", Some(class.deadline_ms))
        .number_property("worth", class.priority_weight)
        .number_property("late-worth", class.late_weight)
        .keyword_property("effect", class.effect)
        .bool_property("write", class.write)
        .integer_property("fresh-ms", class.fresh_ms)
        .integer_property("grace-ms", class.grace_ms)
        .end_line();
}

fn print_gossip(out: &mut String, gossip: &Gossip) {
    NodeWriter::new(out, 0, "gossip")
        .text_property("listen", Some(&gossip.listen))
        .text_property("key-file", Some(&gossip.key_file))
        .text_property("control", gossip.control.as_deref())
        .integer_property("bytes-per-s", gossip.bytes_per_s)
        .integer_property("burst-bytes", gossip.burst_bytes)
        .integer_property("skew-ms", gossip.skew_ms)
        .text_property("advertise", gossip.advertise.as_deref())
        .keyword_property("peers", gossip.peers)
        .open_block();
    gossip.seeds.iter().for_each(|s| NodeWriter::new(out, 1, "seed").argument(s).end_line());
    gossip.fronts.iter().for_each(|n| NodeWriter::new(out, 1, "front").argument(n).end_line());
    out.push_str("}\n");
}

fn print_view(out: &mut String, view: &FleetView) {
    NodeWriter::new(out, 0, "view")
        .text_property("listen", Some(&view.listen))
        .text_property("advertise", view.advertise.as_deref())
        .text_property("key-file", Some(&view.key_file))
        .text_property("control", view.control.as_deref())
        .text_property("store", view.store.as_deref())
        .integer_property("watchers", view.watchers)
        .integer_property("bytes-per-s", view.bytes_per_s)
        .integer_property("burst-bytes", view.burst_bytes)
        .open_block();
    view.seeds.iter().for_each(|s| NodeWriter::new(out, 1, "seed").argument(s).end_line());
    out.push_str("}\n");
}

fn print_member(out: &mut String, member: &Member) {
    let state = Some(member.state).filter(|s| *s != State::Ready);
    let line = NodeWriter::new(out, 0, "member")
        .argument(&member.id)
        .text_property("address", Some(&member.address))
        .keyword_property("protocol", member.protocol)
        .text_property("path", member.path.as_deref())
        .keyword_property("kind", member.kind)
        .number_property("weight", member.weight)
        .keyword_property("state", state)
        .text_property("zone", member.zone.as_deref())
        .number_property("link-kb-per-s", member.link_kb_per_s);
    if member.limits == MemberLimits::default() {
        return line.end_line();
    }
    line.open_block();
    NodeWriter::new(out, 1, "limits")
        .integer_property("connections", member.limits.connections)
        .integer_property("in-flight", member.limits.in_flight)
        .integer_property("connect-ms", member.limits.connect_ms)
        .integer_property("answer-ms", member.limits.answer_ms)
        .integer_property("idle-ms", member.limits.idle_ms)
        .end_line();
    out.push_str("}\n");
}

fn print_pool(out: &mut String, pool: &Pool) {
    NodeWriter::new(out, 0, "pool").argument(&pool.name).open_block();
    for u in &pool.members {
        NodeWriter::new(out, 1, "use")
            .argument(&u.member)
            .number_property("weight", u.weight)
            .keyword_property("state", u.state)
            .integer_property("tier", u.tier)
            .text_property("group", u.group.as_deref())
            .text_property("instead", u.instead.as_deref())
            .end_line();
    }
    if pool.limits != PoolLimits::default() {
        NodeWriter::new(out, 1, "limits")
            .integer_property("in-flight", pool.limits.in_flight)
            .integer_property("connections", pool.limits.connections)
            .integer_property("wait-ms", pool.limits.wait_ms)
            .integer_property("waiting", pool.limits.waiting)
            .integer_property("answer-ms", pool.limits.answer_ms)
            .end_line();
    }
    if pool.retry != Retry::default() {
        NodeWriter::new(out, 1, "retry")
            .integer_property("attempts", pool.retry.attempts)
            .number_property("budget", pool.retry.budget)
            .integer_property("burst", pool.retry.burst)
            .end_line();
    }
    if pool.recovery != Recovery::default() {
        let codes: Vec<String> = pool.recovery.fail_on.iter().map(u16::to_string).collect();
        let codes = codes.join(",");
        NodeWriter::new(out, 1, "recovery")
            .integer_property("failures", pool.recovery.failures)
            .integer_property("first-ms", pool.recovery.first_backoff_ms)
            .integer_property("most-ms", pool.recovery.max_backoff_ms)
            .text_property("fail-on", Some(codes.as_str()).filter(|c| !c.is_empty()))
            .end_line();
    }
    out.push_str("}\n");
}

fn print_routes(out: &mut String, route_set: &RouteSet) {
    NodeWriter::new(out, 0, "routes")
        .keyword_property("order", route_set.order)
        .bool_property("inherit", route_set.inherit)
        .open_block();
    for h in &route_set.hosts {
        NodeWriter::new(out, 1, "host").argument(h).end_line();
    }
    for rule in &route_set.rules {
        let (pool, exclude) = match &rule.target {
            Target::Pool(p) => (Some(p), None),
            Target::Exclude(p) => (p.as_ref(), Some(true)),
        };
        NodeWriter::new(out, 1, "route")
            .argument(&rule.pattern)
            .keyword_property("match", rule.matching)
            .text_property("pool", pool.map(String::as_str))
            .bool_property("exclude", exclude)
            .text_property("rewrite", rule.rewrite.as_deref())
            .end_line();
    }
    out.push_str("}\n");
}
