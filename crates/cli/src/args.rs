//! The command line. Doc comments on arguments and variants are the help texts that users read.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::path::PathBuf;

/// A front for a network of object caches, and the tools around its configuration.
#[derive(Debug, Parser)]
#[command(name = "fernslip", version, about)]
pub struct Args {
    /// Form of the log's lines.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Least level that is logged.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,
    /// What to do; without one: run.
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
    /// Serve as a front until SIGTERM; SIGHUP reads the files again.
    Run(RunOptions),
    /// Read site documents and tell every mistake in them.
    Check {
        /// The documents.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show a site document as it takes effect, with every default filled in.
    Show {
        /// The document.
        file: PathBuf,
        /// As which.
        #[arg(long, value_enum, default_value_t = ShowFormat::Kdl)]
        format: ShowFormat,
    },
    /// Make a site document of another program's files, with a report of every directive.
    Import {
        #[command(subcommand)]
        source: ImportSource,
    },
    /// Ask a running front about its gossip.
    Gossip {
        #[command(subcommand)]
        command: GossipCommand,
    },
    /// Ask a running front about its view of the fleet.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Make, rotate or show the keys that gossip is signed with.
    Keys {
        #[command(subcommand)]
        command: KeysCommand,
    },
    /// Write a shell's completions to standard output.
    Completions {
        /// For which shell.
        shell: Shell,
    },
}

#[derive(Debug, Default, ClapArgs)]
pub struct RunOptions {
    /// The platform's configuration, JSON; without it what RELAY_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The site document.
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
    /// Files of Apache httpd: mod_proxy, its balancers, and mod_jk's directives.
    Httpd {
        /// Read one after the other as if they were one.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        #[command(flatten)]
        out: ImportOutput,
    },
    /// Files of mod_jk: workers and mounts.
    Modjk {
        /// workers.properties.
        #[arg(long, required = true, value_name = "FILE")]
        workers: Vec<PathBuf>,
        /// uriworkermap.properties.
        #[arg(long, value_name = "FILE")]
        mounts: Vec<PathBuf>,
        /// httpd's files that hold JkMount and its kin.
        #[arg(long, value_name = "FILE")]
        httpd: Vec<PathBuf>,
        #[command(flatten)]
        out: ImportOutput,
    },
}

#[derive(Debug, Subcommand)]
pub enum GossipCommand {
    /// Members, words, trust, hearsay and bytes.
    Status {
        /// The front's local socket, as `gossip control=` names it.
        socket: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// The fronts that it knows, and whether all hold the same view; 4 where they don't.
    Members {
        /// The front's local socket, as `view control=` names it.
        socket: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The same again at each change, until it is interrupted.
    Watch {
        /// The front's local socket.
        socket: PathBuf,
        /// As JSON, a line each.
        #[arg(long)]
        json: bool,
    },
    /// Why a front is in its state: who said what, and when.
    Explain {
        /// The front's local socket.
        socket: PathBuf,
        /// The front's name.
        name: String,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The figures of its view, as OpenMetrics.
    Metrics {
        /// The front's local socket.
        socket: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// Make a file with one new key; one that is there is left alone.
    New {
        /// The file.
        file: PathBuf,
    },
    /// Take one step of a rotation: on every front, with SIGHUP to each, before the next.
    Rotate {
        /// The file.
        file: PathBuf,
        /// Which step.
        #[arg(long, value_enum)]
        step: RotationStep,
    },
    /// Show the numbers of the keys, not the keys.
    Show {
        /// The file.
        file: PathBuf,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum RotationStep {
    /// A new key is accepted; the old one signs. Copy the file to the other fronts.
    Add,
    /// The new key signs; the old one is accepted.
    Switch,
    /// The old key is dropped.
    Drop,
}

#[derive(Debug, ClapArgs)]
pub struct ImportOutput {
    /// Where the site document goes; without it to standard output.
    #[arg(short, long, value_name = "SITE.kdl")]
    pub output: Option<PathBuf>,
    /// Where the report goes, as JSON.
    #[arg(long, value_name = "REPORT.json")]
    pub report: Option<PathBuf>,
    /// Exit with 3 if anything was left out.
    #[arg(long)]
    pub strict: bool,
    /// The site's name.
    #[arg(long, default_value = "imported")]
    pub name: String,
    /// Where relative names in httpd's files begin.
    #[arg(long, value_name = "FOLDER")]
    pub root: Option<PathBuf>,
    /// A variable as `Define` sets it.
    #[arg(short = 'D', long = "define", value_name = "NAME[=VALUE]")]
    pub defines: Vec<String>,
    /// No table on standard error.
    #[arg(short, long)]
    pub quiet: bool,
}
