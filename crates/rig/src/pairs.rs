//! Pairs of versions: this build and an earlier landing of the same repository in one fleet, on each other's datagrams and
//! on each other's disks.

use crate::fronts::{Mix, Programs};
use crate::play::{play, Options, Played};
use crate::suite::{row, scenario};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The last landing's revision.
const LANDING: &str = include_str!("../LANDING");

/// Scenarios, with which fronts begin with the earlier build. Each seed of the fleet's view runs the one and the other.
/// `dark-thirds` is not among them: seeds of a build before the store that come back elsewhere say `settled` alone.
const PLAYS: [(&str, Mix); 9] = [
    ("steady", Mix::Odd),
    ("crash-third", Mix::Odd),
    ("crash-third", Mix::Even),
    ("join-third", Mix::Odd),
    ("halves-3s", Mix::Even),
    ("stop-1s", Mix::Odd),
    ("pair-forward", Mix::Other),
    ("pair-back", Mix::Own),
    ("pair-dark", Mix::Own),
];

/// An earlier build.
#[derive(Clone, Debug)]
pub struct Other {
    /// Its revision.
    pub revision: String,
    /// The program.
    pub program: PathBuf,
    /// Whether it knows `store` in a document.
    pub stores: bool,
}

fn run(command: &mut Command, what: &str) -> Result<String, String> {
    let done = command.stdin(Stdio::null()).output().map_err(|e| format!("{what}: {e}"))?;
    match done.status.success() {
        true => Ok(String::from_utf8_lossy(&done.stdout).trim().to_string()),
        false => Err(format!("{what}: {}", String::from_utf8_lossy(&done.stderr).trim())),
    }
}

/// Builds an earlier revision in a work tree of its own under `target/pairs`; what was built before is used again.
///
/// # Errors
/// There is no such revision, or it can't be built.
pub fn build(revision: Option<&str>) -> Result<Other, String> {
    let asked = revision.unwrap_or(LANDING).trim();
    let root = run(Command::new("git").args(["rev-parse", "--show-toplevel"]), "git")?;
    let name = format!("{asked}^{{commit}}");
    let revision = run(Command::new("git").args(["rev-parse", "--verify", &name]), asked)?;
    let all = Path::new(&root).join("target/pairs");
    let (tree, built) = (all.join(&revision), all.join(format!("built-{revision}")));
    let program = built.join("release/fernslip");
    if !program.is_file() {
        if !tree.is_dir() {
            std::fs::create_dir_all(&all).map_err(|e| format!("{}: {e}", all.display()))?;
            let add = ["worktree", "add", "--detach", "--force"];
            run(Command::new("git").current_dir(&root).args(add).arg(&tree).arg(&revision), "git worktree")?;
        }
        eprintln!("building {revision}");
        let cargo = ["build", "--release", "--locked", "-p", "fernslip-cli"];
        run(Command::new("cargo").current_dir(&tree).args(cargo).env("CARGO_TARGET_DIR", &built), "cargo")?;
    }
    let stores = knows_store(&program)?;
    Ok(Other { revision, program, stores })
}

/// Whether a program takes a document whose view has a store; asked of the program itself.
fn knows_store(program: &Path) -> Result<bool, String> {
    let file = tempfile::NamedTempFile::with_suffix(".kdl").map_err(|e| e.to_string())?;
    let text = "site \"pairs\"\nview listen=\"127.0.0.1:1\" key-file=\"keys\" store=\"store\"\n";
    std::fs::write(file.path(), text).map_err(|e| e.to_string())?;
    let check = Command::new(program).arg("check").arg(file.path()).stdin(Stdio::null()).output();
    let told = check.map_err(|e| format!("{}: {e}", program.display()))?;
    Ok(!String::from_utf8_lossy(&[told.stdout, told.stderr].concat()).contains("store"))
}

/// Plays all pairs with those seeds; a row for each scenario and mix.
///
/// # Errors
/// Addresses, files or processes can't be had.
pub async fn play_all(
    other: &Other,
    seeds: &[u64],
    options: &Options,
    mut told: impl FnMut(&Played),
) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for (name, mix) in PLAYS {
        let scenario = scenario(name).map_err(|e| e.to_string())?;
        let mut runs = Vec::new();
        for seed in seeds {
            let own = options.programs.own.clone();
            let programs = Programs { own, other: Some((other.program.clone(), other.stores)), mix };
            let options = Options { seed: *seed, programs, ..options.clone() };
            let played = play(&scenario, &options).await.map_err(|e| format!("{name}: {e}"))?;
            told(&played);
            runs.push(played);
        }
        let mut row = row(&runs);
        row["begin_with_other"] = json!(format!("{mix:?}").to_lowercase());
        rows.push(row);
    }
    Ok(rows)
}
