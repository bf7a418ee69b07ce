//! The `scale` subcommands of `quillramp-load`. Their names and options say `front-doors` for gateway instances and
//! `hollow` for embedded instances.
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

/// A measurement, or a report on measured rows.
#[derive(Subcommand)]
pub enum Scale {
    /// Measure one process of the gateway program with stand-in servers on loopback.
    Real {
        /// Fleet sizes and traffic.
        #[command(flatten)]
        point: OperatingPoint,
        /// Duration of the warm-up and of the measurement.
        #[command(flatten)]
        timing: Timing,
        /// Name of the run in its rows.
        #[arg(long, default_value = "real")]
        run: String,
        /// Path of the gateway program.
        #[arg(long, value_name = "FILE", default_value = "target/release/quillramp")]
        program: PathBuf,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Measure embedded ("hollow") instances: the gateway's code in this process, without its sockets.
    Hollow {
        /// Fleet sizes and traffic.
        #[command(flatten)]
        point: OperatingPoint,
        /// Duration of the warm-up and of the measurement.
        #[command(flatten)]
        timing: Timing,
        /// Name of the run in its rows.
        #[arg(long, default_value = "hollow")]
        run: String,
        /// How the instances reach the counter and the list service.
        #[arg(long = "on", value_name = "ON", value_enum, default_value_t = Transport::InProcess)]
        transport: Transport,
        /// Number of embedded instances; the stand-in counter estimates the rest of the fleet.
        #[arg(long = "hollow", value_name = "INSTANCES", default_value_t = 4)]
        embedded: usize,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Measure embedded ("hollow") instances, varying one factor at a time over five sizes.
    Sweep {
        /// The factors to vary [default: all]
        #[arg(value_enum)]
        factors: Vec<Factor>,
        /// Fleet sizes and traffic of the factors that are not varied.
        #[command(flatten)]
        base: OperatingPoint,
        /// Duration of the warm-up and of the measurement at each point.
        #[command(flatten)]
        timing: Timing,
        /// Limits on processes and time.
        #[command(flatten)]
        limits: SweepLimits,
        /// Number of embedded instances at each point.
        #[arg(long = "hollow", value_name = "INSTANCES", default_value_t = 4)]
        embedded: usize,
        /// CSV file to append the rows to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Measure how many seconds a change of the endpoint list takes to reach every embedded ("hollow") instance, on
    /// sockets, while some instances restart.
    Changes {
        /// Fleet sizes and traffic.
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
        /// CSV file with the rows of the sweep.
        rows: PathBuf,
        /// Existing directory to write `slopes.csv` and charts to.
        #[arg(long, value_name = "DIRECTORY")]
        folder: PathBuf,
    },
    /// Compare a run of the program with one of embedded ("hollow") instances at the same point, figure by figure.
    Beside {
        /// CSV file with the rows of both runs.
        rows: PathBuf,
        /// Name of the run that measured the program.
        real: String,
        /// Name of the run that measured embedded instances.
        hollow: String,
    },
}

/// Executes a command, and returns the text for standard output.
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

/// Writes `slopes.csv` and the charts of a sweep into the folder, and returns the slopes as a table.
fn fit(rows: &Path, folder: &Path) -> Result<String, ScaleError> {
    let rows = rows::read(rows)?;
    let source = rows.first().map_or(Source::InProcess, |row| row.source);
    let fits = fit::fit_rows(&rows);
    slope_report::write_slopes(&folder.join("slopes.csv"), &fits, source)?;
    slope_report::draw_charts(folder, &fits)?;
    Ok(slope_report::table(&fits, source))
}

/// Appends rows to a CSV file, and returns one line of text for each row.
fn append_rows(out: &Path, rows: &[Row]) -> Result<String, ScaleError> {
    rows::append(out, rows)?;
    let line = |row: &Row| format!("{}: {} {:.4} {}\n", row.run, row.figure, row.value, row.unit);
    Ok(rows.iter().map(line).collect())
}
