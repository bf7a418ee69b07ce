//! The `scale` commands of the program. On the command line an instance is called a front door, and an embedded one hollow.
use super::embedded_run::{self, Transport};
use super::error::ScaleError;
use super::fit::{self, Factor};
use super::operating_point::OperatingPoint;
use super::propagation::{self, Burst};
use super::real;
use super::rows::{self, Row, Source};
use super::slope_report;
use super::span::Span;
use super::sweep::{self, Bounds, Plan};
use clap::Subcommand;
use std::path::{Path, PathBuf};

/// What can be measured.
// Doc comments of flattened and positional arguments would appear in `--help`.
#[allow(missing_docs)]
#[derive(Subcommand)]
pub enum Scale {
    /// One front door of the program at a point of the fleet's sizes, among stand-ins on loopback.
    Real {
        #[command(flatten)]
        point: OperatingPoint,
        #[command(flatten)]
        span: Span,
        /// The name of the run in its rows.
        #[arg(long, default_value = "real")]
        run: String,
        /// The program of the front door.
        #[arg(long, default_value = "target/release/quillramp")]
        program: PathBuf,
        /// A file that the rows are appended to.
        #[arg(long)]
        out: PathBuf,
    },
    /// Hollow front doors of the same fleet.
    Hollow {
        #[command(flatten)]
        point: OperatingPoint,
        #[command(flatten)]
        span: Span,
        /// The name of the run in its rows.
        #[arg(long, default_value = "hollow")]
        run: String,
        /// What they run on.
        #[arg(long, value_enum, default_value_t = Transport::InProcess)]
        on: Transport,
        /// Front doors that are there; the counter reckons the rest of the fleet.
        #[arg(long, default_value_t = 4)]
        hollow: usize,
        /// A file that the rows are appended to.
        #[arg(long)]
        out: PathBuf,
    },
    /// Hollow front doors over the factors, one at a time, five sizes each.
    Sweep {
        /// What is varied; all, where none is named.
        #[arg(value_enum)]
        factors: Vec<Factor>,
        #[command(flatten)]
        base: OperatingPoint,
        #[command(flatten)]
        span: Span,
        #[command(flatten)]
        bounds: Bounds,
        /// Front doors that are there at each point.
        #[arg(long, default_value_t = 4)]
        hollow: usize,
        /// A file that the rows are appended to.
        #[arg(long)]
        out: PathBuf,
    },
    /// A burst of changes of the list while front doors restart: seconds from write to in force. Hollow ones, on sockets.
    Changes {
        #[command(flatten)]
        point: OperatingPoint,
        #[command(flatten)]
        burst: Burst,
        /// The name of the run in its rows.
        #[arg(long, default_value = "changes")]
        run: String,
        /// Front doors that are there.
        #[arg(long, default_value_t = 420)]
        hollow: usize,
        /// A file that the rows are appended to.
        #[arg(long)]
        out: PathBuf,
    },
    /// Slopes of the rows of a sweep: a table on standard output, `slopes.csv` and charts in the folder.
    Fit {
        rows: PathBuf,
        #[arg(long)]
        folder: PathBuf,
    },
    /// Two runs at the same point beside each other, by the names of the runs.
    Beside { rows: PathBuf, real: String, hollow: String },
}

/// Measures and appends the rows to their file; the text for standard output.
pub fn run(command: &Scale) -> Result<String, ScaleError> {
    match command {
        Scale::Real { point, span, run, program, out } => {
            keep(out, &real::measure(program, run, point, span)?)
        }
        Scale::Hollow { point, span, run, on, hollow, out } => {
            let measured = match on {
                Transport::InProcess => embedded_run::in_process(run, point, *hollow, span)?,
                Transport::Sockets => embedded_run::on_sockets(run, point, *hollow, span)?,
            };
            keep(out, &measured)
        }
        Scale::Sweep { factors, base, span, bounds, hollow, out } => {
            let plan = Plan { base, factors, span, instances: *hollow, bounds };
            let missing = sweep::sweep(&plan, out)?;
            Ok(missing.iter().map(|line| format!("missing: {line}\n")).collect())
        }
        Scale::Changes { point, burst, run, hollow, out } => {
            keep(out, &propagation::measure(run, point, *hollow, burst)?)
        }
        Scale::Fit { rows, folder } => fit(rows, folder),
        Scale::Beside { rows, real, hollow } => {
            let rows = rows::read(rows)?;
            let of = |run: &str| -> Vec<Row> { rows.iter().filter(|r| r.run == run).cloned().collect() };
            Ok(slope_report::compare_runs(&of(real), &of(hollow)))
        }
    }
}

/// Writes the slopes and the charts of a sweep into the folder; the slopes as a table.
fn fit(rows: &Path, folder: &Path) -> Result<String, ScaleError> {
    let rows = rows::read(rows)?;
    let source = rows.first().map_or(Source::InProcess, |r| r.source);
    let fits = fit::fits(&rows);
    slope_report::write_slopes(&folder.join("slopes.csv"), &fits, source)?;
    slope_report::draw_charts(folder, &fits)?;
    Ok(slope_report::table(&fits, source))
}

/// Appends measured rows to a file; a line for each.
fn keep(out: &Path, rows: &[Row]) -> Result<String, ScaleError> {
    rows::append(out, rows)?;
    let line = |r: &Row| format!("{}: {} {:.4} {}\n", r.run, r.figure, r.value, r.unit);
    Ok(rows.iter().map(line).collect())
}
