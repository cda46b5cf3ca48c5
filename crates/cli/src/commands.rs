//! Dispatch and implementation of the sub-commands.
//!
//! Exit codes: 0 for success, 1 for a failure, 2 for a usage error (set by clap), 3 if `import --strict` left
//! something out, 4 if `fleet members` finds a view that has not settled (see [`crate::fleet`]).

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
use fernslip_import::{DiskFiles, Imported, Options, Verdict};
use fernslip_site::{ParsedSite, Site};
use std::io::{self, Read as _};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// How long a read from a front's gossip control socket may take.
const CONTROL_SOCKET_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The exit code if `--strict` is given and the import left something out.
const EXIT_INCOMPLETE_IMPORT: u8 = 3;

/// Runs the parsed sub-command, or serves as a front if there is none.
pub fn run(args: Args) -> ExitCode {
    match args.command {
        None => serve(RunOptions::default(), args.log_format, args.log_level),
        Some(Command::Run(options)) => serve(options, args.log_format, args.log_level),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Show { file, format }) => show(&file, format),
        Some(Command::Import { source }) => import(source),
        Some(Command::Gossip { command: GossipCommand::Status { socket } }) => print_gossip_status(&socket),
        Some(Command::Fleet { command }) => fleet::run(&command),
        Some(Command::Keys { command }) => manage_keys(&command),
        Some(Command::Completions { shell }) => print_completions(shell),
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
    // The handlers are installed before any file is read: the default action of SIGHUP or SIGTERM ends the
    // process.
    let signals = match Signals::install_handlers() {
        Ok(signals) => signals,
        Err(error) => return fail(error),
    };
    let start = match reload::read_with_retries(options.config, options.site) {
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
    match read_document(file) {
        Ok(read) => {
            let site = read.site.with_defaults();
            print(&match format {
                ShowFormat::Kdl => site.to_kdl(),
                ShowFormat::Json => site.to_json() + "\n",
            })
        }
        Err(error) => fail(error),
    }
}

/// Prints the completion script for a shell.
fn print_completions(shell: Shell) -> ExitCode {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "fernslip", &mut script);
    print(&String::from_utf8_lossy(&script))
}

/// Prints the gossip status of a running front.
fn print_gossip_status(socket: &Path) -> ExitCode {
    match read_gossip_status(socket) {
        Ok(text) => print(&text),
        Err(error) => fail(format!("{}: {error}", socket.display())),
    }
}

/// Reads the status that a front writes to each connection on its gossip control socket.
fn read_gossip_status(socket: &Path) -> io::Result<String> {
    let mut front = UnixStream::connect(socket)?;
    front.set_read_timeout(Some(CONTROL_SOCKET_READ_TIMEOUT))?;
    let mut text = String::new();
    front.read_to_string(&mut text)?;
    Ok(text)
}

/// Creates, rotates or reads a key file, and prints the numbers of the keys that it then holds.
fn manage_keys(command: &KeysCommand) -> ExitCode {
    let (file, result) = match command {
        KeysCommand::New { file } => (file, keyfile::create_key_file(file)),
        KeysCommand::Rotate { file, step } => {
            let step = match step {
                RotationStep::Add => keyfile::RotationStep::Add,
                RotationStep::Switch => keyfile::RotationStep::Switch,
                RotationStep::Drop => keyfile::RotationStep::Drop,
            };
            (file, keyfile::rotate_keys(file, step))
        }
        KeysCommand::Show { file } => (file, keyfile::read_key_file(file)),
    };
    match result {
        Ok(ring) => {
            let accepted: Vec<String> = ring.accepted_keys().iter().map(u8::to_string).collect();
            print(&format!("signs {}, accepts {}\n", ring.signing_key(), accepted.join(" and ")))
        }
        Err(error) => fail(format!("{}: {error}", file.display())),
    }
}

/// Reads and parses one site document; the error text names the file.
fn read_document(file: &Path) -> Result<ParsedSite, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Site::parse(&name, &text).map_err(|e| e.to_string())
}

/// Checks all documents and prints their errors and warnings; the exit code is a failure if any document is
/// invalid.
fn check(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match read_document(file) {
            Ok(read) => print_check_result(file, &read),
            Err(error) => {
                eprintln!("{error}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

/// Prints the warnings of a valid document, its summary, and a note on each member whose protocol is
/// unsupported.
fn print_check_result(file: &Path, read: &ParsedSite) {
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

/// Converts another program's files and writes the site document and the report. A document without an output
/// file goes to standard output.
fn import(source: ImportSource) -> ExitCode {
    let (imported, out) = match source {
        ImportSource::Httpd { files, out } => {
            (fernslip_import::import_httpd(&DiskFiles, &files, &import_options(&out)), out)
        }
        ImportSource::Modjk { workers, mounts, httpd, out } => {
            (fernslip_import::import_modjk(&DiskFiles, &workers, &mounts, &httpd, &import_options(&out)), out)
        }
    };
    let Imported { site, report } = match imported {
        Ok(imported) => imported,
        Err(error) => return fail(error),
    };
    let text = site.to_kdl();
    // The document is parsed before it is written, so that a bug in the importer never leaves an unreadable
    // document.
    if let Err(error) = Site::parse("the imported document", &text) {
        return fail(format!(
            "the imported document is invalid; please report this bug of the importer: {error}"
        ));
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

/// Converts the command-line options to those of the importer. A define without `=` gets an empty value.
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
