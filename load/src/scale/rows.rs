//! Rows of a scale run: one figure each, with the point it belongs to, where it came from and the command.
use super::point::Point;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// How a figure was had.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The real program, on sockets.
    Real,
    /// Hollow front doors, on sockets.
    Socket,
    /// Hollow front doors, stand-ins in the same process.
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
    pub source: Source,
    pub front_doors: usize,
    pub backends: usize,
    pub tenants: usize,
    pub routes: usize,
    pub requests: f64,
    pub changes: f64,
    pub spread: String,
    pub counter: bool,
    pub what: String,
    pub value: f64,
    pub unit: String,
    pub command: String,
}

/// Figures of one run, as they are gathered.
pub struct Rows {
    run: String,
    source: Source,
    point: Point,
    pub all: Vec<Row>,
}

impl Rows {
    pub fn new(run: &str, source: Source, point: &Point) -> Rows {
        Rows { run: run.to_owned(), source, point: point.clone(), all: vec![] }
    }

    /// Adds a figure.
    pub fn add(&mut self, what: &str, value: f64, unit: &str) {
        let point = &self.point;
        self.all.push(Row {
            run: self.run.clone(),
            source: self.source,
            front_doors: point.front_doors,
            backends: point.backends,
            tenants: point.tenants,
            routes: point.routes,
            requests: point.requests,
            changes: point.changes,
            spread: point.spread.name().to_owned(),
            counter: !point.without_counter,
            what: what.to_owned(),
            value,
            unit: unit.to_owned(),
            command: command(),
        });
    }
}

/// The command line of this process, its program without the folder.
fn command() -> String {
    let words: Vec<String> = std::env::args().skip(1).collect();
    format!("quillramp-load {}", words.join(" "))
}

/// Appends to a file of rows, which is made with its head if need be.
pub fn append(path: &Path, rows: &[Row]) -> Result<(), String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let fresh = !path.exists();
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    let file = file.map_err(|e| failed(&e))?;
    let mut writer = csv::WriterBuilder::new().has_headers(fresh).from_writer(file);
    for row in rows {
        writer.serialize(row).map_err(|e| failed(&e))?;
    }
    writer.flush().map_err(|e| failed(&e))
}

/// Reads a file of rows.
pub fn read(path: &Path) -> Result<Vec<Row>, String> {
    let failed = |e: csv::Error| format!("{}: {e}", path.display());
    let mut reader = csv::Reader::from_path(path).map_err(failed)?;
    reader.deserialize().collect::<Result<Vec<Row>, csv::Error>>().map_err(failed)
}
