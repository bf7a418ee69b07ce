//! Summarizes a session in Markdown: the median and the spread of each figure by variant, and comparisons of the variants with the first
//! one.
use super::comparison::section;
use super::figures::{by_variant, VariantFigures, FIGURES};
use super::Session;
use crate::run::RunSummary;
use std::fmt::Write;

/// Word in the summary of an incomplete session; a session that is read back counts as incomplete if its summary has it.
pub(super) const INTERRUPTED_MARK: &str = "Interrupted";
/// Delay of the generator above which the summary has a warning, milliseconds.
const SEND_DELAY_WARNING_MS: f64 = 5.0;

/// The median of some values, and the difference between the maximum and the minimum.
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

/// Returns the summary of a session as Markdown.
pub fn summary(session: &Session) -> String {
    let all = by_variant(&session.runs, &session.rows);
    let mut text = String::from(
        "# Results of quillramp-load\n\nMeasured with stand-in servers on one machine. Compare these results only with other results of this program.\n\n",
    );
    if !session.complete {
        let _ = writeln!(text, "**{INTERRUPTED_MARK}: not all runs were made; the results are those of the runs before the interruption.**\n");
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
        let _ = writeln!(text, "\nThe generator sent requests up to {max_send_delay_ms:.1} ms late (99th percentile of a run): it has too few processor cores.");
    }
    text
}

/// Writes the header of the table and a row for each figure.
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

/// Writes the rows with sums over the runs of each variant.
fn write_sums(text: &mut String, all: &[VariantFigures], runs: &[RunSummary]) {
    let sum = |value: &dyn Fn(&RunSummary) -> u64| {
        let variant_sum = |variant: &VariantFigures| {
            let variant_runs = runs.iter().filter(|run| run.variant == variant.name);
            variant_runs.map(value).sum::<u64>().to_string()
        };
        all.iter().map(variant_sum).collect::<Vec<_>>().join(" | ")
    };
    let _ = writeln!(text, "| runs | {} |", sum(&|_| 1));
    let _ = writeln!(text, "| requests | {} |", sum(&|run| run.sent));
    let _ = writeln!(text, "| counter calls | {} |", sum(&|run| run.counter_calls));
    let _ = writeln!(text, "| effects twice | {} |", sum(&|run| run.duplicates));
    let _ = writeln!(text, "| instances that crashed | {} |", sum(&|run| run.crashed as u64));
}
