//! Runs a scenario with one seed: executes its steps, checks the goals and request rules, and measures the
//! fronts.
//!
//! - [`report`]: holds the result of a run.
//! - `steps`: executes the scenario's steps.
//! - `observe`: polls the fronts, checks goals, and measures the cost of steady state.
//! - `garbage`: sends malformed and replayed datagrams to fronts.

mod garbage;
mod observe;
pub mod report;
mod steps;

pub use report::{Awaited, Breach, Event, RunReport, Sample};

use crate::addresses::LoopbackAddresses;
use crate::cache_nodes::CacheNodes;
use crate::fronts::{Fronts, ProcessState};
use crate::links::{LinkFaults, Links};
use crate::load::{LoadGenerator, CLIENT_TIMEOUT};
use crate::programs::Programs;
use crate::scenario::{Goal, Scenario, Selection};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The time within which all fronts must settle after their start. Otherwise the steps are not executed.
const INITIAL_SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long clients send requests before the first step.
const LOAD_WARM_UP: Duration = Duration::from_secs(1);
/// The number of addresses beyond two for each front, for restarts at other addresses and for fronts that
/// join.
const SPARE_ADDRESSES: usize = 50;

/// The options with which a scenario is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The programs that the fronts run.
    pub programs: Programs,
    /// The number of fronts at the start; `None` for the number given in the scenario.
    pub fronts: Option<usize>,
    /// The seed of all random decisions.
    pub seed: u64,
    /// The folder in which the run creates a folder for its files. Its path must be short, since the files
    /// include Unix sockets.
    pub tmp: PathBuf,
    /// The number of simulated cache nodes, including the origin.
    pub cache_nodes: usize,
    /// Whether fronts maintain a membership view. Without one, only CPU, load and the request rules are
    /// measured.
    pub with_view: bool,
}

/// Link faults that were replaced at a time in the past.
struct PastFaults {
    faults: LinkFaults,
    until: Instant,
}

/// A run in progress.
struct Run<'a> {
    options: &'a Options,
    scenario: &'a Scenario,
    fronts: Fronts,
    load: Arc<LoadGenerator>,
    rng: ChaCha8Rng,
    started: Instant,
    /// When the last event happened. The time until a goal is reached is measured from it.
    last_event: Instant,
    /// Recent link faults, retained because reports that they caused may still be spreading.
    past_faults: Vec<PastFaults>,
    report: RunReport,
}

/// Runs a scenario. Failed checks are not errors; they are recorded in [`RunReport::breaches`].
///
/// # Errors
/// An address can't be bound, a file can't be written, or a process can't be started.
pub async fn run_scenario(scenario: &Scenario, options: &Options) -> io::Result<RunReport> {
    let dir = tempfile::Builder::new().prefix("fernslip-rig-").tempdir_in(&options.tmp)?;
    let count = options.fronts.unwrap_or(scenario.fronts);
    let addresses = Arc::new(LoopbackAddresses::reserve(count * 2 + SPARE_ADDRESSES)?);
    let links = Links::new(addresses.clone(), options.seed);
    let cache_nodes = CacheNodes::new(addresses.clone(), options.cache_nodes);
    let programs = options.programs.clone();
    let fronts = Fronts::new(addresses, dir.path(), programs, links, cache_nodes, options.with_view)?;
    let mut run = Run {
        options,
        scenario,
        fronts,
        load: LoadGenerator::new(),
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        started: Instant::now(),
        last_event: Instant::now(),
        past_faults: Vec::new(),
        report: RunReport {
            name: scenario.name.clone(),
            fronts: count,
            seed: options.seed,
            ..RunReport::default()
        },
    };
    run.start_fronts(count).await?;
    run.start_load(count).await;
    if run.report.breaches.is_empty() {
        run.run_steps(&scenario.steps).await?;
    }
    run.finish_run().await;
    Ok(run.report)
}

