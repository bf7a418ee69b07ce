//! The section on who callers are.
use crate::reading::Section;
use quillramp_identity::{Key, SignatureAlgorithm, Trust};
use std::collections::BTreeSet;

pub fn read(s: Section) -> Option<Trust> {
    let needed = |name: &'static str| {
        if !s.has(name) {
            s.fault(name, "is missing");
        }
        let text = s.text(name)?.is;
        if text.is_empty() {
            s.fault(name, "expected a name");
        }
        Some(text)
    };
    let (issuer, audience) = (needed("issuer"), needed("audience"));
    let leeway = s.number("leeway", 0.0..=60.0).map_or(2.0, |n| n.is);
    let longest = s.number("longest", 1.0..=1e7).map_or(3600.0, |n| n.is);
    let once = s.yes("once").is_some_and(|y| y.is);
    let revoked: BTreeSet<String> =
        s.texts("revoked").unwrap_or_default().into_iter().map(|t| t.is).collect();
    let mut keys: Vec<Key> = vec![];
    let sections = s.sections("key");
    if sections.is_empty() {
        s.fault("key", "without a key nobody can be known");
    }
    for k in sections {
        for name in ["id", "signs", "x"] {
            if !k.has(name) {
                k.fault(name, "is missing");
            }
        }
        let text = |name: &'static str| k.text(name).map(|t| t.is);
        let (id, x, y) = (text("id"), text("x"), text("y").unwrap_or_default());
        let signs = k
            .word("signs", &[("EdDSA", SignatureAlgorithm::EdDsa), ("ES256", SignatureAlgorithm::Es256)])
            .map(|w| w.is);
        let from = k.time("from").map_or(0.0, |t| t.is);
        let until = k.time("until").map_or(f64::INFINITY, |t| t.is);
        if until <= from {
            k.fault("until", "it ends before it begins");
        }
        if let (Some(id), Some(x), Some(signs)) = (id, x, signs) {
            if keys.iter().any(|other| other.id == id) {
                k.fault("id", format!("'{id}' stands here twice"));
            }
            let key = Key { id, algorithm: signs, x, y, valid_from: from, valid_until: until };
            if let Err(error) = key.check() {
                k.fault(error.component.name(), error.problem.to_string());
            }
            keys.push(key);
        }
        k.done();
    }
    s.done();
    Some(Trust {
        issuer: issuer?,
        audience: audience?,
        keys,
        revoked,
        leeway,
        max_lifetime: longest,
        single_use: once,
    })
}
