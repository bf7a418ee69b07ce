//! The section on admission of connections.
use crate::document::Section;
use quillramp_admission::{Limits, Network};

/// Descriptors that clients can't have: for backends, the counter, the list, operators and the process itself.
const OTHER_DESCRIPTORS: usize = 64;
/// Of the connections of an address, one in so many may be without a command, unless the file says otherwise.
const CONNECTIONS_PER_STRANGER: usize = 4;
/// Unanswered commands of an address for each of its connections, unless the file says otherwise.
const UNFINISHED_PER_CONNECTION: usize = 4;

/// What a number may be at the least, and is where the file does not say it.
struct Setting {
    least: f64,
    default: f64,
}

/// New connections of an address a second.
const RATE: Setting = Setting { least: 0.001, default: 50.0 };
/// New connections of an address at once.
const BURST: Setting = Setting { least: 1.0, default: 100.0 };
/// Seconds for the first command.
const FIRST_WORD: Setting = Setting { least: 0.05, default: 2.0 };
/// Seconds that an address stays known.
const KNOWN_FOR: Setting = Setting { least: 0.0, default: 600.0 };

/// Reads the limits, for a gateway instance with so many descriptors, where that is known; none where something is wrong.
pub(crate) fn read(section: Section, descriptors: Option<usize>) -> Option<Limits> {
    let most = descriptors.map_or(usize::MAX, |n| n.saturating_sub(OTHER_DESCRIPTORS).max(1));
    section.require(&["connections"]);
    let connections = section.integer("connections", 1..=usize::MAX).map(|n| n.value);
    if let (Some(found), Some(descriptors)) = (connections.filter(|n| *n > most), descriptors) {
        let reason = format!("as {descriptors} descriptors are allowed and {OTHER_DESCRIPTORS} serve else");
        section.report("connections", format!("expected 1 to {most}, {reason}, found {found}"));
    }
    let all = connections.unwrap_or(most);
    let reserve = section.integer("reserve", 0..=usize::MAX).map_or(0, |n| n.value);
    if reserve >= all {
        section.report("reserve", "leaves no connection to others than the known");
    }
    let per_address = count(&section, "per_address", all, all);
    let unfinished = per_address.saturating_mul(UNFINISHED_PER_CONNECTION);
    let strangers = (per_address / CONNECTIONS_PER_STRANGER).max(1);
    let limits = Limits {
        connections: all,
        reserve,
        per_address,
        strangers: count(&section, "strangers", per_address, strangers),
        unfinished: count(&section, "unfinished", usize::MAX, unfinished),
        rate: number(&section, "new_per_second", RATE),
        burst: number(&section, "burst", BURST),
        first_word: number(&section, "first_word", FIRST_WORD),
        known_for: number(&section, "known_for", KNOWN_FOR),
        known: networks(&section),
    };
    if reserve > 0 && limits.known.is_empty() && limits.known_for <= 0.0 {
        let message = "nobody can be known: name networks in known, or let known_for be more than 0";
        section.report("reserve", message);
    }
    section.finish();
    connections.map(|_| limits)
}

fn count(section: &Section, key: &'static str, most: usize, default: usize) -> usize {
    section.integer(key, 1..=most).map_or(default, |n| n.value)
}

fn number(section: &Section, key: &'static str, setting: Setting) -> f64 {
    section.number(key, setting.least..=f64::INFINITY).map_or(setting.default, |n| n.value)
}

fn networks(section: &Section) -> Vec<Network> {
    let mut networks = vec![];
    for text in section.strings("known").unwrap_or_default() {
        match text.value.parse::<Network>() {
            Ok(network) => networks.push(network),
            Err(error) => section.report("known", error.to_string()),
        }
    }
    networks
}
