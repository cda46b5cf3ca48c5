//! The command-line arguments. The doc comments on arguments and variants are shown to users as help texts.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::path::PathBuf;

/// A front for a network of object caches, with tools for its configuration.
#[derive(Debug, Parser)]
#[command(name = "fernslip", version, about)]
pub struct Args {
    /// Format of the log lines.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Lowest level that is logged.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,
    /// Sub-command to execute; the default is `run`.
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve as a front until SIGTERM; SIGHUP reloads the configuration files.
    Run(RunOptions),
    /// Check site documents and report every error in them.
    Check {
        /// Site documents to check.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Print a site document with all defaults filled in.
    Show {
        /// Site document to print.
        file: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t = ShowFormat::Kdl)]
        format: ShowFormat,
    },
    /// Convert another program's configuration to a site document, with a report on every directive.
    Import {
        #[command(subcommand)]
        source: ImportSource,
    },
    /// Query the gossip of a running front.
    Gossip {
        #[command(subcommand)]
        command: GossipCommand,
    },
    /// Query a running front's view of the fleet.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Create, rotate or show the keys that sign gossip messages.
    Keys {
        #[command(subcommand)]
        command: KeysCommand,
    },
    /// Print a shell completion script.
    Completions {
        /// Shell to generate the script for.
        shell: Shell,
    },
}

#[derive(Debug, Default, ClapArgs)]
pub struct RunOptions {
    /// The platform's JSON configuration; the default is the file that RELAY_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Site document to serve from.
    #[arg(long, value_name = "FILE")]
    pub site: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum ShowFormat {
    Kdl,
    Json,
}

#[derive(Debug, Subcommand)]
pub enum ImportSource {
    /// Convert Apache httpd files: mod_proxy with its balancers, and the directives of mod_jk.
    Httpd {
        /// Configuration files, read in this order as if they were one file.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        #[command(flatten)]
        out: ImportOutput,
    },
    /// Convert mod_jk files: workers and mounts.
    Modjk {
        /// A `workers.properties` file; may be repeated.
        #[arg(long, required = true, value_name = "FILE")]
        workers: Vec<PathBuf>,
        /// A `uriworkermap.properties` file; may be repeated.
        #[arg(long, value_name = "FILE")]
        mounts: Vec<PathBuf>,
        /// An httpd file with JkMount and related directives; may be repeated.
        #[arg(long, value_name = "FILE")]
        httpd: Vec<PathBuf>,
        #[command(flatten)]
        out: ImportOutput,
    },
}

#[derive(Debug, Subcommand)]
pub enum GossipCommand {
    /// Show the members, their reports and trust, what is known by hearsay only, and the bytes sent.
    Status {
        /// Path of the front's gossip control socket, as set by `gossip control=`.
        socket: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// List the known fronts and whether all hold the same view; the exit code is 4 if they do not.
    Members {
        /// Path of the front's view control socket, as set by `view control=`.
        socket: PathBuf,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Print the list of `members` at each change, until interrupted.
    Watch {
        /// Path of the front's view control socket, as set by `view control=`.
        socket: PathBuf,
        /// Print each list as one line of JSON.
        #[arg(long)]
        json: bool,
    },
    /// Explain the state of a front: which front reported what, and when.
    Explain {
        /// Path of the front's view control socket, as set by `view control=`.
        socket: PathBuf,
        /// Name of the front to explain.
        name: String,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Print the metrics of the view in the OpenMetrics format.
    Metrics {
        /// Path of the front's view control socket, as set by `view control=`.
        socket: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// Create a key file with one new key; an existing file is never overwritten.
    New {
        /// Path of the key file.
        file: PathBuf,
    },
    /// Execute one step of a key rotation. Install the file on every front and send SIGHUP to each before the
    /// next step.
    Rotate {
        /// Path of the key file.
        file: PathBuf,
        /// Step of the rotation.
        #[arg(long, value_enum)]
        step: RotationStep,
    },
    /// Show the numbers of the keys, without the secret keys.
    Show {
        /// Path of the key file.
        file: PathBuf,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum RotationStep {
    /// Accept a new key; the old one still signs. Copy the file to the other fronts.
    Add,
    /// Sign with the new key; the old one is still accepted.
    Switch,
    /// Remove the old key.
    Drop,
}

#[derive(Debug, ClapArgs)]
pub struct ImportOutput {
    /// File for the site document; the default is standard output.
    #[arg(short, long, value_name = "SITE.kdl")]
    pub output: Option<PathBuf>,
    /// File for the JSON report.
    #[arg(long, value_name = "REPORT.json")]
    pub report: Option<PathBuf>,
    /// Exit with code 3 if the import left anything out.
    #[arg(long)]
    pub strict: bool,
    /// Name of the site.
    #[arg(long, default_value = "imported")]
    pub name: String,
    /// Folder that relative paths in httpd files start from.
    #[arg(long, value_name = "FOLDER")]
    pub root: Option<PathBuf>,
    /// Define a variable, as the `Define` directive does; may be repeated.
    #[arg(short = 'D', long = "define", value_name = "NAME[=VALUE]")]
    pub defines: Vec<String>,
    /// Print no table of the directives to standard error.
    #[arg(short, long)]
    pub quiet: bool,
}
