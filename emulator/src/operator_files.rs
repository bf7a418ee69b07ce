//! Generates operators' files as text, and parses them with the gateway's code. A file that is rejected is generated again, so that the
//! validation of files is exercised too.
use quillramp_gateway::process::operator;
use quillramp_gateway::state::event::OperatorUpdate;
use quillramp_operator::routes::Platform;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// Maximum number of files generated before the run gets an empty one.
const MAX_GENERATED_FILES: usize = 20;

/// A key that a generated class may have.
struct ClassKey {
    name: &'static str,
    /// Probability that a class has the key.
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

/// Returns the update that a generated operator's file declares; one without declarations if all generated files are invalid.
pub fn generate(rng: &mut ChaCha8Rng, platform: &Platform) -> OperatorUpdate {
    let mut generate_and_read =
        || quillramp_operator::read(&generate_text(rng, platform), Some(platform)).ok();
    let file = (0..MAX_GENERATED_FILES).find_map(|_| generate_and_read());
    operator::operator_update(file.unwrap_or_default(), platform)
}

/// Generates the text of a file with random classes and routes, valid or not.
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
