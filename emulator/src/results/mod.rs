//! Writes the results of many runs to a directory: rows (CSV), a summary (Markdown) and charts (SVG).
mod charts;
mod rows;
mod summary;

pub use summary::summary;

use crate::scenario::FaultKind;
use crate::simulation::Report;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Error of [`write()`], with the path that can't be written.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The directory can't be created, or the summary can't be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file of rows can't be written.
    #[error("{}: {source}", path.display())]
    Rows {
        /// Path of the file or directory.
        path: PathBuf,
        /// The cause.
        source: csv::Error,
    },
    /// A chart can't be drawn or written.
    #[error("{}: {source}", path.display())]
    Chart {
        /// Path of the file or directory.
        path: PathBuf,
        /// The cause.
        source: charts::ChartError,
    },
}

/// Writes rows, summary and charts to a directory, which is created if necessary. `seconds` is the wall-clock time of all runs.
///
/// # Errors
///
/// The first directory, file or chart that can't be written.
pub fn write(directory: &Path, reports: &[Report], seconds: f64) -> Result<(), ResultsError> {
    std::fs::create_dir_all(directory)
        .map_err(|source| ResultsError::File { path: directory.to_owned(), source })?;
    write_rows(directory.join("runs.csv"), reports, rows::write_runs)?;
    write_rows(directory.join("faults.csv"), reports, rows::write_faults)?;
    let path = directory.join("summary.md");
    std::fs::write(&path, summary(reports, seconds)).map_err(|source| ResultsError::File { path, source })?;
    write_chart(directory.join("faults.svg"), reports, charts::fault_chart)?;
    write_chart(directory.join("steps.svg"), reports, charts::step_chart)
}

fn write_rows(
    path: PathBuf,
    reports: &[Report],
    write: fn(&Path, &[Report]) -> Result<(), csv::Error>,
) -> Result<(), ResultsError> {
    write(&path, reports).map_err(|source| ResultsError::Rows { path, source })
}

fn write_chart(
    path: PathBuf,
    reports: &[Report],
    draw: fn(&Path, &[Report]) -> Result<(), charts::ChartError>,
) -> Result<(), ResultsError> {
    draw(&path, reports).map_err(|source| ResultsError::Chart { path, source })
}

/// How often faults of one kind occurred in many runs.
#[derive(Clone, Copy, Default)]
struct FaultCounts {
    /// Number of faults of the kind.
    occurrences: u64,
    /// Number of runs with the kind.
    runs: u64,
    /// Number of runs with the kind and a violation.
    violated_runs: u64,
}

/// Counts the faults of each kind.
fn count_faults(reports: &[Report]) -> BTreeMap<FaultKind, FaultCounts> {
    let mut kinds: BTreeMap<FaultKind, FaultCounts> = BTreeMap::new();
    for report in reports {
        for (kind, occurrences) in &report.faults {
            let counts = kinds.entry(*kind).or_default();
            counts.occurrences += occurrences;
            counts.runs += 1;
            counts.violated_runs += u64::from(report.violation.is_some());
        }
    }
    kinds
}
