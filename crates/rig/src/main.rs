//! `fernslip-rig`: runs scenarios and soaks with real processes of the program.

mod args;

use args::{Args, Command, FleetArgs, PairsArgs, RunArgs, SoakArgs, SuiteArgs};
use clap::Parser;
use fernslip_rig::programs::Programs;
use fernslip_rig::run::{run_scenario, Options, RunReport};
use fernslip_rig::scenario::Scenario;
use fernslip_rig::soak::options::SoakOptions;
use fernslip_rig::soak::run::run_soak;
use fernslip_rig::{chart, pairs, suite};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Exit code when the run completed and at least one check failed.
const EXIT_CHECK_FAILED: u8 = 3;
/// The smallest number of cache nodes: one for each of the three zones, and the origin.
const MIN_CACHE_NODES: usize = 4;

/// The result of a sub-command that completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Passed,
    Failed,
}

impl Verdict {
    fn from_checks(passed: bool) -> Verdict {
        if passed {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }
}

/// Returns the path of the program under test: `named`, or `fernslip` in the folder of this executable.
fn find_program(named: Option<&PathBuf>) -> Result<PathBuf, String> {
    let beside = std::env::current_exe().ok().map(|p| p.with_file_name("fernslip"));
    let program = named.cloned().or(beside).filter(|p| p.is_file());
    Ok(program.ok_or(
        "program `fernslip` not found; build it (`cargo build --release`) or give its path with --program",
    )?)
}

impl FleetArgs {
    fn run_options(&self, fronts: Option<usize>, seed: u64) -> Result<Options, String> {
        let program = find_program(self.program.as_ref())?;
        Ok(Options {
            programs: Programs::single_build(program),
            fronts,
            seed,
            tmp: std::env::temp_dir(),
            cache_nodes: self.cache_nodes.max(MIN_CACHE_NODES),
            with_view: !self.without_view,
        })
    }
}

/// Prints the measurements, false positives and breaches of a run on standard error.
fn print_report(report: &RunReport) {
    let awaited: Vec<String> = report
        .awaited
        .iter()
        .map(|a| format!("{} {:.0} ms", format!("{:?}", a.goal).to_lowercase(), a.ms))
        .collect();
    eprintln!(
        "{} fronts={} seed={}: start {:.0} ms; {}; false_gone={} stale={} broken={}",
        report.name,
        report.fronts,
        report.seed,
        report.start_ms,
        awaited.join(", "),
        report.false_positives.len(),
        report.stale_members,
        report.rule_violations
    );
    for false_positive in report.false_positives.iter().take(5) {
        eprintln!(
            "  {} was reported gone by {} while it was running",
            false_positive.subject, false_positive.reporter
        );
    }
    for breach in &report.breaches {
        eprintln!("  BREACH at {:.0} ms, seed {}: {}", breach.at_ms, report.seed, breach.description);
        breach.evidence.iter().for_each(|line| eprintln!("    {line}"));
    }
}

fn write_file(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("can't write {}: {e}", file.display()))
}

fn create_folder(dir: &Path) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("can't create the folder {}: {e}", dir.display()))
}

/// Writes JSON to `file`, or to standard output if there is none.
fn write_json(file: Option<&Path>, value: &Value) -> Result<(), String> {
    let text = format!("{value:#}\n");
    match file {
        Some(file) => write_file(file, &text),
        None => {
            print!("{text}");
            Ok(())
        }
    }
}

/// Executes `run`: runs one scenario with one seed.
async fn run_command(args: RunArgs) -> Result<Verdict, String> {
    let options = args.fleet.run_options(args.fronts, args.seed)?;
    let scenario = match std::fs::read_to_string(&args.scenario) {
        Ok(text) => Scenario::parse(&args.scenario, &text),
        Err(_) if !args.scenario.ends_with(".kdl") => suite::bundled_scenario(&args.scenario),
        Err(e) => return Err(format!("can't read the scenario {}: {e}", args.scenario)),
    };
    let scenario = scenario.map_err(|e| e.to_string())?;
    let report = run_scenario(&scenario, &options).await.map_err(|e| e.to_string())?;
    print_report(&report);
    match args.out {
        None => write_json(None, &report.to_json())?,
        Some(dir) => {
            create_folder(&dir)?;
            write_json(Some(&dir.join("result.json")), &report.to_json())?;
            chart::draw_run(&report, &dir.join("members.svg"))?;
        }
    }
    Ok(Verdict::from_checks(report.all_checks_passed()))
}

