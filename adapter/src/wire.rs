//! The wire's names and shapes.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use fernslip::*;
use serde_json::{json, Value};

/// Names that events use in place of numbers.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

type Got<T> = Result<T, String>;

fn num(v: &Value, key: &str) -> Got<f64> {
    v[key].as_f64().ok_or_else(|| format!("{key} is missing or no number"))
}

/// A number that may be left out.
fn opt(v: &Value, key: &str) -> Got<f64> {
    if v[key].is_null() {
        return Ok(0.0);
    }
    num(v, key)
}

fn text<'a>(v: &'a Value, key: &str) -> Got<&'a str> {
    v[key].as_str().ok_or_else(|| format!("{key} is missing or no text"))
}

fn list<'a>(v: &'a Value, key: &str) -> Got<&'a [Value]> {
    v[key].as_array().map(Vec::as_slice).ok_or_else(|| format!("{key} is missing or no list"))
}

fn hex(v: &Value, key: &str) -> Got<u64> {
    u64::from_str_radix(text(v, key)?, 16).map_err(|_| format!("{key} is not 16 hex digits"))
}

fn names(v: &Value, key: &str) -> Got<Vec<String>> {
    list(v, key)?.iter().map(|n| n.as_str().map(String::from).ok_or(format!("{key}: no text"))).collect()
}

fn cache(v: &Value, key: &str) -> Got<CacheId> {
    text(v, key).map(CacheId::from)
}

fn index(v: &Value, key: &str) -> Got<Option<usize>> {
    let n = v[key].as_i64().unwrap_or(-1);
    Ok(usize::try_from(n).ok())
}

/// The seed of an instance.
pub fn seed(v: &Value) -> u64 {
    v["nonce64"].as_u64().or_else(|| v["nonce64"].as_i64().map(|n| n as u64)).unwrap_or(0)
}

/// Settings from the first message.
pub fn settings(info: &Value) -> Got<(Settings, Names)> {
    let (fam, per, rules) = (&info["family_info"], &info["permissions"], &info["rules"]);
    let zones = names(info, "areas")?;
    let kinds = names(info, "kinds")?;
    let flag = |v: &Value, key: &str| v[key].as_bool().unwrap_or(false);
    let per_class = |key: &str, i: usize| fam[key].get(i).and_then(Value::as_f64).unwrap_or(0.0);
    let mut classes = Vec::new();
    for (i, c) in list(info, "classes")?.iter().enumerate() {
        classes.push(Class {
            name: text(c, "name")?.to_string(),
            aim_ms: num(c, "objective_ms")?,
            aim_stretch: opt(c, "aim_stretch")?,
            deadline_ms: num(c, "deadline_ms")?,
            worth: num(c, "importance")?,
            late_worth: opt(c, "late_worth")?,
            effect: match text(c, "semantics")? {
                "idempotent" => Effect::Idempotent,
                "deduplicated" => Effect::Deduplicated,
                "at_most_once" => Effect::AtMostOnce,
                other => return Err(format!("classes[{i}].semantics: {other:?} is unknown")),
            },
            scope: match c["dedup_scope"].as_str().unwrap_or("cell") {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Cell,
            },
            repeat_window_ms: opt(c, "repeat_window_ms")?,
            write: fam["class_write"].get(i).and_then(Value::as_bool).unwrap_or(false),
            fresh_ms: per_class("good_for_ms", i),
            grace_ms: per_class("grace_for_ms", i),
        });
    }
    let by_zone = |key: &str| -> Vec<f64> {
        (0..zones.len()).map(|z| fam[key].get(z).and_then(Value::as_f64).unwrap_or(0.0)).collect()
    };
    let zone = text(info, "zone")?;
    let s = Settings {
        zone: zones.iter().position(|z| z == zone).ok_or(format!("zone: {zone:?} is not among areas"))?,
        zone_routers: by_zone("zone_balancers").into_iter().map(|n| n as u32).collect(),
        link_in_kb_per_s: by_zone("link_in_kb_per_s"),
        kinds: kinds.len(),
        parent_kind: index(fam, "mid_kind")?,
        origin_kind: index(fam, "origin_kind")?,
        slot: num(info, "slot_no")? as u32,
        routers: num(info, "group_size")? as u32,
        straight: flag(fam, "straight"),
        joins: flag(fam, "collapses"),
        neighbours: match fam["neighbours"].as_str() {
            Some("location") => Neighbours::Location,
            Some("any") => Neighbours::Any,
            _ => Neighbours::None,
        },
        notes: match fam["note_level"].as_str() {
            Some("all") => NoteLevel::All,
            Some("hit") => NoteLevel::Hit,
            _ => NoteLevel::None,
        },
        stream_kb_per_s: num(fam, "stream_kb_per_s")?,
        max_attempts: num(per, "max_attempts")? as u32,
        max_open: num(per, "max_open")? as u32,
        parallel: flag(per, "parallel_tries"),
        cancel: flag(per, "cancelling"),
        peers: flag(per, "peers"),
        max_retry_after_ms: if flag(per, "retry_after") { opt(per, "max_retry_after_ms")? } else { 0.0 },
        ask_for_lists: info["discovery"].as_str() == Some("on_request"),
        tick_ms: opt(info, "tick_ms")?,
        drain_grace_ms: num(rules, "drain_grace_ms")?,
        cold_from: num(rules, "start_capacity")?,
        cold_ms: num(rules, "warm_up_ms")?,
        cold_multiple: num(rules, "tip_multiple")?,
        cold_window_ms: num(rules, "overload_for_ms")?,
        parent_cold_from: opt(fam, "parent_starts_at")?,
        parent_cold_ms: opt(fam, "upper_cold_ms")?,
        parent_cold_multiple: opt(fam, "parent_breaks_at")?,
        purge_slack_ms: opt(fam, "purge_slack_ms")?,
        purge_done_ms: opt(fam, "purge_done_ms")?,
        zones: zones.clone(),
        classes,
    };
    let classes = s.classes.iter().map(|c| c.name.clone()).collect();
    Ok((s, Names { zones, kinds, classes }))
}

