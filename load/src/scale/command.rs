//! The `scale` commands of the program.
use super::fit::{self, Factor};
use super::hollow_run::{self, Ground};
use super::point::Point;
use super::real::{self, Span};
use super::report;
use super::rows::{self, Row, Source};
use super::spreading::{self, Burst};
use super::sweep::{self, Bounds};
use clap::Subcommand;
use std::path::PathBuf;

/// What can be measured.
#[derive(Subcommand)]
pub enum Scale {
    /// One front door of the program at a point of the fleet's sizes, among stand-ins on loopback.
    Real {
        #[command(flatten)]
        point: Point,
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
        point: Point,
        #[command(flatten)]
        span: Span,
        /// The name of the run in its rows.
        #[arg(long, default_value = "hollow")]
        run: String,
        /// What they run on.
        #[arg(long, value_enum, default_value_t = Ground::InProcess)]
        on: Ground,
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
        base: Point,
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
        point: Point,
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

/// Measures, keeps the rows and says what they are.
pub fn run(what: &Scale) -> Result<String, String> {
    match what {
        Scale::Real { point, span, run, program, out } => {
            let measured = real::measure(program, run, point, span)?;
            rows::append(out, &measured)?;
            Ok(text(&measured))
        }
        Scale::Hollow { point, span, run, on, hollow, out } => {
            let measured = match on {
                Ground::InProcess => hollow_run::in_process(run, point, *hollow, span)?,
                Ground::Sockets => hollow_run::on_sockets(run, point, *hollow, span)?,
            };
            rows::append(out, &measured)?;
            Ok(text(&measured))
        }
        Scale::Sweep { factors, base, span, bounds, hollow, out } => {
            let missing = sweep::sweep(base, factors, (span, *hollow, bounds), out)?;
            Ok(missing.iter().map(|line| format!("missing: {line}\n")).collect())
        }
        Scale::Changes { point, burst, run, hollow, out } => {
            let measured = spreading::measure(run, point, *hollow, burst)?;
            rows::append(out, &measured)?;
            Ok(text(&measured))
        }
        Scale::Fit { rows, folder } => {
            let rows = rows::read(rows)?;
            let source = rows.first().map_or(Source::InProcess, |r| r.source);
            let fits = fit::fits(&rows);
            report::slopes(&folder.join("slopes.csv"), &fits, source)?;
            report::charts(folder, &fits)?;
            Ok(report::table(&fits, source))
        }
        Scale::Beside { rows, real, hollow } => {
            let rows = rows::read(rows)?;
            let of = |run: &str| -> Vec<Row> { rows.iter().filter(|r| r.run == run).cloned().collect() };
            Ok(report::beside(&of(real), &of(hollow)))
        }
    }
}

fn text(rows: &[Row]) -> String {
    let line = |r: &Row| format!("{}: {} {:.4} {}\n", r.run, r.what, r.value, r.unit);
    rows.iter().map(line).collect()
}
