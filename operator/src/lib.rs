//! The operator's file: one TOML file with a section for each part that is switched on. A section that is not there leaves that
//! part as it is without the file. Checks touch nothing: text in, plain limits or all that is wrong out.
mod admission;
pub mod broker;
mod identity;
pub mod log;
pub mod reading;
pub mod routes;
pub mod show;

use quillramp_admission::Limits;
use quillramp_identity::Trust;
use reading::{Fault, Reading, Section};
use routes::{Platform, Routes};

/// The longest that a file may be, bytes.
pub const LONGEST: usize = 1024 * 1024;

/// What the file switches on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub admission: Option<Limits>,
    pub log: Option<log::Log>,
    pub routes: Routes,
    /// The span of the roster on the counter, seconds, where there is one.
    pub presence: Option<f64>,
    pub broker: Option<broker::Terms>,
    /// What callers' tokens are checked against.
    pub identity: Option<Trust>,
}

/// The section on the counter: the span of the roster, and how long the counter lets a name live.
fn counter(s: Section) -> (Option<f64>, Option<f64>) {
    let presence = s.number("presence", 0.5..=10.0).map(|p| p.is);
    let life = s.number("longest_life", 60.0..=1e9).map(|l| l.is);
    s.done();
    (presence, life)
}

/// Reads it, for a platform where that is known; or says all that is wrong.
pub fn read(text: &str, platform: Option<&Platform>) -> Result<Operator, Vec<Fault>> {
    if text.len() > LONGEST {
        let why = format!("the file has {} bytes, {LONGEST} at the most", text.len());
        return Err(vec![Fault { line: 1, key: String::new(), why }]);
    }
    let reading = Reading::new(text)?;
    let operator = {
        let file = reading.whole();
        let admission =
            file.section("admission").and_then(|s| admission::read(s, platform.map(|p| p.sockets)));
        let log = file.section("log").map(log::read);
        let routes = routes::read(&reading, &file, platform);
        let (presence, longest_life) = file.section("counter").map_or((None, None), counter);
        let broker = broker::read(&reading, &file, platform, longest_life);
        let identity = file.section("identity").and_then(identity::read);
        file.done();
        Operator { admission, log, routes, presence, broker, identity }
    };
    let faults = reading.faults();
    if faults.is_empty() {
        Ok(operator)
    } else {
        Err(faults)
    }
}
