//! The `fernslip` program. Without arguments it serves as a front with the configuration that `RELAY_CONFIG`
//! names.

mod args;
mod commands;
mod files;
mod fleet;
mod output;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(args::Args::parse())
}
