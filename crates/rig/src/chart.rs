//! Draws a run as an SVG chart with two diagrams over time: the number of members in each front's view, and
//! the fraction of the fronts whose view has settled.

use crate::run::RunReport;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Width and height of the SVG image, in pixels.
const IMAGE_SIZE: (u32, u32) = (1100, 640);
/// Height of the upper diagram, in pixels.
const UPPER_DIAGRAM_HEIGHT: i32 = 390;
/// Colour of the lines of member counts.
const MEMBERS_COLOR: RGBColor = RGBColor(31, 90, 160);
/// Colour of the line of settled fronts.
const SETTLED_COLOR: RGBColor = RGBColor(20, 130, 90);
/// Colour of events and fault intervals.
const FAULT_COLOR: RGBColor = RGBColor(200, 60, 40);

/// Draws a run and writes it to an SVG file.
///
/// # Errors
/// The file can't be written.
pub fn draw_run(report: &RunReport, file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, IMAGE_SIZE).into_drawing_area();
    draw_diagrams(report, &root).map_err(|e| format!("can't write the chart {}: {e}", file.display()))
}

type ChartArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// The time during which a fault lasted, in seconds since the run began.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FaultInterval {
    from: f64,
    to: f64,
}

fn draw_diagrams(report: &RunReport, root: &ChartArea<'_>) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let title = format!("{}: {} fronts, seed {}", report.name, report.fronts, report.seed);
    let root = root.titled(&title, ("sans-serif", 22))?;
    let (upper, lower) = root.split_vertically(UPPER_DIAGRAM_HEIGHT);
    let times = report.samples.iter().map(|s| s.at_ms).chain(report.events.iter().map(|e| e.at_ms));
    let end = times.fold(1000.0, f64::max) / 1000.0;
    let faults = fault_intervals(report, end);
    draw_member_counts(report, &faults, end, &upper)?;
    draw_settled_fraction(report, &faults, end, &lower)?;
    root.present()?;
    Ok(())
}

/// Returns a rectangle over the full height `top` of a diagram that marks the time of a fault.
fn fault_rectangle(fault: &FaultInterval, top: f64) -> Rectangle<(f64, f64)> {
    Rectangle::new([(fault.from, 0.0), (fault.to, top)], FAULT_COLOR.mix(0.09).filled())
}

/// Draws the member counts, with one line per front, and the events.
fn draw_member_counts(
    report: &RunReport,
    faults: &[FaultInterval],
    end: f64,
    area: &ChartArea<'_>,
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
        .y_desc("members in the view (one line per front)")
        .light_line_style(BLACK.mix(0.06))
        .draw()?;
    chart.draw_series(faults.iter().map(|fault| fault_rectangle(fault, top)))?;
    let mut lines: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    for s in &report.samples {
        lines.entry(s.front).or_default().push((s.at_ms / 1000.0, s.member_count as f64));
    }
    for line in lines.into_values() {
        chart.draw_series(LineSeries::new(line, MEMBERS_COLOR.mix(0.35).stroke_width(1)))?;
    }
    for (n, event) in report.events.iter().enumerate() {
        let x = event.at_ms / 1000.0;
        chart.draw_series([PathElement::new([(x, 0.0), (x, top)], FAULT_COLOR.mix(0.6))])?;
        // Labels of consecutive events are drawn at different heights, so that they don't overlap.
        let y = top * (0.985 - 0.05 * (n % 4) as f64);
        chart.draw_series([Text::new(
            event.name.clone(),
            (x + end * 0.003, y),
            ("sans-serif", 13).into_font().color(&FAULT_COLOR),
        )])?;
    }
    Ok(())
}

/// Draws the fraction of the fronts whose view has settled.
fn draw_settled_fraction(
    report: &RunReport,
    faults: &[FaultInterval],
    end: f64,
    area: &ChartArea<'_>,
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
        .y_desc("fraction settled")
        .light_line_style(BLACK.mix(0.06))
        .draw()?;
    chart.draw_series(faults.iter().map(|fault| fault_rectangle(fault, top)))?;
    // The number of settled fronts and of all fronts, by the time of the poll in milliseconds.
    let mut polls: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for s in &report.samples {
        let poll = polls.entry(s.at_ms as u64).or_default();
        poll.0 += f64::from(u8::from(s.settled));
        poll.1 += 1.0;
    }
    let points = polls.into_iter().map(|(ms, (settled, all))| (ms as f64 / 1000.0, settled / all));
    chart.draw_series(LineSeries::new(points, SETTLED_COLOR.stroke_width(2)))?;
    Ok(())
}

/// Returns the intervals during which a fault lasted. A fault that no event ended lasts until `end`.
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
