//! What the platform writes as JSON wherever it starts a router: the settings, and how their fields are read.
//! The simulator's first message and a front's configuration hold the same object.

use crate::api::*;
use serde_json::Value;

/// Why a JSON value could not be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonError {
    /// A field is missing or of another type.
    #[error("{key} is missing or {wanted}")]
    Field {
        /// Which field.
        key: String,
        /// What it is not.
        wanted: &'static str,
    },
    /// A keyword that stands for nothing known.
    #[error("{key} {value:?} is unknown")]
    Unknown {
        /// Which field.
        key: String,
        /// The keyword.
        value: String,
    },
}

/// The error for a keyword that stands for nothing known.
pub fn unknown(key: &str, value: &str) -> JsonError {
    JsonError::Unknown { key: key.into(), value: value.into() }
}

fn field<T>(found: Option<T>, key: &str, wanted: &'static str) -> JsonResult<T> {
    found.ok_or_else(|| JsonError::Field { key: key.into(), wanted })
}

/// Names that messages use in place of the numbers that events have.
pub struct Names {
    /// Zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Kinds of nodes.
    pub kinds: Vec<String>,
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Values of a load report, in order.
    pub reports: Vec<String>,
}

/// Names of the load report's count of requests in flight at a node: in the settings, and on a front's sockets.
pub const IN_FLIGHT_NAMES: [&str; 2] = ["rif", "inflight"];

/// A value that was read, or why it could not be.
pub type JsonResult<T> = Result<T, JsonError>;

/// A number.
///
/// # Errors
/// The key is missing, or its value is no number.
pub fn number(v: &Value, key: &str) -> JsonResult<f64> {
    field(v[key].as_f64(), key, "no number")
}

/// A number that may be omitted: 0 then.
///
/// # Errors
/// Its value is no number.
pub fn number_or_zero(v: &Value, key: &str) -> JsonResult<f64> {
    if v[key].is_null() {
        return Ok(0.0);
    }
    number(v, key)
}

/// A text.
///
/// # Errors
/// The key is missing, or its value is no text.
pub fn text<'a>(v: &'a Value, key: &str) -> JsonResult<&'a str> {
    field(v[key].as_str(), key, "no text")
}

/// A list.
///
/// # Errors
/// The key is missing, or its value is no list.
pub fn list<'a>(v: &'a Value, key: &str) -> JsonResult<&'a [Value]> {
    field(v[key].as_array().map(Vec::as_slice), key, "no list")
}

/// A number as 16 hex digits.
///
/// # Errors
/// The key is missing, or its value is not 16 hex digits.
pub fn hex(v: &Value, key: &str) -> JsonResult<u64> {
    field(u64::from_str_radix(text(v, key)?, 16).ok(), key, "not 16 hex digits")
}

fn strings(v: &Value, key: &str) -> JsonResult<Vec<String>> {
    list(v, key)?.iter().map(|n| field(n.as_str().map(String::from), key, "no text")).collect()
}

fn index(v: &Value, key: &str) -> JsonResult<Option<usize>> {
    let n = v[key].as_i64().unwrap_or(-1);
    Ok(usize::try_from(n).ok())
}

fn flag(v: &Value, key: &str) -> bool {
    v[key].as_bool().unwrap_or(false)
}

/// The number at a position of a list; 0 where there is none.
fn number_at(v: &Value, key: &str, index: usize) -> f64 {
    v[key].get(index).and_then(Value::as_f64).unwrap_or(0.0)
}

