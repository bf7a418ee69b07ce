//! Reports the fitted lines of a sweep as a table, a CSV file and charts, and compares two runs.
use super::error::ScaleError;
use super::fit::{DataPoint, Fit, FACTORS};
use super::rows::{Row, Source};
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// Width of a chart in pixels.
const WIDTH: u32 = 640;
/// Height of a chart in pixels.
const HEIGHT: u32 = 360;
/// Minimum length of an axis before the headroom, so that an axis is not empty if all values are 0.
const MIN_AXIS_LENGTH: f64 = 1e-9;
/// Length of an axis as a multiple of the largest value.
const AXIS_HEADROOM: f64 = 1.1;
/// Figures for which charts are drawn.
const CHARTED: [&str; 7] = [
    "counter: calls a request",
    "counter: bytes out",
    "counter: bytes in",
    "list: bytes in",
    "processor",
    "memory",
    "throttled",
];

/// Returns a Markdown table with one line for each fit.
pub fn table(fits: &[Fit], source: Source) -> String {
    let mut text = String::from(
        "| factor | figure | slope | per | at the target | range | points | residual | source |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for fit in fits {
        let sizes = fit.factor.sizes();
        let _ = writeln!(
            text,
            "| {} | {} | {:.4e} {} | {} | {:.4} | {} to {} | {} | {:.1}% | {} |",
            fit.factor.name(),
            fit.figure,
            fit.line.slope,
            fit.unit,
            fit.factor.unit(),
            fit.line.value_at(sizes[4]),
            sizes[0],
            sizes[4],
            fit.line.point_count,
            100.0 * fit.line.relative_residual,
            source.name(),
        );
    }
    text
}

/// Writes the fits to a CSV file.
pub fn write_slopes(path: &Path, fits: &[Fit], source: Source) -> Result<(), ScaleError> {
    let table_error = ScaleError::table(path);
    let mut writer = csv::Writer::from_path(path).map_err(&table_error)?;
    let header = [
        "factor",
        "figure",
        "unit",
        "slope",
        "intercept",
        "residual",
        "relative_residual",
        "points",
        "source",
    ];
    writer.write_record(header).map_err(&table_error)?;
    for fit in fits {
        let line = &fit.line;
        let numbers = [line.slope, line.intercept, line.residual, line.relative_residual]
            .map(|number| number.to_string());
        let mut record = vec![fit.factor.name().to_owned(), fit.figure.clone(), fit.unit.clone()];
        record.extend(numbers);
        record.extend([line.point_count.to_string(), source.name().to_owned()]);
        writer.write_record(record).map_err(&table_error)?;
    }
    writer.flush().map_err(ScaleError::file(path))
}

/// Draws a chart for each charted figure of each factor, with the data points and the line through them.
pub fn draw_charts(folder: &Path, fits: &[Fit]) -> Result<(), ScaleError> {
    for factor in FACTORS {
        let is_charted = |fit: &&Fit| fit.factor == factor && CHARTED.contains(&fit.figure.as_str());
        for fit in fits.iter().filter(is_charted) {
            let name = format!("{}-{}.svg", fit.factor.name(), fit.figure)
                .replace([' ', ':'], "-")
                .replace("--", "-");
            let drawn = draw_chart(&folder.join(&name), fit);
            drawn.map_err(|source| ScaleError::Chart { name, source })?;
        }
    }
    Ok(())
}

fn draw_chart(path: &Path, fit: &Fit) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let max =
        |of: fn(&DataPoint) -> f64| fit.points.iter().map(of).fold(MIN_AXIS_LENGTH, f64::max) * AXIS_HEADROOM;
    let x_max = max(|point| point.factor);
    let y_max = max(|point| point.figure);
    let title = format!(
        "{} over {}: {:.3e} per {}",
        fit.figure,
        fit.factor.name(),
        fit.line.slope,
        fit.factor.unit()
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(fit.factor.name()).y_desc(&fit.unit).draw()?;
    let ends = [0.0, x_max].map(|x| (x, fit.line.value_at(x)));
    chart.draw_series(LineSeries::new(ends, BLUE.stroke_width(1)))?;
    chart.draw_series(
        fit.points.iter().map(|point| Circle::new((point.factor, point.figure), 4, RED.filled())),
    )?;
    area.present()?;
    Ok(())
}

/// Returns a Markdown table that compares a run of the program with a run of embedded instances at the same operating
/// point, with the ratio of each figure.
pub fn compare_runs(real: &[Row], embedded: &[Row]) -> String {
    let mut text = String::from(
        "| figure | unit | program | embedded | embedded / program |\n| --- | --- | --- | --- | --- |\n",
    );
    for row in real {
        let Some(other) = embedded.iter().find(|other| other.figure == row.figure && other.unit == row.unit)
        else {
            continue;
        };
        let ratio = if row.value == 0.0 { "-".to_owned() } else { format!("{:.2}", other.value / row.value) };
        let _ = writeln!(
            text,
            "| {} | {} | {:.4} | {:.4} | {ratio} |",
            row.figure, row.unit, row.value, other.value
        );
    }
    text
}
