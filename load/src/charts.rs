//! Draws the charts of a session: latency by percentile, outcomes over time, and load by backend over time.
use crate::generator::Outcome;
use crate::results::{histogram, quantile_ms, record, Session, WriteResult};
use crate::test_bed::INTERVAL_SECONDS;
use hdrhistogram::Histogram;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Width of a chart.
const WIDTH_PIXELS: u32 = 760;
/// Height of a chart that is alone in its file.
const HEIGHT_PIXELS: u32 = 420;
/// Height of each chart in a file with several charts.
const STACKED_HEIGHT_PIXELS: u32 = 300;
/// Minimum length of an axis, in the axis' unit; prevents an empty range.
const MIN_AXIS_LENGTH: f64 = 0.001;
/// Length of the vertical axis relative to the highest point.
const HEADROOM_FACTOR: f64 = 1.05;

/// A line of a chart.
struct Line {
    name: String,
    thin: bool,
    /// Coordinates on the two axes.
    points: Vec<(f64, f64)>,
}

/// An axis from 0 to `max`.
struct Axis {
    label: &'static str,
    max: f64,
}

/// The axes and the title of a chart.
struct Axes {
    title: String,
    x: Axis,
    y: Axis,
}

/// Draws a chart of lines, with a legend.
fn draw<B: DrawingBackend>(area: &DrawingArea<B, Shift>, axes: &Axes, lines: &[Line]) -> WriteResult
where
    B::ErrorType: 'static,
{
    let x_max = axes.x.max.max(MIN_AXIS_LENGTH);
    let y_max = axes.y.max.max(MIN_AXIS_LENGTH) * HEADROOM_FACTOR;
    let mut chart = ChartBuilder::on(area)
        .caption(&axes.title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(axes.x.label).y_desc(axes.y.label).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let style = color.stroke_width(if line.thin { 1 } else { 2 });
        let series = chart.draw_series(LineSeries::new(line.points.iter().copied(), style))?;
        series.label(&line.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

/// Draws a chart as the only one in an SVG file.
fn draw_to_file(path: &Path, axes: &Axes, lines: &[Line]) -> WriteResult {
    let root = SVGBackend::new(path, (WIDTH_PIXELS, HEIGHT_PIXELS)).into_drawing_area();
    root.fill(&WHITE)?;
    draw(&root, axes, lines)?;
    root.present()?;
    Ok(())
}

/// Draws the latency of the requests that succeeded by percentile, a line for each variant.
pub(crate) fn latency_percentiles(path: &Path, session: &Session) -> WriteResult {
    let mut latencies: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    for name in session.variants() {
        latencies.insert(name, histogram());
    }
    for row in session.rows.iter().filter(|row| row.outcome == Outcome::Succeeded) {
        if let Some(histogram) = latencies.get_mut(row.variant.as_str()) {
            record(histogram, row.latency);
        }
    }
    let max = latencies.values().map(|histogram| histogram.value_at_quantile(0.999)).max().unwrap_or(1)
        as f64
        / 1e3;
    let line = |name: &&str| {
        let point = |per_mille: u32| {
            let quantile = f64::from(per_mille) / 1e3;
            (f64::from(per_mille) / 10.0, quantile_ms(&latencies[name], quantile))
        };
        Line { name: (*name).to_owned(), thin: false, points: (0..=999).map(point).collect() }
    };
    let lines: Vec<Line> = session.variants().iter().map(line).collect();
    let axes = Axes {
        title: "Latency from the intended start, succeeded".into(),
        x: Axis { label: "percentile", max: 100.0 },
        y: Axis { label: "ms", max },
    };
    draw_to_file(path, &axes, &lines)
}

/// Numbers of requests by outcome in one interval.
#[derive(Clone, Copy, Default)]
struct IntervalCounts {
    requests: f64,
    succeeded: f64,
    throttled: f64,
}

/// Draws the fractions of requests that succeeded and that were throttled by intended start, over all repetitions.
pub(crate) fn outcomes_over_time(path: &Path, session: &Session) -> WriteResult {
    let last_time = session.rows.iter().map(|row| row.at).fold(0.0, f64::max);
    let intervals = interval_index(last_time) + 1;
    let mut lines: Vec<Line> = vec![];
    for name in session.variants() {
        let mut counts = vec![IntervalCounts::default(); intervals];
        for row in session.rows.iter().filter(|row| row.variant == name) {
            let count = &mut counts[interval_index(row.at)];
            count.requests += 1.0;
            count.succeeded += f64::from(u8::from(row.outcome == Outcome::Succeeded));
            count.throttled += f64::from(u8::from(row.outcome == Outcome::Throttled));
        }
        let points = |value: &dyn Fn(&IntervalCounts) -> f64| {
            let nonempty = counts.iter().enumerate().filter(|(_, count)| count.requests > 0.0);
            nonempty
                .map(|(i, count)| (i as f64 * INTERVAL_SECONDS, value(count) / count.requests))
                .collect::<Vec<_>>()
        };
        let succeeded = points(&|count| count.succeeded);
        lines.push(Line { name: format!("{name}: succeeded"), thin: false, points: succeeded });
        if counts.iter().any(|count| count.throttled > 0.0) {
            let throttled = points(&|count| count.throttled);
            lines.push(Line { name: format!("{name}: throttled"), thin: true, points: throttled });
        }
    }
    let axes = Axes {
        title: "Outcomes of requests, by time of arrival".into(),
        x: Axis { label: "seconds", max: last_time },
        y: Axis { label: "share", max: 1.0 },
    };
    draw_to_file(path, &axes, &lines)
}

/// Returns the index of the interval that a time belongs to; `at` is in seconds since the start of the traffic.
fn interval_index(at: f64) -> usize {
    (at / INTERVAL_SECONDS) as usize
}

/// The chart of the load of one variant's backends.
struct BackendChart<'a> {
    variant: &'a str,
    lines: Vec<Line>,
    /// Highest load, units per second.
    max: f64,
}

/// Computes the load of each backend of a variant, as the mean over the repetitions.
fn backend_chart<'a>(session: &Session, variant: &'a str, intervals: usize) -> BackendChart<'a> {
    let runs = session.runs.iter().filter(|run| run.variant == variant).count().max(1) as f64;
    let mut by_backend: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for load in session.loads.iter().filter(|load| load.variant == variant) {
        let units = by_backend.entry(load.backend).or_insert_with(|| vec![0.0; intervals]);
        units[interval_index(load.at)] += load.units / runs;
    }
    let max = by_backend.values().flatten().copied().fold(0.0, f64::max);
    let line = |(backend, units): (usize, Vec<f64>)| {
        let point = |(i, units): (usize, &f64)| (i as f64 * INTERVAL_SECONDS, units / INTERVAL_SECONDS);
        let points = units.iter().enumerate().map(point).collect();
        Line { name: format!("backend {backend}"), thin: true, points }
    };
    let lines = by_backend.into_iter().map(line).collect();
    BackendChart { variant, lines, max: max / INTERVAL_SECONDS }
}

/// Draws the units per second that each backend executed, a chart for each variant.
pub(crate) fn backend_loads(path: &Path, session: &Session) -> WriteResult {
    let variants = session.variants();
    let last_time = session.loads.iter().map(|load| load.at).fold(0.0, f64::max);
    let intervals = interval_index(last_time) + 1;
    let charts: Vec<BackendChart> =
        variants.iter().map(|variant| backend_chart(session, variant, intervals)).collect();
    let max = charts.iter().map(|chart| chart.max).fold(0.0, f64::max);
    let count = charts.len().max(1);
    let root =
        SVGBackend::new(path, (WIDTH_PIXELS, STACKED_HEIGHT_PIXELS * count as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, chart) in root.split_evenly((count, 1)).iter().zip(&charts) {
        let axes = Axes {
            title: format!("Load by backend: {}", chart.variant),
            x: Axis { label: "seconds", max: last_time },
            y: Axis { label: "units a second", max },
        };
        draw(area, &axes, &chart.lines)?;
    }
    root.present()?;
    Ok(())
}
