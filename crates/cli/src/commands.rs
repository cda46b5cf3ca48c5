//! Dispatch and implementation of the sub-commands.
//!
//! Exit codes: 0 for success, 1 for a failure, 2 for a usage error (clap's own), 3 when `import --strict` left something
//! out, 4 when `fleet members` finds a view that has not settled (see [`crate::fleet`]).

use crate::args::{
    Args, Command, GossipCommand, ImportOutput, ImportSource, KeysCommand, LogFormat, LogLevel, RotationStep,
    RunOptions, ShowFormat,
};
use crate::files::write_all;
use crate::fleet;
use crate::output::{fail, print};
use clap::CommandFactory;
use clap_complete::Shell;
use fernslip_front::keyfile;
use fernslip_front::log::{install, Format};
use fernslip_front::reload::{self, Signals};
use fernslip_import::{Disk, Imported, Options, Verdict};
use fernslip_site::{ParsedSite, Site};
use std::io::{self, Read as _};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// Read timeout on a front's local control socket.
const CONTROL_SOCKET_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code when `--strict` is given and the import left something out.
const EXIT_INCOMPLETE_IMPORT: u8 = 3;

/// Runs the sub-command that was parsed; without one, serves as a front.
pub fn run(args: Args) -> ExitCode {
    match args.command {
        None => serve(RunOptions::default(), args.log_format, args.log_level),
        Some(Command::Run(options)) => serve(options, args.log_format, args.log_level),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Show { file, format }) => show(&file, format),
        Some(Command::Import { source }) => import(source),
        Some(Command::Gossip { command: GossipCommand::Status { socket } }) => gossip_status(&socket),
        Some(Command::Fleet { command }) => fleet::run(&command),
        Some(Command::Keys { command }) => keys(&command),
        Some(Command::Completions { shell }) => completions(shell),
    }
}

/// Serves as a front until SIGTERM.
fn serve(options: RunOptions, format: LogFormat, level: LogLevel) -> ExitCode {
    let format = match format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let max_level = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    // Installed before any file is read: the default action of either signal would end the process.
    let signals = match Signals::catch() {
        Ok(signals) => signals,
        Err(error) => return fail(error),
    };
    let start = match reload::read(options.config, options.site) {
        Ok(start) => start,
        Err(error) => return fail(error),
    };
    // The guard flushes buffered log lines when it is dropped, so it must live until the front has stopped.
    let _guard = match install(format, max_level) {
        Ok(guard) => guard,
        Err(error) => return fail(error),
    };
    match fernslip_front::start(start, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

/// Prints a site document with every default filled in.
fn show(file: &Path, format: ShowFormat) -> ExitCode {
    match read(file) {
        Ok(read) => {
            let site = read.site.effective();
            print(&match format {
                ShowFormat::Kdl => site.to_kdl(),
                ShowFormat::Json => site.to_json() + "\n",
            })
        }
        Err(error) => fail(error),
    }
}

/// Prints the shell completions.
fn completions(shell: Shell) -> ExitCode {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "fernslip", &mut script);
    print(&String::from_utf8_lossy(&script))
}

/// Prints the gossip status of a running front.
fn gossip_status(socket: &Path) -> ExitCode {
    match read_gossip_status(socket) {
        Ok(text) => print(&text),
        Err(error) => fail(format!("{}: {error}", socket.display())),
    }
}

/// Reads the status that a front writes to every connection on its gossip control socket.
fn read_gossip_status(socket: &Path) -> io::Result<String> {
    let mut front = UnixStream::connect(socket)?;
    front.set_read_timeout(Some(CONTROL_SOCKET_TIMEOUT))?;
    let mut text = String::new();
    front.read_to_string(&mut text)?;
    Ok(text)
}

/// Creates, rotates or shows a key file, and prints the key numbers it then holds.
fn keys(command: &KeysCommand) -> ExitCode {
    let (file, result) = match command {
        KeysCommand::New { file } => (file, keyfile::create(file)),
        KeysCommand::Rotate { file, step } => {
            let step = match step {
                RotationStep::Add => keyfile::Step::Add,
                RotationStep::Switch => keyfile::Step::Switch,
                RotationStep::Drop => keyfile::Step::Drop,
            };
            (file, keyfile::rotate(file, step))
        }
        KeysCommand::Show { file } => (file, keyfile::read(file)),
    };
    match result {
        Ok(ring) => {
            let accepted: Vec<String> = ring.accepted_keys().iter().map(u8::to_string).collect();
            print(&format!("signs {}, accepts {}\n", ring.signing_key(), accepted.join(" and ")))
        }
        Err(error) => fail(format!("{}: {error}", file.display())),
    }
}

/// Reads and parses one site document; the error names the file.
fn read(file: &Path) -> Result<ParsedSite, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Site::parse(&name, &text).map_err(|e| e.to_string())
}

