//! Draws a run as an SVG chart: how many members each front counts on, and the part of the fronts whose view has settled,
//! over time.

use crate::run::RunReport;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (1100, 640);
/// Height of the upper chart, in pixels.
const UPPER_HEIGHT: i32 = 390;
const MEMBERS: RGBColor = RGBColor(31, 90, 160);
const SETTLED: RGBColor = RGBColor(20, 130, 90);
const FAULT: RGBColor = RGBColor(200, 60, 40);

/// Draws a run to an SVG file.
///
/// # Errors
/// The file can't be written.
pub fn draw(report: &RunReport, file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    render(report, &root).map_err(|e| format!("{}: {e}", file.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Seconds between which a fault lasted.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FaultInterval {
    from: f64,
    to: f64,
}

fn render(report: &RunReport, root: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let title = format!("{}: {} fronts, seed {}", report.name, report.fronts, report.seed);
    let root = root.titled(&title, ("sans-serif", 22))?;
    let (upper, lower) = root.split_vertically(UPPER_HEIGHT);
    let times = report.samples.iter().map(|s| s.at_ms).chain(report.events.iter().map(|e| e.at_ms));
    let end = times.fold(1000.0, f64::max) / 1000.0;
    let faults = fault_intervals(report, end);
    render_members(report, &faults, end, &upper)?;
    render_settled(report, &faults, end, &lower)?;
    root.present()?;
    Ok(())
}

/// A rectangle over a chart's whole height for the time of a fault.
fn shade(fault: &FaultInterval, top: f64) -> Rectangle<(f64, f64)> {
    Rectangle::new([(fault.from, 0.0), (fault.to, top)], FAULT.mix(0.09).filled())
}

/// The members that each front counts on, a line a front, and the events.
fn render_members(
    report: &RunReport,
    faults: &[FaultInterval],
    end: f64,
    area: &Area<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    let top = report.samples.iter().map(|s| s.member_count).max().unwrap_or(1) as f64 * 1.08 + 1.0;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .y_desc("fronts counted on, a line a front")
        .light_line_style(BLACK.mix(0.06))
        .draw()?;
    chart.draw_series(faults.iter().map(|fault| shade(fault, top)))?;
    let mut lines: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    for s in &report.samples {
        lines.entry(s.front).or_default().push((s.at_ms / 1000.0, s.member_count as f64));
    }
    for line in lines.into_values() {
        chart.draw_series(LineSeries::new(line, MEMBERS.mix(0.35).stroke_width(1)))?;
    }
    for (n, event) in report.events.iter().enumerate() {
        let x = event.at_ms / 1000.0;
        chart.draw_series([PathElement::new([(x, 0.0), (x, top)], FAULT.mix(0.6))])?;
        // Labels of events that happen close to each other stand at different heights.
        let y = top * (0.985 - 0.05 * (n % 4) as f64);
        chart.draw_series([Text::new(
            event.name.clone(),
            (x + end * 0.003, y),
            ("sans-serif", 13).into_font().color(&FAULT),
        )])?;
    }
    Ok(())
}

/// The part of the fronts whose view has settled.
fn render_settled(
    report: &RunReport,
    faults: &[FaultInterval],
    end: f64,
    area: &Area<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    let top = 1.05;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds")
        .y_desc("part settled")
        .light_line_style(BLACK.mix(0.06))
        .draw()?;
    chart.draw_series(faults.iter().map(|fault| shade(fault, top)))?;
    // Settled fronts and all fronts, by the millisecond of their poll.
    let mut polls: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for s in &report.samples {
        let poll = polls.entry(s.at_ms as u64).or_default();
        poll.0 += f64::from(u8::from(s.settled));
        poll.1 += 1.0;
    }
    let points = polls.into_iter().map(|(ms, (settled, all))| (ms as f64 / 1000.0, settled / all));
    chart.draw_series(LineSeries::new(points, SETTLED.stroke_width(2)))?;
    Ok(())
}

/// The intervals during which a fault lasted; one that nothing ended lasts to the end of the run.
fn fault_intervals(report: &RunReport, end: f64) -> Vec<FaultInterval> {
    let mut intervals = Vec::new();
    let mut began = None;
    for event in &report.events {
        let at = event.at_ms / 1000.0;
        match (event.begins_fault, began) {
            (true, None) => began = Some(at),
            (false, Some(from)) => {
                intervals.push(FaultInterval { from, to: at });
                began = None;
            }
            _ => {}
        }
    }
    intervals.extend(began.map(|from| FaultInterval { from, to: end }));
    intervals
}

#[cfg(test)]
mod tests;