fn ending(v: &Value) -> Got<Ending> {
    Ok(match text(v, "ending")? {
        "completed" => Ending::Completed,
        "errored" => Ending::Errored,
        "saturated" => Ending::Saturated,
        "overdue" => Ending::Overdue,
        "refused_conn" => Ending::RefusedConn,
        "severed" => Ending::Severed,
        "recalled" => Ending::Recalled,
        "superseded" => Ending::Superseded,
        "lookup_miss" => Ending::LookupMiss,
        other => return Err(format!("ending {other:?} is unknown")),
    })
}

fn entries(rows: &Value, names: &Names) -> Got<Vec<Entry>> {
    let find = |all: &[String], v: &Value| v.as_str().and_then(|n| all.iter().position(|x| x == n));
    let rows = rows.as_array().map(Vec::as_slice).unwrap_or(&[]);
    rows.iter()
        .map(|r| {
            Ok(Entry {
                cache: cache(r, "cache")?,
                weight: opt(r, "nominal")?,
                zone: find(&names.zones, &r["rack_zone"]),
                kind: find(&names.kinds, &r["machine"]),
                cell: r["pod"].as_i64().unwrap_or(0),
                born_ms: opt(r, "born_ms")?,
                phase: match text(r, "phase")? {
                    "IN" => Phase::In,
                    "LAME" => Phase::Draining,
                    "OUT" => Phase::Out,
                    other => return Err(format!("phase {other:?} is unknown")),
                },
            })
        })
        .collect()
}