/// Checks every document and reports all of their errors and warnings before the exit code is decided.
fn check(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match read(file) {
            Ok(read) => report_checked(file, &read),
            Err(error) => {
                eprintln!("{error}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

/// Prints the warnings and the summary of a document that parsed.
fn report_checked(file: &Path, read: &ParsedSite) {
    let name = file.display();
    for warning in &read.warnings {
        eprintln!("{name}:{}:{}: warning: {warning}", warning.line, warning.column);
        warning.hint.iter().for_each(|hint| eprintln!("  hint: {hint}"));
    }
    let site = &read.site;
    let rules: usize = site.routes.iter().map(|route| route.rules.len()).sum();
    let (members, pools) = (site.members.len(), site.pools.len());
    println!("{name}: fine: {members} members, {pools} pools, {rules} routes");
    for member in site.members.iter().filter(|m| m.protocol.is_some_and(|p| !p.is_supported())) {
        let protocol = member.protocol.map_or("", fernslip_site::Keyword::keyword);
        eprintln!("{name}: note: `{}` speaks {protocol}, which `run` can't serve from yet", member.id);
    }
}

/// Converts another program's files, writes the document and the report, and prints what has no file of its own.
fn import(source: ImportSource) -> ExitCode {
    let (imported, out) = match source {
        ImportSource::Httpd { files, out } => {
            (fernslip_import::httpd(&Disk, &files, &import_options(&out)), out)
        }
        ImportSource::Modjk { workers, mounts, httpd, out } => {
            (fernslip_import::modjk(&Disk, &workers, &mounts, &httpd, &import_options(&out)), out)
        }
    };
    let Imported { site, report } = match imported {
        Ok(imported) => imported,
        Err(error) => return fail(error),
    };
    let text = site.to_kdl();
    // Parsed back before it is written: a document that can't be read would otherwise be noticed only by the operators.
    if let Err(error) = Site::parse("the imported document", &text) {
        return fail(format!("this is a mistake of the importer, please report it: {error}"));
    }
    let json = report.to_json();
    let files: Vec<(&Path, &str)> = [(&out.output, &text), (&out.report, &json)]
        .into_iter()
        .filter_map(|(path, text)| Some((path.as_deref()?, text.as_str())))
        .collect();
    if let Err(error) = write_all(&files) {
        return fail(error);
    }
    if !out.quiet {
        eprint!("{}", report.to_table());
    }
    if out.output.is_none() && print(&text) != ExitCode::SUCCESS {
        return ExitCode::FAILURE;
    }
    match out.strict && report.count(Verdict::Omitted) > 0 {
        true => ExitCode::from(EXIT_INCOMPLETE_IMPORT),
        false => ExitCode::SUCCESS,
    }
}

/// The importer's options as the command line gives them; a define without `=` has an empty value.
fn import_options(out: &ImportOutput) -> Options {
    Options {
        name: out.name.clone(),
        root: out.root.clone(),
        defines: out
            .defines
            .iter()
            .map(|d| d.split_once('=').map_or((d.clone(), String::new()), |(n, v)| (n.into(), v.into())))
            .collect(),
    }
}
