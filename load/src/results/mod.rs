//! Writes the results of a session into a folder and reads them back. The folder has tables of requests, runs, backend loads and customers,
//! a summary with the median and the spread of each figure, and charts.
mod comparison;
mod figures;
mod summary;

pub use comparison::{compare, compare_sessions, Comparison};
pub use figures::{figures, Figures, NamedFigure, FIGURES};
pub(crate) use figures::{histogram, quantile_ms, record};
pub use summary::summary;

use crate::charts;
use crate::generator::RequestRow;
use crate::run::{RunResult, RunSummary};
use crate::test_bed::BackendLoad;
use crate::usage::CustomerUsage;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use summary::INTERRUPTED_MARK;

/// The results of a session, with all runs made so far.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// A row for each run.
    pub runs: Vec<RunSummary>,
    /// A row for each request.
    pub rows: Vec<RequestRow>,
    /// Executed units by backend and interval.
    pub loads: Vec<BackendLoad>,
    /// Usage of each customer with a quota, by run.
    pub customers: Vec<CustomerUsage>,
    /// Whether all intended runs were made.
    pub complete: bool,
}

/// The reasons for which a session can't be written, read or compared.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// A file of the folder can't be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system, the CSV writer or the chart library.
        source: Box<dyn std::error::Error>,
    },
    /// A table of the folder can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the CSV reader.
        source: csv::Error,
    },
    /// The sessions have no variant in common.
    #[error("the two sessions have no variant in common")]
    NoCommonVariant,
}

/// Result of writing a file.
pub(crate) type WriteResult = Result<(), Box<dyn std::error::Error>>;

impl Session {
    /// Adds the results of a run.
    pub fn add(&mut self, result: RunResult) {
        self.runs.push(result.summary);
        self.rows.extend(result.rows);
        self.loads.extend(result.loads);
        self.customers.extend(result.customers);
    }

    /// Writes the tables, the summary and the charts into the folder.
    pub fn write(&self, folder: &Path) -> Result<(), SessionError> {
        let write = |name: &str, write: &dyn Fn(&Path) -> WriteResult| {
            let path = folder.join(name);
            write(&path).map_err(|source| SessionError::Write { path, source })
        };
        write("rows.csv", &|path| write_table(path, &self.rows))?;
        write("plays.csv", &|path| write_table(path, &self.runs))?;
        write("backends.csv", &|path| write_table(path, &self.loads))?;
        write("customers.csv", &|path| write_table(path, &self.customers))?;
        write("summary.md", &|path| std::fs::write(path, summary(self)).map_err(Into::into))?;
        write("percentiles.svg", &|path| charts::latency_percentiles(path, self))?;
        write("service.svg", &|path| charts::outcomes_over_time(path, self))?;
        write("backends.svg", &|path| charts::backend_loads(path, self))
    }

    /// Reads the tables of a folder that `write` has written.
    pub fn read(folder: &Path) -> Result<Session, SessionError> {
        let summary = std::fs::read_to_string(folder.join("summary.md")).unwrap_or_default();
        Ok(Session {
            runs: read_table(folder.join("plays.csv"))?,
            rows: read_table(folder.join("rows.csv"))?,
            loads: read_table(folder.join("backends.csv"))?,
            customers: read_table(folder.join("customers.csv"))?,
            complete: !summary.is_empty() && !summary.contains(INTERRUPTED_MARK),
        })
    }

    /// Returns the names of the variants, in the order in which they were first run.
    pub fn variants(&self) -> Vec<&str> {
        let mut names: Vec<&str> = vec![];
        for run in &self.runs {
            if !names.contains(&run.variant.as_str()) {
                names.push(&run.variant);
            }
        }
        names
    }
}

fn write_table<T: serde::Serialize>(path: &Path, rows: &[T]) -> WriteResult {
    let mut out = csv::Writer::from_path(path)?;
    for row in rows {
        out.serialize(row)?;
    }
    out.flush()?;
    Ok(())
}

fn read_table<T: DeserializeOwned>(path: PathBuf) -> Result<Vec<T>, SessionError> {
    let read = |path: &Path| csv::Reader::from_path(path)?.deserialize().collect::<Result<_, _>>();
    read(&path).map_err(|source| SessionError::Read { path, source })
}
