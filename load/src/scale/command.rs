//! The `scale` commands of the program. Names of commands and options call an instance a front door, and an embedded one hollow.
use super::embedded_run::{self, Transport};
use super::error::ScaleError;
use super::fit::{self, Factor};
use super::operating_point::OperatingPoint;
use super::propagation::{self, Burst};
use super::real;
use super::rows::{self, Row, Source};
use super::slope_report;
use super::sweep::{self, SweepLimits, SweepSpec};
use super::timing::Timing;
use clap::Subcommand;
use std::path::{Path, PathBuf};

/// What can be measured.
#[derive(Subcommand)]
pub enum Scale {
    /// Measure one process of the gateway program, among stand-in servers on loopback.
    Real {
        /// The sizes and the traffic.
        #[command(flatten)]
        point: OperatingPoint,
        /// How long it is measured.
        #[command(flatten)]
        timing: Timing,
        /// Name of the run in its rows.
        #[arg(long, default_value = "real")]
        run: String,
        /// The gateway program.
        #[arg(long, value_name = "FILE", default_value = "target/release/quillramp")]
        program: PathBuf,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Measure embedded ("hollow") instances: the gateway's code in this process, without its sockets.
    Hollow {
        /// The sizes and the traffic.
        #[command(flatten)]
        point: OperatingPoint,
        /// How long they are measured.
        #[command(flatten)]
        timing: Timing,
        /// Name of the run in its rows.
        #[arg(long, default_value = "hollow")]
        run: String,
        /// How they reach the counter and the list service.
        #[arg(long = "on", value_name = "ON", value_enum, default_value_t = Transport::InProcess)]
        transport: Transport,
        /// Number of embedded instances; for the rest of the fleet the stand-in counter adds an estimate.
        #[arg(long = "hollow", value_name = "INSTANCES", default_value_t = 4)]
        embedded: usize,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Measure embedded ("hollow") instances while one factor at a time is varied over five sizes.
    Sweep {
        /// The factors to vary [default: all]
        #[arg(value_enum)]
        factors: Vec<Factor>,
        /// The sizes and the traffic of the factors that are not varied.
        #[command(flatten)]
        base: OperatingPoint,
        /// How long each point is measured.
        #[command(flatten)]
        timing: Timing,
        /// What the sweep may use.
        #[command(flatten)]
        limits: SweepLimits,
        /// Number of embedded instances at each point.
        #[arg(long = "hollow", value_name = "INSTANCES", default_value_t = 4)]
        embedded: usize,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Measure how long changes of the endpoint list take to be in force, in seconds, while some instances restart; embedded
    /// ("hollow") instances on sockets.
    Changes {
        /// The sizes and the traffic.
        #[command(flatten)]
        point: OperatingPoint,
        /// The changes and the restarts.
        #[command(flatten)]
        burst: Burst,
        /// Name of the run in its rows.
        #[arg(long, default_value = "changes")]
        run: String,
        /// Number of embedded instances.
        #[arg(long = "hollow", value_name = "INSTANCES", default_value_t = 420)]
        embedded: usize,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Fit straight lines to the rows of a sweep; prints a table of the slopes.
    Fit {
        /// The CSV file of the sweep's rows.
        rows: PathBuf,
        /// Existing directory to write `slopes.csv` and charts to.
        #[arg(long, value_name = "DIRECTORY")]
        folder: PathBuf,
    },
    /// Compare a run of the program with one of embedded ("hollow") instances at the same point, figure by figure.
    Beside {
        /// The CSV file of rows that has both runs.
        rows: PathBuf,
        /// Name of the run of the program.
        real: String,
        /// Name of the run of embedded instances.
        hollow: String,
    },
}

/// Measures and appends the rows to their file; the text for standard output.
pub fn run(command: &Scale) -> Result<String, ScaleError> {
    match command {
        Scale::Real { point, timing, run, program, out } => {
            append_rows(out, &real::measure(program, run, point, timing)?)
        }
        Scale::Hollow { point, timing, run, transport, embedded, out } => {
            let rows = match transport {
                Transport::InProcess => embedded_run::measure_in_process(run, point, *embedded, timing)?,
                Transport::Sockets => embedded_run::measure_on_sockets(run, point, *embedded, timing)?,
            };
            append_rows(out, &rows)
        }
        Scale::Sweep { factors, base, timing, limits, embedded, out } => {
            let spec = SweepSpec { base, factors, timing, instances: *embedded, limits };
            let missing = sweep::sweep(&spec, out)?;
            Ok(missing.iter().map(|line| format!("missing: {line}\n")).collect())
        }
        Scale::Changes { point, burst, run, embedded, out } => {
            append_rows(out, &propagation::measure(run, point, *embedded, burst)?)
        }
        Scale::Fit { rows, folder } => fit(rows, folder),
        Scale::Beside { rows, real, hollow } => {
            let rows = rows::read(rows)?;
            let of_run =
                |run: &str| -> Vec<Row> { rows.iter().filter(|row| row.run == run).cloned().collect() };
            Ok(slope_report::compare_runs(&of_run(real), &of_run(hollow)))
        }
    }
}

/// Writes the slopes and the charts of a sweep into the folder; the slopes as a table.
fn fit(rows: &Path, folder: &Path) -> Result<String, ScaleError> {
    let rows = rows::read(rows)?;
    let source = rows.first().map_or(Source::InProcess, |row| row.source);
    let fits = fit::fit_rows(&rows);
    slope_report::write_slopes(&folder.join("slopes.csv"), &fits, source)?;
    slope_report::draw_charts(folder, &fits)?;
    Ok(slope_report::table(&fits, source))
}

/// Appends measured rows to a file; a line for each.
fn append_rows(out: &Path, rows: &[Row]) -> Result<String, ScaleError> {
    rows::append(out, rows)?;
    let line = |row: &Row| format!("{}: {} {:.4} {}\n", row.run, row.figure, row.value, row.unit);
    Ok(rows.iter().map(line).collect())
}
