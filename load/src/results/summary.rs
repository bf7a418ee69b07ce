//! The summary of a session: median and spread of each figure by variant, and each variant against the first one.
use super::comparison::section;
use super::figures::{by_variant, VariantFigures, FIGURES};
use super::Session;
use crate::run::RunSummary;
use std::fmt::Write;

/// Marks the summary of a session that is not complete; a session that is read back is told by it.
pub(super) const INTERRUPTED_MARK: &str = "Interrupted";
/// Lateness of the generator from which the summary warns, milliseconds.
const SEND_DELAY_WARNING_MS: f64 = 5.0;

/// The middle of some values, and how far the least and the greatest lie apart.
struct MedianSpread {
    median: f64,
    spread: f64,
}

impl MedianSpread {
    fn of(values: &[f64]) -> MedianSpread {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let Some((first, last)) = sorted.first().zip(sorted.last()) else {
            return MedianSpread { median: 0.0, spread: 0.0 };
        };
        let middle = sorted.len() / 2;
        let median =
            if sorted.len() % 2 == 1 { sorted[middle] } else { (sorted[middle - 1] + sorted[middle]) / 2.0 };
        MedianSpread { median, spread: last - first }
    }
}

/// The summary as Markdown.
pub fn summary(session: &Session) -> String {
    let all = by_variant(&session.runs, &session.rows);
    let mut text = String::from(
        "# Results of quillramp-load\n\nMeasured with stand-in servers on one machine: compare them only with other results of this program.\n\n",
    );
    if !session.complete {
        let _ = writeln!(text, "**{INTERRUPTED_MARK}: the runs made until then.**\n");
    }
    write_figures(&mut text, &all);
    write_sums(&mut text, &all, &session.runs);
    if let Some((first, others)) = all.split_first() {
        others.iter().for_each(|other| text += &section(first, other));
    }
    let max_send_delay_ms = all
        .iter()
        .flat_map(|variant| &variant.runs)
        .map(|figures| figures.send_delay_p99_ms)
        .fold(0.0, f64::max);
    if max_send_delay_ms > SEND_DELAY_WARNING_MS {
        let _ = writeln!(text, "\nThe generator was late by up to {max_send_delay_ms:.1} ms (99th percentile of a run): it has too few cores.");
    }
    text
}

/// The head of the table, and a line for each figure.
fn write_figures(text: &mut String, all: &[VariantFigures]) {
    let names: Vec<&str> = all.iter().map(|variant| variant.name).collect();
    let _ = writeln!(
        text,
        "| median (spread) | {} |\n| --- |{}",
        names.join(" | "),
        " --- |".repeat(names.len())
    );
    for figure in FIGURES {
        let cell = |variant: &VariantFigures| {
            let values: Vec<f64> = variant.runs.iter().map(figure.value).collect();
            let MedianSpread { median, spread } = MedianSpread::of(&values);
            format!("{median:.3} ({spread:.3})")
        };
        let cells: Vec<String> = all.iter().map(cell).collect();
        let _ = writeln!(text, "| {} | {} |", figure.name, cells.join(" | "));
    }
}

/// The lines that sum up the runs of each variant.
fn write_sums(text: &mut String, all: &[VariantFigures], runs: &[RunSummary]) {
    let sum = |value: &dyn Fn(&RunSummary) -> u64| {
        let of = |variant: &VariantFigures| {
            let variant_runs = runs.iter().filter(|run| run.variant == variant.name);
            variant_runs.map(value).sum::<u64>().to_string()
        };
        all.iter().map(of).collect::<Vec<_>>().join(" | ")
    };
    let _ = writeln!(text, "| runs | {} |", sum(&|_| 1));
    let _ = writeln!(text, "| requests | {} |", sum(&|run| run.sent));
    let _ = writeln!(text, "| counter calls | {} |", sum(&|run| run.counter_calls));
    let _ = writeln!(text, "| effects twice | {} |", sum(&|run| run.duplicates));
    let _ = writeln!(text, "| instances that crashed | {} |", sum(&|run| run.crashed as u64));
}
