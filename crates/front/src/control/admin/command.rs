//! The commands of the admin interface and their parsing.

/// A parsed admin command.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// `readyz`: whether the process is serving.
    Ready,
    /// `telemetry`: the metrics.
    Telemetry,
    /// `exclude ID`: manually exclude a cache node.
    Exclude(String),
    /// `include ID`: end the manual exclusion of a cache node.
    Include(String),
    /// `evacuate`: start draining the front.
    Evacuate,
    /// `activate`: end the drain.
    Activate,
}

/// Parses one command line.
///
/// # Errors
/// The reason the line is no command; it is sent to the caller after `400 `.
pub fn parse(line: &str) -> Result<AdminCommand, &'static str> {
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
