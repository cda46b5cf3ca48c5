//! Injects the planned faults, each from its beginning to its end.

use super::bus::{BusMode, ADDRESSES_PER_FRONT};
use super::environment::Environment;
use super::nodes::NodeMode;
use super::plan::{FaultKind, PlannedFault, SystemFaultRate};
use crate::shim::MachineFault;
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a paused front stands still: as long as a busy machine may keep it from running.
const PAUSE: Duration = Duration::from_millis(200);
/// An exclusion by hand takes effect within this time of the command.
const EXCLUSION_DELAY: Duration = Duration::from_secs(1);
/// Between two attempts to include a node again.
const INCLUDE_RETRY: Duration = Duration::from_millis(100);
/// Between two purges.
const PURGE_INTERVAL: Duration = Duration::from_millis(2);

impl Environment {
    /// Injects one fault; returns when it is over.
    #[allow(clippy::cognitive_complexity, reason = "one arm a kind of fault, each a few lines")]
    pub async fn inject(&self, planned: PlannedFault) -> io::Result<()> {
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
            FaultKind::Pause { front } => self.pause(front).await,
            FaultKind::Reload { front } => self.reload(front).await?,
            FaultKind::Evacuate { front } => {
                let _ = self.fronts[front].lock().await.admin_command("evacuate").await;
                sleep(duration).await;
                let _ = self.fronts[front].lock().await.admin_command("activate").await;
            }
            FaultKind::Exclude { front, node } => self.exclude(front, node, duration).await,
            FaultKind::Node { node, mode } => {
                self.nodes[node].set_mode(mode);
                sleep(duration).await;
                self.nodes[node].set_mode(NodeMode::Healthy);
            }
            FaultKind::StallLink { front, node } => {
                self.nodes[node].set_stalled(front, true);
                sleep(duration).await;
                self.nodes[node].set_stalled(front, false);
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
                    self.purge(object);
                    sleep(PURGE_INTERVAL).await;
                }
            }
            FaultKind::StepWallClock { front, by_ms } => {
                let process = self.fronts[front].lock().await;
                process.settings.faults.set(MachineFault::WallOffsetNs, by_ms * 1_000_000)?;
            }
            FaultKind::SystemCalls { front, rates } => self.fail_system_calls(front, rates, duration).await?,
            FaultKind::FaultyClients { front, count } => {
                self.clients.run_faulty(self.addresses.client_listen(front), count, duration).await;
            }
        }
        Ok(())
    }

    async fn pause(&self, front: usize) {
        let process = self.fronts[front].lock().await;
        process.signal(Signal::STOP);
        sleep(PAUSE).await;
        process.signal(Signal::CONT);
        // The front is not to blame for what it could not do meanwhile.
        self.checker.note_lateness(PAUSE);
    }

    /// Reloads a front with another address of the bus, and sometimes with the first one again right after.
    async fn reload(&self, front: usize) -> io::Result<()> {
        let process = self.fronts[front].lock().await;
        let mut config: Value =
            serde_json::from_str(&std::fs::read_to_string(&process.config)?).unwrap_or_default();
        let addresses = self.buses[front].addresses;
        let chosen = self.rng.number(0..ADDRESSES_PER_FRONT as u64) as usize;
        config["bus"] = addresses[chosen].to_string().into();
        std::fs::write(&process.config, config.to_string())?;
        process.signal(Signal::HUP);
        if self.rng.chance(0.3) {
            config["bus"] = addresses[1 - chosen].to_string().into();
            std::fs::write(&process.config, config.to_string())?;
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    async fn exclude(&self, front: usize, node: usize, duration: Duration) {
        let id = &self.nodes[node].id;
        let answer = self.fronts[front].lock().await.admin_command(&format!("exclude {id}")).await;
        if !answer.is_ok_and(|a| a.starts_with("200")) {
            self.checker.count("exclusions refused");
            return;
        }
        self.checker.exclusion_promised(front, node, Instant::now() + EXCLUSION_DELAY);
        sleep(duration).await;
        // The exclusion outlasts the process, whose folder is durable, and so it is revoked until that succeeds.
        self.checker.exclusion_revoked(front, node);
        let include = format!("include {id}");
        while !self.fronts[front]
            .lock()
            .await
            .admin_command(&include)
            .await
            .is_ok_and(|answer| !answer.contains("kept"))
        {
            sleep(INCLUDE_RETRY).await;
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
            self.fronts[front].lock().await.settings.faults.set(rate.fault, rate.per_thousand)?;
        }
        sleep(duration).await;
        self.fronts[front].lock().await.settings.faults.clear_rates()
    }
}
