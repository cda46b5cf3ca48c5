//! What the sub-commands do. 0: done; 1: failed; 2: usage (clap's own); 3: `--strict` and something was left out.

use crate::args::{Args, Command, Gossip, Import, Keys, LogFormat, LogLevel, Out, Run, ShowFormat, Step};
use crate::files::write_all;
use crate::fleet;
use clap::CommandFactory;
use fernslip_front::keyfile;
use fernslip_front::log::{install, Format};
use fernslip_front::reload::{self, Signals};
use fernslip_import::{Disk, ImportError, Imported, Options, Verdict};
use fernslip_site::{Read, Site};
use std::io::{self, Read as _, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// A front answers its operators within this time.
const STATUS: Duration = Duration::from_secs(5);
/// `--strict`, and something was left out.
const LEFT_OUT: u8 = 3;

pub(crate) fn failed(why: impl std::fmt::Display) -> ExitCode {
    eprintln!("fernslip: {why}");
    ExitCode::FAILURE
}

/// Writes to standard output; a reader that has gone is no failure of ours.
pub(crate) fn say(text: &str) -> ExitCode {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => failed(format!("standard output: {e}")),
        _ => ExitCode::SUCCESS,
    }
}

/// Does what was asked.
pub fn run(args: Args) -> ExitCode {
    match args.command {
        None => serve(Run::default(), args.log_format, args.log_level),
        Some(Command::Run(run)) => serve(run, args.log_format, args.log_level),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Show { file, format }) => match read(&file) {
            Ok(read) => {
                let site = read.site.effective();
                say(&match format {
                    ShowFormat::Kdl => site.to_kdl(),
                    ShowFormat::Json => site.to_json() + "\n",
                })
            }
            Err(why) => failed(why),
        },
        Some(Command::Import { from }) => import(from),
        Some(Command::Gossip { what: Gossip::Status { socket } }) => match status(&socket) {
            Ok(text) => say(&text),
            Err(why) => failed(format!("{}: {why}", socket.display())),
        },
        Some(Command::Fleet { what }) => fleet::run(&what),
        Some(Command::Keys { what }) => keys(&what),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "fernslip", &mut text);
            say(&String::from_utf8_lossy(&text))
        }
    }
}

fn serve(run: Run, format: LogFormat, level: LogLevel) -> ExitCode {
    let format = match format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let least = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    // Before anything is read: the default of either signal would end the process.
    let signals = match Signals::catch() {
        Ok(signals) => signals,
        Err(why) => return failed(why),
    };
    let start = match reload::read(run.config, run.site) {
        Ok(start) => start,
        Err(why) => return failed(why),
    };
    // Held to the end: what waits is written then.
    let _guard = match install(format, least) {
        Ok(guard) => guard,
        Err(why) => return failed(why),
    };
    match fernslip_front::start(start, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => failed(why),
    }
}

/// What a running front says at its local socket.
fn status(socket: &Path) -> io::Result<String> {
    let mut front = UnixStream::connect(socket)?;
    front.set_read_timeout(Some(STATUS))?;
    let mut text = String::new();
    front.read_to_string(&mut text)?;
    Ok(text)
}

fn keys(what: &Keys) -> ExitCode {
    let (file, done) = match what {
        Keys::New { file } => (file, keyfile::create(file)),
        Keys::Rotate { file, step } => {
            let step = match step {
                Step::Add => keyfile::Step::Add,
                Step::Switch => keyfile::Step::Switch,
                Step::Drop => keyfile::Step::Drop,
            };
            (file, keyfile::rotate(file, step))
        }
        Keys::Show { file } => (file, keyfile::read(file)),
    };
    match done {
        Ok(ring) => {
            let all: Vec<String> = ring.accepts().iter().map(u8::to_string).collect();
            say(&format!("signs {}, accepts {}\n", ring.signs(), all.join(" and ")))
        }
        Err(why) => failed(format!("{}: {why}", file.display())),
    }
}

fn read(file: &Path) -> Result<Read, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Site::parse(&name, &text).map_err(|e| e.to_string())
}

fn check(files: &[std::path::PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        let name = file.display();
        match read(file) {
            Ok(read) => {
                for w in &read.warnings {
                    eprintln!("{name}:{}:{}: warning: {w}", w.line, w.column);
                    w.hint.iter().for_each(|h| eprintln!("  hint: {h}"));
                }
                let s = &read.site;
                let rules: usize = s.routes.iter().map(|r| r.rules.len()).sum();
                let (members, pools) = (s.members.len(), s.pools.len());
                println!("{name}: fine: {members} members, {pools} pools, {rules} routes");
                for m in s.members.iter().filter(|m| m.protocol.is_some_and(|p| !p.is_spoken())) {
                    let protocol = m.protocol.map_or("", fernslip_site::Word::word);
                    eprintln!("{name}: note: `{}` speaks {protocol}, which `run` can't serve from yet", m.id);
                }
            }
            Err(why) => {
                eprintln!("{why}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

fn import(from: Import) -> ExitCode {
    let options = |out: &Out| Options {
        name: out.name.clone(),
        root: out.root.clone(),
        defines: out
            .defines
            .iter()
            .map(|d| d.split_once('=').map_or((d.clone(), String::new()), |(n, v)| (n.into(), v.into())))
            .collect(),
    };
    let (imported, out): (Result<Imported, ImportError>, Out) = match from {
        Import::Httpd { files, out } => (fernslip_import::httpd(&Disk, &files, &options(&out)), out),
        Import::Modjk { workers, mounts, httpd, out } => {
            (fernslip_import::modjk(&Disk, &workers, &mounts, &httpd, &options(&out)), out)
        }
    };
    let Imported { site, report } = match imported {
        Ok(imported) => imported,
        Err(why) => return failed(why),
    };
    let text = site.to_kdl();
    // What is written can be read: a document that can't would be found by the office, and too late.
    if let Err(why) = Site::parse("the imported document", &text) {
        return failed(format!("this is a mistake of the importer, please report it: {why}"));
    }
    let json = report.to_json();
    let files: Vec<(&Path, &str)> = [(&out.output, &text), (&out.report, &json)]
        .into_iter()
        .filter_map(|(path, text)| Some((path.as_deref()?, text.as_str())))
        .collect();
    if let Err((file, why)) = write_all(&files) {
        return failed(format!("{file}: {why}"));
    }
    if !out.quiet {
        eprint!("{}", report.to_table());
    }
    if out.output.is_none() && say(&text) != ExitCode::SUCCESS {
        return ExitCode::FAILURE;
    }
    match out.strict && report.count(Verdict::LeftOut) > 0 {
        true => ExitCode::from(LEFT_OUT),
        false => ExitCode::SUCCESS,
    }
}
