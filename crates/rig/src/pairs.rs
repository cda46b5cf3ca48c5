//! Runs with two versions: this build and an earlier revision of the same repository in one fleet. They must
//! read each other's datagrams and each other's durable state.

use crate::programs::{BuildMix, Program};
use crate::run::{Options, RunReport};
use crate::suite::{run_seeds, summary_row};
use serde_json::{json, Value};
use std::path::Path;
use std::process::{Command, Stdio};

/// The revision with which this build is paired by default: the last one that was landed.
const DEFAULT_REVISION: &str = include_str!("../LANDING");

/// The scenarios and the fronts that start with the earlier build, chosen so that the seed fronts of the view
/// run each of the builds. `dark-thirds` is excluded: seed fronts of a build without a store that restart at
/// another address report a settled view that consists of themselves alone.
const MIXED_SCENARIOS: [(&str, BuildMix); 9] = [
    ("steady", BuildMix::Odd),
    ("crash-third", BuildMix::Odd),
    ("crash-third", BuildMix::Even),
    ("join-third", BuildMix::Odd),
    ("halves-3s", BuildMix::Even),
    ("stop-1s", BuildMix::Odd),
    ("pair-forward", BuildMix::Other),
    ("pair-back", BuildMix::Own),
    ("pair-dark", BuildMix::Own),
];

/// The build of an earlier revision.
#[derive(Clone, Debug)]
pub struct EarlierBuild {
    /// The full commit hash of the revision.
    pub revision: String,
    /// The program that was built from the revision.
    pub program: Program,
}

/// Runs a command to completion and returns its standard output. If it fails, the error is `context` and its
/// standard error.
fn run_to_completion(command: &mut Command, context: &str) -> Result<String, String> {
    let output = command.stdin(Stdio::null()).output().map_err(|e| format!("can't run {context}: {e}"))?;
    match output.status.success() {
        true => Ok(String::from_utf8_lossy(&output.stdout).trim().to_string()),
        false => Err(format!("{context} failed: {}", String::from_utf8_lossy(&output.stderr).trim())),
    }
}

/// Builds an earlier revision in a separate work tree under `target/pairs`. An existing build is reused.
///
/// # Errors
/// The revision does not exist or can't be built.
pub fn build_revision(revision: Option<&str>) -> Result<EarlierBuild, String> {
    let requested = revision.unwrap_or(DEFAULT_REVISION).trim();
    let root =
        run_to_completion(Command::new("git").args(["rev-parse", "--show-toplevel"]), "git rev-parse")?;
    let name = format!("{requested}^{{commit}}");
    let revision = run_to_completion(
        Command::new("git").args(["rev-parse", "--verify", &name]),
        &format!("git rev-parse {requested}"),
    )?;
    let builds = Path::new(&root).join("target/pairs");
    let (tree, target) = (builds.join(&revision), builds.join(format!("built-{revision}")));
    let path = target.join("release/fernslip");
    if !path.is_file() {
        if !tree.is_dir() {
            std::fs::create_dir_all(&builds)
                .map_err(|e| format!("can't create the folder {}: {e}", builds.display()))?;
            let add = ["worktree", "add", "--detach", "--force"];
            run_to_completion(
                Command::new("git").current_dir(&root).args(add).arg(&tree).arg(&revision),
                "git worktree add",
            )?;
        }
        eprintln!("building the earlier revision {revision}");
        let cargo = ["build", "--release", "--locked", "-p", "fernslip-cli"];
        run_to_completion(
            Command::new("cargo").current_dir(&tree).args(cargo).env("CARGO_TARGET_DIR", &target),
            "cargo build",
        )?;
    }
    let supports_store = supports_store(&path)?;
    Ok(EarlierBuild { revision, program: Program { path, supports_store } })
}

/// Returns whether the program accepts a site document whose view has a store, as its `check` command tells.
fn supports_store(program: &Path) -> Result<bool, String> {
    let file = tempfile::NamedTempFile::with_suffix(".kdl").map_err(|e| e.to_string())?;
    let text = "site \"pairs\"\nview listen=\"127.0.0.1:1\" key-file=\"keys\" store=\"store\"\n";
    std::fs::write(file.path(), text).map_err(|e| e.to_string())?;
    let check = Command::new(program).arg("check").arg(file.path()).stdin(Stdio::null()).output();
    let output = check.map_err(|e| format!("can't run {}: {e}", program.display()))?;
    Ok(!String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).contains("store"))
}

/// Runs all scenarios with both builds, once for each seed, and returns one row of results per scenario and
/// mix. `on_run` is called with the report of each run.
///
/// # Errors
/// The errors of [`run_seeds`].
pub async fn run_pairs(
    earlier: &EarlierBuild,
    seeds: &[u64],
    options: &Options,
    mut on_run: impl FnMut(&RunReport),
) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for (name, mix) in MIXED_SCENARIOS {
        let programs = options.programs.mixed_with(earlier.program.clone(), mix);
        let options = Options { programs, ..options.clone() };
        let mut row = summary_row(&run_seeds(name, seeds, &options, &mut on_run).await?);
        row["begin_with_other"] = json!(format!("{mix:?}").to_lowercase());
        rows.push(row);
    }
    Ok(rows)
}
