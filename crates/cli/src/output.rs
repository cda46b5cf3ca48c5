//! What every sub-command prints: results on standard output, failures on standard error.

use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;

/// Reports a failure on standard error; the exit code to return with.
pub fn fail(error: impl Display) -> ExitCode {
    eprintln!("fernslip: {error}");
    ExitCode::FAILURE
}

/// Writes to standard output. A reader that has closed its end of a pipe is no failure.
pub fn print(text: &str) -> ExitCode {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => fail(format!("standard output: {e}")),
        _ => ExitCode::SUCCESS,
    }
}
