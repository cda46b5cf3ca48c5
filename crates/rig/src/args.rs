//! The command line of the rig. Doc comments on arguments and variants are shown as help texts.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Runs scenarios with real front processes on loopback and injects faults on the links between them.
#[derive(Debug, Parser)]
#[command(name = "fernslip-rig", version, about)]
pub struct Args {
    /// The sub-command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// The sub-commands of the rig.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs one scenario; exit code 3 if a check failed.
    Run(RunArgs),
    /// Runs several scenarios with several seeds, with one row of results for each; exit code 3 if a check
    /// failed.
    Suite(SuiteArgs),
    /// Runs this build together with an earlier revision: mixed, rolled forward and rolled back; exit code 3
    /// if a check failed.
    Pairs(PairsArgs),
    /// Runs real fronts with the example configuration under overlapping faults, once for each seed; exit
    /// code 3 if a rule was broken.
    Soak(SoakArgs),
    /// Lists the names of the bundled scenarios.
    List,
}

/// The arguments of the sub-command `run`.
#[derive(Debug, clap::Args)]
pub struct RunArgs {
    /// Path of a scenario document, or the name of a bundled scenario.
    pub scenario: String,
    /// Number of fronts; by default the number given in the scenario document.
    #[arg(long)]
    pub fronts: Option<usize>,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder to which `result.json` and `members.svg` are written.
    #[arg(long)]
    pub out: Option<PathBuf>,
    #[command(flatten)]
    pub fleet: FleetArgs,
}

/// The arguments of the sub-command `suite`.
#[derive(Debug, clap::Args)]
pub struct SuiteArgs {
    /// `view` (all bundled scenarios) or `main` (the five main ones).
    pub which: String,
    /// Number of fronts.
    #[arg(long, default_value_t = 9)]
    pub fronts: usize,
    /// Seeds, separated by commas; there is one run for each.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub seeds: Vec<u64>,
    /// Run only these scenarios, separated by commas.
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// File to which the rows are written as JSON; standard output by default.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Folder for a chart of each scenario's run with the first seed.
    #[arg(long)]
    pub pictures: Option<PathBuf>,
    #[command(flatten)]
    pub fleet: FleetArgs,
}

/// The arguments of the sub-command `pairs`.
#[derive(Debug, clap::Args)]
pub struct PairsArgs {
    /// The earlier revision; by default the revision in the file LANDING of this build.
    #[arg(long)]
    pub with: Option<String>,
    /// Number of fronts.
    #[arg(long, default_value_t = 9)]
    pub fronts: usize,
    /// Seeds, separated by commas; there is one run for each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// File to which the rows are written as JSON; standard output by default.
    #[arg(long)]
    pub json: Option<PathBuf>,
    #[command(flatten)]
    pub fleet: FleetArgs,
}

/// The arguments of the sub-command `soak`.
#[derive(Debug, clap::Args)]
pub struct SoakArgs {
    /// Number of fronts.
    #[arg(long, default_value_t = 24)]
    pub fronts: usize,
    /// Seeds, separated by commas; there is one run for each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// How long faults are injected, in seconds.
    #[arg(long, default_value_t = 25)]
    pub seconds: u64,
    /// Requests per second sent to each front.
    #[arg(long, default_value_t = 15.0)]
    pub load: f64,
    /// Inject no faults.
    #[arg(long = "calm")]
    pub without_faults: bool,
    /// Folder to which the logs of the fronts are written.
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Path of the program under test; by default `fernslip` in the folder of this executable.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// File to which the runs are written as JSON; standard output by default.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// The arguments that describe the fleet in which scenarios are run.
#[derive(Debug, clap::Args)]
pub struct FleetArgs {
    /// Path of the program under test; by default `fernslip` in the folder of this executable.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Number of simulated cache nodes, including the origin; at least 4.
    #[arg(long = "boxes", value_name = "BOXES", default_value_t = 4)]
    pub cache_nodes: usize,
    /// Run the fronts without a membership view, to compare their cost.
    #[arg(long)]
    pub without_view: bool,
}
