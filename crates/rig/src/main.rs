//! `fernslip-rig`: plays scenarios with real processes.

use clap::{Parser, Subcommand};
use fernslip_rig::fronts::Programs;
use fernslip_rig::pairs;
use fernslip_rig::play::{play, Options, Played};
use fernslip_rig::scenario::Scenario;
use fernslip_rig::soak::run as soak;
use fernslip_rig::{picture, suite};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// Something did not hold.
const BREACH: u8 = 3;
/// A cache node for each of the three locations, and the origin.
const LEAST_BOXES: usize = 4;

/// Plays scenarios with real fronts on loopback, and faults on the links between them.
#[derive(Debug, Parser)]
#[command(name = "fernslip-rig", version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays one scenario; 3 where something did not hold.
    Run {
        /// A document, or the name of one that comes with the rig.
        scenario: String,
        /// Fronts; without it what the document says.
        #[arg(long)]
        fronts: Option<usize>,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A folder for `result.json` and `members.svg`.
        #[arg(long)]
        out: Option<PathBuf>,
        #[command(flatten)]
        with: With,
    },
    /// Plays many scenarios with several seeds, a row of figures each; 3 where something did not hold.
    Suite {
        /// `view` (all of them) or `main` (the five main ones).
        which: String,
        /// Fronts.
        #[arg(long, default_value_t = 9)]
        fronts: usize,
        /// Seeds.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
        /// Only these scenarios.
        #[arg(long, value_delimiter = ',')]
        only: Vec<String>,
        /// Where the rows go, as JSON; without it to standard output.
        #[arg(long)]
        json: Option<PathBuf>,
        /// A folder for a picture of each scenario's first seed.
        #[arg(long)]
        pictures: Option<PathBuf>,
        #[command(flatten)]
        with: With,
    },
    /// Plays this build against an earlier landing of the repository: mixed, rolled forward and back; 3 where something
    /// did not hold.
    Pairs {
        /// The earlier revision; without it the last landing's, as the repository names it.
        #[arg(long)]
        with: Option<String>,
        /// Fronts.
        #[arg(long, default_value_t = 9)]
        fronts: usize,
        /// Seeds.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        /// Where the rows go, as JSON; without it to standard output.
        #[arg(long)]
        json: Option<PathBuf>,
        #[command(flatten)]
        options: With,
    },
    /// Plays overlapping troubles under real fronts with the platform's configuration, a run a seed; 3 where a rule was broken.
    Soak {
        /// Fronts.
        #[arg(long, default_value_t = 24)]
        fronts: usize,
        /// Seeds.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        /// How long troubles come, in seconds.
        #[arg(long, default_value_t = 25)]
        seconds: u64,
        /// Requests a second at each front.
        #[arg(long, default_value_t = 15.0)]
        load: f64,
        /// No trouble at all.
        #[arg(long)]
        calm: bool,
        /// A folder for the fronts' logs.
        #[arg(long)]
        logs: Option<PathBuf>,
        /// The program; without it the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Where the runs go, as JSON; without it to standard output.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Names the scenarios that come with the rig.
    List,
}

#[derive(Debug, clap::Args)]
struct With {
    /// The program; without it the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Stand-in boxes, the origin among them.
    #[arg(long, default_value_t = 4)]
    boxes: usize,
    /// Fronts keep no view: for comparing cost.
    #[arg(long)]
    without_view: bool,
}

/// The program to be tried: the one that is named, or the one beside this.
fn program_of(named: Option<&PathBuf>) -> Result<PathBuf, String> {
    let beside = std::env::current_exe().ok().map(|p| p.with_file_name("fernslip"));
    let program = named.cloned().or(beside).filter(|p| p.is_file());
    Ok(program.ok_or("no program; build it (`cargo build --release`) or name it with --program")?)
}

impl With {
    fn options(&self, fronts: Option<usize>, seed: u64) -> Result<Options, String> {
        let program = program_of(self.program.as_ref())?;
        Ok(Options {
            programs: Programs::one(program),
            fronts,
            seed,
            tmp: std::env::temp_dir(),
            boxes: self.boxes.max(LEAST_BOXES),
            with_view: !self.without_view,
        })
    }
}

fn told(p: &Played) {
    let awaited: Vec<String> =
        p.awaited.iter().map(|(g, ms)| format!("{} {:.0} ms", format!("{g:?}").to_lowercase(), ms)).collect();
    eprintln!(
        "{} fronts={} seed={}: start {:.0} ms; {}; false_gone={} stale={} broken={}",
        p.name,
        p.fronts,
        p.seed,
        p.start_ms,
        awaited.join(", "),
        p.false_gone.len(),
        p.stale_members,
        p.rules_broken
    );
    for g in p.false_gone.iter().take(5) {
        eprintln!("  {} was found gone by {}, and ran", g.of, g.by);
    }
    for b in &p.breaches {
        eprintln!("  BREACH at {:.0} ms, seed {}: {}", b.at_ms, p.seed, b.what);
        b.told.iter().for_each(|l| eprintln!("    {l}"));
    }
}

