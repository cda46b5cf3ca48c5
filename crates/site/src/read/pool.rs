//! `pool`: its members, limits, retries and recovery.

use super::name::{unique_name, MAX_WEIGHT};
use crate::fields::{Fields, Spanned};
use crate::model::{status_code, Pool, PoolLimits, Recovery, Retry, Site, Use};
use crate::spans::{SourceSpans, UseSpans};

pub(super) fn read_pool(mut f: Fields<'_, '_, '_>, site: &mut Site, spans: &mut SourceSpans) {
    let name = unique_name(&mut f, &mut spans.pools);
    let mut pool = Pool {
        name,
        members: Vec::new(),
        limits: PoolLimits::default(),
        retry: Retry::default(),
        recovery: Recovery::default(),
    };
    let mut uses = Vec::new();
    for node in f.children(&["use", "limits", "retry", "recovery"]) {
        let mut f = Fields::new(node, f.problems);
        match node.name().value() {
            "use" => {
                let (u, at) = read_use(&mut f);
                pool.members.push(u);
                uses.push(at);
            }
            "limits" => pool.limits = read_limits(&mut f),
            "retry" => pool.retry = read_retry(&mut f),
            _ => pool.recovery = read_recovery(&mut f),
        }
        f.done();
    }
    f.done();
    site.pools.push(pool);
    spans.uses.push(uses);
}

fn read_use(f: &mut Fields<'_, '_, '_>) -> (Use, UseSpans) {
    let member = f.arg("a member's name");
    let instead = f.text("instead");
    let spans = UseSpans { member: member.map_or(f.span(), |m| m.span), instead: instead.map(|i| i.span) };
    let u = Use {
        member: member.map_or(String::new(), |m| m.text.into()),
        weight: f.number("weight", 1e-6, MAX_WEIGHT),
        state: f.keyword("state"),
        tier: f.integer("tier", 0..=u64::from(u32::MAX)),
        group: f.owned("group"),
        instead: instead.map(|i| i.text.into()),
    };
    (u, spans)
}

fn read_limits(f: &mut Fields<'_, '_, '_>) -> PoolLimits {
    PoolLimits {
        in_flight: f.integer("in-flight", 1..=1 << 24),
        connections: f.integer("connections", 1..=1 << 24),
        wait_ms: f.ms("wait-ms"),
        waiting: f.integer("waiting", 0..=1 << 20),
        answer_ms: f.ms("answer-ms"),
    }
}

fn read_retry(f: &mut Fields<'_, '_, '_>) -> Retry {
    Retry {
        attempts: f.integer("attempts", 1..=1000),
        budget: f.number("budget", 0.0, 10.0),
        burst: f.integer("burst", 0..=100_000),
    }
}

fn read_recovery(f: &mut Fields<'_, '_, '_>) -> Recovery {
    Recovery {
        failures: f.integer("failures", 1..=1000),
        first_backoff_ms: f.ms("first-ms"),
        max_backoff_ms: f.ms("most-ms"),
        fail_on: read_status_codes(f),
    }
}

/// Status codes, `"500,503"`.
fn read_status_codes(f: &mut Fields<'_, '_, '_>) -> Vec<u16> {
    let Some(Spanned { text, span }) = f.text("fail-on") else { return Vec::new() };
    let codes: Option<Vec<u16>> = text.split(',').map(|code| status_code(code.trim())).collect();
    if codes.is_none() {
        let hint = "write status codes with commas between them: \"500,503\"".to_string();
        f.problems.error(span, format!("`fail-on` can't be `{text}`"), Some(hint));
    }
    codes.unwrap_or_default()
}
