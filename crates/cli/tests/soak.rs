//! A short soak with four fronts, which checks that the rig's soak works; `fernslip-rig soak` runs dozens of
//! fronts and many seeds.

use fernslip_rig::soak::options::SoakOptions;
use fernslip_rig::soak::run::run_soak;
use std::time::Duration;

fn run_short_soak(seed: u64, without_faults: bool) {
    let options = SoakOptions {
        program: env!("CARGO_BIN_EXE_fernslip").into(),
        fronts: 4,
        seed,
        fault_period: Duration::from_secs(5),
        requests_per_second: 8.0,
        logs: None,
        without_faults,
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("the runtime can be started");
    let report = runtime.block_on(run_soak(&options)).expect("the soak can be run");
    assert!(report.breaches.is_empty(), "{report:#?}");
    assert!(report.counts.get("served").is_some_and(|n| *n > 50), "{:?}", report.counts);
}

#[test]
fn fronts_without_faults_break_no_rule() {
    run_short_soak(1, true);
}

#[test]
fn fronts_under_overlapping_faults_break_no_rule() {
    run_short_soak(2, false);
}