/// Executes `suite`: runs several scenarios, each with several seeds.
async fn suite_command(args: SuiteArgs) -> Result<Verdict, String> {
    let all: Vec<String> = match args.which.as_str() {
        "view" => suite::bundled_scenario_names().into_iter().map(String::from).collect(),
        "main" => suite::MAIN_SCENARIOS.map(String::from).to_vec(),
        other => return Err(format!("unknown suite `{other}`; expected `view` or `main`")),
    };
    let names = if args.only.is_empty() { all } else { args.only };
    let options = args.fleet.run_options(Some(args.fronts), 0)?;
    if let Some(dir) = &args.pictures {
        create_folder(dir)?;
    }
    let (mut passed, mut drawn, first_seed) = (true, Ok(()), args.seeds.first().copied());
    let rows = suite::run_suite(&names, &args.seeds, &options, |report| {
        print_report(report);
        passed &= report.all_checks_passed();
        if let Some(dir) = args.pictures.as_ref().filter(|_| Some(report.seed) == first_seed) {
            drawn = drawn.clone().and(chart::draw_run(report, &dir.join(format!("{}.svg", report.name))));
        }
    })
    .await?;
    drawn?;
    write_json(args.json.as_deref(), &json!({ "rows": rows }))?;
    Ok(Verdict::from_checks(passed))
}

/// Executes `pairs`: runs this build and an earlier one in the same fleet.
async fn pairs_command(args: PairsArgs) -> Result<Verdict, String> {
    let earlier = pairs::build_revision(args.with.as_deref())?;
    let options = args.fleet.run_options(Some(args.fronts), 0)?;
    let mut passed = true;
    let rows = pairs::run_pairs(&earlier, &args.seeds, &options, |report| {
        print_report(report);
        passed &= report.all_checks_passed();
    })
    .await?;
    write_json(args.json.as_deref(), &json!({ "with": earlier.revision, "rows": rows }))?;
    Ok(Verdict::from_checks(passed))
}

/// Executes `soak`: runs overlapping faults once for each seed.
async fn soak_command(args: SoakArgs) -> Result<Verdict, String> {
    if let Some(dir) = &args.logs {
        create_folder(dir)?;
    }
    let program = find_program(args.program.as_ref())?;
    let (mut runs, mut passed) = (Vec::new(), true);
    for seed in args.seeds {
        let options = SoakOptions {
            program: program.clone(),
            fronts: args.fronts,
            seed,
            fault_period: Duration::from_secs(args.seconds),
            requests_per_second: args.load,
            logs: args.logs.clone(),
            without_faults: args.without_faults,
        };
        let report = run_soak(&options).await.map_err(|e| e.to_string())?;
        eprintln!(
            "seed {seed}: {} faults injected, rules broken {:?}, counts {:?}",
            report.faults, report.breaches, report.counts
        );
        report.texts.iter().take(12).for_each(|text| eprintln!("  {text}"));
        passed &= report.breaches.is_empty();
        runs.push(report.to_json());
    }
    write_json(args.json.as_deref(), &json!({ "fronts": args.fronts, "runs": runs }))?;
    Ok(Verdict::from_checks(passed))
}

/// Executes the sub-command given on the command line.
async fn execute(args: Args) -> Result<Verdict, String> {
    match args.command {
        Command::List => {
            suite::bundled_scenario_names().iter().for_each(|name| println!("{name}"));
            Ok(Verdict::Passed)
        }
        Command::Run(args) => run_command(args).await,
        Command::Suite(args) => suite_command(args).await,
        Command::Pairs(args) => pairs_command(args).await,
        Command::Soak(args) => soak_command(args).await,
    }
}

#[tokio::main(worker_threads = 3)]
async fn main() -> ExitCode {
    let args = Args::parse();
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        eprintln!("fernslip-rig: can't install handlers for SIGTERM and SIGINT");
        return ExitCode::FAILURE;
    };
    // If a signal arrives first, the run is dropped, which kills the processes that it started.
    let result = tokio::select! {
        result = execute(args) => result,
        _ = term.recv() => Err("the run was ended by SIGTERM".into()),
        _ = int.recv() => Err("the run was interrupted by SIGINT".into()),
    };
    match result {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::from(EXIT_CHECK_FAILED),
        Err(error) => {
            eprintln!("fernslip-rig: {error}");
            ExitCode::FAILURE
        }
    }
}
