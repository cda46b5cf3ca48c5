//! The model to KDL, in one canonical form that reads back as the same value.

use crate::model::*;
use kdl::KdlValue;
use std::fmt::Write;

/// One node being written.
struct NodeWriter<'o> {
    out: &'o mut String,
}

impl<'o> NodeWriter<'o> {
    fn new(out: &'o mut String, depth: usize, name: &str) -> NodeWriter<'o> {
        out.extend(std::iter::repeat_n("    ", depth));
        out.push_str(name);
        NodeWriter { out }
    }

    fn value(&mut self, v: KdlValue) {
        // The library's own form of a value: its quoting is what its parser reads.
        let _ = write!(self.out, "{v}");
    }

    fn arg(mut self, text: &str) -> Self {
        self.out.push(' ');
        self.quoted(text);
        self
    }

    /// Quoted also where KDL allows a bare identifier, so that a name always looks like one.
    fn quoted(&mut self, text: &str) {
        self.out.push('"');
        for c in text.chars() {
            match c {
                '"' => self.out.push_str("\\\""),
                '\\' => self.out.push_str("\\\\"),
                '\n' => self.out.push_str("\\n"),
                '\r' => self.out.push_str("\\r"),
                '\t' => self.out.push_str("\\t"),
                // Control and direction characters, which KDL allows in no literal form, and other line ends.
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

    fn name(&mut self, name: &str) {
        self.out.push(' ');
        self.out.push_str(name);
        self.out.push('=');
    }

    fn text(mut self, name: &str, v: Option<&str>) -> Self {
        if let Some(v) = v {
            self.name(name);
            self.quoted(v);
        }
        self
    }

    fn keyword<K: Keyword>(self, name: &str, v: Option<K>) -> Self {
        self.text(name, v.map(Keyword::keyword))
    }

    fn integer(mut self, name: &str, v: Option<u64>) -> Self {
        if let Some(v) = v {
            self.name(name);
            self.value(KdlValue::Integer(v.into()));
        }
        self
    }

    fn number(mut self, name: &str, v: Option<f64>) -> Self {
        if let Some(v) = v {
            self.name(name);
            self.value(KdlValue::Float(v));
        }
        self
    }

    fn flag(mut self, name: &str, v: Option<bool>) -> Self {
        if let Some(v) = v {
            self.name(name);
            self.value(KdlValue::Bool(v));
        }
        self
    }

    fn end(self) {
        self.out.push('\n');
    }

    fn open(self) {
        self.out.push_str(" {\n");
    }
}

impl Site {
    /// The document for this model. Reading it gives the same value, where the model is one that a document could
    /// give.
    pub fn to_kdl(&self) -> String {
        let mut out = String::new();
        let o = &mut out;
        NodeWriter::new(o, 0, "site").arg(&self.name).keyword("members-from", self.members_from).end();
        self.front.iter().for_each(|f| front(o, f));
        self.zones.iter().for_each(|z| zone(o, z));
        self.classes.iter().for_each(|c| class(o, c));
        self.members.iter().for_each(|m| member(o, m));
        self.pools.iter().for_each(|p| pool(o, p));
        self.routes.iter().for_each(|r| routes(o, r));
        self.gossip.iter().for_each(|g| gossip(o, g));
        self.view.iter().for_each(|v| view(o, v));
        out
    }

    /// The model as JSON, with the keys that `show --format json` documents.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn front(o: &mut String, f: &Front) {
    NodeWriter::new(o, 0, "front")
        .arg(&f.name)
        .text("listen", Some(&f.listen))
        .text("zone", f.zone.as_deref())
        .integer("memory-mb", f.memory_mb)
        .integer("sockets", f.sockets)
        .number("stream-kb-per-s", f.stream_kb_per_s)
        .end();
}

fn zone(o: &mut String, z: &Zone) {
    NodeWriter::new(o, 0, "zone")
        .arg(&z.name)
        .number("link-in-kb-per-s", z.link_in_kb_per_s)
        .integer("fronts", z.fronts)
        .end();
}

fn class(o: &mut String, c: &Class) {
    NodeWriter::new(o, 0, "class")
        .arg(&c.name)
        .integer("aim-ms", Some(c.latency_objective_ms))
        .number("aim-stretch", c.objective_stretch)
        .integer("deadline-ms", Some(c.deadline_ms))
        .number("worth", c.priority_weight)
        .number("late-worth", c.late_weight)
        .keyword("effect", c.effect)
        .flag("write", c.write)
        .integer("fresh-ms", c.fresh_ms)
        .integer("grace-ms", c.grace_ms)
        .end();
}

fn gossip(o: &mut String, g: &Gossip) {
    NodeWriter::new(o, 0, "gossip")
        .text("listen", Some(&g.listen))
        .text("key-file", Some(&g.key_file))
        .text("control", g.control.as_deref())
        .integer("bytes-per-s", g.bytes_per_s)
        .integer("burst-bytes", g.burst_bytes)
        .integer("skew-ms", g.skew_ms)
        .text("advertise", g.advertise.as_deref())
        .keyword("peers", g.peers)
        .open();
    g.seeds.iter().for_each(|s| NodeWriter::new(o, 1, "seed").arg(s).end());
    g.fronts.iter().for_each(|n| NodeWriter::new(o, 1, "front").arg(n).end());
    o.push_str("}\n");
}

fn view(o: &mut String, v: &FleetView) {
    NodeWriter::new(o, 0, "view")
        .text("listen", Some(&v.listen))
        .text("advertise", v.advertise.as_deref())
        .text("key-file", Some(&v.key_file))
        .text("control", v.control.as_deref())
        .text("store", v.store.as_deref())
        .integer("watchers", v.watchers)
        .integer("bytes-per-s", v.bytes_per_s)
        .integer("burst-bytes", v.burst_bytes)
        .open();
    v.seeds.iter().for_each(|s| NodeWriter::new(o, 1, "seed").arg(s).end());
    o.push_str("}\n");
}

fn member(o: &mut String, m: &Member) {
    let state = Some(m.state).filter(|s| *s != State::Ready);
    let line = NodeWriter::new(o, 0, "member")
        .arg(&m.id)
        .text("address", Some(&m.address))
        .keyword("protocol", m.protocol)
        .text("path", m.path.as_deref())
        .keyword("kind", m.kind)
        .number("weight", m.weight)
        .keyword("state", state)
        .text("zone", m.zone.as_deref())
        .number("link-kb-per-s", m.link_kb_per_s);
    if m.limits == MemberLimits::default() {
        return line.end();
    }
    line.open();
    NodeWriter::new(o, 1, "limits")
        .integer("connections", m.limits.connections)
        .integer("in-flight", m.limits.in_flight)
        .integer("connect-ms", m.limits.connect_ms)
        .integer("answer-ms", m.limits.answer_ms)
        .integer("idle-ms", m.limits.idle_ms)
        .end();
    o.push_str("}\n");
}

fn pool(o: &mut String, p: &Pool) {
    NodeWriter::new(o, 0, "pool").arg(&p.name).open();
    for u in &p.members {
        NodeWriter::new(o, 1, "use")
            .arg(&u.member)
            .number("weight", u.weight)
            .keyword("state", u.state)
            .integer("tier", u.tier)
            .text("group", u.group.as_deref())
            .text("instead", u.instead.as_deref())
            .end();
    }
    if p.limits != PoolLimits::default() {
        NodeWriter::new(o, 1, "limits")
            .integer("in-flight", p.limits.in_flight)
            .integer("connections", p.limits.connections)
            .integer("wait-ms", p.limits.wait_ms)
            .integer("waiting", p.limits.waiting)
            .integer("answer-ms", p.limits.answer_ms)
            .end();
    }
    if p.retry != Retry::default() {
        NodeWriter::new(o, 1, "retry")
            .integer("attempts", p.retry.attempts)
            .number("budget", p.retry.budget)
            .integer("burst", p.retry.burst)
            .end();
    }
    if p.recovery != Recovery::default() {
        let codes: Vec<String> = p.recovery.fail_on.iter().map(u16::to_string).collect();
        let codes = codes.join(",");
        NodeWriter::new(o, 1, "recovery")
            .integer("failures", p.recovery.failures)
            .integer("first-ms", p.recovery.first_backoff_ms)
            .integer("most-ms", p.recovery.max_backoff_ms)
            .text("fail-on", Some(codes.as_str()).filter(|c| !c.is_empty()))
            .end();
    }
    o.push_str("}\n");
}

fn routes(o: &mut String, r: &RouteSet) {
    NodeWriter::new(o, 0, "routes").keyword("order", r.order).flag("inherit", r.inherit).open();
    for h in &r.hosts {
        NodeWriter::new(o, 1, "host").arg(h).end();
    }
    for rule in &r.rules {
        let (pool, exclude) = match &rule.target {
            Target::Pool(p) => (Some(p), None),
            Target::Exclude(p) => (p.as_ref(), Some(true)),
        };
        NodeWriter::new(o, 1, "route")
            .arg(&rule.pattern)
            .keyword("match", rule.matching)
            .text("pool", pool.map(String::as_str))
            .flag("exclude", exclude)
            .text("rewrite", rule.rewrite.as_deref())
            .end();
    }
    o.push_str("}\n");
}
