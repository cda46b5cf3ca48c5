//! Fronts that keep a view, as processes, with faults on the links between them: the main scenarios of the rig with few
//! fronts, and what operators are shown.

use fernslip_rig::run::{run_scenario, Options, RunReport};
use fernslip_rig::scenario::{Scenario, Step};
use fernslip_rig::suite::bundled;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// Far longer than any step takes on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

fn options(fronts: usize, seed: u64) -> Options {
    Options {
        programs: fernslip_rig::programs::Programs::one(PathBuf::from(env!("CARGO_BIN_EXE_fernslip"))),
        fronts: Some(fronts),
        seed,
        tmp: std::env::temp_dir(),
        cache_nodes: 4,
        with_view: true,
    }
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().expect("a runtime")
}

fn run(scenario: &Scenario, options: &Options) -> RunReport {
    runtime().block_on(run_scenario(scenario, options)).expect("addresses and processes")
}

/// Nothing that must hold broke; times are for the suite to measure, not for a machine that is busy.
fn assert_no_breach(p: &RunReport) {
    assert_eq!(p.breaches.len(), 0, "{:#?}", p.breaches);
    assert_eq!(p.stale_members, 0);
    assert_eq!(p.rule_violations, 0);
}

/// A scenario with longer timeouts, as it runs beside other tests.
fn parse_with_long_timeouts(text: &str) -> Scenario {
    let mut s = Scenario::parse("test.kdl", text).expect("a scenario");
    for step in &mut s.steps {
        if let Step::Await { within, .. } = step {
            *within = STEP_TIMEOUT;
        }
    }
    s
}

#[test]
fn all_fronts_agree_after_crashes_and_restarts() {
    let s = parse_with_long_timeouts(
        "scenario \"crash\" load=40 serves-all=#false { kill part=0.33; await \"known\" within-ms=1; \
         await \"settled\" within-ms=1; restart; await \"settled\" within-ms=1; }",
    );
    let p = run(&s, &options(7, 1));
    assert_no_breach(&p);
    assert_eq!(p.awaited.len(), 3);
    assert!(p.load["served"].as_u64().is_some_and(|n| n > 0), "{}", p.load);
}

#[test]
fn all_fronts_agree_on_newcomers() {
    let s = parse_with_long_timeouts("scenario \"join\" { join count=3; await \"settled\" within-ms=1; }");
    assert_no_breach(&run(&s, &options(5, 2)));
}

#[test]
fn partitioned_halves_agree_apart_and_together_again() {
    let s = parse_with_long_timeouts(
        "scenario \"halves\" load=40 { partition sides=2; await \"settled\" within-ms=1; heal; \
         await \"settled\" within-ms=1; }",
    );
    let p = run(&s, &options(8, 3));
    assert_no_breach(&p);
    // Each half saw the other's end.
    let cut = p.events.iter().find(|m| m.name == "partition").expect("it happened").at_ms;
    let least = p.samples.iter().filter(|s| s.at_ms > cut).map(|s| s.member_count).min();
    assert_eq!(least, Some(4), "{:?}", p.awaited);
}

#[test]
fn a_front_that_moved_and_one_that_was_paused_come_back() {
    let s = parse_with_long_timeouts(
        "scenario \"moved\" serves-all=#false { kill count=1; restart moved=#true; await \"settled\" within-ms=1; \
         stop count=1; wait ms=4000; go-on; await \"settled\" within-ms=1; }",
    );
    assert_no_breach(&run(&s, &options(6, 4)));
}

#[test]
fn a_breach_is_reported_with_evidence_from_the_fronts() {
    // Too short a time for a crash to be known: the checker must find that, or it would find nothing.
    let text = "scenario \"short\" serves-all=#false { kill count=2; await \"known\" within-ms=5; }";
    let s = Scenario::parse("short.kdl", text).expect("a scenario");
    let p = run(&s, &options(5, 5));
    assert_eq!(p.breaches.len(), 1);
    let b = &p.breaches[0];
    assert!(b.description.contains("Known") && b.evidence.iter().any(|t| t.contains("digest")), "{b:?}");
}

