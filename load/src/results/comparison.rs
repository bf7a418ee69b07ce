//! Comparisons: one variant with another, and one session with another.
use super::figures::{by_variant, Figures, VariantFigures, FIGURES};
use super::{Session, SessionError};
use std::fmt::Write;

/// The least number of pairs that a difference is concluded from.
const MIN_PAIRS: usize = 3;
/// Standard errors that a difference beyond the noise has at least.
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// How one figure differs between two variants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Mean difference over the pairs of runs, second minus first.
    pub mean_difference: f64,
    /// The difference lies beyond the noise.
    pub significant: bool,
}

/// Compares runs in pairs: a difference is significant when all pairs differ in one direction and the mean is more than two standard
/// errors from 0. With fewer than three pairs none is.
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

/// One variant's runs against another's, figure by figure, as a section of a summary.
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

/// Compares two sessions: each variant that both have run, in pairs by repetition.
pub fn compare_sessions(first: &Session, second: &Session) -> Result<String, SessionError> {
    let mut text = String::from("# Comparison of two sessions\n\nThe sessions were run at different times: a drift of the machine between them counts as a difference.\n");
    for (which, session) in [("first", first), ("second", second)] {
        if !session.complete {
            let _ = writeln!(text, "\nThe {which} session was interrupted.");
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
