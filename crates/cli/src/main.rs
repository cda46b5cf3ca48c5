//! One front, told all by its environment.

use fernslip_front::{config::Config, start};
use std::process::ExitCode;

fn main() -> ExitCode {
    let ended =
        Config::from_env().map_err(|e| e.to_string()).and_then(|c| start(c).map_err(|e| e.to_string()));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("fernslip: {why}");
            ExitCode::FAILURE
        }
    }
}
