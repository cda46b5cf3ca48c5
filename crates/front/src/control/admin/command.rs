//! Parses the commands of the admin interface.

/// A parsed command of the admin interface.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// `readyz`: asks whether the front is ready to serve requests.
    Ready,
    /// `telemetry`: asks for the front's metrics.
    Telemetry,
    /// `exclude ID`: manually excludes the cache node with this id.
    Exclude(String),
    /// `include ID`: ends the manual exclusion of the cache node with this id.
    Include(String),
    /// `evacuate`: starts draining the front.
    Evacuate,
    /// `activate`: ends the drain of the front.
    Activate,
}

/// Parses one command line of the admin interface.
///
/// # Errors
/// Returns the reason why the line is not a command; it is sent to the caller after `400 `.
pub fn parse_command(line: &str) -> Result<AdminCommand, &'static str> {
    let mut tokens = line.split_ascii_whitespace();
    let command = match (tokens.next(), tokens.next()) {
        (Some("readyz"), None) => AdminCommand::Ready,
        (Some("telemetry"), None) => AdminCommand::Telemetry,
        (Some("evacuate"), None) => AdminCommand::Evacuate,
        (Some("activate"), None) => AdminCommand::Activate,
        (Some("exclude"), Some(id)) => AdminCommand::Exclude(id.into()),
        (Some("include"), Some(id)) => AdminCommand::Include(id.into()),
        (Some("exclude" | "include"), None) => return Err("an id is wanted"),
        (None, _) => return Err("empty line"),
        _ => return Err("unknown call"),
    };
    match tokens.next() {
        Some(_) => Err("too many words"),
        None => Ok(command),
    }
}