/// An event of one instance; `rows` is the roster it may refer to.
pub fn event(cmd: &str, v: &Value, rows: &Value, names: &Names) -> Got<Event> {
    let id = || hex(v, "call").map(RequestId);
    Ok(match cmd {
        "FLEET" => {
            let kind = match text(v, "mode")? {
                "delta" => ListKind::Delta,
                "full" => ListKind::Full,
                "cached" => ListKind::Cached,
                "failed" => ListKind::Failed,
                other => return Err(format!("mode {other:?} is unknown")),
            };
            let entries = if kind == ListKind::Failed { Vec::new() } else { entries(rows, names)? };
            Event::Fleet { kind, entries }
        }
        "JOB_IN" => {
            let lane = text(v, "lane")?;
            Event::Request(Request {
                id: id()?,
                object: ObjectId(if v["content_id"].is_string() { hex(v, "content_id")? } else { 0 }),
                part: opt(v, "range_no")? as u32,
                class: names
                    .classes
                    .iter()
                    .position(|c| c == lane)
                    .ok_or(format!("lane {lane:?} is unknown"))?,
                size_kb: opt(v, "size_kb")?,
                budget_ms: num(v, "time_budget_ms")?,
                group: opt(v, "purge_group")? as u64,
            })
        }
        "OPENED" => Event::Opened { id: id()?, attempt: num(v, "try")? as u32 },
        "CLOSED_ATTEMPT" => Event::Outcome(Outcome {
            id: id()?,
            attempt: num(v, "try")? as u32,
            cache: cache(v, "cache")?,
            ending: ending(v)?,
            elapsed_ms: opt(v, "spent_ms")?,
            over: v["over"].as_bool().unwrap_or(false),
            detail: opt(v, "detail")? as u8,
            fill_wait_ms: opt(v, "fill_wait_ms")?,
        }),
        "WITHDRAWN" => Event::Withdrawn { id: id()? },
        "WAKEUP" => Event::Timer { token: v["handle"].as_u64().unwrap_or(0) },
        "CHECK_RESULT" => Event::Probed { cache: cache(v, "cache")?, ending: ending(v)? },
        "MEMO" => Event::Peer {
            from: num(v, "who")? as u32,
            data: STANDARD.decode(text(v, "raw")?).map_err(|e| format!("raw: {e}"))?,
        },
        "REPLACED" => {
            let object = match v["content_id"].as_str() {
                Some(_) => Some(hex(v, "content_id")?).filter(|&o| o != 0).map(ObjectId),
                None => None,
            };
            Event::Purged { object, group: opt(v, "batch_id")? as u64, age_ms: opt(v, "age_span_ms")? }
        }
        other => return Err(format!("cmd {other:?} is unknown")),
    })
}

/// An action of one instance.
pub fn action(i: i64, a: Action) -> Value {
    let hex = |id: RequestId| format!("{:016x}", id.0);
    match a {
        Action::Get { id, cache, source, until_ms, rank, age_ms, join, renew } => json!({
            "cmd": "READ_THROUGH", "i": i, "call": hex(id), "cache": &*cache.0, "fill_from": &*source.0,
            "until_ms": until_ms, "rank": rank, "age_span_ms": age_ms,
            "mode": u8::from(join) | u8::from(renew) << 3,
        }),
        Action::Cancel { id, attempt } => {
            json!({"cmd": "RETRACT", "i": i, "call": hex(id), "try": attempt})
        }
        Action::Refuse { id, retry_after_ms } => {
            json!({"cmd": "SAY_NO", "i": i, "call": hex(id), "pause_ms": retry_after_ms})
        }
        Action::Fail { id } => json!({"cmd": "FINISH_ERROR", "i": i, "call": hex(id)}),
        Action::Timer { delay_ms, token } => {
            json!({"cmd": "TIMER", "i": i, "from_now_ms": delay_ms, "handle": token})
        }
        Action::Tell { to, data } => {
            json!({"cmd": "TELL", "i": i, "whom": to, "raw": STANDARD.encode(data)})
        }
        Action::TellAll { data } => {
            json!({"cmd": "TELL", "i": i, "whom": "all", "raw": STANDARD.encode(data)})
        }
        Action::Subscribe => json!({"cmd": "STREAM_CHANGES", "i": i, "enable": true}),
        Action::Log(words) => json!({"cmd": "SAY_LOG", "i": i, "words": words}),
    }
}
