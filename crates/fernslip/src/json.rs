//! Parses router settings from JSON, and typed fields of JSON objects.
//!
//! The simulator's first message and a front's configuration file hold the settings as the same JSON object.

use crate::api::*;
use serde_json::Value;

/// An error in a field of a JSON object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonError {
    /// A field is missing or has a value of the wrong type.
    #[error("{key} is missing or {problem}")]
    Field {
        /// Name of the field.
        key: String,
        /// What is wrong with the value if there is one, for example "not a number".
        problem: &'static str,
    },
    /// A field has a keyword that is not defined for it.
    #[error("{key} has the unknown value {value:?}")]
    Unknown {
        /// Name of the field.
        key: String,
        /// The unknown keyword.
        value: String,
    },
}

/// Creates the error for a field with an unknown keyword.
pub fn unknown_keyword(key: &str, value: &str) -> JsonError {
    JsonError::Unknown { key: key.into(), value: value.into() }
}

fn require_field<T>(found: Option<T>, key: &str, problem: &'static str) -> JsonResult<T> {
    found.ok_or_else(|| JsonError::Field { key: key.into(), problem })
}

/// Names that messages use in place of the indexes that events use.
pub struct Names {
    /// Names of the zones, by zone index.
    pub zones: Vec<String>,
    /// Names of the kinds of nodes, by kind index.
    pub kinds: Vec<String>,
    /// Names of the request classes, by class index.
    pub classes: Vec<String>,
    /// Names of the values of a load report, in the order of the values.
    pub reports: Vec<String>,
}

/// Names under which load reports give the number of requests in flight at a node, in the settings and in the
/// responses that a front receives.
pub const IN_FLIGHT_NAMES: [&str; 2] = ["rif", "inflight"];

/// A parsed value, or the error in its field.
pub type JsonResult<T> = Result<T, JsonError>;

/// Reads a number.
///
/// # Errors
/// The field is missing, or its value is not a number.
pub fn number_field(object: &Value, key: &str) -> JsonResult<f64> {
    require_field(object[key].as_f64(), key, "not a number")
}

/// Reads an optional number; 0 if the field is missing or null.
///
/// # Errors
/// The value is not a number.
pub fn number_field_or_zero(object: &Value, key: &str) -> JsonResult<f64> {
    if object[key].is_null() {
        return Ok(0.0);
    }
    number_field(object, key)
}

/// Reads a string.
///
/// # Errors
/// The field is missing, or its value is not a string.
pub fn string_field<'a>(object: &'a Value, key: &str) -> JsonResult<&'a str> {
    require_field(object[key].as_str(), key, "not a string")
}

/// Reads an array.
///
/// # Errors
/// The field is missing, or its value is not an array.
pub fn array_field<'a>(object: &'a Value, key: &str) -> JsonResult<&'a [Value]> {
    require_field(object[key].as_array().map(Vec::as_slice), key, "not an array")
}

/// Reads a 64-bit number written as hexadecimal digits.
///
/// # Errors
/// The field is missing, or its value is not a string of hexadecimal digits that fits 64 bits.
pub fn hex_field(object: &Value, key: &str) -> JsonResult<u64> {
    require_field(u64::from_str_radix(string_field(object, key)?, 16).ok(), key, "not 16 hex digits")
}

fn string_list(object: &Value, key: &str) -> JsonResult<Vec<String>> {
    array_field(object, key)?
        .iter()
        .map(|n| require_field(n.as_str().map(String::from), key, "not an array of strings"))
        .collect()
}

fn optional_index(object: &Value, key: &str) -> JsonResult<Option<usize>> {
    let n = object[key].as_i64().unwrap_or(-1);
    Ok(usize::try_from(n).ok())
}

fn flag_or_false(object: &Value, key: &str) -> bool {
    object[key].as_bool().unwrap_or(false)
}

/// Reads the number at `index` of an array; 0 if there is none.
fn number_at_or_zero(object: &Value, key: &str, index: usize) -> f64 {
    object[key].get(index).and_then(Value::as_f64).unwrap_or(0.0)
}

