//! Applies a reloaded configuration to a running front, as far as that is possible without a restart.

use crate::loaded_config::LoadedConfig;
use crate::shared::SharedState;

/// Applies the parts that can change at run time: the bus address, the keys, and the plan of the site
/// document.
pub(crate) fn apply(front: &SharedState, new: LoadedConfig) {
    if let Some(bus) = new.config.bus {
        tracing::info!("reload: bus={bus}; other changes to the configuration require a restart");
        front.bus.set_address(bus);
    }
    if let (Some(gossip), Some(plan)) = (&front.gossip, new.gossip) {
        gossip.set_keys(plan.keys);
    }
    if let (Some(fleet), Some(plan)) = (&front.fleet, new.view) {
        fleet.set_keys(plan.keys);
        fleet.set_configuration(plan.config.configuration);
    }
    if let Some(plan) = new.plan {
        match front.queues.apply_plan(&front.clock, &front.upstream, plan) {
            Ok(changes) => {
                let changes = changes.map_or(String::new(), |c| c.to_string());
                front.announce_members();
                tracing::info!("reload: site: {changes}");
            }
            Err(why) => {
                tracing::warn!(
                    "reload: the old site document stays in effect, because the new one is rejected: {why}"
                );
            }
        }
    }
}
