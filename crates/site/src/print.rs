//! The model to KDL, in one form: what is read again is the same value.

use crate::model::*;
use kdl::KdlValue;
use std::fmt::Write;

/// One node under construction.
struct Line<'o> {
    out: &'o mut String,
}

impl<'o> Line<'o> {
    fn new(out: &'o mut String, depth: usize, name: &str) -> Line<'o> {
        out.extend(std::iter::repeat_n("    ", depth));
        out.push_str(name);
        Line { out }
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

    /// Quoted also where a bare word would do: what is a name should look like one.
    fn quoted(&mut self, text: &str) {
        self.out.push('"');
        for c in text.chars() {
            match c {
                '"' => self.out.push_str("\\\""),
                '\\' => self.out.push_str("\\\\"),
                '\n' => self.out.push_str("\\n"),
                '\r' => self.out.push_str("\\r"),
                '\t' => self.out.push_str("\\t"),
                // Control and direction characters, which KDL allows in no literal form, and other ends of lines.
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

    fn word<W: Word>(self, name: &str, v: Option<W>) -> Self {
        self.text(name, v.map(Word::word))
    }

    fn whole(mut self, name: &str, v: Option<u64>) -> Self {
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
        let mut o = String::new();
        Line::new(&mut o, 0, "site").arg(&self.name).word("members-from", self.members_from).end();
        if let Some(f) = &self.front {
            Line::new(&mut o, 0, "front")
                .arg(&f.name)
                .text("listen", Some(&f.listen))
                .text("zone", f.zone.as_deref())
                .whole("memory-mb", f.memory_mb)
                .whole("sockets", f.sockets)
                .number("stream-kb-per-s", f.stream_kb_per_s)
                .end();
        }
        for z in &self.zones {
            Line::new(&mut o, 0, "zone")
                .arg(&z.name)
                .number("link-in-kb-per-s", z.link_in_kb_per_s)
                .whole("fronts", z.fronts)
                .end();
        }
        for c in &self.classes {
            Line::new(&mut o, 0, "class")
                .arg(&c.name)
                .whole("aim-ms", Some(c.aim_ms))
                .number("aim-stretch", c.aim_stretch)
                .whole("deadline-ms", Some(c.deadline_ms))
                .number("worth", c.worth)
                .number("late-worth", c.late_worth)
                .word("effect", c.effect)
                .flag("write", c.write)
                .whole("fresh-ms", c.fresh_ms)
                .whole("grace-ms", c.grace_ms)
                .end();
        }
        self.members.iter().for_each(|m| member(&mut o, m));
        self.pools.iter().for_each(|p| pool(&mut o, p));
        self.routes.iter().for_each(|r| routes(&mut o, r));
        if let Some(g) = &self.gossip {
            Line::new(&mut o, 0, "gossip")
                .text("listen", Some(&g.listen))
                .text("key-file", Some(&g.key_file))
                .text("control", g.control.as_deref())
                .whole("bytes-per-s", g.bytes_per_s)
                .whole("burst-bytes", g.burst_bytes)
                .whole("skew-ms", g.skew_ms)
                .text("advertise", g.advertise.as_deref())
                .word("peers", g.peers)
                .open();
            g.seeds.iter().for_each(|s| Line::new(&mut o, 1, "seed").arg(s).end());
            g.fronts.iter().for_each(|n| Line::new(&mut o, 1, "front").arg(n).end());
            o.push_str("}\n");
        }
        if let Some(v) = &self.view {
            Line::new(&mut o, 0, "view")
                .text("listen", Some(&v.listen))
                .text("advertise", v.advertise.as_deref())
                .text("key-file", Some(&v.key_file))
                .text("control", v.control.as_deref())
                .text("store", v.store.as_deref())
                .whole("watchers", v.watchers)
                .whole("bytes-per-s", v.bytes_per_s)
                .whole("burst-bytes", v.burst_bytes)
                .open();
            v.seeds.iter().for_each(|s| Line::new(&mut o, 1, "seed").arg(s).end());
            o.push_str("}\n");
        }
        o
    }

    /// The model as JSON, with the names of its fields.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn member(o: &mut String, m: &Member) {
    let state = Some(m.state).filter(|s| *s != State::Ready);
    let line = Line::new(o, 0, "member")
        .arg(&m.id)
        .text("address", Some(&m.address))
        .word("protocol", m.protocol)
        .text("path", m.path.as_deref())
        .word("kind", m.kind)
        .number("weight", m.weight)
        .word("state", state)
        .text("zone", m.zone.as_deref())
        .number("link-kb-per-s", m.link_kb_per_s);
    if m.limits == MemberLimits::default() {
        return line.end();
    }
    line.open();
    Line::new(o, 1, "limits")
        .whole("connections", m.limits.connections)
        .whole("in-flight", m.limits.in_flight)
        .whole("connect-ms", m.limits.connect_ms)
        .whole("answer-ms", m.limits.answer_ms)
        .whole("idle-ms", m.limits.idle_ms)
        .end();
    o.push_str("}\n");
}

fn pool(o: &mut String, p: &Pool) {
    Line::new(o, 0, "pool").arg(&p.name).open();
    for u in &p.members {
        Line::new(o, 1, "use")
            .arg(&u.member)
            .number("weight", u.weight)
            .word("state", u.state)
            .whole("tier", u.tier)
            .text("group", u.group.as_deref())
            .text("instead", u.instead.as_deref())
            .end();
    }
    if p.limits != PoolLimits::default() {
        Line::new(o, 1, "limits")
            .whole("in-flight", p.limits.in_flight)
            .whole("connections", p.limits.connections)
            .whole("wait-ms", p.limits.wait_ms)
            .whole("waiting", p.limits.waiting)
            .whole("answer-ms", p.limits.answer_ms)
            .end();
    }
    if p.retry != Retry::default() {
        Line::new(o, 1, "retry")
            .whole("attempts", p.retry.attempts)
            .number("budget", p.retry.budget)
            .whole("burst", p.retry.burst)
            .end();
    }
    if p.recovery != Recovery::default() {
        let codes: Vec<String> = p.recovery.fail_on.iter().map(u16::to_string).collect();
        let codes = codes.join(",");
        Line::new(o, 1, "recovery")
            .whole("failures", p.recovery.failures)
            .whole("first-ms", p.recovery.first_ms)
            .whole("most-ms", p.recovery.most_ms)
            .text("fail-on", Some(codes.as_str()).filter(|c| !c.is_empty()))
            .end();
    }
    o.push_str("}\n");
}

fn routes(o: &mut String, r: &RouteSet) {
    Line::new(o, 0, "routes").word("order", r.order).flag("inherit", r.inherit).open();
    for h in &r.hosts {
        Line::new(o, 1, "host").arg(h).end();
    }
    for rule in &r.rules {
        let (pool, exclude) = match &rule.target {
            Target::Pool(p) => (Some(p), None),
            Target::Exclude(p) => (p.as_ref(), Some(true)),
        };
        Line::new(o, 1, "route")
            .arg(&rule.pattern)
            .word("match", rule.matching)
            .text("pool", pool.map(String::as_str))
            .flag("exclude", exclude)
            .text("rewrite", rule.rewrite.as_deref())
            .end();
    }
    o.push_str("}\n");
}
