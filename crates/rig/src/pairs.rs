//! Pairs of versions: this build and an earlier landing of the same repository in one fleet, which read each other's
//! datagrams and each other's durable state.

use crate::programs::{BuildMix, Program};
use crate::run::{Options, RunReport};
use crate::suite::{row, run_seeds};
use serde_json::{json, Value};
use std::path::Path;
use std::process::{Command, Stdio};

/// The revision of the last landing.
const LANDING: &str = include_str!("../LANDING");

/// The scenarios, and which fronts start with the earlier build, so that the view's seed fronts run each of the builds.
/// `dark-thirds` is not among them: seed fronts of a build without a store that come back at another address report a
/// settled view of themselves alone.
const PAIRS: [(&str, BuildMix); 9] = [
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

/// A build of an earlier revision.
#[derive(Clone, Debug)]
pub struct EarlierBuild {
    /// The revision.
    pub revision: String,
    /// Its program.
    pub program: Program,
}

/// Runs a command to its end; its standard output, or its standard error as the error after `context`.
fn run_command(command: &mut Command, context: &str) -> Result<String, String> {
    let output = command.stdin(Stdio::null()).output().map_err(|e| format!("{context}: {e}"))?;
    match output.status.success() {
        true => Ok(String::from_utf8_lossy(&output.stdout).trim().to_string()),
        false => Err(format!("{context}: {}", String::from_utf8_lossy(&output.stderr).trim())),
    }
}

/// Builds an earlier revision in a work tree of its own under `target/pairs`; an existing build is reused.
///
/// # Errors
/// There is no such revision, or it can't be built.
pub fn build(revision: Option<&str>) -> Result<EarlierBuild, String> {
    let requested = revision.unwrap_or(LANDING).trim();
    let root = run_command(Command::new("git").args(["rev-parse", "--show-toplevel"]), "git")?;
    let name = format!("{requested}^{{commit}}");
    let revision = run_command(Command::new("git").args(["rev-parse", "--verify", &name]), requested)?;
    let builds = Path::new(&root).join("target/pairs");
    let (tree, target) = (builds.join(&revision), builds.join(format!("built-{revision}")));
    let path = target.join("release/fernslip");
    if !path.is_file() {
        if !tree.is_dir() {
            std::fs::create_dir_all(&builds).map_err(|e| format!("{}: {e}", builds.display()))?;
            let add = ["worktree", "add", "--detach", "--force"];
            run_command(
                Command::new("git").current_dir(&root).args(add).arg(&tree).arg(&revision),
                "git worktree",
            )?;
        }
        eprintln!("building {revision}");
        let cargo = ["build", "--release", "--locked", "-p", "fernslip-cli"];
        run_command(
            Command::new("cargo").current_dir(&tree).args(cargo).env("CARGO_TARGET_DIR", &target),
            "cargo",
        )?;
    }
    let supports_store = supports_store(&path)?;
    Ok(EarlierBuild { revision, program: Program { path, supports_store } })
}

/// Whether a program accepts a document whose view has a store, as its own `check` says.
fn supports_store(program: &Path) -> Result<bool, String> {
    let file = tempfile::NamedTempFile::with_suffix(".kdl").map_err(|e| e.to_string())?;
    let text = "site \"pairs\"\nview listen=\"127.0.0.1:1\" key-file=\"keys\" store=\"store\"\n";
    std::fs::write(file.path(), text).map_err(|e| e.to_string())?;
    let check = Command::new(program).arg("check").arg(file.path()).stdin(Stdio::null()).output();
    let output = check.map_err(|e| format!("{}: {e}", program.display()))?;
    Ok(!String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).contains("store"))
}

/// Runs all pairs with several seeds; a row of figures for each scenario and mix. `on_run` is called with the report of each
/// run.
///
/// # Errors
/// As [`run_seeds`].
pub async fn run_all(
    earlier: &EarlierBuild,
    seeds: &[u64],
    options: &Options,
    mut on_run: impl FnMut(&RunReport),
) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for (name, mix) in PAIRS {
        let programs = options.programs.mixed_with(earlier.program.clone(), mix);
        let options = Options { programs, ..options.clone() };
        let mut row = row(&run_seeds(name, seeds, &options, &mut on_run).await?);
        row["begin_with_other"] = json!(format!("{mix:?}").to_lowercase());
        rows.push(row);
    }
    Ok(rows)
}
