//! The operator's file: one TOML file with a section for each part that is switched on. A part without a section is as it is without the
//! file. Reading touches nothing: text in, plain limits or all that is wrong out.
#![warn(missing_docs)]
mod admission;
pub mod broker;
mod counter;
mod document;
mod identity;
pub mod log;
pub mod routes;
mod show;

pub use document::{Diagnostic, Located};
pub use show::show;

use broker::BrokerSettings;
use document::{Document, Section};
use log::LogSettings;
use quillramp_admission::Limits;
use quillramp_identity::Trust;
use routes::{Platform, Routes};

/// The longest file, bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// What the file switches on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// Limits of connections.
    pub admission: Option<Limits>,
    /// The log.
    pub log: Option<LogSettings>,
    /// Limits of requests.
    pub routes: Routes,
    /// The interval of the membership on the counter, seconds.
    pub presence: Option<f64>,
    /// Contracts between teams.
    pub broker: Option<BrokerSettings>,
    /// What callers' tokens are checked against.
    pub identity: Option<Trust>,
}

/// Reads a file, for a platform where that is known; or says all that is wrong.
pub fn read(text: &str, platform: Option<&Platform>) -> Result<OperatorSettings, Vec<Diagnostic>> {
    if text.len() > MAX_FILE_BYTES {
        let message = format!("the file has {} bytes, {MAX_FILE_BYTES} at the most", text.len());
        return Err(vec![Diagnostic { line: 1, key: String::new(), message }]);
    }
    let document = Document::parse(text)?;
    let settings = read_sections(&document, document.root(), platform);
    let diagnostics = document.into_diagnostics();
    if diagnostics.is_empty() {
        Ok(settings)
    } else {
        Err(diagnostics)
    }
}

fn read_sections(document: &Document, file: Section, platform: Option<&Platform>) -> OperatorSettings {
    let descriptors = platform.map(|platform| platform.sockets);
    let admission = file.section("admission").and_then(|section| admission::read(section, descriptors));
    let log = file.section("log").map(log::read);
    let routes = routes::read(document, &file, platform);
    let counter = file.section("counter").map(counter::read).unwrap_or_default();
    let broker = broker::read(document, &file, platform, counter.lifetime);
    let identity = file.section("identity").and_then(identity::read);
    file.finish();
    OperatorSettings { admission, log, routes, presence: counter.membership_interval, broker, identity }
}
