//! Draws charts of many runs as SVG.
use super::count_faults;
use crate::simulation::Report;
use plotters::prelude::*;
use std::path::Path;

/// Error of a chart that can't be drawn or written.
pub type ChartError = Box<dyn std::error::Error + Send + Sync>;

const BAR_COLOR: RGBColor = RGBColor(70, 110, 160);
/// Number of bins in the chart of steps, without the last one, which counts all longer runs.
const STEP_BINS: usize = 40;

/// Draws a bar chart of the number of faults of each kind.
pub(super) fn fault_chart(path: &Path, reports: &[Report]) -> Result<(), ChartError> {
    let kinds: Vec<(String, u64)> =
        count_faults(reports).into_iter().map(|(kind, counts)| (kind.name(), counts.occurrences)).collect();
    let max_occurrences = kinds.iter().map(|(_, occurrences)| *occurrences).max().unwrap_or(1);
    let height = 60 + 18 * kinds.len().max(1) as u32;
    let root = SVGBackend::new(path, (760, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Faults", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(150)
        .build_cartesian_2d(
            0..max_occurrences + max_occurrences / 20 + 1,
            (0..kinds.len().max(1)).into_segmented(),
        )?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(kinds.len() + 1)
        .y_label_formatter(&|segment| match segment {
            SegmentValue::CenterOf(index) => kinds.get(*index).map_or(String::new(), |kind| kind.0.clone()),
            _ => String::new(),
        })
        .draw()?;
    chart.draw_series(kinds.iter().enumerate().map(|(index, (_, occurrences))| {
        let corners = [(0, SegmentValue::Exact(index)), (*occurrences, SegmentValue::Exact(index + 1))];
        let mut bar = Rectangle::new(corners, BAR_COLOR.filled());
        bar.set_margin(2, 2, 0, 0);
        bar
    }))?;
    root.present()?;
    Ok(())
}

/// Draws a histogram of the length of the runs in steps.
pub(super) fn step_chart(path: &Path, reports: &[Report]) -> Result<(), ChartError> {
    let max_steps = reports.iter().map(|report| report.steps).max().unwrap_or(1).max(1);
    let bin_width = max_steps.div_ceil(STEP_BINS as u64).max(1);
    let mut bins = [0u32; STEP_BINS + 1];
    for report in reports {
        bins[((report.steps / bin_width) as usize).min(STEP_BINS)] += 1;
    }
    let max_runs = bins.iter().copied().max().unwrap_or(1);
    let root = SVGBackend::new(path, (760, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Length of the runs", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..max_steps + bin_width, 0..max_runs + max_runs / 10 + 1)?;
    chart.configure_mesh().x_desc("steps").y_desc("runs").draw()?;
    chart.draw_series(bins.iter().enumerate().map(|(index, runs)| {
        let start = index as u64 * bin_width;
        Rectangle::new([(start, 0), (start + bin_width, *runs)], BAR_COLOR.filled())
    }))?;
    root.present()?;
    Ok(())
}
