//! Executes the steps of a scenario.

use super::{Awaited, Run};
use crate::fronts::ProcessState;
use crate::links::{Delay, LinkFaults};
use crate::programs::Build;
use crate::scenario::{FaultStep, Goal, Partition, ProcessStep, Selection, Step};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::Duration;

/// The time within which the view must settle between two batches of a roll.
const ROLL_SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

impl Run<'_> {
    /// Executes steps in order, and after each one collects the reports that live fronts are gone.
    pub(super) async fn run_steps(&mut self, steps: &[Step]) -> io::Result<()> {
        for step in steps {
            match step {
                Step::Process(step) => self.run_process_step(step).await?,
                Step::Fault(step) => self.run_fault_step(step),
                Step::Garbage { per_second, duration } => self.send_garbage(*per_second, *duration).await,
                Step::Wait(duration) => self.wait_and_poll(*duration).await,
                Step::Await { goal, within } => self.await_goal(*goal, *within).await,
                Step::Measure(duration) => self.measure_steady_state(*duration).await,
                Step::Repeat { times, steps } => {
                    for _ in 0..*times {
                        Box::pin(self.run_steps(steps)).await?;
                    }
                }
            }
            self.collect_false_positives();
        }
        Ok(())
    }

    async fn run_process_step(&mut self, step: &ProcessStep) -> io::Result<()> {
        match step {
            ProcessStep::Kill(selection) => {
                for i in self.pick_fronts(*selection) {
                    self.fronts.kill(i).await?;
                }
                self.record_event("kill", false);
            }
            ProcessStep::Terminate(selection) => {
                for i in self.pick_fronts(*selection) {
                    self.terminate_front(i).await?;
                }
                self.record_event("term", false);
            }
            ProcessStep::Stop(selection) => {
                for i in self.pick_fronts(*selection) {
                    self.fronts.stop(i)?;
                }
                self.record_event("stop", true);
            }
            ProcessStep::Resume => {
                for i in self.fronts.in_state(ProcessState::Stopped) {
                    self.fronts.resume(i)?;
                }
                self.record_event("go on", false);
            }
            ProcessStep::Roll { build, batch } => self.roll_to_build(*build, *batch).await?,
            ProcessStep::Restart { new_address, build } => {
                for i in self.fronts.in_state(ProcessState::Ended) {
                    let front = &mut self.fronts.all[i];
                    front.build = build.unwrap_or(front.build);
                    self.fronts.restart(i, *new_address).await?;
                }
                self.record_event("restart", false);
            }
            ProcessStep::Join(selection) => {
                for _ in 0..selection.count_of(self.fronts.all.len()) {
                    self.fronts.start_new_front().await?;
                }
                self.record_event("join", false);
            }
        }
        Ok(())
    }

    /// Ends a front with SIGTERM, and records a breach if it does not end in time.
    async fn terminate_front(&mut self, index: usize) -> io::Result<()> {
        if !self.fronts.terminate(index).await? {
            self.record_breach(
                format!("front {} did not end in time after SIGTERM", self.fronts.all[index].name),
                Some(index),
            )
            .await;
        }
        Ok(())
    }

    /// Restarts all fronts that run another build with this one, in batches, and waits after each batch until
    /// the view has settled.
    async fn roll_to_build(&mut self, build: Build, batch: usize) -> io::Result<()> {
        let outdated: Vec<usize> =
            (0..self.fronts.all.len()).filter(|i| self.fronts.all[*i].build != build).collect();
        for fronts in outdated.chunks(batch) {
            for i in fronts {
                self.terminate_front(*i).await?;
                self.fronts.all[*i].build = build;
                self.fronts.restart(*i, false).await?;
            }
            self.record_event("roll", false);
            self.await_goal(Goal::Settled, ROLL_SETTLE_TIMEOUT).await;
        }
        Ok(())
    }

    fn run_fault_step(&mut self, step: &FaultStep) {
        match step {
            FaultStep::Partition(partition) => self.apply_partition(*partition),
            FaultStep::Heal => self.remove_faults(),
            FaultStep::Loss(loss) => {
                self.update_link_faults("loss", *loss > 0.0, |faults| faults.loss = *loss);
            }
            FaultStep::LossyFronts { fronts, loss } => {
                let lossy = self.pick_endpoints(*fronts).into_iter().map(|front| (front, *loss));
                self.update_link_faults("lossy", true, |faults| faults.loss_by_front.extend(lossy));
            }
            FaultStep::Delay { fronts, base_ms, jitter_ms } => {
                let delay = Delay { base_ms: *base_ms, jitter_ms: *jitter_ms };
                let delayed = self.pick_endpoints(*fronts).into_iter().map(|front| (front, delay));
                self.update_link_faults("delay", true, |faults| faults.delays.extend(delayed));
            }
            FaultStep::Disorder { duplicated, reordered } => {
                self.update_link_faults("disorder", true, |faults| {
                    (faults.duplicated, faults.reordered) = (*duplicated, *reordered);
                });
            }
            FaultStep::OneWay(count) => {
                let links = self.pick_one_way_links(*count);
                self.update_link_faults("one way", true, |faults| faults.one_way.extend(links));
            }
            FaultStep::BlockInbound(selection) => {
                let fronts = self.pick_endpoints(*selection);
                self.update_link_faults("deaf", true, |faults| faults.inbound_blocked.extend(fronts));
            }
            FaultStep::DisconnectCacheNodes(selection) => {
                for front in self.pick_endpoints(*selection) {
                    self.fronts.cache_nodes.set_disconnected(front, true);
                }
                self.record_event("boxes cut", true);
            }
        }
    }

    fn apply_partition(&mut self, partition: Partition) {
        let mut fronts: Vec<usize> = self.fronts.all.iter().map(|f| f.endpoint).collect();
        fronts.shuffle(&mut self.rng);
        let side = |position: usize| match partition {
            Partition::Isolated(count) => usize::from(position < count),
            Partition::Sides(sides) => position % sides,
        };
        let sides: BTreeMap<usize, usize> =
            fronts.iter().enumerate().map(|(position, front)| (*front, side(position))).collect();
        self.update_link_faults("partition", true, |faults| faults.sides = sides);
    }

    fn remove_faults(&mut self) {
        self.update_link_faults("heal", false, |faults| *faults = LinkFaults::default());
        for front in &self.fronts.all {
            self.fronts.cache_nodes.set_disconnected(front.endpoint, false);
        }
    }

    /// Chooses `count` links at random, as pairs of sender and receiver; fewer if there are not enough
    /// running fronts.
    fn pick_one_way_links(&mut self, count: usize) -> BTreeSet<(usize, usize)> {
        let mut links = BTreeSet::new();
        while links.len() < count {
            let pair = self.pick_endpoints(Selection::Count(2));
            let [from, to] = pair[..] else { break };
            links.insert((from, to));
        }
        links
    }

    /// Waits for a goal, and records a breach if it is not reached in time.
    async fn await_goal(&mut self, goal: Goal, within: Duration) {
        match self.wait_for_goal(goal, within).await {
            Some(ms) => self.report.awaited.push(Awaited { goal, ms }),
            None => {
                let deviating = self.find_deviating_front(goal).await;
                self.record_breach(
                    format!("the goal {goal:?} was not reached within {} ms", within.as_millis()),
                    deviating,
                )
                .await;
            }
        }
    }
}
