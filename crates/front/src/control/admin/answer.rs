//! Executing the commands of the admin interface.

use super::command::AdminCommand;
use super::exclusions::{self, Membership};
use crate::reason_counts::figure;
use crate::shared::Shared;
use fernslip::facade::EndpointCounts;
use std::collections::BTreeMap;

/// Executes a command; returns the lines of its answer.
pub fn answer(front: &Shared, command: AdminCommand) -> String {
    match command {
        AdminCommand::Ready if front.is_ready() => "200 ready\n".into(),
        AdminCommand::Ready => "400 not ready\n".into(),
        AdminCommand::Telemetry => telemetry(front),
        AdminCommand::Exclude(id) | AdminCommand::Include(id) if front.queues.all().is_empty() => {
            format!("400 unknown {id}\n")
        }
        AdminCommand::Exclude(id) => exclusions::set(front, &id, Membership::Excluded),
        AdminCommand::Include(id) => exclusions::set(front, &id, Membership::Included),
        AdminCommand::Evacuate => {
            front.server.evacuate(true);
            tracing::info!("admin: evacuating");
            "200 evacuating\n".into()
        }
        AdminCommand::Activate => {
            front.server.evacuate(false);
            tracing::info!("admin: active");
            "200 active\n".into()
        }
    }
}

/// The answer to `telemetry`: the front's metrics as `name=value` lines.
fn telemetry(front: &Shared) -> String {
    let queues = front.queues.all();
    let EndpointCounts { listed, avoided } =
        queues.first().map(|queue| queue.dispatcher.endpoint_counts()).unwrap_or_default();
    let view = front.fleet.as_ref().map_or(String::new(), |f| f.lines());
    let figures = front.metrics.lines(listed, avoided);
    let (violations, reasons) = (front.invariants.lines(), front.reason_counts.lines());
    let given_up = given_up_lines(front);
    format!("200 telemetry\n{figures}{violations}{reasons}{given_up}{view}EOF\n")
}

/// Requests given up, summed over the dispatch queues by reason: one line each, `relay.given_up.REASON=COUNT`.
fn given_up_lines(front: &Shared) -> String {
    let mut all: BTreeMap<&'static str, u64> = BTreeMap::new();
    for (reason, n) in front.queues.all().iter().flat_map(|queue| queue.dispatcher.given_up()) {
        *all.entry(reason).or_default() += n;
    }
    all.iter().map(|(reason, n)| format!("relay.given_up.{}={n}\n", figure(reason))).collect()
}
