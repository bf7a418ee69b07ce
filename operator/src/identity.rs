//! The section `[identity]`: issuer, keys and rules for the tokens of callers.
use crate::document::{Choice, Section};
use quillramp_identity::{Key, SignatureAlgorithm, Trust};
use std::ops::RangeInclusive;

/// Accepted tolerances for clock skew, seconds.
const LEEWAYS: RangeInclusive<f64> = 0.0..=60.0;
/// Default tolerance for clock skew, seconds: clocks synchronized by NTP differ by less.
const DEFAULT_LEEWAY: f64 = 2.0;
/// Accepted maximum lifetimes of a token, seconds.
const MAX_LIFETIMES: RangeInclusive<f64> = 1.0..=1e7;
/// Default maximum lifetime of a token, seconds.
const DEFAULT_MAX_LIFETIME: f64 = 3600.0;

/// Signature algorithms and their names in the file.
const ALGORITHMS: [Choice<SignatureAlgorithm>; 2] = [
    Choice { name: "EdDSA", value: SignatureAlgorithm::EdDsa },
    Choice { name: "ES256", value: SignatureAlgorithm::Es256 },
];

/// Reads the issuer, the keys and the rules for tokens, and reports errors to the section's document. Returns `None` if `issuer` or
/// `audience` is missing.
pub(crate) fn read(section: Section) -> Option<Trust> {
    let issuer = read_name(&section, "issuer");
    let audience = read_name(&section, "audience");
    let leeway = section.number("leeway", LEEWAYS).map_or(DEFAULT_LEEWAY, |leeway| leeway.value);
    let max_lifetime =
        section.number("longest", MAX_LIFETIMES).map_or(DEFAULT_MAX_LIFETIME, |lifetime| lifetime.value);
    let single_use = section.boolean("once").is_some_and(|once| once.value);
    let revoked = section.strings("revoked").unwrap_or_default();
    let revoked = revoked.into_iter().map(|name| name.value).collect();
    let keys = read_keys(&section);
    section.finish();
    Some(Trust { issuer: issuer?, audience: audience?, keys, revoked, leeway, max_lifetime, single_use })
}

fn read_name(section: &Section, key: &'static str) -> Option<String> {
    section.require(&[key]);
    let name = section.string(key)?.value;
    if name.is_empty() {
        section.report(key, "expected a non-empty name, found an empty string");
    }
    Some(name)
}

fn read_keys(section: &Section) -> Vec<Key> {
    let sections = section.sections("key");
    if sections.is_empty() {
        section.report("key", "expected at least one section [[identity.key]], found none");
    }
    let mut keys: Vec<Key> = vec![];
    for section in sections {
        if let Some(key) = read_key(&section) {
            if keys.iter().any(|other| other.id == key.id) {
                section.report("id", format!("expected a unique id, found '{}' again", key.id));
            }
            if let Err(error) = key.check() {
                section.report(error.component.name(), error.problem.to_string());
            }
            keys.push(key);
        }
        section.finish();
    }
    keys
}

fn read_key(section: &Section) -> Option<Key> {
    section.require(&["id", "signs", "x"]);
    let id = section.string("id");
    let x_coordinate = section.string("x");
    let y_coordinate = section.string("y").map(|coordinate| coordinate.value).unwrap_or_default();
    let algorithm = section.choice("signs", &ALGORITHMS);
    let validity = section.validity();
    Some(Key {
        id: id?.value,
        algorithm: algorithm?.value,
        x: x_coordinate?.value,
        y: y_coordinate,
        valid_from: validity.from,
        valid_until: validity.until,
    })
}
