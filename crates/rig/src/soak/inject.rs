//! Injects the planned faults: starts each one and ends it after its duration.

use super::bus::{BusMode, BUS_ADDRESSES_PER_FRONT};
use super::environment::SoakEnvironment;
use super::nodes::NodeMode;
use super::plan::{FaultKind, PlannedFault, SystemFaultRate};
use crate::shim::MachineFault;
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time for which a front is suspended; a busy machine may delay a process by as much.
const PAUSE_DURATION: Duration = Duration::from_millis(200);
/// Time after the admin command within which a manual exclusion has to take effect.
const EXCLUSION_EFFECT_DELAY: Duration = Duration::from_secs(1);
/// Time between two attempts to include a node again.
const INCLUDE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two purges.
const PURGE_INTERVAL: Duration = Duration::from_millis(2);

impl SoakEnvironment {
    /// Injects one fault and returns when it has ended.
    #[allow(clippy::cognitive_complexity, reason = "each kind of fault has one short match arm")]
    pub async fn inject_fault(&self, planned: PlannedFault) -> io::Result<()> {
        let duration = planned.duration;
        match planned.kind {
            FaultKind::Terminate { front } => {
                self.fronts[front].lock().await.terminate().await;
                self.start_front(front).await?;
            }
            FaultKind::Kill { front } => {
                self.fronts[front].lock().await.kill().await;
                sleep(duration / 8).await;
                self.start_front(front).await?;
            }
            FaultKind::Pause { front } => self.pause_front(front).await,
            FaultKind::Reload { front } => self.reload_front(front).await?,
            FaultKind::Evacuate { front } => {
                let _ = self.fronts[front].lock().await.send_admin_command("evacuate").await;
                sleep(duration).await;
                let _ = self.fronts[front].lock().await.send_admin_command("activate").await;
            }
            FaultKind::Exclude { front, node } => self.exclude_node(front, node, duration).await,
            FaultKind::Node { node, mode } => {
                self.nodes[node].set_mode(mode);
                sleep(duration).await;
                self.nodes[node].set_mode(NodeMode::Healthy);
            }
            FaultKind::StallLink { front, node } => {
                self.nodes[node].set_link_stalled(front, true);
                sleep(duration).await;
                self.nodes[node].set_link_stalled(front, false);
            }
            FaultKind::ReplaceNode { node } => self.replace_node(node, duration).await,
            FaultKind::Bus { front, mode } => {
                self.buses[front].set_mode(mode);
                sleep(duration).await;
                self.buses[front].set_mode(BusMode::Healthy);
            }
            FaultKind::AllBuses { mode } => {
                self.buses.iter().for_each(|bus| bus.set_mode(mode));
                sleep(duration).await;
                self.buses.iter().for_each(|bus| bus.set_mode(BusMode::Healthy));
            }
            FaultKind::Purge { objects } => {
                for object in 0..objects {
                    self.purge_object(object);
                    sleep(PURGE_INTERVAL).await;
                }
            }
            FaultKind::StepWallClock { front, by_ms } => {
                let process = self.fronts[front].lock().await;
                process.settings.faults.set_fault(MachineFault::WallOffsetNs, by_ms * 1_000_000)?;
            }
            FaultKind::SystemCalls { front, rates } => self.fail_system_calls(front, rates, duration).await?,
            FaultKind::FaultyClients { front, count } => {
                self.clients
                    .run_faulty_clients(self.addresses.client_listen_address(front), count, duration)
                    .await;
            }
        }
        Ok(())
    }

    async fn pause_front(&self, front: usize) {
        let process = self.fronts[front].lock().await;
        process.send_signal(Signal::STOP);
        sleep(PAUSE_DURATION).await;
        process.send_signal(Signal::CONT);
        // The pause counts as lateness of the machine, since the front could do nothing meanwhile.
        self.checker.record_lateness(PAUSE_DURATION);
    }

    /// Makes a front reload its configuration with one of its two bus addresses, chosen at random, and
    /// sometimes with the other one immediately after.
    async fn reload_front(&self, front: usize) -> io::Result<()> {
        let process = self.fronts[front].lock().await;
        let mut config: Value =
            serde_json::from_str(&std::fs::read_to_string(&process.config)?).unwrap_or_default();
        let addresses = self.buses[front].addresses;
        let chosen = self.rng.random_range(0..BUS_ADDRESSES_PER_FRONT as u64) as usize;
        config["bus"] = addresses[chosen].to_string().into();
        std::fs::write(&process.config, config.to_string())?;
        process.send_signal(Signal::HUP);
        if self.rng.random_bool(0.3) {
            config["bus"] = addresses[1 - chosen].to_string().into();
            std::fs::write(&process.config, config.to_string())?;
            process.send_signal(Signal::HUP);
        }
        Ok(())
    }

    async fn exclude_node(&self, front: usize, node: usize, duration: Duration) {
        let id = &self.nodes[node].id;
        let answer = self.fronts[front].lock().await.send_admin_command(&format!("exclude {id}")).await;
        if !answer.is_ok_and(|a| a.starts_with("200")) {
            self.checker.increment_count("exclusions refused");
            return;
        }
        self.checker.on_exclusion_promised(front, node, Instant::now() + EXCLUSION_EFFECT_DELAY);
        sleep(duration).await;
        // The front stores the exclusion in its folder, and so it outlasts the process. The command is
        // repeated until it succeeds, because the front may be down.
        self.checker.on_exclusion_revoked(front, node);
        let include = format!("include {id}");
        while !self.fronts[front]
            .lock()
            .await
            .send_admin_command(&include)
            .await
            .is_ok_and(|answer| !answer.contains("kept"))
        {
            sleep(INCLUDE_RETRY_INTERVAL).await;
        }
    }

    async fn replace_node(&self, node: usize, duration: Duration) {
        self.drain_node(node);
        sleep(duration).await;
        self.remove_node(node);
        self.nodes[node].set_mode(NodeMode::Dead);
        sleep(duration / 2).await;
        self.nodes[node].set_mode(NodeMode::Healthy);
        self.restore_node(node);
    }

    async fn fail_system_calls(
        &self,
        front: usize,
        rates: Vec<SystemFaultRate>,
        duration: Duration,
    ) -> io::Result<()> {
        for rate in rates {
            self.fronts[front].lock().await.settings.faults.set_fault(rate.fault, rate.per_thousand)?;
        }
        sleep(duration).await;
        self.fronts[front].lock().await.settings.faults.clear_rates()
    }
}
