use super::*;
use crate::run::{Event, Sample};

#[test]
fn the_chart_of_a_run_shows_its_events_and_fault_intervals() {
    let mut report = RunReport { name: "x".into(), fronts: 2, ..RunReport::default() };
    for t in 0..10 {
        for front in 0..2 {
            report.samples.push(Sample {
                at_ms: f64::from(t) * 500.0,
                front,
                member_count: 2,
                settled: t > 4,
            });
        }
    }
    report.events = vec![
        Event { at_ms: 1000.0, name: "partition".into(), begins_fault: true },
        Event { at_ms: 3000.0, name: "heal".into(), begins_fault: false },
    ];
    assert_eq!(fault_intervals(&report, 4.5), [FaultInterval { from: 1.0, to: 3.0 }]);
    let file = std::env::temp_dir().join(format!("fernslip-rig-picture-{}.svg", std::process::id()));
    draw_run(&report, &file).expect("the chart is drawn");
    let text = std::fs::read_to_string(&file).expect("the chart file is written");
    let _ = std::fs::remove_file(&file);
    assert!(
        text.contains("partition")
            && text.contains("fraction settled")
            && text.matches("<polyline").count() >= 3
    );
}
