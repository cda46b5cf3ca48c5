//! Output functions of all sub-commands: results go to standard output, failures to standard error.

use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;

/// Prints an error to standard error and returns the exit code of a failure.
pub fn fail(error: impl Display) -> ExitCode {
    eprintln!("fernslip: {error}");
    ExitCode::FAILURE
}

/// Writes `text` to standard output and returns the exit code. A closed pipe is not a failure.
pub fn print(text: &str) -> ExitCode {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
            fail(format!("cannot write to standard output: {e}"))
        }
        _ => ExitCode::SUCCESS,
    }
}
