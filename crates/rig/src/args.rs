//! The command line. Doc comments on arguments and variants are the help texts that users read.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Plays scenarios with real fronts on loopback, and faults on the links between them.
#[derive(Debug, Parser)]
#[command(name = "fernslip-rig", version, about)]
pub struct Args {
    /// The sub-command.
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Plays one scenario; 3 where something did not hold.
    Run(RunArgs),
    /// Plays many scenarios with several seeds, a row of figures each; 3 where something did not hold.
    Suite(SuiteArgs),
    /// Plays this build against an earlier landing of the repository: mixed, rolled forward and back; 3 where something
    /// did not hold.
    Pairs(PairsArgs),
    /// Plays overlapping troubles under real fronts with the platform's configuration, a run a seed; 3 where a rule was broken.
    Soak(SoakArgs),
    /// Names the scenarios that come with the rig.
    List,
}

/// Arguments of `run`.
#[derive(Debug, clap::Args)]
pub struct RunArgs {
    /// A document, or the name of one that comes with the rig.
    pub scenario: String,
    /// Fronts; without it what the document says.
    #[arg(long)]
    pub fronts: Option<usize>,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A folder for `result.json` and `members.svg`.
    #[arg(long)]
    pub out: Option<PathBuf>,
    #[command(flatten)]
    pub fleet: FleetArgs,
}

/// Arguments of `suite`.
#[derive(Debug, clap::Args)]
pub struct SuiteArgs {
    /// `view` (all of them) or `main` (the five main ones).
    pub which: String,
    /// Fronts.
    #[arg(long, default_value_t = 9)]
    pub fronts: usize,
    /// Seeds.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub seeds: Vec<u64>,
    /// Only these scenarios.
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// Where the rows go, as JSON; without it to standard output.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// A folder for a picture of each scenario's first seed.
    #[arg(long)]
    pub pictures: Option<PathBuf>,
    #[command(flatten)]
    pub fleet: FleetArgs,
}

/// Arguments of `pairs`.
#[derive(Debug, clap::Args)]
pub struct PairsArgs {
    /// The earlier revision; without it the last landing's, as the repository names it.
    #[arg(long)]
    pub with: Option<String>,
    /// Fronts.
    #[arg(long, default_value_t = 9)]
    pub fronts: usize,
    /// Seeds.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Where the rows go, as JSON; without it to standard output.
    #[arg(long)]
    pub json: Option<PathBuf>,
    #[command(flatten)]
    pub fleet: FleetArgs,
}

/// Arguments of `soak`.
#[derive(Debug, clap::Args)]
pub struct SoakArgs {
    /// Fronts.
    #[arg(long, default_value_t = 24)]
    pub fronts: usize,
    /// Seeds.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// How long troubles come, in seconds.
    #[arg(long, default_value_t = 25)]
    pub seconds: u64,
    /// Requests a second at each front.
    #[arg(long, default_value_t = 15.0)]
    pub load: f64,
    /// No trouble at all.
    #[arg(long = "calm")]
    pub without_faults: bool,
    /// A folder for the fronts' logs.
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// The program; without it the one beside this.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Where the runs go, as JSON; without it to standard output.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Arguments about the fleet that scenarios run with.
#[derive(Debug, clap::Args)]
pub struct FleetArgs {
    /// The program; without it the one beside this.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Stand-in boxes, the origin among them.
    #[arg(long = "boxes", value_name = "BOXES", default_value_t = 4)]
    pub cache_nodes: usize,
    /// Fronts keep no view: for comparing cost.
    #[arg(long)]
    pub without_view: bool,
}