fn processes_of(dir: &Path) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("proc").flatten() {
        let Some(id) = entry.file_name().to_str().and_then(|n| n.parse().ok()) else { continue };
        let line = std::fs::read(entry.path().join("cmdline")).unwrap_or_default();
        if String::from_utf8_lossy(&line).contains(&dir.display().to_string()) {
            found.push(id);
        }
    }
    found
}

#[test]
fn an_aborted_run_leaves_no_process_behind() {
    let dir = std::env::temp_dir().join(format!("rig-off-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let s = bundled("steady").expect("it comes with the rig");
    let options = Options { tmp: dir.clone(), ..options(4, 6) };
    let rt = runtime();
    rt.block_on(async {
        let running = async {
            let deadline = Instant::now() + STEP_TIMEOUT;
            while processes_of(&dir).len() < 4 {
                assert!(Instant::now() < deadline, "they never started");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            _ = run_scenario(&s, &options) => panic!("it takes longer than starting its fronts"),
            () = running => {}
        }
    });
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !processes_of(&dir).is_empty() {
        assert!(Instant::now() < deadline, "still there: {:?}", processes_of(&dir));
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = std::fs::remove_dir_all(dir);
}

/// A process that is killed at the end of its test, also when that fails.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn operators_are_shown_the_view_and_its_reasons() {
    let dir = std::env::temp_dir().join(format!("fleet-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let name = |file: &str| dir.join(file).display().to_string();
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_fernslip")).args(args).output().expect("the program");
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    assert_eq!(run(&["keys", "new", &name("keys")]).0, Some(0));
    let socket = name("s");
    let site = format!(
        "site \"g\" members-from=\"file\"\nfront \"n1\" listen=\"127.0.0.1:0\" zone=\"east\"\nzone \"east\"\n\
         class \"docs\" aim-ms=600 deadline-ms=5000\nmember \"o\" address=\"127.0.0.1:9\" kind=\"origin\"\n\
         view listen=\"127.0.0.1:0\" key-file={:?} control={socket:?}\n",
        name("keys")
    );
    std::fs::write(dir.join("site.kdl"), &site).expect("a file");
    // Shown and read again, the document says the same.
    let (code, shown) = run(&["show", &name("site.kdl")]);
    assert!(
        code == Some(0) && shown.contains("watchers=7") && shown.contains("bytes-per-s=32768"),
        "{shown}"
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernslip"));
    command.args(["run", "--site", &name("site.kdl")]).env_remove("RELAY_CONFIG").env_remove("RELAY_OPS");
    let _front = KillOnDrop(command.spawn().expect("the program"));
    let deadline = Instant::now() + STEP_TIMEOUT;
    let shown = loop {
        let (code, text) = run(&["fleet", "members", &socket]);
        if code == Some(0) && text.contains(" ready ") {
            break text;
        }
        assert!(Instant::now() < deadline, "{text}");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(shown.contains("front n1: view ") && shown.contains("1 fronts, settled for"), "{shown}");
    let (code, text) = run(&["fleet", "members", &socket, "--json"]);
    let v: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &v["members"][0]["location"]), (Some(0), &"east".into()), "{text}");
    let (code, text) = run(&["fleet", "explain", &socket, "n1"]);
    assert!(
        code == Some(0) && text.contains("n1 is ready for") && text.contains("told by this front"),
        "{text}"
    );
    let (code, text) = run(&["fleet", "explain", &socket, "n2"]);
    assert!(code == Some(1) && text.contains("no front `n2` is known"), "{text}");
    let (code, text) = run(&["fleet", "metrics", &socket]);
    assert!(
        code == Some(0) && text.contains("fernslip_view_members 1\n") && text.ends_with("# EOF\n"),
        "{text}"
    );
    let (code, text) = run(&["fleet", "members", &name("none")]);
    assert!(code == Some(1) && text.contains("none: "), "{text}");
    let bad = site.replace("listen=\"127.0.0.1:0\" key", "listen=\"nowhere\" watchers=1 key");
    std::fs::write(dir.join("bad.kdl"), bad).expect("a file");
    let (code, text) = run(&["check", &name("bad.kdl")]);
    assert!(code == Some(1) && text.contains("nowhere") && text.contains("watchers"), "{text}");
    let _ = std::fs::remove_dir_all(dir);
}
