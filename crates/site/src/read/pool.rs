//! Reading of `pool` nodes: members, limits, retries and recovery.

use super::name::{unique_name, MAX_WEIGHT};
use crate::fields::{NodeReader, SpannedText};
use crate::model::{parse_status_code, Pool, PoolLimits, Recovery, Retry, Site, Use};
use crate::spans::{SourceSpans, UseSpans};

pub(super) fn read_pool(mut reader: NodeReader<'_, '_, '_>, site: &mut Site, spans: &mut SourceSpans) {
    let name = unique_name(&mut reader, &mut spans.pools);
    let mut pool = Pool {
        name,
        members: Vec::new(),
        limits: PoolLimits::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    let mut uses = Vec::new();
    for node in reader.known_children(&["use", "limits", "retry", "recovery"]) {
        let mut reader = NodeReader::new(node, reader.problems);
        match node.name().value() {
            "use" => {
                let (u, at) = read_use(&mut reader);
                pool.members.push(u);
                uses.push(at);
            }
            "limits" => pool.limits = read_limits(&mut reader),
            "retry" => pool.retry = read_retry(&mut reader),
            _ => pool.recovery = read_recovery(&mut reader),
        }
        reader.finish();
    }
    reader.finish();
    site.pools.push(pool);
    spans.uses.push(uses);
}

fn read_use(reader: &mut NodeReader<'_, '_, '_>) -> (Use, UseSpans) {
    let member = reader.text_argument("a member's name");
    let instead = reader.text_property("instead");
    let spans =
        UseSpans { member: member.map_or(reader.span(), |m| m.span), instead: instead.map(|i| i.span) };
    let u = Use {
        member: member.map_or(String::new(), |m| m.text.into()),
        weight: reader.number_property("weight", 1e-6, MAX_WEIGHT),
        state: reader.keyword_property("state"),
        tier: reader.integer_property("tier", 0..=u64::from(u32::MAX)),
        group: reader.owned_text_property("group"),
        instead: instead.map(|i| i.text.into()),
    };
    (u, spans)
}

fn read_limits(reader: &mut NodeReader<'_, '_, '_>) -> PoolLimits {
    PoolLimits {
        in_flight: reader.integer_property("in-flight", 1..=1 << 24),
        connections: reader.integer_property("connections", 1..=1 << 24),
        wait_ms: reader.milliseconds_property("wait-ms"),
        waiting: reader.integer_property("waiting", 0..=1 << 20),
        answer_ms: reader.milliseconds_property("answer-ms"),
    }
}

fn read_retry(reader: &mut NodeReader<'_, '_, '_>) -> Retry {
    Retry {
        attempts: reader.integer_property("attempts", 1..=1000),
        budget: reader.number_property("budget", 0.0, 10.0),
        burst: reader.integer_property("burst", 0..=100_000),
    }
}

fn read_recovery(reader: &mut NodeReader<'_, '_, '_>) -> Recovery {
    Recovery {
        failures: reader.integer_property("failures", 1..=1000),
        first_backoff_ms: reader.milliseconds_property("first-ms"),
        max_backoff_ms: reader.milliseconds_property("most-ms"),
        fail_on: read_status_codes(reader),
    }
}

/// Reads the status codes of `fail-on`, such as `"500,503"`; none if the property is absent or invalid.
fn read_status_codes(reader: &mut NodeReader<'_, '_, '_>) -> Vec<u16> {
    let Some(SpannedText { text, span }) = reader.text_property("fail-on") else { return Vec::new() };
    let codes: Option<Vec<u16>> = text.split(',').map(|code| parse_status_code(code.trim())).collect();
    if codes.is_none() {
        let hint = "write status codes from 100 to 599, separated by commas: \"500,503\"".to_string();
        reader.problems.add_error(span, format!("`fail-on` does not accept the value `{text}`"), Some(hint));
    }
    codes.unwrap_or_default()
}