fn holds(p: &Played) -> bool {
    p.breaches.is_empty() && p.false_gone.is_empty() && p.stale_members == 0 && p.rules_broken == 0
}

async fn run(scenario: &str, options: &Options, out: Option<&Path>) -> Result<bool, String> {
    let scenario = match std::fs::read_to_string(scenario) {
        Ok(text) => Scenario::parse(scenario, &text),
        Err(_) if !scenario.ends_with(".kdl") => suite::scenario(scenario),
        Err(e) => return Err(format!("{scenario}: {e}")),
    };
    let scenario = scenario.map_err(|e| e.to_string())?;
    let played = play(&scenario, options).await.map_err(|e| e.to_string())?;
    told(&played);
    let json = format!("{:#}\n", played.to_json());
    match out {
        None => print!("{json}"),
        Some(dir) => {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            write(&dir.join("result.json"), &json)?;
            picture::draw(&played, &dir.join("members.svg"))?;
        }
    }
    Ok(holds(&played))
}

fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

#[allow(
    clippy::too_many_lines,
    reason = "one arm a subcommand; each arm only calls the module that does the work"
)]
async fn go(args: Args) -> Result<bool, String> {
    match args.command {
        Command::List => {
            suite::ALL.iter().for_each(|(name, _)| println!("{name}"));
            Ok(true)
        }
        Command::Pairs { with, fronts, seeds, json, options } => {
            let other = pairs::build(with.as_deref())?;
            let options = options.options(Some(fronts), 0)?;
            let mut good = true;
            let rows = pairs::play_all(&other, &seeds, &options, |p| {
                told(p);
                good &= holds(p);
            })
            .await?;
            let text = format!("{:#}\n", serde_json::json!({ "with": other.revision, "rows": rows }));
            match json {
                Some(file) => write(&file, &text)?,
                None => print!("{text}"),
            }
            Ok(good)
        }
        Command::Soak { fronts, seeds, seconds, load, calm, logs, program, json } => {
            if let Some(dir) = &logs {
                std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            }
            let program = program_of(program.as_ref())?;
            let lasts = std::time::Duration::from_secs(seconds);
            let mut runs = Vec::new();
            let mut good = true;
            for seed in seeds {
                let options = soak::Options {
                    program: program.clone(),
                    fronts,
                    seed,
                    lasts,
                    a_second: load,
                    logs: logs.clone(),
                    calm,
                };
                let report = soak::run(&options).await.map_err(|e| e.to_string())?;
                eprintln!(
                    "seed {seed}: {} troubles, broken {:?}, {:?}",
                    report.troubles, report.breaches, report.counts
                );
                report.texts.iter().take(12).for_each(|t| eprintln!("  {t}"));
                good &= report.breaches.is_empty();
                runs.push(report.to_json());
            }
            let text = format!("{:#}\n", serde_json::json!({ "fronts": fronts, "runs": runs }));
            match json {
                Some(file) => write(&file, &text)?,
                None => print!("{text}"),
            }
            Ok(good)
        }
        Command::Run { scenario, fronts, seed, out, with } => {
            run(&scenario, &with.options(fronts, seed)?, out.as_deref()).await
        }
        Command::Suite { which, fronts, seeds, only, json, pictures, with } => {
            let all: Vec<String> = match which.as_str() {
                "view" => suite::ALL.iter().map(|(n, _)| n.to_string()).collect(),
                "main" => suite::MAIN.map(String::from).to_vec(),
                other => return Err(format!("`{other}` is no suite; there are: view, main")),
            };
            let names = if only.is_empty() { all } else { only };
            let options = with.options(Some(fronts), 0)?;
            if let Some(dir) = &pictures {
                std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            }
            let (mut good, mut drawn, first) = (true, Ok(()), seeds.first().copied());
            let rows = suite::suite(&names, &seeds, &options, |p| {
                told(p);
                good &= holds(p);
                if let Some(dir) = pictures.as_ref().filter(|_| Some(p.seed) == first) {
                    drawn = drawn.clone().and(picture::draw(p, &dir.join(format!("{}.svg", p.name))));
                }
            })
            .await?;
            drawn?;
            let text = format!("{:#}\n", serde_json::json!({ "rows": rows }));
            match json {
                Some(file) => write(&file, &text)?,
                None => print!("{text}"),
            }
            Ok(good)
        }
    }
}

#[tokio::main(worker_threads = 3)]
async fn main() -> ExitCode {
    let args = Args::parse();
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        eprintln!("fernslip-rig: signals can't be caught");
        return ExitCode::FAILURE;
    };
    // Dropped in the middle, a run kills what it started.
    let done = tokio::select! {
        done = go(args) => done,
        _ = term.recv() => Err("ended by SIGTERM".into()),
        _ = int.recv() => Err("interrupted".into()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BREACH),
        Err(why) => {
            eprintln!("fernslip-rig: {why}");
            ExitCode::FAILURE
        }
    }
}
