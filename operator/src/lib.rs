//! The operator's file: a TOML file with a section for each optional component. A component without a section keeps its default
//! behavior. The parser is a pure function from the text to the settings, or to the complete list of diagnostics.
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

/// Maximum size of a file, bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// The settings of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// Limits of connections; `None` without admission control.
    pub admission: Option<Limits>,
    /// Settings of the log; `None` for the defaults.
    pub log: Option<LogSettings>,
    /// Limits of requests.
    pub routes: Routes,
    /// Heartbeat interval of the membership on the counter, seconds; `None` without membership.
    pub membership_interval: Option<f64>,
    /// Contracts between teams; `None` without a broker.
    pub broker: Option<BrokerSettings>,
    /// Issuer, keys and rules for the tokens of callers; `None` if callers need no token.
    pub identity: Option<Trust>,
}

/// Parses a file and checks it, also against a platform's configuration if one is given. The error has all diagnostics, by line.
pub fn read(text: &str, platform: Option<&Platform>) -> Result<OperatorSettings, Vec<Diagnostic>> {
    if text.len() > MAX_FILE_BYTES {
        let message = format!("expected at most {MAX_FILE_BYTES} bytes, found {}", text.len());
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
    let descriptors = platform.map(|platform| platform.descriptors);
    let admission = file.section("admission").and_then(|section| admission::read(section, descriptors));
    let log = file.section("log").map(log::read);
    let routes = routes::read(document, &file, platform);
    let counter = file.section("counter").map(counter::read).unwrap_or_default();
    let broker = broker::read(document, &file, platform, counter.lifetime);
    let identity = file.section("identity").and_then(identity::read);
    file.finish();
    OperatorSettings {
        admission,
        log,
        routes,
        membership_interval: counter.membership_interval,
        broker,
        identity,
    }
}