impl Run<'_> {
    async fn start_fronts(&mut self, count: usize) -> io::Result<()> {
        for _ in 0..count {
            self.fronts.start_new_front().await?;
        }
        self.last_event = Instant::now();
        if self.options.with_view {
            match self.wait_for_goal(Goal::Settled, INITIAL_SETTLE_TIMEOUT).await {
                Some(ms) => self.report.start_ms = ms,
                None => self.record_breach("the fronts did not settle after their start".into(), None).await,
            }
        }
        Ok(())
    }

    async fn start_load(&mut self, count: usize) {
        let per_front = self.scenario.load / count as f64;
        if per_front > 0.0 {
            for i in 0..count {
                let seed = self.options.seed.wrapping_add(i as u64);
                let accountable = self.fronts.all[i].accountable.clone();
                self.load.add_client(self.fronts.client_address(i), per_front, seed, accountable);
            }
            sleep(LOAD_WARM_UP).await;
        }
    }

    /// Returns the time since the run began, in milliseconds.
    fn elapsed_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Records an event. `begins_fault` says whether a fault lasts from this event on.
    fn record_event(&mut self, name: &str, begins_fault: bool) {
        let at_ms = self.elapsed_ms();
        self.report.events.push(Event { at_ms, name: name.into(), begins_fault });
        self.last_event = Instant::now();
    }

    /// Changes the faults on the links and records the change as an event.
    fn update_link_faults(&mut self, event: &str, begins_fault: bool, update: impl FnOnce(&mut LinkFaults)) {
        self.past_faults.push(PastFaults { faults: self.fronts.links.faults(), until: Instant::now() });
        self.fronts.links.update_faults(update);
        self.record_event(event, begins_fault);
    }

    /// Chooses running fronts at random and returns their indices. At least one front is never chosen, so
    /// that it can report on the others.
    fn pick_fronts(&mut self, selection: Selection) -> Vec<usize> {
        let running = self.fronts.in_state(ProcessState::Running);
        let count = selection.count_of(running.len()).min(running.len().saturating_sub(1));
        running.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Chooses running fronts at random and returns the indices of their endpoints.
    fn pick_endpoints(&mut self, selection: Selection) -> Vec<usize> {
        self.pick_fronts(selection).into_iter().map(|i| self.fronts.all[i].endpoint).collect()
    }

    /// Records a breach with the summaries and log lines of the front concerned and of the first running
    /// front.
    async fn record_breach(&mut self, description: String, front: Option<usize>) {
        let at_ms = self.elapsed_ms();
        let mut evidence = Vec::new();
        let first_running = self.fronts.in_state(ProcessState::Running).first().copied();
        for i in front.into_iter().chain(first_running) {
            if let Some(summary) = self.fronts.query(i, "summary").await {
                evidence.push(summary.to_string());
            }
            evidence.extend(self.fronts.last_log_lines(i, 12));
        }
        self.report.breaches.push(Breach { description, at_ms, evidence });
    }

    /// Stops the load and makes the checks that concern the entire run.
    async fn finish_run(&mut self) {
        self.load.stop();
        self.collect_false_positives();
        if self.options.with_view && self.report.breaches.is_empty() {
            self.count_stale_members().await;
        }
        if self.scenario.load > 0.0 {
            self.check_load().await;
        }
        let violations = self.fronts.cache_nodes.violations();
        self.report.rule_violations = violations.count;
        if violations.count > 0 {
            let at_ms = self.elapsed_ms();
            let description = "the cache nodes detected simultaneous attempts or repeated writes".into();
            self.report.breaches.push(Breach { description, at_ms, evidence: violations.texts });
        }
    }

    async fn check_load(&mut self) {
        // The last requests get a quarter of the client timeout for their answers.
        sleep(CLIENT_TIMEOUT / 4).await;
        let outcomes = self.load.outcomes();
        self.report.load = outcomes.to_json();
        let not_served = outcomes.errors + outcomes.unanswered + outcomes.unexpected;
        if self.scenario.serves_all && not_served > 0 {
            let description = format!(
                "{not_served} requests were not served, although only links between fronts had faults"
            );
            self.record_breach(description, None).await;
        }
        if outcomes.served == 0 {
            self.record_breach("no request was served, so the run was not under load".into(), None).await;
        }
    }
}
