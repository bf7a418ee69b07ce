//! Operators' files for runs: generated as text, and read as the gateway reads them. One that is refused is generated again, so the checks
//! that a file goes through are at work here too.
use quillramp_gateway::process::operator;
use quillramp_gateway::state::event::OperatorUpdate;
use quillramp_operator::routes::Platform;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// How often a file is generated before there is none.
const MAX_ATTEMPTS: usize = 20;

/// A key of a class.
struct ClassKey {
    name: &'static str,
    /// How often it is there.
    probability: f64,
    values: &'static [&'static str],
}

const CLASS_KEYS: [ClassKey; 6] = [
    ClassKey { name: "attempts", probability: 0.6, values: &["1", "2", "3", "5"] },
    ClassKey { name: "second_copies", probability: 0.3, values: &["true", "false"] },
    ClassKey { name: "per_try", probability: 0.4, values: &["0.05", "0.2", "0.6"] },
    ClassKey { name: "objective", probability: 0.4, values: &["0.2", "0.35", "0.5"] },
    ClassKey { name: "timeout", probability: 0.5, values: &["0.3", "0.9", "1.5"] },
    ClassKey { name: "repeat_within", probability: 0.3, values: &["0.1", "0.8", "1.4"] },
];

/// What a generated operator's file of this platform declares; nothing where all that were generated are wrong.
pub fn generate(rng: &mut ChaCha8Rng, platform: &Platform) -> OperatorUpdate {
    let mut read_generated = || quillramp_operator::read(&generate_text(rng, platform), Some(platform)).ok();
    let file = (0..MAX_ATTEMPTS).find_map(|_| read_generated());
    operator::operator_update(file.unwrap_or_default(), platform)
}

/// Classes and routes at random, right or wrong.
fn generate_text(rng: &mut ChaCha8Rng, platform: &Platform) -> String {
    let mut text = String::new();
    let classes = rng.gen_range(1..=3);
    for index in 0..classes {
        let _ = writeln!(text, "[[class]]\nname = \"c{index}\"");
        write_class_keys(&mut text, rng);
    }
    for _ in 0..rng.gen_range(1..=4) {
        let _ = writeln!(text, "[[route]]");
        write_route_conditions(&mut text, rng, platform);
        let _ = writeln!(text, "class = \"c{}\"", rng.gen_range(0..classes));
    }
    text
}

fn write_class_keys(text: &mut String, rng: &mut ChaCha8Rng) {
    for key in &CLASS_KEYS {
        if rng.gen_bool(key.probability) {
            let value = key.values.choose(rng).unwrap_or(&"1");
            let _ = writeln!(text, "{} = {value}", key.name);
        }
    }
}

fn write_route_conditions(text: &mut String, rng: &mut ChaCha8Rng, platform: &Platform) {
    if rng.gen_bool(0.8) {
        let name = platform.operations.choose(rng).map_or("", |operation| &operation.name);
        let _ = writeln!(text, "operations = [\"{name}\"]");
    }
    if rng.gen_bool(0.4) {
        let name = platform.plans.choose(rng).map_or("", |plan| plan);
        let _ = writeln!(text, "plans = [\"{name}\"]");
    }
    if rng.gen_bool(0.3) {
        let _ = writeln!(text, "customers = [\"{:016x}\"]", rng.gen_range(0..20));
    }
}
