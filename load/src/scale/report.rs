//! Slopes as a table and as charts.
use super::fit::{Fit, FACTORS};
use super::rows::{Row, Source};
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

const SIZE: (u32, u32) = (640, 360);
/// The figures that have a chart.
const CHARTED: [&str; 7] = [
    "counter: calls a request",
    "counter: bytes out",
    "counter: bytes in",
    "list: bytes in",
    "processor",
    "memory",
    "throttled",
];

/// All slopes, a line each.
pub fn table(fits: &[Fit], source: Source) -> String {
    let mut text = String::from(
        "| factor | figure | slope | a | at the target | range | points | residual | source |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for fit in fits {
        let sizes = fit.factor.sizes();
        let _ = writeln!(
            text,
            "| {} | {} | {:.4e} {} | {} | {:.4} | {} to {} | {} | {:.1}% | {} |",
            fit.factor.name(),
            fit.what,
            fit.line.slope,
            fit.unit,
            fit.factor.unit(),
            fit.line.at(sizes[4]),
            sizes[0],
            sizes[4],
            fit.line.points,
            100.0 * fit.line.relative_residual,
            source.name(),
        );
    }
    text
}

/// Slopes as rows of a file.
pub fn slopes(path: &Path, fits: &[Fit], source: Source) -> Result<(), String> {
    let failed = |e: csv::Error| format!("{}: {e}", path.display());
    let mut writer = csv::Writer::from_path(path).map_err(failed)?;
    let head = [
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
    writer.write_record(head).map_err(failed)?;
    for fit in fits {
        let line = &fit.line;
        let numbers =
            [line.slope, line.intercept, line.residual, line.relative_residual].map(|n| n.to_string());
        let mut record = vec![fit.factor.name().to_owned(), fit.what.clone(), fit.unit.clone()];
        record.extend(numbers);
        record.extend([line.points.to_string(), source.name().to_owned()]);
        writer.write_record(record).map_err(failed)?;
    }
    writer.flush().map_err(|e| format!("{}: {e}", path.display()))
}

/// A chart for each factor and charted figure: the points and the line through them.
pub fn charts(folder: &Path, fits: &[Fit]) -> Result<(), String> {
    for factor in FACTORS {
        for fit in fits.iter().filter(|f| f.factor == factor && CHARTED.contains(&f.what.as_str())) {
            let name =
                format!("{}-{}.svg", fit.factor.name(), fit.what).replace([' ', ':'], "-").replace("--", "-");
            chart(&folder.join(&name), fit).map_err(|e| format!("{name}: {e}"))?;
        }
    }
    Ok(())
}

fn chart(path: &Path, fit: &Fit) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = |of: &dyn Fn(&(f64, f64)) -> f64| fit.points.iter().map(of).fold(1e-9, f64::max) * 1.1;
    let (x_most, y_most) = (most(&|p| p.0), most(&|p| p.1));
    let title =
        format!("{} over {}: {:.3e} a {}", fit.what, fit.factor.name(), fit.line.slope, fit.factor.unit());
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_most, 0.0..y_most)?;
    chart.configure_mesh().x_desc(fit.factor.name()).y_desc(&fit.unit).draw()?;
    let ends = [0.0, x_most].map(|x| (x, fit.line.at(x)));
    chart.draw_series(LineSeries::new(ends, BLUE.stroke_width(1)))?;
    chart.draw_series(fit.points.iter().map(|point| Circle::new(*point, 4, RED.filled())))?;
    area.present()?;
    Ok(())
}

/// Rows of one run beside those of another at the same point, and by how much they differ.
pub fn beside(real: &[Row], hollow: &[Row]) -> String {
    let mut text =
        String::from("| figure | unit | real | hollow | hollow / real |\n| --- | --- | --- | --- | --- |\n");
    for row in real {
        let Some(other) = hollow.iter().find(|h| h.what == row.what && h.unit == row.unit) else { continue };
        let ratio = if row.value == 0.0 { "-".to_owned() } else { format!("{:.2}", other.value / row.value) };
        let _ = writeln!(
            text,
            "| {} | {} | {:.4} | {:.4} | {ratio} |",
            row.what, row.unit, row.value, other.value
        );
    }
    text
}
