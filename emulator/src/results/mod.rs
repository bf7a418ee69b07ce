//! What came of many runs, kept in a folder: rows, a summary, charts.
mod charts;
mod rows;
mod summary;

pub use summary::summary;

use crate::scenario::FaultKind;
use crate::simulation::Report;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// What can't be written, with its path.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The folder, or a plain file.
    #[error("{}: {source}", path.display())]
    File {
        /// Where.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A file of rows.
    #[error("{}: {source}", path.display())]
    Rows {
        /// Where.
        path: PathBuf,
        /// Why not.
        source: csv::Error,
    },
    /// A chart.
    #[error("{}: {source}", path.display())]
    Chart {
        /// Where.
        path: PathBuf,
        /// Why not.
        source: charts::ChartError,
    },
}

/// Writes rows, summary and charts into a folder, which is made if need be; `seconds` is how long the runs took.
///
/// # Errors
///
/// The first thing that can't be written.
pub fn write(folder: &Path, reports: &[Report], seconds: f64) -> Result<(), ResultsError> {
    std::fs::create_dir_all(folder)
        .map_err(|source| ResultsError::File { path: folder.to_owned(), source })?;
    write_rows(folder.join("runs.csv"), reports, rows::write_runs)?;
    write_rows(folder.join("faults.csv"), reports, rows::write_faults)?;
    let path = folder.join("summary.md");
    std::fs::write(&path, summary(reports, seconds)).map_err(|source| ResultsError::File { path, source })?;
    write_chart(folder.join("faults.svg"), reports, charts::fault_chart)?;
    write_chart(folder.join("steps.svg"), reports, charts::step_chart)
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

/// How a kind of fault struck in many runs.
#[derive(Clone, Copy, Default)]
struct FaultCounts {
    /// How often it struck.
    strikes: u64,
    /// In how many runs.
    runs: u64,
    /// In how many runs with a violation.
    violated_runs: u64,
}

fn count_faults(reports: &[Report]) -> BTreeMap<FaultKind, FaultCounts> {
    let mut kinds: BTreeMap<FaultKind, FaultCounts> = BTreeMap::new();
    for report in reports {
        for (kind, strikes) in &report.faults {
            let counts = kinds.entry(*kind).or_default();
            counts.strikes += strikes;
            counts.runs += 1;
            counts.violated_runs += u64::from(report.violation.is_some());
        }
    }
    kinds
}
