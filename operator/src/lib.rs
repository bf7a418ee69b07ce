//! The operator's file: one TOML file with a section for each part that is switched on. A section that is not there leaves that
//! part as it is without the file. Checks touch nothing: text in, plain limits or all that is wrong out.
use quillramp_admission::{Limits, Network};
use serde::Deserialize;

/// What the file switches on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub admission: Option<Limits>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    admission: Option<Admission>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Admission {
    connections: usize,
    #[serde(default)]
    reserve: usize,
    per_address: Option<usize>,
    strangers: Option<usize>,
    #[serde(default = "rate")]
    new_per_second: f64,
    #[serde(default = "burst")]
    burst: f64,
    unfinished: Option<usize>,
    #[serde(default = "first_word")]
    first_word: f64,
    #[serde(default = "known_for")]
    known_for: f64,
    #[serde(default)]
    known: Vec<String>,
}

fn rate() -> f64 {
    50.0
}
fn burst() -> f64 {
    100.0
}
fn first_word() -> f64 {
    2.0
}
fn known_for() -> f64 {
    600.0
}

/// Reads it for a front door with so many descriptors; or says all that is wrong, a line each.
pub fn read(text: &str, sockets: usize) -> Result<Operator, Vec<String>> {
    let file: File = toml::from_str(text).map_err(|e| vec![plain(text, &e)])?;
    let mut wrong = vec![];
    let admission =
        file.admission.map(|a| limits(a, sockets, &mut |says| wrong.push(format!("admission.{says}"))));
    if wrong.is_empty() {
        Ok(Operator { admission })
    } else {
        Err(wrong)
    }
}

/// Where it stands and what it is, on one line.
fn plain(text: &str, e: &toml::de::Error) -> String {
    let line = e.span().map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1);
    let says = e.message().lines().collect::<Vec<_>>().join(" ");
    line.map_or(says.clone(), |line| format!("line {line}: {says}"))
}

/// Descriptors that clients can't have: for backends, the counter, the list, operators and the process itself.
const OTHERS: usize = 64;

fn limits(a: Admission, sockets: usize, wrong: &mut dyn FnMut(String)) -> Limits {
    let most = sockets.saturating_sub(OTHERS).max(1);
    if !(1..=most).contains(&a.connections) {
        wrong(format!(
            "connections: expected 1 to {most}, as {sockets} descriptors are allowed and {OTHERS} serve else"
        ));
    }
    if a.reserve >= a.connections {
        wrong("reserve: leaves no connection to others than the known".into());
    }
    let per_address = a.per_address.unwrap_or(a.connections);
    let strangers = a.strangers.unwrap_or_else(|| (per_address / 4).max(1));
    let unfinished = a.unfinished.unwrap_or(4 * per_address);
    for (name, n, most) in [
        ("per_address", per_address, a.connections),
        ("strangers", strangers, per_address),
        ("unfinished", unfinished, usize::MAX),
    ] {
        if n == 0 || n > most {
            let least = if most == usize::MAX { "1 or more".into() } else { format!("1 to {most}") };
            wrong(format!("{name}: expected {least}, found {n}"));
        }
    }
    for (name, n, least) in [
        ("new_per_second", a.new_per_second, 0.001),
        ("burst", a.burst, 1.0),
        ("first_word", a.first_word, 0.05),
        ("known_for", a.known_for, 0.0),
    ] {
        if !n.is_finite() || n < least {
            wrong(format!("{name}: expected {least} or more, found {n}"));
        }
    }
    let mut known: Vec<Network> = vec![];
    for (i, text) in a.known.iter().enumerate() {
        match text.parse() {
            Ok(network) => known.push(network),
            Err(says) => wrong(format!("known[{i}]: {says}")),
        }
    }
    if a.reserve > 0 && known.is_empty() && a.known_for <= 0.0 {
        wrong("reserve: nobody can be known: name networks in known, or let known_for be more than 0".into());
    }
    Limits {
        connections: a.connections,
        reserve: a.reserve,
        per_address,
        strangers,
        rate: a.new_per_second,
        burst: a.burst,
        unfinished,
        first_word: a.first_word,
        known_for: a.known_for,
        known,
    }
}
