//! Results in a folder: raw rows, a row a play, a summary with median and spread, charts; and the comparison of two variants.
use crate::play::{Play, Row};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Figures of one play.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub succeeded: f64,
    pub throttled: f64,
    /// Errored, or without an answer.
    pub failed: f64,
    /// Milliseconds of those that succeeded.
    pub median: f64,
    pub p99: f64,
    /// Succeeded a second.
    pub rate: f64,
    /// By how much the generator was late, 99th percentile, milliseconds: figures under it say nothing.
    pub late: f64,
    /// Milliseconds of processor time of front doors for one invocation.
    pub processor: f64,
}

type Named = (&'static str, fn(&Figures) -> f64);

/// What is summed up and compared, by name.
pub const FIGURES: [Named; 8] = [
    ("succeeded, share", |f| f.succeeded),
    ("throttled, share", |f| f.throttled),
    ("failed, share", |f| f.failed),
    ("median, ms", |f| f.median),
    ("99th percentile, ms", |f| f.p99),
    ("succeeded a second", |f| f.rate),
    ("generator late, 99th percentile, ms", |f| f.late),
    ("processor of front doors, ms an invocation", |f| f.processor),
];

/// Microseconds up to a minute, to three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that hold")
}

pub fn figures(play: &Play, rows: &[Row]) -> Figures {
    let own: Vec<&Row> =
        rows.iter().filter(|r| r.variant == play.variant && r.repetition == play.repetition).collect();
    let share =
        |of: &[&str]| own.iter().filter(|r| of.contains(&r.outcome)).count() as f64 / own.len().max(1) as f64;
    let (mut took, mut late) = (histogram(), histogram());
    for r in &own {
        late.saturating_record((r.late.max(0.0) * 1e6) as u64 + 1);
        if r.outcome == "succeeded" {
            took.saturating_record((r.took * 1e6) as u64 + 1);
        }
    }
    let seconds = own.iter().map(|r| r.at).fold(0.0, f64::max).max(0.001);
    let (succeeded, throttled) = (share(&["succeeded"]), share(&["throttled"]));
    Figures {
        succeeded,
        throttled,
        failed: 1.0 - succeeded - throttled,
        median: took.value_at_quantile(0.5) as f64 / 1e3,
        p99: took.value_at_quantile(0.99) as f64 / 1e3,
        rate: succeeded * own.len() as f64 / seconds,
        late: late.value_at_quantile(0.99) as f64 / 1e3,
        processor: 1e3 * play.processor / own.len().max(1) as f64,
    }
}

/// The middle, and how far the least and the most lie apart.
fn middle(values: &[f64]) -> (f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let Some((first, last)) = sorted.first().zip(sorted.last()) else { return (0.0, 0.0) };
    let half = sorted.len() / 2;
    let median = if sorted.len() % 2 == 1 { sorted[half] } else { (sorted[half - 1] + sorted[half]) / 2.0 };
    (median, last - first)
}

/// In the order in which they were played first.
fn by_variant<'a>(plays: &'a [Play], rows: &[Row]) -> Vec<(&'a str, Vec<Figures>)> {
    let mut all: Vec<(&str, Vec<Figures>)> = vec![];
    for play in plays {
        let own = figures(play, rows);
        match all.iter_mut().find(|v| v.0 == play.variant) {
            Some(variant) => variant.1.push(own),
            None => all.push((&play.variant, vec![own])),
        }
    }
    all
}

/// Whether `b` differs from `a` beyond the noise: plays in pairs, of which the differences all have one sign and lie more than two
/// standard errors from none. Mean difference; with fewer than three pairs nothing is said.
pub fn beyond(a: &[f64], b: &[f64]) -> (f64, bool) {
    let diffs: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let n = diffs.len() as f64;
    let mean = diffs.iter().sum::<f64>() / n.max(1.0);
    if diffs.len() < 3 {
        return (mean, false);
    }
    let error = (diffs.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0) / n).sqrt();
    let one_sign = diffs.iter().all(|d| *d > 0.0) || diffs.iter().all(|d| *d < 0.0);
    (mean, one_sign && mean.abs() > 2.0 * error)
}

