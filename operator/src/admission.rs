//! The section `[admission]`: limits of connections.
use crate::document::Section;
use quillramp_admission::{Limits, Network};

/// File descriptors that clients cannot use: those for backends, the counter, discovery, the admin interface and the process
/// itself.
const OTHER_DESCRIPTORS: usize = 64;
/// Divisor of `per_address` in the default of `strangers`: a quarter of an address's connections may be open before their first
/// command.
const CONNECTIONS_PER_UNIDENTIFIED: usize = 4;
/// Factor on `per_address` in the default of `unfinished`: pending commands for each connection of an address.
const PENDING_COMMANDS_PER_CONNECTION: usize = 4;

/// The minimum and the default of a number.
struct Setting {
    min: f64,
    default: f64,
}

/// New connections of an address per second.
const RATE: Setting = Setting { min: 0.001, default: 50.0 };
/// New connections of an address in a burst.
const BURST: Setting = Setting { min: 1.0, default: 100.0 };
/// Time for the first command of a connection, seconds.
const FIRST_COMMAND_TIMEOUT: Setting = Setting { min: 0.05, default: 2.0 };
/// Time for which an address stays known after a served command, seconds.
const KNOWN_FOR: Setting = Setting { min: 0.0, default: 600.0 };

/// Reads the limits; `descriptors` is the file descriptor limit of a gateway instance, if one is given. Returns `None` if
/// `connections` is missing or not an integer above 0; reports errors to the section's document.
pub(crate) fn read(section: Section, descriptors: Option<usize>) -> Option<Limits> {
    let available =
        descriptors.map_or(usize::MAX, |descriptors| descriptors.saturating_sub(OTHER_DESCRIPTORS).max(1));
    section.require(&["connections"]);
    let connections = section.integer("connections", 1..=usize::MAX).map(|integer| integer.value);
    if let (Some(found), Some(descriptors)) = (connections.filter(|found| *found > available), descriptors) {
        let reason = format!("{descriptors} file descriptors minus {OTHER_DESCRIPTORS} for other uses");
        section.report("connections", format!("expected 1 to {available} ({reason}), found {found}"));
    }
    let connection_limit = connections.unwrap_or(available);
    let reserve = section.integer("reserve", 0..=usize::MAX).map_or(0, |integer| integer.value);
    if reserve >= connection_limit {
        let message =
            format!("expected less than {connection_limit}, the value of 'connections', found {reserve}");
        section.report("reserve", message);
    }
    let per_address = count(&section, "per_address", connection_limit, connection_limit);
    let default_pending_commands = per_address.saturating_mul(PENDING_COMMANDS_PER_CONNECTION);
    let default_unidentified = (per_address / CONNECTIONS_PER_UNIDENTIFIED).max(1);
    let limits = Limits {
        connections: connection_limit,
        reserve,
        per_address,
        unidentified: count(&section, "strangers", per_address, default_unidentified),
        pending_commands: count(&section, "unfinished", usize::MAX, default_pending_commands),
        rate: number(&section, "new_per_second", RATE),
        burst: number(&section, "burst", BURST),
        first_command_timeout: number(&section, "first_word", FIRST_COMMAND_TIMEOUT),
        known_for: number(&section, "known_for", KNOWN_FOR),
        known_networks: networks(&section),
    };
    if reserve > 0 && limits.known_networks.is_empty() && limits.known_for <= 0.0 {
        let message = "expected networks in 'known' or 'known_for' above 0 for a reserve, found neither";
        section.report("reserve", message);
    }
    section.finish();
    connections.map(|_| limits)
}

fn count(section: &Section, key: &'static str, max: usize, default: usize) -> usize {
    section.integer(key, 1..=max).map_or(default, |integer| integer.value)
}

fn number(section: &Section, key: &'static str, setting: Setting) -> f64 {
    section.number(key, setting.min..=f64::INFINITY).map_or(setting.default, |number| number.value)
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
