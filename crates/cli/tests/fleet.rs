//! Fronts with a membership view, as processes, with faults on the links between them: the main scenarios of
//! the rig with few fronts, and the output of `fernslip fleet`.

use fernslip_rig::run::{run_scenario, Options, RunReport};
use fernslip_rig::scenario::{Scenario, Step};
use fernslip_rig::suite::bundled_scenario;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The longest wait of any step, far longer than a step takes on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

fn options(fronts: usize, seed: u64) -> Options {
    Options {
        programs: fernslip_rig::programs::Programs::single_build(PathBuf::from(env!(
            "CARGO_BIN_EXE_fernslip"
        ))),
        fronts: Some(fronts),
        seed,
        tmp: std::env::temp_dir(),
        cache_nodes: 4,
        with_view: true,
    }
}

fn start_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().expect("the runtime can be started")
}

fn run_to_end(scenario: &Scenario, options: &Options) -> RunReport {
    start_runtime().block_on(run_scenario(scenario, options)).expect("the scenario can be run")
}

/// Asserts that the run broke no rule. Times are not checked: they depend on how busy the machine is, and the
/// rig's suite measures them.
fn assert_no_breach(p: &RunReport) {
    assert_eq!(p.breaches.len(), 0, "{:#?}", p.breaches);
    assert_eq!(p.stale_members, 0);
    assert_eq!(p.rule_violations, 0);
}

/// Parses a scenario and sets all its timeouts to [`STEP_TIMEOUT`], because it runs beside other tests.
fn parse_with_long_timeouts(text: &str) -> Scenario {
    let mut s = Scenario::parse("test.kdl", text).expect("the scenario can be parsed");
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
    let p = run_to_end(&s, &options(7, 1));
    assert_no_breach(&p);
    assert_eq!(p.awaited.len(), 3);
    assert!(p.load["served"].as_u64().is_some_and(|n| n > 0), "{}", p.load);
}

#[test]
fn all_fronts_agree_after_new_fronts_join() {
    let s = parse_with_long_timeouts("scenario \"join\" { join count=3; await \"settled\" within-ms=1; }");
    assert_no_breach(&run_to_end(&s, &options(5, 2)));
}

#[test]
fn each_half_of_a_partition_agrees_and_all_agree_after_it_heals() {
    let s = parse_with_long_timeouts(
        "scenario \"halves\" load=40 { partition sides=2; await \"settled\" within-ms=1; heal; \
         await \"settled\" within-ms=1; }",
    );
    let p = run_to_end(&s, &options(8, 3));
    assert_no_breach(&p);
    // Each half removed the other half from its view.
    let cut =
        p.events.iter().find(|m| m.name == "partition").expect("the partition is among the events").at_ms;
    let least = p.samples.iter().filter(|s| s.at_ms > cut).map(|s| s.member_count).min();
    assert_eq!(least, Some(4), "{:?}", p.awaited);
}

#[test]
fn fronts_that_restart_at_another_address_or_were_paused_rejoin() {
    let s = parse_with_long_timeouts(
        "scenario \"moved\" serves-all=#false { kill count=1; restart moved=#true; await \"settled\" within-ms=1; \
         stop count=1; wait ms=4000; go-on; await \"settled\" within-ms=1; }",
    );
    assert_no_breach(&run_to_end(&s, &options(6, 4)));
}

#[test]
fn a_rule_breach_is_reported_with_evidence_from_the_fronts() {
    // The time limit is too short for a crash to become known, so the checker must report a breach. A checker
    // that reports none here would report none at all.
    let text = "scenario \"short\" serves-all=#false { kill count=2; await \"known\" within-ms=5; }";
    let s = Scenario::parse("short.kdl", text).expect("the scenario can be parsed");
    let p = run_to_end(&s, &options(5, 5));
    assert_eq!(p.breaches.len(), 1);
    let b = &p.breaches[0];
    assert!(b.description.contains("Known") && b.evidence.iter().any(|t| t.contains("digest")), "{b:?}");
}

fn process_ids_using_folder(dir: &Path) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("/proc can be read").flatten() {
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
    std::fs::create_dir_all(&dir).expect("the folder can be created");
    let s = bundled_scenario("steady").expect("the rig has the scenario `steady`");
    let options = Options { tmp: dir.clone(), ..options(4, 6) };
    let rt = start_runtime();
    rt.block_on(async {
        let running = async {
            let deadline = Instant::now() + STEP_TIMEOUT;
            while process_ids_using_folder(&dir).len() < 4 {
                assert!(Instant::now() < deadline, "the fronts did not start within {STEP_TIMEOUT:?}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            _ = run_scenario(&s, &options) => panic!("the run ended before its fronts had started"),
            () = running => {}
        }
    });
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !process_ids_using_folder(&dir).is_empty() {
        assert!(
            Instant::now() < deadline,
            "processes of the aborted run are still running: {:?}",
            process_ids_using_folder(&dir)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = std::fs::remove_dir_all(dir);
}

/// A process that is killed when its test ends, even if the test fails.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn fleet_commands_show_the_view_and_explain_its_states() {
    let dir = std::env::temp_dir().join(format!("fleet-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the folder can be created");
    let name = |file: &str| dir.join(file).display().to_string();
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_fernslip"))
            .args(args)
            .output()
            .expect("the program can be started");
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
    std::fs::write(dir.join("site.kdl"), &site).expect("the file can be written");
    // `show` prints the document with its defaults filled in.
    let (code, shown) = run(&["show", &name("site.kdl")]);
    assert!(
        code == Some(0) && shown.contains("watchers=7") && shown.contains("bytes-per-s=32768"),
        "{shown}"
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernslip"));
    command.args(["run", "--site", &name("site.kdl")]).env_remove("RELAY_CONFIG").env_remove("RELAY_OPS");
    let _front = KillOnDrop(command.spawn().expect("the program can be started"));
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
    let v: serde_json::Value = serde_json::from_str(&text).expect("the text is valid JSON");
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
    std::fs::write(dir.join("bad.kdl"), bad).expect("the file can be written");
    let (code, text) = run(&["check", &name("bad.kdl")]);
    assert!(code == Some(1) && text.contains("nowhere") && text.contains("watchers"), "{text}");
    let _ = std::fs::remove_dir_all(dir);
}
