//! Operators' files for runs: drawn as text, read as the front door reads them. One that is refused is drawn again; so the checks that a
//! file goes through are at work here too.
use quillramp_gateway::process::operator;
use quillramp_gateway::state::event::OperatorUpdate;
use quillramp_operator::routes::Platform;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// A class's keys: how often each is there, and what it may be.
const KEYS: [(&str, f64, &[&str]); 6] = [
    ("attempts", 0.6, &["1", "2", "3", "5"]),
    ("second_copies", 0.3, &["true", "false"]),
    ("per_try", 0.4, &["0.05", "0.2", "0.6"]),
    ("objective", 0.4, &["0.2", "0.35", "0.5"]),
    ("timeout", 0.5, &["0.3", "0.9", "1.5"]),
    ("repeat_within", 0.3, &["0.1", "0.8", "1.4"]),
];

/// Classes and routes at random, right or wrong.
fn text(r: &mut ChaCha8Rng, platform: &Platform) -> String {
    let mut text = String::new();
    let classes = r.gen_range(1..=3);
    for i in 0..classes {
        let _ = writeln!(text, "[[class]]\nname = \"c{i}\"");
        for (name, chance, values) in KEYS {
            if r.gen_bool(chance) {
                let value = values.choose(r).unwrap_or(&"1");
                let _ = writeln!(text, "{name} = {value}");
            }
        }
    }
    for _ in 0..r.gen_range(1..=4) {
        let _ = writeln!(text, "[[route]]");
        if r.gen_bool(0.8) {
            let name = platform.operations.choose(r).map_or("", |o| &o.name);
            let _ = writeln!(text, "operations = [\"{name}\"]");
        }
        if r.gen_bool(0.4) {
            let name = platform.plans.choose(r).map_or("", |p| p);
            let _ = writeln!(text, "plans = [\"{name}\"]");
        }
        if r.gen_bool(0.3) {
            let _ = writeln!(text, "customers = [\"{:016x}\"]", r.gen_range(0..20));
        }
        let _ = writeln!(text, "class = \"c{}\"", r.gen_range(0..classes));
    }
    text
}

/// How often one is drawn before there is none.
const TRIES: usize = 20;

/// What an operator's file of this platform declares; nothing where all that were drawn are wrong.
pub fn draw(r: &mut ChaCha8Rng, platform: &Platform) -> OperatorUpdate {
    let good = (0..TRIES).find_map(|_| quillramp_operator::read(&text(r, platform), Some(platform)).ok());
    operator::operator_update(good.unwrap_or_default(), platform)
}
