//! Rows of a scale run. Each row holds one figure with its operating point, its source and the command that measured
//! it.
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// How a figure was measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The real program, on sockets.
    Real,
    /// Embedded instances, on sockets.
    Socket,
    /// Embedded instances, with the stand-ins in the same process.
    InProcess,
    /// The emulator, on its virtual clock.
    VirtualClock,
}

impl Source {
    /// Returns the name of the source in rows and tables.
    pub fn name(self) -> &'static str {
        match self {
            Source::Real => "real",
            Source::Socket => "socket",
            Source::InProcess => "in-process",
            Source::VirtualClock => "virtual-clock",
        }
    }
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the run.
    pub run: String,
    /// How the figure was measured.
    pub source: Source,
    /// Instances in the fleet.
    #[serde(rename = "front_doors")]
    pub instances: usize,
    /// Backends on the endpoint list.
    pub backends: usize,
    /// Tenants in the fleet.
    pub tenants: usize,
    /// Routes in the operator's file.
    pub routes: usize,
    /// Requests per second at one instance.
    pub requests: f64,
    /// Changes of the endpoint list per second.
    pub changes: f64,
    /// Distribution of the requests over the tenants.
    pub spread: String,
    /// Whether the instance has a counter.
    pub counter: bool,
    /// Name of the figure.
    #[serde(rename = "what")]
    pub figure: String,
    /// Value of the figure.
    pub value: f64,
    /// Unit of the figure.
    pub unit: String,
    /// Command line that measured the figure.
    pub command: String,
}

/// Collects the rows of one run.
pub struct Rows {
    run: String,
    source: Source,
    point: OperatingPoint,
    /// Rows added so far.
    pub all: Vec<Row>,
}

impl Rows {
    /// Creates a collection without rows for the run with this name.
    pub fn new(run: &str, source: Source, point: &OperatingPoint) -> Rows {
        Rows { run: run.to_owned(), source, point: point.clone(), all: vec![] }
    }

    /// Adds a row for a figure.
    pub fn add(&mut self, figure: &str, value: f64, unit: &str) {
        let point = &self.point;
        self.all.push(Row {
            run: self.run.clone(),
            source: self.source,
            instances: point.instances,
            backends: point.backends,
            tenants: point.tenants,
            routes: point.routes,
            requests: point.requests,
            changes: point.changes,
            spread: point.spread.name().to_owned(),
            counter: !point.without_counter,
            figure: figure.to_owned(),
            value,
            unit: unit.to_owned(),
            command: command_line(),
        });
    }
}

/// Returns the command line of this process, with the program's name instead of its path.
fn command_line() -> String {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    format!("quillramp-load {}", arguments.join(" "))
}

/// Appends rows to a CSV file; creates the file with a header if it does not exist.
pub fn append(path: &Path, rows: &[Row]) -> Result<(), ScaleError> {
    let is_new = !path.exists();
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    let file = file.map_err(ScaleError::file(path))?;
    let mut writer = csv::WriterBuilder::new().has_headers(is_new).from_writer(file);
    for row in rows {
        writer.serialize(row).map_err(ScaleError::table(path))?;
    }
    writer.flush().map_err(ScaleError::file(path))
}

/// Reads the rows of a CSV file.
pub fn read(path: &Path) -> Result<Vec<Row>, ScaleError> {
    let mut reader = csv::Reader::from_path(path).map_err(ScaleError::table(path))?;
    reader.deserialize().collect::<Result<Vec<Row>, csv::Error>>().map_err(ScaleError::table(path))
}