/// Settings from the first message, and the names that later messages use.
///
/// # Errors
/// A key is missing or of another type, or names a zone, a kind or an effect that is unknown.
pub fn settings(info: &Value) -> JsonResult<(Settings, Names)> {
    let (family, permissions, rules) = (&info["family_info"], &info["permissions"], &info["rules"]);
    let zones = strings(info, "areas")?;
    let kinds = strings(info, "kinds")?;
    let classes = classes(info, family)?;
    let by_zone = |key: &str| -> Vec<f64> { (0..zones.len()).map(|z| number_at(family, key, z)).collect() };
    let zone = text(info, "zone")?;
    let settings = Settings {
        zone: zones.iter().position(|z| z == zone).ok_or_else(|| unknown("zone", zone))?,
        zone_routers: by_zone("zone_balancers").into_iter().map(|n| n as u32).collect(),
        link_in_kb_per_s: by_zone("link_in_kb_per_s"),
        kinds: kinds.len(),
        parent_kind: index(family, "mid_kind")?,
        origin_kind: index(family, "origin_kind")?,
        slot: number(info, "slot_no")? as u32,
        routers: number(info, "group_size")? as u32,
        straight: flag(family, "straight"),
        joins: flag(family, "collapses"),
        neighbours: neighbours(family),
        notes: note_level(family),
        stream_kb_per_s: number(family, "stream_kb_per_s")?,
        max_attempts: number(permissions, "max_attempts")? as u32,
        max_in_flight: number(permissions, "max_open")? as u32,
        parallel: flag(permissions, "parallel_tries"),
        cancel: flag(permissions, "cancelling"),
        peers: flag(permissions, "peers"),
        // Also where the platform says that its clients pay no heed: who is rejected gets a hint when to come back.
        max_retry_after_ms: number_or_zero(permissions, "max_retry_after_ms")?,
        lists_on_request: info["discovery"].as_str() == Some("on_request"),
        tick_ms: number_or_zero(info, "tick_ms")?,
        drain_grace_ms: number(rules, "drain_grace_ms")?,
        slow_start_from: number(rules, "start_capacity")?,
        slow_start_ms: number(rules, "warm_up_ms")?,
        slow_start_multiple: number(rules, "tip_multiple")?,
        slow_start_window_ms: number(rules, "overload_for_ms")?,
        parent_slow_start_from: number_or_zero(family, "parent_starts_at")?,
        parent_slow_start_ms: number_or_zero(family, "upper_cold_ms")?,
        parent_slow_start_multiple: number_or_zero(family, "parent_breaks_at")?,
        purge_slack_ms: number_or_zero(family, "purge_slack_ms")?,
        purge_done_ms: number_or_zero(family, "purge_done_ms")?,
        zones: zones.clone(),
        classes,
    };
    let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
    let report = &info["report"];
    let reports = if report["fields"].is_array() { strings(report, "fields")? } else { vec![] };
    Ok((settings, Names { zones, kinds, classes, reports }))
}

fn classes(info: &Value, family: &Value) -> JsonResult<Vec<Class>> {
    list(info, "classes")?.iter().enumerate().map(|(index, c)| class(c, index, family)).collect()
}

/// The class at `index`; some of its fields are in lists of the family, in the classes' order.
fn class(c: &Value, index: usize, family: &Value) -> JsonResult<Class> {
    Ok(Class {
        name: text(c, "name")?.to_string(),
        objective_ms: number(c, "objective_ms")?,
        objective_stretch: number_or_zero(c, "aim_stretch")?,
        deadline_ms: number(c, "deadline_ms")?,
        priority_weight: number(c, "importance")?,
        late_weight: number_or_zero(c, "late_worth")?,
        effect: match text(c, "semantics")? {
            "idempotent" => Effect::Idempotent,
            "deduplicated" => Effect::Deduplicated,
            "at_most_once" => Effect::AtMostOnce,
            other => return Err(unknown(&format!("classes[{index}].semantics"), other)),
        },
        scope: match c["dedup_scope"].as_str().unwrap_or("cell") {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Cell,
        },
        repeat_window_ms: number_or_zero(c, "repeat_window_ms")?,
        write: family["class_write"].get(index).and_then(Value::as_bool).unwrap_or(false),
        fresh_ms: number_at(family, "good_for_ms", index),
        grace_ms: number_at(family, "grace_for_ms", index),
    })
}

fn neighbours(family: &Value) -> Neighbours {
    match family["neighbours"].as_str() {
        Some("location") => Neighbours::Location,
        Some("any") => Neighbours::Any,
        _ => Neighbours::None,
    }
}

fn note_level(family: &Value) -> NoteLevel {
    match family["note_level"].as_str() {
        Some("all") => NoteLevel::All,
        Some("hit") => NoteLevel::Hit,
        _ => NoteLevel::None,
    }
}