/// Parses the settings, and the names that later messages use.
///
/// # Errors
/// A field is missing or of the wrong type, or names an unknown zone or effect.
pub fn parse_settings(info: &Value) -> JsonResult<(Settings, Names)> {
    let (family, permissions, rules) = (&info["family_info"], &info["permissions"], &info["rules"]);
    let zones = string_list(info, "areas")?;
    let kinds = string_list(info, "kinds")?;
    let classes = parse_classes(info, family)?;
    let by_zone =
        |key: &str| -> Vec<f64> { (0..zones.len()).map(|z| number_at_or_zero(family, key, z)).collect() };
    let zone = string_field(info, "zone")?;
    let settings = Settings {
        zone: zones.iter().position(|z| z == zone).ok_or_else(|| unknown_keyword("zone", zone))?,
        zone_routers: by_zone("zone_balancers").into_iter().map(|n| n as u32).collect(),
        link_in_kb_per_s: by_zone("link_in_kb_per_s"),
        kinds: kinds.len(),
        parent_kind: optional_index(family, "mid_kind")?,
        origin_kind: optional_index(family, "origin_kind")?,
        slot: number_field(info, "slot_no")? as u32,
        routers: number_field(info, "group_size")? as u32,
        direct_to_source: flag_or_false(family, "straight"),
        join_fills: flag_or_false(family, "collapses"),
        neighbours: parse_neighbours(family),
        detail_level: parse_detail_level(family),
        stream_kb_per_s: number_field(family, "stream_kb_per_s")?,
        max_attempts: number_field(permissions, "max_attempts")? as u32,
        max_in_flight: number_field(permissions, "max_open")? as u32,
        parallel: flag_or_false(permissions, "parallel_tries"),
        cancel: flag_or_false(permissions, "cancelling"),
        peers: flag_or_false(permissions, "peers"),
        // The value applies even if the platform says that its clients ignore the hint: a rejected client is
        // always told when to retry.
        max_retry_after_ms: number_field_or_zero(permissions, "max_retry_after_ms")?,
        lists_on_request: info["discovery"].as_str() == Some("on_request"),
        tick_ms: number_field_or_zero(info, "tick_ms")?,
        drain_grace_ms: number_field(rules, "drain_grace_ms")?,
        slow_start_from: number_field(rules, "start_capacity")?,
        slow_start_ms: number_field(rules, "warm_up_ms")?,
        slow_start_multiple: number_field(rules, "tip_multiple")?,
        slow_start_window_ms: number_field(rules, "overload_for_ms")?,
        parent_slow_start_from: number_field_or_zero(family, "parent_starts_at")?,
        parent_slow_start_ms: number_field_or_zero(family, "upper_cold_ms")?,
        parent_slow_start_multiple: number_field_or_zero(family, "parent_breaks_at")?,
        purge_slack_ms: number_field_or_zero(family, "purge_slack_ms")?,
        purge_done_ms: number_field_or_zero(family, "purge_done_ms")?,
        zones: zones.clone(),
        classes,
    };
    let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
    let report = &info["report"];
    let reports = if report["fields"].is_array() { string_list(report, "fields")? } else { vec![] };
    Ok((settings, Names { zones, kinds, classes, reports }))
}

fn parse_classes(info: &Value, family: &Value) -> JsonResult<Vec<Class>> {
    array_field(info, "classes")?.iter().enumerate().map(|(index, c)| parse_class(c, index, family)).collect()
}

/// Parses the class at `index`. Some of its fields are in arrays of `family_info`, in the order of the
/// classes.
fn parse_class(class: &Value, index: usize, family: &Value) -> JsonResult<Class> {
    Ok(Class {
        name: string_field(class, "name")?.to_string(),
        objective_ms: number_field(class, "objective_ms")?,
        objective_stretch: number_field_or_zero(class, "aim_stretch")?,
        deadline_ms: number_field(class, "deadline_ms")?,
        priority_weight: number_field(class, "importance")?,
        late_weight: number_field_or_zero(class, "late_worth")?,
        effect: match string_field(class, "semantics")? {
            "idempotent" => Effect::Idempotent,
            "deduplicated" => Effect::Deduplicated,
            "at_most_once" => Effect::AtMostOnce,
            other => return Err(unknown_keyword(&format!("classes[{index}].semantics"), other)),
        },
        scope: match class["dedup_scope"].as_str().unwrap_or("cell") {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Cell,
        },
        repeat_window_ms: number_field_or_zero(class, "repeat_window_ms")?,
        write: family["class_write"].get(index).and_then(Value::as_bool).unwrap_or(false),
        fresh_ms: number_at_or_zero(family, "good_for_ms", index),
        grace_ms: number_at_or_zero(family, "grace_for_ms", index),
    })
}

fn parse_neighbours(family: &Value) -> Neighbours {
    match family["neighbours"].as_str() {
        Some("location") => Neighbours::Location,
        Some("any") => Neighbours::Any,
        _ => Neighbours::None,
    }
}

fn parse_detail_level(family: &Value) -> DetailLevel {
    match family["note_level"].as_str() {
        Some("all") => DetailLevel::All,
        Some("hit") => DetailLevel::Hit,
        _ => DetailLevel::None,
    }
}
