//! Compares variants with each other, and sessions with each other.
use super::figures::{by_variant, Figures, VariantFigures, FIGURES};
use super::{Session, SessionError};
use std::fmt::Write;

/// Minimum number of pairs for a significant difference.
const MIN_PAIRS: usize = 3;
/// A significant difference is larger than this number of standard errors.
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// The difference of one figure between two variants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Mean difference over the pairs of runs, second minus first variant.
    pub mean_difference: f64,
    /// Whether the difference is beyond the noise.
    pub significant: bool,
}

/// Compares the values of two variants in pairs. The difference is significant if all pairs differ in the same direction and the mean is
/// more than two standard errors from 0. With fewer than three pairs no difference is significant.
pub fn compare(first: &[f64], second: &[f64]) -> Comparison {
    let differences: Vec<f64> = first.iter().zip(second).map(|(first, second)| second - first).collect();
    let pairs = differences.len() as f64;
    let mean_difference = differences.iter().sum::<f64>() / pairs.max(1.0);
    if differences.len() < MIN_PAIRS {
        return Comparison { mean_difference, significant: false };
    }
    let squares = differences.iter().map(|difference| (difference - mean_difference).powi(2)).sum::<f64>();
    let standard_error = (squares / (pairs - 1.0) / pairs).sqrt();
    let one_sign = differences.iter().all(|difference| *difference > 0.0)
        || differences.iter().all(|difference| *difference < 0.0);
    let significant = one_sign && mean_difference.abs() > MIN_STANDARD_ERRORS * standard_error;
    Comparison { mean_difference, significant }
}

/// Returns a Markdown section that compares the runs of two variants, figure by figure.
pub(super) fn section(first: &VariantFigures, second: &VariantFigures) -> String {
    let mut text = format!(
        "\n## {} against {}\n\n| figure | difference | beyond the noise |\n| --- | --- | --- |\n",
        second.name, first.name
    );
    for figure in FIGURES {
        let values = |runs: &[Figures]| runs.iter().map(figure.value).collect::<Vec<_>>();
        let comparison = compare(&values(&first.runs), &values(&second.runs));
        let significant = if comparison.significant { "yes" } else { "no" };
        let _ = writeln!(text, "| {} | {:+.3} | {significant} |", figure.name, comparison.mean_difference);
    }
    text
}

/// Compares each variant that both sessions have run, in pairs by repetition, and returns the comparison as Markdown. Fails if the
/// sessions have no variant in common.
pub fn compare_sessions(first: &Session, second: &Session) -> Result<String, SessionError> {
    let mut text = String::from("# Comparison of two sessions\n\nThe sessions were run at different times: a drift of the machine between them counts as a difference.\n");
    for (which, session) in [("first", first), ("second", second)] {
        if !session.complete {
            let _ = writeln!(text, "\nThe {which} session was interrupted: not all of its runs were made.");
        }
    }
    let in_second = second.variants();
    let common: Vec<&str> = first.variants().into_iter().filter(|name| in_second.contains(name)).collect();
    if common.is_empty() {
        return Err(SessionError::NoCommonVariant);
    }
    let of_first = by_variant(&first.runs, &first.rows);
    let of_second = by_variant(&second.runs, &second.rows);
    for name in common {
        let runs = |all: &[VariantFigures]| {
            all.iter()
                .find(|variant| variant.name == name)
                .map(|variant| variant.runs.clone())
                .unwrap_or_default()
        };
        let first = VariantFigures { name: "the first session", runs: runs(&of_first) };
        let second_name = format!("{name}, the second session");
        let second = VariantFigures { name: &second_name, runs: runs(&of_second) };
        text += &section(&first, &second);
    }
    Ok(text)
}
