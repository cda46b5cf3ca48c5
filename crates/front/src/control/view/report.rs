//! Reports on a membership view for operators: lines for `telemetry`, JSON for `fernslip fleet`, and
//! OpenMetrics.

use crate::sync::lock;
use fernslip_view::{HistoryEntry, MemberStatus, View};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use serde_json::{json, Value};
use std::sync::Mutex;

/// Returns the view's metrics for the admin command `telemetry`, one `name=value` line each.
pub fn telemetry_lines(view: &View, now_ms: f64) -> String {
    let settled = u8::from(view.settled_since(now_ms).is_some());
    let counters = view.counters();
    format!(
        "view_members={}\nview_settled={settled}\nview_changes={}\nview_sent_bytes={}\n",
        view.live_peer_addrs().len() + 1,
        counters.changes,
        counters.sent_bytes
    )
}

/// Returns the answer to a call on the control socket. The calls `members`, `summary` and `explain NAME` are
/// answered with a line of JSON, `metrics` with OpenMetrics text.
pub fn answer_call(view: &Mutex<View>, call: &str, now_ms: f64) -> String {
    let mut tokens = call.split_whitespace();
    match (tokens.next(), tokens.next(), tokens.next()) {
        (Some("members"), None, None) => format!("{}\n", members_json(view, now_ms)),
        (Some("summary"), None, None) => format!("{}\n", summary_json(&lock(view), now_ms)),
        (Some("explain"), Some(name), None) => format!("{}\n", explanation_json(&lock(view), name, now_ms)),
        (Some("metrics"), None, None) => open_metrics_text(view, now_ms),
        _ => format!("{}\n", json!({ "error": "unknown call" })),
    }
}

/// Returns the summary of the view with all its members, as JSON.
fn members_json(view: &Mutex<View>, now_ms: f64) -> Value {
    let (mut summary, members) = {
        let view = lock(view);
        (summary_json(&view, now_ms), view.members(now_ms))
    };
    summary["members"] = members.iter().map(|m| member_json(m, now_ms)).collect();
    summary
}

fn member_json(status: &MemberStatus, now_ms: f64) -> Value {
    let fact = &status.fact;
    let is_suspected = fact.state.is_live() && !status.suspected_by.is_empty();
    json!({
        "name": fact.name,
        "address": fact.addr,
        "location": fact.location,
        "program": fact.program,
        "configuration": format!("{:08x}", fact.configuration),
        "generation": fact.generation,
        "incarnation": fact.incarnation,
        "state": if is_suspected { "suspected" } else { fact.state.name() },
        "for_ms": (now_ms - status.since_ms).max(0.0) as u64,
        "suspected_by": status.suspected_by,
    })
}

fn summary_json(view: &View, now_ms: f64) -> Value {
    let counters = view.counters();
    let settled = view.settled_since(now_ms);
    json!({
        "front": view.config().name,
        "address": view.config().addr,
        "digest": format!("{:016x}", view.digest()),
        "count": view.live_peer_addrs().len() + 1,
        "settled": settled.is_some(),
        "settled_for_ms": settled.map(|since| (now_ms - since).max(0.0) as u64),
        "missing": if settled.is_some() { Vec::new() } else { view.unsettled_members() },
        "other_process": view.duplicate_addr(),
        "sent": counters.sent,
        "sent_bytes": counters.sent_bytes,
        "held_back": counters.over_budget,
        "taken": counters.accepted,
        "malformed": counters.malformed,
        "replayed": counters.replayed,
        "refuted": counters.refuted,
        "changes": counters.changes,
    })
}

/// Returns the status and history of the front with this name, as JSON.
fn explanation_json(view: &View, name: &str, now_ms: f64) -> Value {
    let Some(status) = view.members(now_ms).into_iter().find(|m| m.fact.name == name) else {
        return json!({ "error": format!("no front `{name}` is known") });
    };
    let entry = |HistoryEntry { at_ms, description, reported_by }| json!({ "ago_ms": (now_ms - at_ms).max(0.0) as u64, "what": description, "by": reported_by });
    let history: Vec<Value> = view.history(name).into_iter().map(entry).collect();
    json!({ "member": member_json(&status, now_ms), "story": history })
}

fn open_metrics_text(view: &Mutex<View>, now_ms: f64) -> String {
    let (is_settled, count, counters) = {
        let view = lock(view);
        (view.settled_since(now_ms).is_some(), view.live_peer_addrs().len() + 1, view.counters().clone())
    };
    let mut registry = Registry::with_prefix("fernslip_view");
    registry.register("members", "Fronts that are counted on", ConstGauge::new(count as i64));
    registry.register(
        "settled",
        "1 where all of them hold this view",
        ConstGauge::new(i64::from(is_settled)),
    );
    let described = [
        ("changes", "Changes of a front's state", counters.changes),
        ("sent", "Datagrams sent", counters.sent),
        ("sent_bytes", "Bytes of them", counters.sent_bytes),
        ("held_back", "Datagrams that the budget held back", counters.over_budget),
        ("taken", "Datagrams taken", counters.accepted),
        ("malformed", "Datagrams dropped: no message, or a wrong tag", counters.malformed),
        ("replayed", "Datagrams dropped: they came before", counters.replayed),
        ("refuted", "Times this front answered to being taken for gone", counters.refuted),
    ];
    for (name, help, value) in described {
        registry.register(name, help, ConstCounter::new(value));
    }
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text,
        Err(_) => String::new(),
    }
}