pub fn summary(plays: &[Play], rows: &[Row], whole: bool) -> String {
    let all = by_variant(plays, rows);
    let mut text = String::from(
        "# Results of quillramp-load\n\nFigures of this tool, among its own stand-ins; no other's.\n\n",
    );
    if !whole {
        text += "**Interrupted: what was played until then.**\n\n";
    }
    let names: Vec<&str> = all.iter().map(|v| v.0).collect();
    let _ = writeln!(
        text,
        "| median (spread) | {} |\n| --- |{}",
        names.join(" | "),
        " --- |".repeat(names.len())
    );
    for (name, figure) in FIGURES {
        let cells: Vec<String> = all
            .iter()
            .map(|(_, plays)| {
                let (median, spread) = middle(&plays.iter().map(figure).collect::<Vec<_>>());
                format!("{median:.3} ({spread:.3})")
            })
            .collect();
        let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
    }
    let sum = |figure: &dyn Fn(&Play) -> u64| {
        let of = |name: &str| plays.iter().filter(|p| p.variant == name).map(figure).sum::<u64>().to_string();
        names.iter().map(|n| of(n)).collect::<Vec<_>>().join(" | ")
    };
    let _ = writeln!(text, "| plays | {} |", sum(&|_| 1));
    let _ = writeln!(text, "| invocations | {} |", sum(&|p| p.sent));
    let _ = writeln!(text, "| counter calls | {} |", sum(&|p| p.counter_calls));
    let _ = writeln!(text, "| effects twice | {} |", sum(&|p| p.twice));
    let _ = writeln!(text, "| front doors that died | {} |", sum(&|p| p.died as u64));
    if let Some(((base, of_base), others)) = all.split_first() {
        others.iter().for_each(|(name, of)| text += &compared(of_base, of, base, name));
    }
    let worst = all.iter().flat_map(|v| &v.1).map(|f| f.late).fold(0.0, f64::max);
    if worst > 5.0 {
        let _ = writeln!(text, "\nThe generator was late by up to {worst:.1} ms (99th percentile of a play): too few cores for it.");
    }
    text
}

/// One variant against another, figure by figure.
pub fn compared(a: &[Figures], b: &[Figures], name_a: &str, name_b: &str) -> String {
    let mut text = format!(
        "\n## {name_b} against {name_a}\n\n| figure | difference | beyond the noise |\n| --- | --- | --- |\n"
    );
    for (name, figure) in FIGURES {
        let of = |all: &[Figures]| all.iter().map(figure).collect::<Vec<_>>();
        let (mean, is) = beyond(&of(a), &of(b));
        let _ = writeln!(text, "| {name} | {mean:+.3} | {} |", if is { "yes" } else { "no" });
    }
    text
}

type Done = Result<(), Box<dyn std::error::Error>>;

/// Writes all of it into the folder.
pub fn write(folder: &Path, plays: &[Play], rows: &[Row], whole: bool) -> Result<(), String> {
    let at = |name: &str| folder.join(name);
    let told = |name: &str, done: Done| done.map_err(|e| format!("{}: {e}", at(name).display()));
    told("rows.csv", table(&at("rows.csv"), rows))?;
    told("plays.csv", table(&at("plays.csv"), plays))?;
    told("summary.md", std::fs::write(at("summary.md"), summary(plays, rows, whole)).map_err(Into::into))?;
    told("percentiles.svg", percentiles(&at("percentiles.svg"), plays, rows))
}

fn table<T: serde::Serialize>(path: &Path, rows: &[T]) -> Done {
    let mut out = csv::Writer::from_path(path)?;
    for row in rows {
        out.serialize(row)?;
    }
    out.flush()?;
    Ok(())
}

/// Latency by percentile, a line a variant.
fn percentiles(path: &Path, plays: &[Play], rows: &[Row]) -> Done {
    let mut lines: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    for play in plays {
        lines.entry(&play.variant).or_insert_with(histogram);
    }
    for r in rows.iter().filter(|r| r.outcome == "succeeded") {
        if let Some(line) = lines.get_mut(r.variant.as_str()) {
            line.saturating_record((r.took * 1e6) as u64 + 1);
        }
    }
    let most = lines.values().map(|h| h.value_at_quantile(0.999)).max().unwrap_or(1) as f64 / 1e3;
    let root = SVGBackend::new(path, (760, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Latency from the intended start, succeeded", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..100.0, 0.0..most.max(0.001) * 1.05)?;
    chart.configure_mesh().x_desc("percentile").y_desc("ms").draw()?;
    for (i, (name, h)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points =
            (0..=999).map(|p| (f64::from(p) / 10.0, h.value_at_quantile(f64::from(p) / 1e3) as f64 / 1e3));
        let line = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        line.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
