//! Rows of a scale run: one figure each, with the point it belongs to, where it came from and the command.
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
    /// Embedded instances, stand-ins in the same process.
    InProcess,
    /// The emulator's clock.
    VirtualClock,
}

impl Source {
    /// Its name, as rows and tables have it.
    pub fn name(self) -> &'static str {
        match self {
            Source::Real => "real",
            Source::Socket => "socket",
            Source::InProcess => "in-process",
            Source::VirtualClock => "virtual-clock",
        }
    }
}

/// One figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the run.
    pub run: String,
    /// How the figure was measured.
    pub source: Source,
    /// Instances of the fleet.
    #[serde(rename = "front_doors")]
    pub instances: usize,
    /// Backends on the list.
    pub backends: usize,
    /// Tenants of the fleet.
    pub tenants: usize,
    /// Routes in the operator's file.
    pub routes: usize,
    /// Requests a second at one instance.
    pub requests: f64,
    /// Changes of the endpoint list a second.
    pub changes: f64,
    /// How requests are spread over tenants.
    pub spread: String,
    /// Whether the instance has a counter.
    pub counter: bool,
    /// The name of the figure.
    #[serde(rename = "what")]
    pub figure: String,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// The command that gave it.
    pub command: String,
}

/// Figures of one run, as they are gathered.
pub struct Rows {
    run: String,
    source: Source,
    point: OperatingPoint,
    /// The rows until now.
    pub all: Vec<Row>,
}

impl Rows {
    /// No figures yet, of the run of that name.
    pub fn new(run: &str, source: Source, point: &OperatingPoint) -> Rows {
        Rows { run: run.to_owned(), source, point: point.clone(), all: vec![] }
    }

    /// Adds a figure.
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

/// The command line of this process, its program without the folder.
fn command_line() -> String {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    format!("quillramp-load {}", arguments.join(" "))
}

/// Appends to a file of rows, which is made with its header if need be.
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

/// Reads a file of rows.
pub fn read(path: &Path) -> Result<Vec<Row>, ScaleError> {
    let mut reader = csv::Reader::from_path(path).map_err(ScaleError::table(path))?;
    reader.deserialize().collect::<Result<Vec<Row>, csv::Error>>().map_err(ScaleError::table(path))
}
