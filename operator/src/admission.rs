//! The section on admission of connections.
use crate::reading::Section;
use quillramp_admission::{Limits, Network};

/// Descriptors that clients can't have: for backends, the counter, the list, operators and the process itself.
const OTHERS: usize = 64;

/// Its limits, for a front door with so many descriptors, where that is known; none where something is wrong.
pub fn read(s: Section, sockets: Option<usize>) -> Option<Limits> {
    let most = sockets.map_or(usize::MAX, |n| n.saturating_sub(OTHERS).max(1));
    if !s.has("connections") {
        s.fault("connections", "is missing");
    }
    let connections = s.whole("connections", 1..=usize::MAX).map(|n| n.is);
    if let (Some(n), Some(sockets)) = (connections.filter(|n| *n > most), sockets) {
        s.fault(
            "connections",
            format!("expected 1 to {most}, as {sockets} descriptors are allowed and {OTHERS} serve else, found {n}"),
        );
    }
    let all = connections.unwrap_or(most);
    let or = |name: &'static str, most: usize, plain: usize| s.whole(name, 1..=most).map_or(plain, |n| n.is);
    let reserve = s.whole("reserve", 0..=usize::MAX).map_or(0, |n| n.is);
    if reserve >= all {
        s.fault("reserve", "leaves no connection to others than the known");
    }
    let per_address = or("per_address", all, all);
    let strangers = or("strangers", per_address, (per_address / 4).max(1));
    let unfinished = or("unfinished", usize::MAX, 4 * per_address);
    let seconds = |name: &'static str, least: f64, plain: f64| {
        s.number(name, least..=f64::INFINITY).map_or(plain, |n| n.is)
    };
    let (rate, burst) = (seconds("new_per_second", 0.001, 50.0), seconds("burst", 1.0, 100.0));
    let (first_word, known_for) = (seconds("first_word", 0.05, 2.0), seconds("known_for", 0.0, 600.0));
    let mut known: Vec<Network> = vec![];
    for text in s.texts("known").unwrap_or_default() {
        match text.is.parse() {
            Ok(network) => known.push(network),
            Err(error) => s.fault("known", error.to_string()),
        }
    }
    if reserve > 0 && known.is_empty() && known_for <= 0.0 {
        s.fault("reserve", "nobody can be known: name networks in known, or let known_for be more than 0");
    }
    s.done();
    Some(Limits {
        connections: connections?,
        reserve,
        per_address,
        strangers,
        rate,
        burst,
        unfinished,
        first_word,
        known_for,
        known,
    })
}
