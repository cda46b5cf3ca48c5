//! Executes the commands of the admin interface.

use super::command::AdminCommand;
use super::exclusions::{self, ExclusionChange};
use crate::control::checkpoint_file::CheckpointFile;
use crate::event_loop;
use crate::memory;
use crate::reason_counts::metric_name;
use crate::shared::SharedState;
use fernslip::facade::EndpointCounts;
use std::collections::BTreeMap;
use std::time::Instant;

/// Executes an admin command and returns the lines of its answer.
pub fn execute_command(front: &SharedState, command: AdminCommand) -> String {
    match command {
        AdminCommand::Ready if front.is_ready() => "200 ready\n".into(),
        AdminCommand::Ready => "400 not ready\n".into(),
        AdminCommand::Telemetry => telemetry_lines(front),
        AdminCommand::Exclude(id) | AdminCommand::Include(id) if front.queues.as_slice().is_empty() => {
            format!("400 unknown {id}\n")
        }
        AdminCommand::Exclude(id) => exclusions::set_manual_exclusion(front, &id, ExclusionChange::Exclude),
        AdminCommand::Include(id) => exclusions::set_manual_exclusion(front, &id, ExclusionChange::Include),
        AdminCommand::Evacuate => {
            front.server.set_evacuated(true);
            tracing::info!("admin: evacuating");
            "200 evacuating\n".into()
        }
        AdminCommand::Activate => {
            front.server.set_evacuated(false);
            tracing::info!("admin: active");
            "200 active\n".into()
        }
    }
}

/// Returns the answer to the command `telemetry`: the front's metrics as `name=value` lines.
fn telemetry_lines(front: &SharedState) -> String {
    let queues = front.queues.as_slice();
    let EndpointCounts { listed, draining } =
        queues.first().map(|queue| queue.dispatcher.endpoint_counts()).unwrap_or_default();
    let view = front.fleet.as_ref().map_or(String::new(), |f| f.telemetry_lines());
    let counters = front.metrics.metric_lines(listed, draining);
    let (violations, reasons) = (front.invariants.metric_lines(), front.reason_counts.metric_lines());
    let rejections = rejection_lines(front);
    let worker = event_loop::metric_line() + &front.main_loop_passes.metric_lines(Instant::now());
    let (clients, upstream) = (front.server.memory().accounts(), front.upstream.memory().accounts());
    let bus = [("bus_input", front.bus.input_memory())];
    let checkpoints = front.checkpoint_file.as_ref().map_or(String::new(), CheckpointFile::metric_lines);
    let watch = front.bus.metric_lines() + &checkpoints;
    let memory = memory::metric_lines(&[&clients[..], &upstream, &bus].concat());
    format!("200 telemetry\n{counters}{violations}{reasons}{rejections}{worker}{watch}{memory}{view}EOF\n")
}

/// Returns the number of requests rejected for each reason, summed over the dispatch queues, as lines
/// `relay.given_up.REASON=COUNT`.
fn rejection_lines(front: &SharedState) -> String {
    let mut all: BTreeMap<&'static str, u64> = BTreeMap::new();
    for (reason, n) in front.queues.as_slice().iter().flat_map(|queue| queue.dispatcher.rejection_counts()) {
        *all.entry(reason).or_default() += n;
    }
    all.iter().map(|(reason, n)| format!("relay.given_up.{}={n}\n", metric_name(reason))).collect()
}
